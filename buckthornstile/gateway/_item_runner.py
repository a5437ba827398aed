"""Runs one item of a batch job at one upstream and collects its events."""

import asyncio
from collections import deque
from collections.abc import Callable

from buckthornstile.base import AccountId, BuckthornstileError
from buckthornstile.gateway._call_sender import is_check_error
from buckthornstile.gateway._item_progress import (
    UNTIMED_OUTCOMES,
    ItemProgress,
    RunOutcome,
)
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.gateway._upstream_stats import Permit
from buckthornstile.http_client import ConnectionPool, HTTPResponse
from buckthornstile.jobs import JobItem
from buckthornstile.logs import log_event
from buckthornstile.messages import ResponseHead, StreamEvent, UpstreamCall
from buckthornstile.platform import (
    UpstreamEventParser,
    decode_response_head,
    encode_upstream_call,
)
from buckthornstile.topology import ModelName, Upstream

FIRST_EVENT_TIMEOUT = 1.2
"""Seconds without a first event after which a run times out."""
EVENT_TIMEOUT = 0.6
"""Seconds without a further event after which a run times out."""
LATENCY_WINDOW_EVENTS = 4
"""Number of latest events over which the latency of a run is averaged."""
MAX_MIGRATIONS = 3
"""Maximum number of times that one item is moved from a slow upstream to another."""
NO_VERSION = -1
"""Version assumed for a response that names no version."""
RUN_TIMEOUT = 10.0
"""Remaining time that is stated to an upstream for one run, in seconds."""
MIN_EVENT_LIMIT = 4096
"""Number of events that each item may have, however few tokens it states."""
MAX_TEXT_LENGTH = 1 << 20
"""Maximum number of characters of an item's text; a longer one fits no append to the
store, and no page of results."""
REFUSAL_BACKOFF_TIME = 0.08
"""Seconds for which an upstream is avoided after it refused a run."""


class ItemRunner:
    """Runs items at upstreams.

    Args:
        balancer: Records the load, latency and failures of upstreams.
        pool: Connections to the upstreams.
    """

    def __init__(self, balancer: LoadBalancer, pool: ConnectionPool) -> None:
        self.balancer = balancer
        self.pool = pool

    async def run(
        self,
        item: JobItem,
        upstream: Upstream,
        progress: ItemProgress,
        permit: Permit,
        *,
        host: str,
        account: AccountId,
        urgency: int,
        minimum_version: int,
        model: ModelName | None,
        version: int | None,
        requires_single_version: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> RunOutcome:
        """Runs an item at an upstream, continuing after its last event.

        Args:
            item: The item.
            upstream: The upstream that runs the item.
            progress: Events of earlier runs; new events are appended as they arrive.
            permit: The permit of this run at the upstream.
            host: The host of the job's route.
            account: The client account that the item runs for.
            urgency: Urgency at the upstream, from 0 (most urgent) to 9.
            minimum_version: Oldest version whose events are accepted.
            model: The model that runs the item, or None.
            version: The only version that may run the item, or None for any.
            requires_single_version: Whether the run must end before an event of
                another version than the first event's.
            before_send: Called just before the item is sent; raises if it must not be.

        Returns:
            The outcome of the run.
        """
        call = UpstreamCall(
            id=item.id,
            method="POST",
            host=host,
            target=item.path,
            headers=item.headers,
            body=item.body,
            upstream=upstream.id,
            remaining_time=RUN_TIMEOUT,
            account=account,
            urgency=urgency,
            last_event_id=progress.get_last_event_id(),
            version=version,
        )
        # An event holds at least one token.
        max_events = max(item.tokens, MIN_EVENT_LIMIT)
        run = _Run(
            self,
            upstream,
            progress,
            permit,
            minimum_version=minimum_version,
            model=model,
            max_events=max_events,
            requires_single_version=requires_single_version,
        )
        progress.stop = run.stop
        try:
            outcome = await run.execute(call, before_send)
            run.record_work(outcome)
            return outcome
        except asyncio.CancelledError:
            run.record_work(None)
            raise
        finally:
            progress.stop = None
            self.pool.limit.release(run)


class _Run:
    def __init__(
        self,
        runner: ItemRunner,
        upstream: Upstream,
        progress: ItemProgress,
        permit: Permit,
        *,
        minimum_version: int,
        model: ModelName | None,
        max_events: int,
        requires_single_version: bool,
    ) -> None:
        self.requires_single_version = requires_single_version
        self.model = model
        self.max_events = max_events
        self.permit = permit
        self.runner = runner
        self.upstream = upstream
        self.progress = progress
        self.minimum_version = minimum_version
        self.head: ResponseHead | None = None
        self.parser: UpstreamEventParser | None = None
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.last_event_at = self.first_event_at = self.started_at
        self.slow_since: float | None = None
        self.event_count = 0
        self.text_length = sum(len(event.data) for event in progress.events)
        self.is_stale = self.is_broken = self.is_slow = False
        self.is_too_long = self.has_other_version = self.is_stopped = False
        self.event_times: deque[float] = deque(maxlen=LATENCY_WINDOW_EVENTS + 1)
        self.status = 0
        self.task: asyncio.Task[HTTPResponse] | None = None

    async def execute(
        self, call: UpstreamCall, before_send: Callable[[], None] | None
    ) -> RunOutcome:
        self.task = asyncio.create_task(
            self.runner.pool.send(
                self.upstream.address,
                encode_upstream_call(call),
                on_headers=self._on_headers,
                on_data=self._on_data,
                before_send=before_send,
            )
        )
        try:
            outcome = self._get_last_decision(await self._wait_for_end())
        finally:
            if not self.task.done():
                self.task.cancel()
                await asyncio.wait({self.task})
            elif not self.task.cancelled():
                self.task.exception()
        return outcome

    async def _wait_for_end(self) -> bool:
        """Waits for the end of the run; returns whether the run timed out."""
        assert self.task is not None
        while True:
            event_timeout = EVENT_TIMEOUT if self.event_count else FIRST_EVENT_TIMEOUT
            remaining = self.last_event_at + event_timeout - self.loop.time()
            if remaining <= 0:
                return True
            done, _ = await asyncio.wait({self.task}, timeout=remaining)
            if done:
                return False

    def _on_headers(self, response: HTTPResponse) -> None:
        self.head = decode_response_head(response)
        self.runner.balancer.record_head(self.upstream, self.head, self.permit)
        if self.head.status != 200 or self.head.is_refusal:
            return
        if self.head.has_content_encoding:
            self._mark_broken()
            return
        if self.head.version is None:
            # A version may be missing only if the response has no events.
            self.parser = UpstreamEventParser(NO_VERSION)
            return
        if self.model is not None:
            self.runner.balancer.view.record_versions(
                self.upstream.id,
                self.upstream.started_at_ms,
                {self.model: self.head.version},
            )
        if self.head.version < self.minimum_version:
            self.is_stale = True
            self._cancel()
            return
        self.parser = UpstreamEventParser(self.head.version)

    def _on_data(self, chunk: bytes) -> None:
        if self.parser is None or self.is_broken or self.has_other_version:
            return
        self.runner.pool.limit.grow(self, len(chunk))
        if self.is_too_long:
            return
        try:
            events = self.parser.feed(chunk)
        except ValueError:
            self._mark_broken()
            return
        for event, _ in events:
            self._on_event(event)

    def _on_event(self, event: StreamEvent) -> None:
        last_event_id = self.progress.get_last_event_id()
        is_next = last_event_id is None or event.id == last_event_id + 1
        if self.has_other_version:
            return
        if self.is_broken or not is_next or event.version == NO_VERSION:
            self._mark_broken()
            return
        events = self.progress.events
        if (
            self.requires_single_version
            and events
            and event.version != events[0].version
        ):
            self.has_other_version = True
            self._cancel()
            return
        self.text_length += len(event.data)
        if len(events) >= self.max_events or self.text_length > MAX_TEXT_LENGTH:
            self.abort(f"{len(events)} events with {self.text_length} characters")
            return
        now = self.loop.time()
        if not self.event_count:
            self.first_event_at = now
        else:
            self.runner.balancer.record_latency(self.upstream, now - self.last_event_at)
        self.runner.balancer.record_activity(self.upstream)
        self.last_event_at = now
        self.event_times.append(now)
        self.event_count += 1
        events.append(event)
        self._check_latency(now)

    def _check_latency(self, now: float) -> None:
        """Cancels the run if a free upstream would be much faster.

        With placement by work, the run is moved only if it would be complete clearly
        earlier.
        """
        times = self.event_times
        if (
            len(times) <= LATENCY_WINDOW_EVENTS
            or self.progress.migrations >= MAX_MIGRATIONS
        ):
            return
        latency = (now - times[0]) / LATENCY_WINDOW_EVENTS
        balancer = self.runner.balancer
        if not balancer.is_slow(self.upstream, latency):
            # Without a free peer to compare with, the slow period may go on.
            if balancer.compute_peer_latency(self.upstream) is not None:
                self.slow_since = None
            return
        if self.slow_since is None:
            self.slow_since = times[0]
        if balancer.placement.should_move(
            self.upstream.service,
            self.permit.work,
            done_events=len(self.progress.events),
            latency=latency,
            peer_latency=balancer.compute_peer_latency(self.upstream),
            slow_time=now - self.slow_since,
            now=balancer.clock(),
        ):
            self.progress.migrations += 1
            self.is_slow = True
            self._cancel()

    def record_work(self, outcome: RunOutcome | None) -> None:
        """Records the run's time; ``outcome`` is None if the run was cancelled."""
        balancer, count = self.runner.balancer, self.event_count
        seconds = self.loop.time() - self.started_at
        if outcome is not RunOutcome.COMPLETE:
            if outcome not in UNTIMED_OUTCOMES:
                balancer.record_censored(self.upstream, self.permit, seconds)
            return
        pace = None
        if count > LATENCY_WINDOW_EVENTS:
            pace = (self.last_event_at - self.first_event_at) / (count - 1)
        # An item that was resumed has done only a part of its work in this run.
        work_seconds = seconds * len(self.progress.events) / max(1, count)
        balancer.record_completed(
            self.upstream, self.permit, seconds, work_seconds=work_seconds, pace=pace
        )

    def abort(self, reason: str) -> None:
        """Discards all events of the item: it is not known which of them are sound."""
        log_event("item.too_long", upstream=self.upstream.id, reason=reason)
        self.is_too_long = True
        self.progress.events = []
        self._mark_broken()

    def stop(self) -> None:
        """Ends the run unless its response is complete; its events are kept."""
        if self.task is not None and not self.task.done():
            self.is_stopped = True
            self._cancel()

    def _mark_broken(self) -> None:
        self.is_broken = True
        self._cancel()

    def _cancel(self) -> None:
        assert self.task is not None
        self.task.cancel()

    def _get_last_decision(self, is_timed_out: bool) -> RunOutcome:
        balancer, task = self.runner.balancer, self.task
        assert task is not None
        if self.is_stale:
            return RunOutcome.STALE_VERSION
        if self.has_other_version:
            return RunOutcome.OTHER_VERSION
        if self.is_too_long:
            balancer.record_failure(self.upstream)
            return RunOutcome.TOO_LONG
        if self.is_stopped and (not task.done() or task.cancelled()):
            return RunOutcome.STOPPED
        if self.is_slow and (not task.done() or task.cancelled()):
            return RunOutcome.SLOW
        if is_timed_out:
            # An upstream that still serves other requests has not failed: this
            # request may be waiting in its queue.
            if not balancer.is_active(self.upstream):
                balancer.record_failure(self.upstream)
            return RunOutcome.TIMED_OUT
        error = None if task.cancelled() else task.exception()
        if is_check_error(error):
            return RunOutcome.NOT_SENT
        if task.cancelled() or error is not None or self.is_broken:
            balancer.record_failure(self.upstream)
            if error is not None and not isinstance(error, BuckthornstileError):
                # The other items of the job go on.
                log_event(
                    "item.run_error", upstream=self.upstream.id, reason=repr(error)
                )
            return RunOutcome.BROKEN
        return self._get_response_outcome()

    def _get_response_outcome(self) -> RunOutcome:
        balancer, head = self.runner.balancer, self.head
        assert head is not None
        if head.is_refusal:
            if head.other_upstream not in (None, self.upstream.id):
                balancer.record_failure(self.upstream)
            else:
                balancer.record_refusal(self.upstream, REFUSAL_BACKOFF_TIME)
            return RunOutcome.REFUSED
        if head.status == 422:
            return RunOutcome.UNPROCESSABLE
        if head.status == 500:
            return RunOutcome.FAILED
        self.progress.last_status = head.status
        is_complete = self.parser is not None and self.parser.is_between_events()
        if head.status != 200 or not is_complete or not self.progress.events:
            balancer.record_failure(self.upstream)
            return RunOutcome.BROKEN
        balancer.record_success(self.upstream)
        return RunOutcome.COMPLETE
