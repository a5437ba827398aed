"""Runs the items of a batch job that this process owns."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Iterator, Sequence

from buckthornstile.base import PlatformUnavailableError, ServiceName, UpstreamId
from buckthornstile.gateway._item_execution import ItemExecution
from buckthornstile.gateway._job_context import JobContext, JobDependencies
from buckthornstile.gateway._job_source import JobSource
from buckthornstile.gateway._request_profiles import make_item_profile
from buckthornstile.gateway._upstream_stats import Permit
from buckthornstile.jobs import (
    ItemId,
    ItemResult,
    Job,
    JobItem,
    JobRecord,
    ProgressCheckpoint,
    encode_result,
)
from buckthornstile.logs import log_event
from buckthornstile.placement import RequestProfile
from buckthornstile.platform import AppendConflictError, Producer
from buckthornstile.topology import Route, Upstream

CAPACITY_POLL_INTERVAL = 0.025
"""Seconds before pending items are checked again for a free upstream."""
RESULT_BATCH_DELAY = 0.012
"""Seconds for which results are collected into one append."""
APPEND_RETRY_DELAY = 0.1
"""Seconds before a failed append is retried."""
END_POLL_INTERVAL = 0.1
"""Seconds between two checks of whether the job is finished."""
MAX_APPEND_BYTES = 1 << 20
"""Bytes of results or progress in one append; the store accepts twice as many."""
MAX_URGENCY = 9
"""The least urgent value that an upstream accepts."""
CHECKPOINT_INTERVAL = 0.6
"""Seconds between two checks for progress that should be stored."""
MIN_CHECKPOINT_EVENTS = 8
"""Minimum number of new events of an item for its progress to be stored."""
SPARE_GROUP_URGENCY = 3
"""Added to the urgency of items in groups beyond those the trainer waits for."""


class JobRunner:
    """Runs the items of a job and stores their results.

    Args:
        job: The job; its claim names this process as the owner.
        dependencies: Dependencies that all runners share.
        on_end: Called when the runner has ended, also after a failure or a stop.
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
        self.context = JobContext(job, dependencies, self.epoch)
        self.on_end = on_end
        self._sequence = 0
        groups = dict.fromkeys(item.group for item in job.items.values())
        self._group_positions = {
            group: position for position, group in enumerate(groups)
        }
        self._preferred_upstreams: dict[str, UpstreamId] = {}
        self._prefix_holders: dict[str, set[UpstreamId]] = {}
        self._profiles: dict[tuple[ItemId, str, ServiceName], RequestProfile] = {}
        self._result_states = {result.item: result.state for result in job.results}
        self._source: JobSource | None = None
        self._group: asyncio.TaskGroup | None = None
        self._executions: list[ItemExecution] = []
        self._pending: list[ItemExecution] = []
        self.is_held = False
        self._append_lock = asyncio.Lock()
        # Overlapping checkpoints could append the records of one item out of order.
        self._checkpoint_lock = asyncio.Lock()
        self._changed = asyncio.Event()
        self._results: asyncio.Queue[ItemResult] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancels all runs; other processes run the items that have no result yet."""
        self._task.cancel()

    def count_waiting(self, service: ServiceName) -> int:
        """Returns the number of items that wait to be sent to a service."""
        route = self.context.find_route()
        names = [name for name, _ in route.services] if route is not None else []
        return len(self._pending) if service in names else 0

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
                    group.create_task(self._checkpoint_periodically()),
                ]
                self._group = group
                try:
                    await self._run_items()
                finally:
                    # A group that has failed accepts no more tasks.
                    self._group = None
                while not self.job.is_finished():
                    await asyncio.sleep(END_POLL_INTERVAL)
                for writer in writers:
                    writer.cancel()
        except* AppendConflictError as errors:
            log_event("job.lost", job=self.job.id, reason=errors.exceptions[0])
        except* Exception as errors:
            log_event("job.failed", job=self.job.id, reason=repr(errors.exceptions[0]))
        finally:
            if self._source is not None:
                self.dependencies.scheduler.remove(self._source)
            self.on_end(self)

    # Items

    async def _run_items(self) -> None:
        """Starts items whenever upstreams have capacity, until all are finished."""
        self._executions = [
            self._create_execution(item) for item in self.job.iterate_pending_items()
        ]
        self._executions.sort(key=lambda execution: execution.rank)
        self._pending = list(self._executions)
        item_count = len(self._pending)
        finished_before = len(self._result_states)
        scheduler = self.dependencies.scheduler
        self._source = JobSource(
            self.context,
            self._executions,
            self._pending,
            self._result_states,
            start=self._start,
            is_open=lambda: not self._task.cancelling() and not self.is_held,
        )
        scheduler.add(self._source)
        while len(self._result_states) - finished_before < item_count:
            is_changed = self._changed.is_set()
            route = self.context.find_route()
            is_shared = scheduler.is_shared(route)
            self._update_hold()
            for execution in list(self._pending):
                if self.is_held:
                    # Neither the route nor the records may be recent enough to decide.
                    break
                result = (
                    execution.find_earlier_result(route)
                    or execution.abandon_if_expired()
                )
                if result is not None:
                    self._pending.remove(execution)
                    self._finish(result)
                elif not is_shared:
                    self._start(execution, route)
            if is_shared:
                self._source.stop_spare_runs()
                scheduler.start_waiting(is_changed=is_changed)
            await self._wait_for_change()
        scheduler.remove(self._source)

    def _update_hold(self) -> None:
        """Holds the waiting items back while none of them may be sent."""
        reason = self.context.find_refusal_reason()
        if bool(reason) == self.is_held:
            return
        self.is_held = bool(reason)
        if reason:
            log_event("job.held", job=self.job.id, epoch=self.epoch, reason=reason)
        else:
            log_event("job.released", job=self.job.id, epoch=self.epoch)

    def _finish(self, result: ItemResult) -> None:
        self._result_states[result.item] = result.state
        self._results.put_nowait(result)

    def _start(self, execution: ItemExecution, route: Route | None) -> bool:
        """Starts a pending item if an upstream may run it; returns whether it did."""
        if self._group is None:
            return False
        upstream = self._choose_upstream(execution, route)
        if upstream is None or route is None:
            return False
        self._pending.remove(execution)
        balancer = self.dependencies.balancer
        balancer.rate_limits.record_request(upstream.service)
        profile = self._make_profile(execution, route, upstream.service)
        permit = balancer.acquire_permit(
            upstream, profile, body_bytes=len(execution.item.body)
        )
        task = self._group.create_task(
            self._run_item(execution, upstream, route, permit)
        )
        task.add_done_callback(permit.release_when_done)
        return True

    async def _run_item(
        self, execution: ItemExecution, upstream: Upstream, route: Route, permit: Permit
    ) -> None:
        result = await execution.run(upstream, route, permit)
        if result is None:
            self._pending.append(execution)
            self._pending.sort(key=lambda waiting: waiting.rank)
        else:
            self._finish(result)
        self._changed.set()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                CAPACITY_POLL_INTERVAL if self._pending else END_POLL_INTERVAL
            ):
                await self._changed.wait()

    def _create_execution(self, item: JobItem) -> ItemExecution:
        """Creates the execution of an item, with its rank and urgency.

        Items that the trainer waits for rank first; among these, the longest.
        """
        position = self._group_positions[item.group]
        required_group_count = self.job.specification.wanted_groups or len(
            self._group_positions
        )
        is_spare_group = position >= required_group_count
        route = self.context.find_route()
        urgency = self.context.get_priority() + 1 + SPARE_GROUP_URGENCY * is_spare_group
        urgency = min(MAX_URGENCY, max(0, urgency))
        rank = (int(is_spare_group), -item.expected_tokens, position)
        checkpoint = ProgressCheckpoint(
            self.job.id, item.id, self.dependencies.store.max_record_bytes
        )
        execution = ItemExecution(item, self.context, rank, urgency, checkpoint)
        execution.load_progress(route)
        return execution

    def _choose_upstream(
        self, execution: ItemExecution, route: Route | None
    ) -> Upstream | None:
        if route is None or not route.services:
            return None
        execution.discard_unusable_progress(route)
        service = self.dependencies.sender.choose_service(route)
        if self._source is not None and self.dependencies.shares.is_in_effect(service):
            return self._source.choose_upstream(execution, route, service)
        balancer = self.dependencies.balancer
        group = execution.item.group
        upstream = balancer.pick(
            service,
            avoided=execution.avoided,
            is_eligible=lambda candidate: (
                execution.is_eligible(candidate, route)
                and balancer.has_capacity(candidate)
            ),
            preferred=self._preferred_upstreams.get(group),
            profile=self._make_profile(execution, route, service),
            is_deferrable=True,
            prefix_holders=self._prefix_holders.get(group, ()),
            body_bytes=len(execution.item.body),
        )
        if upstream is not None and group and not execution.avoided:
            self._preferred_upstreams.setdefault(group, upstream.id)
        if upstream is not None and group:
            self._prefix_holders.setdefault(group, set()).add(upstream.id)
        return upstream

    def _make_profile(
        self, execution: ItemExecution, route: Route, service: ServiceName
    ) -> RequestProfile:
        # Waiting items are checked for a free upstream many times a second.
        key = (execution.item.id, route.name, service)
        profile = self._profiles.get(key)
        if profile is None:
            account = self.job.specification.account
            profile = make_item_profile(execution.item, route, account, service)
            self._profiles[key] = profile
        return profile

    # Results

    async def _write_results(self) -> None:
        while True:
            results = [await self._results.get()]
            await asyncio.sleep(RESULT_BATCH_DELAY)
            size = 0
            while not self._results.empty() and size < MAX_APPEND_BYTES:
                results.append(self._results.get_nowait())
                size += len(results[-1].text)
            await self._store_results(results)

    async def _checkpoint_periodically(self) -> None:
        """Stores the progress of long items periodically, for the next owner."""
        while True:
            await asyncio.sleep(CHECKPOINT_INTERVAL)
            await self.checkpoint(MIN_CHECKPOINT_EVENTS)

    async def checkpoint(self, min_events: int) -> None:
        """Stores the new events of items that have at least ``min_events`` of them."""
        async with self._checkpoint_lock:
            records = [
                record
                for execution in self._executions
                if execution.item.id not in self.job.positions
                for record in execution.checkpoint.make_records(
                    execution.progress.make_snapshot(), min_events
                )
            ]
            groups = ([record] for record in records)
            for batch in split_groups(groups, MAX_APPEND_BYTES):
                await self._append(batch)

    async def _store_results(self, results: list[ItemResult]) -> None:
        for batch in split_groups(map(self._encode_result, results), MAX_APPEND_BYTES):
            await self._append(batch)
        log_event(
            "job.results_stored",
            job=self.job.id,
            epoch=self.epoch,
            sequence=self._sequence,
            items=",".join(result.item for result in results),
        )

    def _encode_result(self, result: ItemResult) -> list[JobRecord]:
        """Returns the records of a result, and those that delete its progress."""
        max_record_bytes = self.dependencies.store.max_record_bytes
        records = encode_result(self.job.id, result, max_record_bytes)
        progress_keys = self.job.list_progress_keys(result.item)
        return records + [JobRecord(key, b"") for key in progress_keys]

    async def _append(self, records: list[JobRecord]) -> None:
        async with self._append_lock:
            await self._append_next(records)

    async def _append_next(self, records: list[JobRecord]) -> None:
        self._sequence += 1
        producer = Producer(self.job.id, self.epoch, self._sequence)
        while True:
            try:
                await self.dependencies.store.append_once(self.job, records, producer)
            except PlatformUnavailableError as error:
                log_event("job.append_retry", job=self.job.id, reason=error.message)
                await asyncio.sleep(APPEND_RETRY_DELAY)
                continue
            return


def split_groups(
    groups: Iterable[Sequence[JobRecord]], max_bytes: int
) -> Iterator[list[JobRecord]]:
    """Joins groups of records into batches of at most ``max_bytes``.

    A group is never divided; one that is larger than that is a batch of its own.

    Example:
        >>> groups = [[JobRecord("a", b"12")], [JobRecord("b", b"3")]]
        >>> [len(batch) for batch in split_groups(groups, 4)]
        [1, 1]
        >>> [len(batch) for batch in split_groups(groups, 5)]
        [2]
    """
    batch: list[JobRecord] = []
    size = 0
    for group in groups:
        group_size = sum(len(record.key) + len(record.value) for record in group)
        if batch and size + group_size > max_bytes:
            yield batch
            batch, size = [], 0
        batch.extend(group)
        size += group_size
    if batch:
        yield batch
