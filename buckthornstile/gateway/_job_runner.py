"""Runs the items of one batch job that this process owns."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import (
    BuckthornstileError,
    PlatformUnavailableError,
    ServiceName,
    UpstreamId,
)
from buckthornstile.calls import ClientRequest, PlannedCall
from buckthornstile.gateway._calls import CallSender
from buckthornstile.gateway._fleet import Fleet
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._streams import Progress, RunEnd, StreamRunner
from buckthornstile.jobs import (
    ItemResult,
    Job,
    JobItem,
    ResultState,
    ScoreCall,
    encode_result,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import AppendRefusedError, Producer
from buckthornstile.topology import Route, TopologyView, Upstream

NO_UPSTREAM_PAUSE = 0.05
"""Seconds before a place is looked for again."""
FAILURE_PAUSE = 0.05
"""Seconds before an item that failed is run again."""
SCORE_TIME = 2.0
"""Seconds for one call that scores an item."""
SCORE_PAUSE = 0.1
WRITE_PAUSE = 0.012
"""Seconds for which results are gathered into one append."""
WRITE_RETRY = 0.1
MAX_APPEND_BYTES = 1 << 20
GIVE_UP_MARGIN = 0.5
"""Seconds beyond a route's retention after which an item is given up."""


@dataclass(frozen=True, slots=True)
class JobTools:
    """What the runners of all jobs share."""

    view: TopologyView
    fleet: Fleet
    streams: StreamRunner
    sender: CallSender
    store: JobStore
    clock: Callable[[], float]


class JobRunner:
    """Runs one job's items and lists their results.

    Args:
        job: The job, whose claim names this process.
        tools: What all runners share.
        on_end: Called when the runner has ended by itself.
    """

    def __init__(
        self, job: Job, tools: JobTools, on_end: Callable[["JobRunner"], None]
    ) -> None:
        assert job.claim is not None
        self.job = job
        self.tools = tools
        self.epoch = job.claim.epoch
        self.route: Route | None = None
        self.on_end = on_end
        self._sequence = 0
        self._homes: dict[str, UpstreamId] = {}
        self._finished: asyncio.Queue[ItemResult] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Ends all runs; what is not listed is left to others."""
        self._task.cancel()

    async def _run(self) -> None:
        specification = self.job.specification
        log_event(
            "job.run",
            job=self.job.id,
            epoch=self.epoch,
            open=sum(1 for _ in self.job.find_open_items()),
            minimum_version=specification.minimum_version,
        )
        try:
            async with asyncio.TaskGroup() as group:
                writer = group.create_task(self._write_results())
                items = [
                    group.create_task(self._finish_item(item))
                    for item in self.job.find_open_items()
                ]
                if items:
                    await asyncio.wait(items)
                while not self._finished.empty() or not self.job.is_finished():
                    await asyncio.sleep(WRITE_RETRY)
                writer.cancel()
        except* AppendRefusedError as errors:
            reason = errors.exceptions[0]
            log_event("job.lost", job=self.job.id, reason=reason)
        except* Exception as errors:
            log_event("job.failed", job=self.job.id, reason=repr(errors.exceptions[0]))
        finally:
            self.on_end(self)

    # Items

    async def _finish_item(self, item: JobItem) -> None:
        result = self._find_earlier(item)
        if result is None:
            result = await self._run_item(item)
        await self._finished.put(result)

    def _find_earlier(self, item: JobItem) -> ItemResult | None:
        """Finds a result of an earlier job that fits this one."""
        earlier = self.tools.store.table.finished_items.get(item.id)
        if earlier is None or earlier[0] != item:
            return None
        result = earlier[1]
        route = self._find_route()
        if route is None or min(result.versions, default=-1) < self._get_minimum():
            return None
        if route.needs_single_version and len(result.versions) != 1:
            return None
        log_event("item.reused", job=self.job.id, item=item.id)
        return result

    async def _run_item(self, item: JobItem) -> ItemResult:
        progress = Progress()
        text = await self._make_text(item, progress)
        if text is None:
            return ItemResult(item.id, ResultState.ABANDONED)
        score = ""
        if item.score_call is not None:
            scored = await self._score(item, item.score_call)
            if scored is None:
                return ItemResult(item.id, ResultState.ABANDONED)
            score = scored
        return ItemResult(
            item.id, ResultState.COMPLETE, text, progress.list_versions(), score
        )

    async def _make_text(self, item: JobItem, progress: Progress) -> str | None:
        """Runs an item until its text is whole; None if it is given up."""
        failures = 0
        avoided: list[UpstreamId] = []
        while not self._is_over():
            route = self._find_route()
            upstream = self._choose_upstream(item, route, progress, avoided)
            if route is None or upstream is None:
                await asyncio.sleep(NO_UPSTREAM_PAUSE)
                continue
            started = len(progress.events)
            end = await self.tools.streams.run(
                item,
                upstream,
                progress,
                host=route.host,
                account=self.job.specification.account,
                urgency=self._get_urgency(item, route),
                minimum_version=self._get_minimum(),
                version=self._get_only_version(route, upstream, progress),
            )
            if end is RunEnd.COMPLETE:
                return progress.render_text()
            self._log_run(item, upstream, end, started, progress)
            if end is RunEnd.IMPOSSIBLE:
                return None
            if end is RunEnd.FAILED:
                failures += 1
                if failures >= max(1, route.max_attempts):
                    return None
                await asyncio.sleep(FAILURE_PAUSE)
            elif end in (RunEnd.BROKEN, RunEnd.SILENT):
                avoided = [*avoided[-1:], upstream.id]
            elif end is RunEnd.TOO_OLD:
                seen = self.tools.fleet.get(upstream)
                model = self.job.specification.model
                if model is not None:
                    seen.version_floor[model] = self._get_minimum()
                await asyncio.sleep(NO_UPSTREAM_PAUSE)
            else:
                self._homes.pop(item.group, None)
                await asyncio.sleep(NO_UPSTREAM_PAUSE / 2)
        return None

    def _log_run(
        self,
        item: JobItem,
        upstream: Upstream,
        end: RunEnd,
        started: int,
        progress: Progress,
    ) -> None:
        if end is RunEnd.REFUSED:
            return
        log_event(
            "item.run_ended",
            job=self.job.id,
            item=item.id,
            upstream=upstream.id,
            end=end.value,
            events_before=started,
            events=len(progress.events),
        )

    def _choose_upstream(
        self,
        item: JobItem,
        route: Route | None,
        progress: Progress,
        avoided: list[UpstreamId],
    ) -> Upstream | None:
        if route is None or not route.services:
            return None
        service = self._choose_service(route)
        home = self._homes.get(item.group)
        upstream = self.tools.fleet.choose(
            service,
            avoided=avoided,
            allows=lambda one: self._allows(one, route, progress),
            preferred=home,
        )
        if upstream is not None and item.group and not avoided:
            self._homes[item.group] = upstream.id
        return upstream

    def _choose_service(self, route: Route) -> ServiceName:
        return self.tools.sender.choose_service(route)

    def _allows(self, upstream: Upstream, route: Route, progress: Progress) -> bool:
        model = self.job.specification.model
        if model is None or model not in upstream.versions:
            return model is None
        version = upstream.versions[model]
        if version < self._get_minimum():
            return False
        if route.needs_single_version and progress.events:
            return version == progress.events[0].version
        return True

    def _get_only_version(
        self, route: Route, upstream: Upstream, progress: Progress
    ) -> int | None:
        if not route.needs_single_version:
            return None
        if progress.events:
            return progress.events[0].version
        model = self.job.specification.model
        return upstream.versions.get(model) if model else None

    def _get_minimum(self) -> int:
        return self.job.specification.minimum_version

    def _get_urgency(self, item: JobItem, route: Route) -> int:
        """Gives what its route's rank and its group's place ask for."""
        groups = list(dict.fromkeys(one.group for one in self.job.items.values()))
        wanted = self.job.specification.wanted_groups or len(groups)
        is_spare = groups.index(item.group) >= wanted
        return min(9, 2 * route.priority + 2 * is_spare)

    def _find_route(self) -> Route | None:
        specification = self.job.specification
        route = self.tools.view.find_route(
            specification.host, specification.path_prefix
        )
        if route is not None:
            self.route = route
        return route

    def _is_over(self) -> bool:
        """Whether open items may be given up."""
        if self.job.ended:
            return True
        retention = self.route.retention if self.route else 0.0
        if not retention:
            return False
        age = self.tools.clock() - self.job.started_at
        return age > retention + GIVE_UP_MARGIN

    # Scores

    async def _score(self, item: JobItem, call: ScoreCall) -> str | None:
        """Gives an item's score, or None if it is given up."""
        failures = 0
        while not self._is_over():
            route = self.tools.view.find_route(call.host, call.path)
            if route is None or not route.services:
                await asyncio.sleep(NO_UPSTREAM_PAUSE)
                continue
            signature, failed = await self._score_once(item, call, route)
            if signature:
                return signature
            failures += failed
            own_attempts = self.route.max_attempts if self.route else 1
            if failures >= max(route.max_attempts, own_attempts):
                log_event("item.score_failed", job=self.job.id, item=item.id)
                return None
            await asyncio.sleep(SCORE_PAUSE)
        return None

    async def _score_once(
        self, item: JobItem, call: ScoreCall, route: Route
    ) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
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
        planned = PlannedCall(request, route, None, loop.time() + SCORE_TIME)
        try:
            answer = await self.tools.sender.send(planned)
        except BuckthornstileError as error:
            log_event(
                "item.score_retry",
                job=self.job.id,
                item=item.id,
                request=call.id,
                reason=error.message,
            )
            return "", 0
        if 200 <= answer.head.status < 300:
            return answer.head.signature, 0
        return "", int(answer.head.status == 500)

    # Results

    async def _write_results(self) -> None:
        while True:
            results = [await self._finished.get()]
            await asyncio.sleep(WRITE_PAUSE)
            size = 0
            while not self._finished.empty() and size < MAX_APPEND_BYTES:
                results.append(self._finished.get_nowait())
                size += len(results[-1].text)
            await self._append(results)

    async def _append(self, results: list[ItemResult]) -> None:
        records = [
            record
            for result in results
            for record in encode_result(
                self.job.id, result, self.tools.store.max_record_bytes
            )
        ]
        self._sequence += 1
        producer = Producer(self.job.id, self.epoch, self._sequence)
        while True:
            try:
                await self.tools.store.append_once(self.job, records, producer)
            except PlatformUnavailableError as error:
                log_event("job.append_retry", job=self.job.id, reason=error.message)
                await asyncio.sleep(WRITE_RETRY)
                continue
            log_event(
                "job.results_stored",
                job=self.job.id,
                epoch=self.epoch,
                sequence=self._sequence,
                items=",".join(result.item for result in results),
            )
            return
