"""Checks the observations of a soak run."""

import asyncio
import time
import traceback

from soak._deployment import SoakDeployment
from soak._statement_checks import StatementChecker
from tests.harness import PROPAGATION_LIMIT
from tests.invariants import list_request_times

RECOVERY_TIMEOUT = 15.0
"""Seconds after the faults are cleared within which calls must succeed again."""


def check_run(deployment: SoakDeployment) -> list[str]:
    """Runs all checks and returns the problems that they found."""
    problems = []
    checks = (
        lambda deployment: deployment.harness.collect_and_check(),
        _check_drains,
        _check_withdrawal,
        lambda deployment: StatementChecker(deployment).check_leaving(),
        lambda deployment: StatementChecker(deployment).check_limits(),
        lambda deployment: StatementChecker(deployment).check_deadly_requests(),
        lambda deployment: StatementChecker(deployment).check_software_versions(),
    )
    for check in checks:
        try:
            check(deployment)
        except AssertionError as error:
            text = traceback.format_exception_only(error)
            problems.append("".join(text).strip()[:600])
    for name, process in deployment.harness.entries.items():
        if not process.is_running:
            problems.append(f"{name} exited with status {process.process.poll()}")
        for event in process.read_events("task.failed"):
            problems.append(f"{name}: {event}")
    return problems


def _check_drains(deployment: SoakDeployment) -> None:
    for domain, started_at, ended_at in deployment.drain_intervals:
        for name in deployment.harness.observations.upstream_journals:
            # The worker's number determines its failure domain.
            if f"bench-{'abc'[int(name.partition('~')[0][-1])]}" != domain:
                continue
            late_times = [
                at
                for at in list_request_times(deployment.harness.observations, name)
                if started_at + PROPAGATION_LIMIT < at < ended_at
            ]
            assert not late_times, (
                f"{name} got {len(late_times)} requests while drained"
            )


def _check_withdrawal(deployment: SoakDeployment) -> None:
    if not deployment.withdrawn_at:
        return
    deadline = deployment.withdrawn_at + PROPAGATION_LIMIT
    late_calls = [
        call.name
        for call in deployment.harness.observations.calls
        if call.account == "quay" and call.status == 200 and call.started_at > deadline
    ]
    assert not late_calls, f"calls served with a withdrawn key: {late_calls[:5]}"


async def check_recovery(deployment: SoakDeployment) -> list[str]:
    """Checks that a lookup, an order and a completion succeed within the timeout."""
    caller = deployment.harness.make_caller(attempts=2)
    deadline = time.monotonic() + RECOVERY_TIMEOUT
    failed: list[str] = []
    while time.monotonic() < deadline:
        records = [
            await deployment.harness.send_lookup(caller, timeout=2.0),
            await deployment.harness.place_order(caller, timeout=2.0),
            await deployment.harness.send_completion(caller, timeout=4.0),
        ]
        failed = [
            f"{record.kind}: {record.error_code}"
            for record in records
            if record.status != 200
        ]
        if not failed:
            return []
        await asyncio.sleep(0.3)
    return [f"calls still fail after the last fault: {failed}"]
