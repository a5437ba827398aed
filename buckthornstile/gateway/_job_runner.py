"""Runs the items of one batch job that this process owns."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Sequence

from buckthornstile.base import PlatformUnavailableError, UpstreamId
from buckthornstile.gateway._item_execution import (
    ItemExecution,
    JobContext,
    JobDependencies,
)
from buckthornstile.gateway._load_balancer import Permit
from buckthornstile.jobs import (
    ItemResult,
    Job,
    JobItem,
    JobRecord,
    encode_progress,
    encode_result,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import AppendConflictError, Producer
from buckthornstile.topology import Route, Upstream

PLACE_POLL = 0.025
"""Seconds before a place is looked for again."""
WRITE_PAUSE = 0.012
"""Seconds for which results are gathered into one append."""
WRITE_RETRY = 0.1
END_POLL = 0.1
MAX_APPEND_BYTES = 1 << 20
"""Bytes of results or progress in one append; the store takes twice that."""
MAX_URGENCY = 9
SAVE_PERIOD = 0.6
"""Seconds between two looks for progress that should be stored."""
SAVE_EVENTS = 8
"""New events of an item that are worth an append of their own."""
RECORD_EVENTS = 50
"""Events in one record, to stay well under the longest record."""
SPARE_URGENCY = 3
"""Added for items of groups beyond those that the trainer waits for."""


class JobRunner:
    """Runs one job's items and lists their results.

    Args:
        job: The job, whose claim names this process.
        dependencies: What all runners share.
        on_end: Called when the runner has ended by itself.
    """

    def __init__(
        self,
        job: Job,
        dependencies: JobDependencies,
        on_end: Callable[["JobRunner"], None],
    ) -> None:
        assert job.claim is not None
        self.job = job
        self.dependencies = dependencies
        self.epoch = job.claim.epoch
        self.context = JobContext(job, dependencies)
        self.on_end = on_end
        self._sequence = 0
        groups = dict.fromkeys(item.group for item in job.items.values())
        self._places = {group: place for place, group in enumerate(groups)}
        self._homes: dict[str, UpstreamId] = {}
        self._works: list[ItemExecution] = []
        self._waiting: list[ItemExecution] = []
        self._writing = asyncio.Lock()
        self._changed = asyncio.Event()
        self._finished: asyncio.Queue[ItemResult] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Ends all runs; what is not listed is left to others."""
        self._task.cancel()

    async def _run(self) -> None:
        log_event(
            "job.run",
            job=self.job.id,
            epoch=self.epoch,
            open=sum(1 for _ in self.job.iterate_pending_items()),
            minimum_version=self.job.specification.minimum_version,
        )
        try:
            async with asyncio.TaskGroup() as group:
                writers = [
                    group.create_task(self._write_results()),
                    group.create_task(self._save_progress()),
                ]
                await self._start_items(group)
                while not self.job.is_finished():
                    await asyncio.sleep(END_POLL)
                for writer in writers:
                    writer.cancel()
        except* AppendConflictError as errors:
            log_event("job.lost", job=self.job.id, reason=errors.exceptions[0])
        except* Exception as errors:
            log_event("job.failed", job=self.job.id, reason=repr(errors.exceptions[0]))
        finally:
            self.on_end(self)

    # Items

    async def _start_items(self, group: asyncio.TaskGroup) -> None:
        """Starts items as places become free, until all are finished."""
        self._works = [
            self._make_work(item) for item in self.job.iterate_pending_items()
        ]
        self._works.sort(key=lambda work: work.rank)
        self._waiting = list(self._works)
        open_items = len(self._waiting)
        done = 0

        async def run(
            work: ItemExecution, upstream: Upstream, route: Route, place: Permit
        ) -> None:
            nonlocal done
            result = await work.run(upstream, route, place)
            if result is None:
                self._waiting.append(work)
                self._waiting.sort(key=lambda one: one.rank)
            else:
                done += 1
                self._finished.put_nowait(result)
            self._changed.set()

        while done < open_items:
            route = self.context.find_route()
            for work in list(self._waiting):
                result = work.find_earlier_result(route) or work.give_up_if_over()
                if result is not None:
                    self._waiting.remove(work)
                    self._finished.put_nowait(result)
                    done += 1
                    continue
                upstream = self._choose_upstream(work, route)
                if upstream is not None and route is not None:
                    self._waiting.remove(work)
                    place = self.dependencies.balancer.acquire_permit(upstream)
                    task = group.create_task(run(work, upstream, route, place))
                    task.add_done_callback(place.release_when_done)
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PLACE_POLL if self._waiting else END_POLL):
                await self._changed.wait()

    def _make_work(self, item: JobItem) -> ItemExecution:
        """Ranks an item: what is waited for first, then what takes longest."""
        place = self._places[item.group]
        wanted = self.job.specification.wanted_groups or len(self._places)
        is_spare = place >= wanted
        route = self.context.find_route()
        priority = route.priority if route else 0
        urgency = min(MAX_URGENCY, priority + 1 + SPARE_URGENCY * is_spare)
        rank = (int(is_spare), -item.expected_tokens, place)
        work = ItemExecution(item, self.context, rank, urgency)
        work.load_progress(route)
        return work

    def _choose_upstream(
        self, work: ItemExecution, route: Route | None
    ) -> Upstream | None:
        if route is None or not route.services:
            return None
        balancer = self.dependencies.balancer
        group = work.item.group
        upstream = balancer.pick(
            self.dependencies.sender.choose_service(route),
            avoided=work.avoided,
            is_eligible=lambda one: (
                work.allows(one, route) and balancer.has_capacity(one)
            ),
            preferred=self._homes.get(group),
        )
        if upstream is not None and group and not work.avoided:
            self._homes.setdefault(group, upstream.id)
        return upstream

    # Results

    async def _write_results(self) -> None:
        while True:
            results = [await self._finished.get()]
            await asyncio.sleep(WRITE_PAUSE)
            size = 0
            while not self._finished.empty() and size < MAX_APPEND_BYTES:
                results.append(self._finished.get_nowait())
                size += len(results[-1].text)
            await self._list(results)

    async def _save_progress(self) -> None:
        """Stores what long items have made, for the owner's successor."""
        while True:
            await asyncio.sleep(SAVE_PERIOD)
            await self.checkpoint(SAVE_EVENTS)

    async def checkpoint(self, least_events: int) -> None:
        """Stores the new events of items that have made so many."""
        records = []
        for work in self._works:
            events = work.progress.events
            is_listed = work.item.id in self.job.positions
            if is_listed or len(events) - work.saved < least_events:
                continue
            while work.saved < len(events):
                new = events[work.saved : work.saved + RECORD_EVENTS]
                records.append(
                    encode_progress(self.job.id, work.item.id, work.saved, new)
                )
                work.saved += len(new)
        for batch in split_records(records, MAX_APPEND_BYTES):
            await self._append(batch)

    async def _list(self, results: list[ItemResult]) -> None:
        records = [
            record
            for result in results
            for record in encode_result(
                self.job.id, result, self.dependencies.store.max_record_bytes
            )
        ]
        records += [
            JobRecord(key, b"")
            for result in results
            for key in self.job.list_progress_keys(result.item)
        ]
        await self._append(records)
        log_event(
            "job.results_stored",
            job=self.job.id,
            epoch=self.epoch,
            sequence=self._sequence,
            items=",".join(result.item for result in results),
        )

    async def _append(self, records: list[JobRecord]) -> None:
        async with self._writing:
            await self._append_next(records)

    async def _append_next(self, records: list[JobRecord]) -> None:
        self._sequence += 1
        producer = Producer(self.job.id, self.epoch, self._sequence)
        while True:
            try:
                await self.dependencies.store.append_once(self.job, records, producer)
            except PlatformUnavailableError as error:
                log_event("job.append_retry", job=self.job.id, reason=error.message)
                await asyncio.sleep(WRITE_RETRY)
                continue
            return


def split_records(
    records: Sequence[JobRecord], max_bytes: int
) -> Iterator[list[JobRecord]]:
    """Splits records into batches of bounded size; one record always fits.

    Example:
        >>> records = [JobRecord("a", b"12"), JobRecord("b", b"3"), JobRecord("c", b"")]
        >>> [len(batch) for batch in split_records(records, 4)]
        [1, 2]
    """
    batch: list[JobRecord] = []
    size = 0
    for record in records:
        length = len(record.key) + len(record.value)
        if batch and size + length > max_bytes:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += length
    if batch:
        yield batch
