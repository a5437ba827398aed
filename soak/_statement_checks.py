"""Checks of what upstreams stated, and of requests that crash them.

A request names the entry that sent it in its ``Host`` header, except for the items of
lots. An entry counts as told when a call that it answered had one run, whose response
held the statement.
"""

import json
from collections.abc import Iterator
from typing import Any

from soak._deployment import SoakDeployment
from soak._steps import DEADLY_BODY
from tests.invariants import CallRecord, count_runs_by_name

DRAIN_LIMIT = 2.0
"""Seconds after a response with the statement that an upstream leaves, after which it
gets no request that is sent later."""
CONTACT_TIME = 4.0
"""Seconds in which entries must act on a limit, or on a request that crashes upstreams;
also the window over which requests are counted."""
PASSING_TIME = 0.5
"""Seconds after which an entry that was told a limit counts."""
MAX_LATE_RETRIES = 3
"""Number of late sends of a request that has crashed three upstreams."""
STORE_RECOVERY = 3.0
"""Seconds after a disturbance in which entries read again what others published."""

Run = dict[str, Any]


class StatementChecker:
    """Compares the journals of the workers with what entries and callers were told.

    Args:
        deployment: The deployment, whose journals were collected.
    """

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.observations = deployment.harness.observations
        self.calls = {call.name: call for call in self.observations.calls}
        self.run_counts = count_runs_by_name(self.observations)
        self.entry_names = {
            entry.url.removeprefix("http://"): name
            for name, entry in deployment.harness.entries.items()
        }

    def check_leaving(self) -> None:
        """Checks that upstreams that leave get no late requests.

        An entry that was not told itself must have learned it from another one, unless
        an entry or the store was disturbed meanwhile.
        """
        for name, runs in self._list_journals():
            told = self._find_told(runs, "leaving")
            first = min(told.values(), default=0.0)
            late = [run for run in runs if told and self._is_late(run, told, first)]
            assert not late, (
                f"{name} stated that it leaves at {first:.3f}, {told}, "
                f"but got {len(late)} late requests: {late[0]}"
            )

    def _is_late(self, run: Run, told: dict[str, float], first: float) -> bool:
        call = self._find_call(run)
        sent_at = call.started_at if call else run["at"]
        entry = self._get_entry(run)
        if entry in told and sent_at > told[entry] + DRAIN_LIMIT:
            return not self._is_disturbed(
                entry, told[entry], run["at"], kinds=("kill", "stop")
            )
        is_known = sent_at > first + DRAIN_LIMIT
        return is_known and not self._is_disturbed("", first, run["at"])

    def check_limits(self) -> None:
        """Checks that upstreams get no more requests than the limit that they state."""
        for name, runs in self._list_journals():
            told = self._find_told(runs, "limit")
            first = min(told.values(), default=0.0)
            if told:
                # Items name no entry, and other entries have told their owner.
                told[""] = first
            times = [
                run["at"]
                for run in runs
                if "limit" in run
                and self._get_entry(run) in told
                and run["at"] > told[self._get_entry(run)] + PASSING_TIME
                and run["at"] > first + CONTACT_TIME
                and not self._is_disturbed(self._get_entry(run), first, run["at"])
            ]
            limit = max((run.get("limit", 0.0) for run in runs), default=0.0)
            allowed = 1.5 * CONTACT_TIME * limit + 5
            most = max(
                (sum(at <= t < at + CONTACT_TIME for t in times) for at in times),
                default=0,
            )
            assert most <= allowed, (
                f"{name} stated {limit} requests per second at {first:.3f}, "
                f"but got {most} requests in {CONTACT_TIME} s"
            )

    def check_deadly_requests(self) -> None:
        """Checks that a request that has crashed three upstreams is hardly sent."""
        runs = [
            run
            for _, journal in self._list_journals()
            for run in journal
            if run["body"] == DEADLY_BODY
        ]
        crashed_at = sorted(run["at"] for run in runs if run.get("crashed"))
        if len(crashed_at) < 3:
            return
        deadline = crashed_at[2] + CONTACT_TIME
        late = [run["at"] for run in runs if run["at"] > deadline]
        assert len(late) <= MAX_LATE_RETRIES, (
            f"{len(late)} sends of a request that crashed its third upstream at "
            f"{crashed_at[2]:.3f}: {late}"
        )

    def check_software_versions(self) -> None:
        """Checks that a caller's stream goes on only at the version that began it."""
        begun: dict[str, str] = {}
        all_runs = [run for _, runs in self._list_journals() for run in runs]
        for run in sorted(all_runs, key=lambda run: run["at"]):
            call, name = self._find_call(run), run["request"]
            if call is None or not run.get("versions"):
                continue
            if "Last-Event-Id" not in run["headers"]:
                begun[name] = run["software"]
            # The journal of an upstream that was killed is lost.
            version = begun.setdefault(name, run["software"])
            assert run["software"] == version, (
                f"the stream of request {name} began at {version} and went on at "
                f"{run['software']}: {run}"
            )

    def _list_journals(self) -> Iterator[tuple[str, list[Run]]]:
        for name, journal in self.observations.upstream_journals.items():
            yield name, [entry for entry in journal if entry["what"] == "run"]

    def _find_call(self, run: Run) -> CallRecord | None:
        body = json.loads(run["body"] or "{}")
        return self.calls.get(body.get("name") or body.get("prompt", ""))

    def _get_entry(self, run: Run) -> str:
        """Returns the name of the entry that sent a request, or an empty name."""
        return self.entry_names.get(run["headers"].get("Host", ""), "")

    def _find_told(self, runs: list[Run], statement: str) -> dict[str, float]:
        """Returns when each entry had passed on a response with a statement."""
        told: dict[str, float] = {}
        for run in runs:
            call = self._find_call(run)
            if statement not in run or call is None or call.status != 200:
                continue
            if self.run_counts[call.name] == 1:
                entry = self._get_entry(run)
                told[entry] = min(told.get(entry, call.finished_at), call.finished_at)
        return told

    def _is_disturbed(
        self, entry: str, start: float, end: float, *, kinds: tuple[str, ...] = ()
    ) -> bool:
        """Whether a disturbance of an entry, or of any if empty, excuses it."""
        return any(
            disturbance.started_at < end
            and disturbance.ended_at + STORE_RECOVERY > start
            and (not kinds or disturbance.kind in kinds)
            and (not entry or disturbance.entry in ("", entry))
            for disturbance in self.deployment.disturbances
        )
