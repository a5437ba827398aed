"""The work on one item of a batch job: its runs, then its score."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornstile.base import BuckthornstileError, UpstreamId
from buckthornstile.gateway._call_sender import CallSender
from buckthornstile.gateway._item_runner import ItemRunner, Progress, RunOutcome
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._load_balancer import LoadBalancer, Permit
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.jobs import ItemResult, Job, JobItem, ResultState, ScoreCall
from buckthornstile.logs import log_event
from buckthornstile.messages import ClientRequest, RoutedCall
from buckthornstile.topology import API_HOST, Route, TopologyView, Upstream

FAILURE_PAUSE = 0.05
"""Seconds before an item that failed is run again."""
REFUSAL_PAUSE = 0.02
"""Seconds before an item that was refused is run again; doubles with each one."""
LONGEST_REFUSAL_PAUSE = 0.2
SCORE_TIME = 2.0
"""Seconds for one call that scores an item."""
SCORE_PAUSE = 0.1
GIVE_UP_MARGIN = 0.5
"""Seconds beyond a route's retention after which an item is given up."""
NO_ROUTE_PAUSE = 0.1
MAX_AVOIDED = 2
"""Upstreams that an item avoids after they failed it, the newest ones."""


@dataclass(frozen=True, slots=True)
class JobDependencies:
    """What the runners of all jobs share."""

    view: TopologyView
    balancer: LoadBalancer
    item_runner: ItemRunner
    sender: CallSender
    store: JobStore
    metrics: GatewayMetrics
    clock: Callable[[], float]


@dataclass(slots=True)
class JobContext:
    """One job and the route that it came by, which may go meanwhile."""

    job: Job
    dependencies: JobDependencies
    last_route: Route | None = None

    def find_route(self) -> Route | None:
        """Finds the job's route in the configuration in force."""
        specification = self.job.specification
        route = self.dependencies.view.find_route(
            specification.host, specification.path_prefix
        )
        if route is not None:
            self.last_route = route
        return route

    def is_over(self) -> bool:
        """Whether open items may be given up."""
        if self.job.ended:
            return True
        retention = self.job.specification.time_limit
        if not retention and self.last_route is not None:
            retention = self.last_route.retention
        if not retention:
            return False
        age = self.dependencies.clock() - self.job.started_at
        return age > retention + GIVE_UP_MARGIN


@dataclass(slots=True)
class ItemExecution:
    """An item and how far its runs have come.

    Args:
        item: The item.
        context: Its job.
        rank: Items with a smaller rank start first.
        urgency: From 0, the most urgent, to 9, at an upstream.
    """

    item: JobItem
    context: JobContext
    rank: tuple[int, int, int]
    urgency: int
    progress: Progress = field(default_factory=Progress)
    avoided: list[UpstreamId] = field(default_factory=list)
    failures: int = 0
    refusals: int = 0
    saved: int = 0
    runs: list[str] = field(default_factory=list)
    began_at: float = 0.0

    async def run(
        self, upstream: Upstream, route: Route, place: Permit
    ) -> ItemResult | None:
        """Runs the item at an upstream; scores it when its text is whole.

        Args:
            upstream: Where to run it.
            route: The route that its job came by.
            place: Its place at the upstream, released when the run has ended.

        Returns:
            The result, or None if the item is to be run again.
        """
        dependencies = self.context.dependencies
        if not self.began_at:
            self.began_at = dependencies.clock()
        events_before = len(self.progress.events)
        specification = self.context.job.specification
        end = await dependencies.item_runner.run(
            self.item,
            upstream,
            self.progress,
            host=route.host,
            account=specification.account,
            urgency=self.urgency,
            minimum_version=specification.minimum_version,
            model=specification.model,
            version=self._get_only_version(route, upstream),
        )
        place.release()
        if end is not RunOutcome.REFUSED:
            self.runs.append(f"{upstream.id}:{end.value}")
        if end is RunOutcome.COMPLETE:
            if specification.host == API_HOST:
                age = dependencies.clock() - self.began_at
                dependencies.sender.on_executed(specification.account, age)
            return await self._score()
        if end is RunOutcome.IMPOSSIBLE:
            return self._give_up("impossible")
        if end is RunOutcome.FAILED:
            self.failures += 1
            if self.failures >= max(1, route.max_attempts):
                return self._give_up("failed")
        await self._note_unfinished(upstream, end, events_before)
        return None

    async def _note_unfinished(
        self, upstream: Upstream, end: RunOutcome, events_before: int
    ) -> None:
        if end is RunOutcome.REFUSED:
            pause = REFUSAL_PAUSE * 2**self.refusals
            self.refusals += 1
            await asyncio.sleep(min(LONGEST_REFUSAL_PAUSE, pause))
            return
        self.refusals = 0
        log_event(
            "item.run_ended",
            job=self.context.job.id,
            item=self.item.id,
            upstream=upstream.id,
            end=end.value,
            events_before=events_before,
            events=len(self.progress.events),
            status=self.progress.last_status,
        )
        if end in (RunOutcome.BROKEN, RunOutcome.SILENT, RunOutcome.SLOW):
            self.avoided = [*self.avoided[1 - MAX_AVOIDED :], upstream.id]
        else:
            await asyncio.sleep(FAILURE_PAUSE)

    def allows(self, upstream: Upstream, route: Route) -> bool:
        """Whether an upstream's weights may go on with the item."""
        specification = self.context.job.specification
        if specification.model is None:
            return True
        view = self.context.dependencies.view
        version = view.get_version(upstream, specification.model)
        if not version or version < specification.minimum_version:
            return False
        if route.requires_single_version and self.progress.events:
            return version == self.progress.events[0].version
        return True

    def load_progress(self, route: Route | None) -> None:
        """Takes over what was stored of the item's text, if its versions fit."""
        specification = self.context.job.specification
        events = self.context.dependencies.store.table.find_progress(
            specification.account, self.item
        )
        versions = {event.version for event in events}
        if not events or min(versions) < specification.minimum_version:
            return
        if route is not None and route.requires_single_version and len(versions) > 1:
            return
        self.progress.events = list(events)
        self.saved = len(self.context.job.get_progress(self.item.id))
        log_event(
            "item.resumed", job=specification.id, item=self.item.id, events=len(events)
        )

    def find_earlier_result(self, route: Route | None) -> ItemResult | None:
        """Finds a result of an earlier job that fits this one."""
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

    def give_up_if_over(self) -> ItemResult | None:
        """Gives the item up if its job's time is over."""
        return self._give_up("over") if self.context.is_over() else None

    def _give_up(self, reason: str) -> ItemResult:
        log_event(
            "item.given_up",
            job=self.context.job.id,
            item=self.item.id,
            reason=reason,
            failures=self.failures,
            runs=",".join(self.runs),
        )
        return ItemResult(self.item.id, ResultState.ABANDONED)

    def _get_only_version(self, route: Route, upstream: Upstream) -> int | None:
        if not route.requires_single_version:
            return None
        if self.progress.events:
            return self.progress.events[0].version
        model = self.context.job.specification.model
        view = self.context.dependencies.view
        return view.get_version(upstream, model) if model else None

    # Scores

    async def _score(self) -> ItemResult:
        text_at = self.context.dependencies.clock()
        score = ""
        call = self.item.score_call
        if call is not None:
            scored = await self._find_score(call)
            if scored is None:
                return self._give_up("score")
            score = scored
        now = self.context.dependencies.clock()
        started_at = self.context.job.started_at
        account = self.context.job.specification.account
        metrics = self.context.dependencies.metrics
        metrics.record_item(account, now - started_at)
        metrics.record_queue_wait(account, self.began_at - started_at)
        log_event(
            "item.done",
            job=self.context.job.id,
            item=self.item.id,
            group=self.item.group,
            waited=self.began_at - started_at,
            text_seconds=text_at - self.began_at,
            score_seconds=now - text_at,
            events=len(self.progress.events),
            expected_tokens=self.item.expected_tokens,
            runs=",".join(self.runs),
        )
        return ItemResult(
            self.item.id,
            ResultState.COMPLETE,
            self.progress.render_text(),
            self.progress.list_version_runs(),
            score,
        )

    async def _find_score(self, call: ScoreCall) -> str | None:
        """Gives the item's score, or None if it is given up."""
        view = self.context.dependencies.view
        failures = 0
        while not self.context.is_over():
            route = view.find_route(call.host, call.path)
            if route is None or not route.services:
                await asyncio.sleep(NO_ROUTE_PAUSE)
                continue
            signature, failed = await self._score_once(call, route)
            if signature:
                return signature
            failures += failed
            own = self.context.last_route
            own_attempts = own.max_attempts if own else 1
            if failures >= max(route.max_attempts, own_attempts):
                return None
            await asyncio.sleep(SCORE_PAUSE)
        return None

    async def _score_once(self, call: ScoreCall, route: Route) -> tuple[str, int]:
        path, _, query = call.path.partition("?")
        request = ClientRequest(
            id=call.id,
            method="POST",
            host=call.host,
            path=path,
            query=query,
            headers=(),
            body=call.body,
        )
        deadline = asyncio.get_running_loop().time() + SCORE_TIME
        planned = RoutedCall(request, route, None, deadline)
        try:
            answer = await self.context.dependencies.sender.send(planned)
        except BuckthornstileError as error:
            log_event(
                "item.score_retry",
                job=self.context.job.id,
                item=self.item.id,
                request=call.id,
                reason=error.message,
            )
            return "", 0
        if 200 <= answer.head.status < 300:
            return answer.head.signature, 0
        return "", int(answer.head.status == 500)
