"""Runs one item of a batch job at upstreams until it is complete, then scores it."""

import asyncio
from dataclasses import dataclass, field

from buckthornstile.base import UpstreamId
from buckthornstile.gateway._item_runner import ItemProgress, RunOutcome
from buckthornstile.gateway._item_scores import find_score
from buckthornstile.gateway._item_versions import (
    can_go_on,
    get_version,
    holds_allowed_version,
    is_eligible,
    is_software_uncertain,
)
from buckthornstile.gateway._job_context import JobContext
from buckthornstile.gateway._upstream_stats import Permit
from buckthornstile.jobs import (
    ItemResult,
    JobItem,
    ProgressCheckpoint,
    ResultState,
    StoredProgress,
    choose_progress,
)
from buckthornstile.logs import log_event
from buckthornstile.metrics import CounterName
from buckthornstile.topology import API_HOST, Route, Upstream

FAILURE_RETRY_DELAY = 0.05
"""Seconds before an item is run again after a failed run."""
FIRST_REFUSAL_RETRY_DELAY = 0.02
"""Seconds before an item is run again after its first refusal.

The delay doubles with each further refusal in a row.
"""
MAX_REFUSAL_RETRY_DELAY = 0.2
"""Maximum delay after a refusal, in seconds."""
MAX_VERSION_WAIT = 0.5
"""Seconds for which an item waits for an upstream that can go on from its events, while
others could run it from the start."""
RESTARTS_COUNTER = CounterName("item_restarts")
AVOIDED_AFTER = frozenset(
    {RunOutcome.BROKEN, RunOutcome.TIMED_OUT, RunOutcome.SLOW, RunOutcome.TOO_LONG}
)
"""Outcomes after which an item avoids the upstream of the run."""
MAX_AVOIDED_UPSTREAMS = 2
"""Maximum number of upstreams that an item avoids at a time: the latest ones."""


@dataclass(slots=True)
class ItemExecution:
    """The execution of one item: its progress, failures and past runs.

    Args:
        item: The item.
        context: The job of the item.
        rank: Items with a smaller rank start first.
        urgency: Urgency at the upstream, from 0 (most urgent) to 9.
        checkpoint: What the store holds of its progress.
        progress: The events that were received so far.
        avoided: Upstreams that the item avoids.
        failures: Number of failed runs.
        refusals_in_a_row: Number of refusals since the last run that was not refused.
        runs: Upstream and outcome of each run that was not refused.
        started_at: Time of the first run in seconds, or 0 before it.
        waiting_since: Time since which the item waits for an upstream that can go on
            from its events, in seconds, or None.
    """

    item: JobItem
    context: JobContext
    rank: tuple[int, int, int]
    urgency: int
    checkpoint: ProgressCheckpoint
    progress: ItemProgress = field(default_factory=ItemProgress)
    avoided: list[UpstreamId] = field(default_factory=list)
    failures: int = 0
    refusals_in_a_row: int = 0
    runs: list[str] = field(default_factory=list)
    started_at: float = 0.0
    waiting_since: float | None = None

    async def run(
        self, upstream: Upstream, route: Route, permit: Permit
    ) -> ItemResult | None:
        """Runs the item at an upstream and, if its text is complete, scores it.

        Args:
            upstream: The upstream that runs the item.
            route: The route of the job.
            permit: The permit of this run; released when the run has ended.

        Returns:
            The result, or None if the item must be run again.
        """
        dependencies = self.context.dependencies
        if not self.started_at:
            self.started_at = dependencies.clock()
        events_before = len(self.progress.events)
        specification = self.context.job.specification
        if not self.progress.events:
            self.progress.software_version = upstream.software_version
        outcome = await dependencies.item_runner.run(
            self.item,
            upstream,
            self.progress,
            permit,
            host=route.host,
            account=specification.account,
            urgency=self.urgency,
            minimum_version=specification.minimum_version,
            model=specification.model,
            version=self._get_required_version(route, upstream),
            requires_single_version=route.requires_single_version,
            before_send=self.context.prepare_send,
        )
        permit.release()
        if outcome is RunOutcome.NOT_SENT:
            return None
        if len(self.progress.events) < self.checkpoint.event_count:
            self.checkpoint.discard()
        if outcome is RunOutcome.REFUSED:
            dependencies.shares.record_refused(upstream)
        else:
            self.waiting_since = None
            self.runs.append(f"{upstream.id}:{outcome.value}")
        # A text of a single run is whole, whichever version has produced it.
        is_whole = outcome is RunOutcome.COMPLETE and not events_before
        if (
            len(self.progress.events) > events_before
            and not is_whole
            and is_software_uncertain(self.context, upstream, self.progress)
        ):
            self._restart("software version changed")
            if outcome is RunOutcome.COMPLETE:
                return None
        if outcome is RunOutcome.COMPLETE and self._has_forbidden_versions(route):
            self._restart("versions are mixed")
            return None
        if outcome is RunOutcome.COMPLETE:
            if specification.host == API_HOST:
                age = dependencies.clock() - self.started_at
                dependencies.sender.on_executed(specification.account, age)
            return await self._score()
        if outcome is RunOutcome.UNPROCESSABLE:
            return self._abandon("impossible")
        if outcome is RunOutcome.FAILED:
            self.failures += 1
            if self.failures >= max(1, route.max_attempts):
                return self._abandon("failed")
        await self._handle_unfinished_run(upstream, outcome, events_before)
        return None

    def _has_forbidden_versions(self, route: Route) -> bool:
        """Whether several versions made the text although one must make it.

        The route may have been changed to require that during the run.
        """
        current_route = self.context.find_route() or route
        requires_single_version = (
            route.requires_single_version or current_route.requires_single_version
        )
        return requires_single_version and self.progress.is_mixed()

    async def _handle_unfinished_run(
        self, upstream: Upstream, outcome: RunOutcome, events_before: int
    ) -> None:
        if outcome is RunOutcome.REFUSED:
            delay = FIRST_REFUSAL_RETRY_DELAY * 2**self.refusals_in_a_row
            self.refusals_in_a_row += 1
            await asyncio.sleep(min(MAX_REFUSAL_RETRY_DELAY, delay))
            return
        self.refusals_in_a_row = 0
        log_event(
            "item.run_ended",
            job=self.context.job.id,
            item=self.item.id,
            upstream=upstream.id,
            software=upstream.software_version,
            end=outcome.value,
            events_before=events_before,
            events=len(self.progress.events),
            status=self.progress.last_status,
        )
        if outcome in AVOIDED_AFTER:
            self.avoided = [*self.avoided[1 - MAX_AVOIDED_UPSTREAMS :], upstream.id]
        else:
            await asyncio.sleep(FAILURE_RETRY_DELAY)

    def list_needs(self, route: Route) -> tuple[object, ...]:
        """Returns what decides which upstreams are eligible for the item."""
        specification = self.context.job.specification
        version, software_version = None, None
        if self.progress.events:
            software_version = self.progress.software_version
            if route.requires_single_version:
                version = self.progress.events[0].version
        return (
            route.services,
            specification.model,
            specification.minimum_version,
            version,
            software_version,
        )

    def is_eligible(self, upstream: Upstream, route: Route) -> bool:
        """Whether an upstream holds the versions that may run the rest of the item."""
        return is_eligible(self.context, upstream, route, self.progress)

    def load_progress(self, route: Route | None) -> None:
        """Restores the stored events of the item if their versions are allowed."""
        specification = self.context.job.specification
        table = self.context.dependencies.store.table
        stored = table.list_progress(specification.account, self.item)
        upstreams = self._list_upstreams(route) if route is not None else []
        chosen = choose_progress(
            stored.values(),
            minimum_version=specification.minimum_version,
            requires_single_version=route is not None and route.requires_single_version,
            can_go_on=lambda progress: (
                route is not None
                and any(
                    can_go_on(
                        self.context,
                        upstream,
                        route,
                        progress.events[0],
                        progress.software_version,
                    )
                    for upstream in upstreams
                )
            ),
        )
        self._load_checkpoint(stored.get(specification.id, StoredProgress()), chosen)
        if not chosen:
            return
        self.progress.events = list(chosen.events)
        self.progress.software_version = chosen.software_version
        versions = sorted({event.version for event in chosen.events})
        log_event(
            "item.resumed",
            job=specification.id,
            item=self.item.id,
            events=len(chosen),
            versions=",".join(map(str, versions)),
            software=chosen.software_version,
        )

    def _load_checkpoint(self, own: StoredProgress, chosen: StoredProgress) -> None:
        """Keeps the records of the job's own progress if the chosen one begins so."""
        job = self.context.job
        self.checkpoint.keys |= set(job.list_progress_keys(self.item.id))
        self.checkpoint.event_count = len(own)
        is_continued = (
            own.software_version == chosen.software_version
            and own.events == chosen.events[: len(own)]
        )
        if not is_continued or job.count_stored_events(self.item.id) > len(own):
            self.checkpoint.discard()

    def discard_unusable_progress(self, route: Route) -> None:
        """Discards the events of the item if no upstream can go on from them soon.

        Only upstreams with the software version of the events can and, where a single
        weight version is required, only those that hold it. The events are kept as long
        as no other upstream could run the item from the start.
        """
        if not self.progress.events:
            return
        if route.requires_single_version and self.progress.is_mixed():
            self._restart("versions are mixed")
            return
        balancer = self.context.dependencies.balancer
        upstreams = [
            upstream
            for upstream in self._list_upstreams(route)
            if not balancer.is_ejected(upstream)
        ]
        is_held = any(self.is_eligible(one, route) for one in upstreams)
        now = self.context.dependencies.clock()
        if self.waiting_since is None:
            self.waiting_since = now
        if is_held and now - self.waiting_since < MAX_VERSION_WAIT:
            return
        others = [
            upstream
            for upstream in upstreams
            if holds_allowed_version(self.context, upstream)
            and not self.is_eligible(upstream, route)
            and balancer.has_capacity(upstream)
        ]
        if others:
            software_version = self.progress.software_version
            is_software = all(
                other.software_version != software_version for other in others
            )
            subject = "software version" if is_software else "version"
            self._restart(f"{subject} is {'busy' if is_held else 'not held'}")

    def _restart(self, reason: str) -> None:
        """Discards all events, so that the item is run from the start."""
        self.context.dependencies.shares.counters.increment(
            RESTARTS_COUNTER, reason=reason.replace(" ", "_")
        )
        log_event(
            "item.restarted",
            job=self.context.job.id,
            item=self.item.id,
            reason=reason,
            events=len(self.progress.events),
            version=self.progress.events[0].version,
            software=self.progress.software_version,
        )
        self.progress.events = []
        self.checkpoint.discard()
        self.waiting_since = None

    def _list_upstreams(self, route: Route) -> list[Upstream]:
        list_available = self.context.dependencies.view.list_available_upstreams
        return [one for name, _ in route.services for one in list_available(name)]

    def find_earlier_result(self, route: Route | None) -> ItemResult | None:
        """Returns the result of an earlier job if its versions are allowed, or None."""
        dependencies, specification = (
            self.context.dependencies,
            self.context.job.specification,
        )
        account = specification.account
        result = dependencies.store.table.find_result(account, self.item)
        if result is None or route is None:
            return None
        if min(result.versions, default=-1) < specification.minimum_version:
            return None
        if route.requires_single_version and len(result.versions) != 1:
            return None
        log_event("item.reused", job=specification.id, item=self.item.id)
        return result

    def abandon_if_expired(self) -> ItemResult | None:
        """Returns an abandoned result if the job has ended or expired, or None."""
        return self._abandon("over") if self.context.is_expired() else None

    def _abandon(self, reason: str) -> ItemResult:
        log_event(
            "item.given_up",
            job=self.context.job.id,
            item=self.item.id,
            reason=reason,
            failures=self.failures,
            runs=",".join(self.runs),
        )
        return ItemResult(self.item.id, ResultState.ABANDONED)

    def _get_required_version(self, route: Route, upstream: Upstream) -> int | None:
        if not route.requires_single_version:
            return None
        if self.progress.events:
            return self.progress.events[0].version
        return get_version(self.context, upstream) or None

    # Scores

    async def _score(self) -> ItemResult:
        text_completed_at = self.context.dependencies.clock()
        score = ""
        call = self.item.score_call
        if call is not None:
            found_score = await find_score(self.context, self.item.id, call)
            if found_score is None:
                return self._abandon("score")
            score = found_score
        now = self.context.dependencies.clock()
        job_started_at = self.context.job.started_at
        account = self.context.job.specification.account
        metrics = self.context.dependencies.metrics
        metrics.record_item(account, now - job_started_at)
        metrics.record_queue_wait(account, self.started_at - job_started_at)
        log_event(
            "item.done",
            job=self.context.job.id,
            item=self.item.id,
            group=self.item.group,
            waited=self.started_at - job_started_at,
            text_seconds=text_completed_at - self.started_at,
            score_seconds=now - text_completed_at,
            events=len(self.progress.events),
            expected_tokens=self.item.expected_tokens,
            runs=",".join(self.runs),
        )
        return ItemResult(
            self.item.id,
            ResultState.COMPLETE,
            self.progress.render_text(),
            self.progress.list_version_spans(),
            score,
        )
