"""Runs one item of a batch job at one upstream and collects its events."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

from buckthornstile.base import AccountId, BuckthornstileError
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.http_client import ConnectionPool, HTTPResponse
from buckthornstile.jobs import JobItem, VersionSpan
from buckthornstile.messages import ResponseHead, StreamEvent, UpstreamCall
from buckthornstile.platform import (
    UpstreamEventParser,
    decode_response_head,
    encode_upstream_call,
)
from buckthornstile.topology import ModelName, Upstream

FIRST_EVENT_TIMEOUT = 1.2
"""Seconds without a first event after which an upstream is taken as silent."""
EVENT_TIMEOUT = 0.6
"""Seconds between two events after which an upstream is taken as silent."""
JUDGED_EVENTS = 4
"""Newest events of a run by which its pace is judged."""
MAX_MOVES = 3
"""Times that one item leaves a slow upstream."""
NO_VERSION = -1
RUN_TIME = 10.0
"""Seconds that an upstream may work on one run."""
REFUSAL_PAUSE = 0.08
"""Seconds for which an upstream that had no place is avoided."""


class RunOutcome(Enum):
    """How a run at an upstream ended."""

    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    BROKEN = "broken"
    SILENT = "silent"
    SLOW = "slow"
    TOO_OLD = "too_old"


@dataclass(slots=True)
class Progress:
    """What an item's runs have made so far."""

    events: list[StreamEvent] = field(default_factory=list)
    moves: int = 0
    last_status: int = 0

    def get_last_id(self) -> int | None:
        """The id of the last whole event."""
        return self.events[-1].id if self.events else None

    def list_version_runs(self) -> tuple[VersionSpan, ...]:
        """The versions that made the events, in order."""
        return tuple(
            VersionSpan(version, len(list(events)))
            for version, events in groupby(self.events, lambda event: event.version)
        )

    def render_text(self) -> str:
        """The text: the data of all events."""
        return "\n".join(event.data for event in self.events)


class ItemRunner:
    """Runs items at upstreams.

    Args:
        balancer: What was seen of upstreams.
        pool: Connections to them.
    """

    def __init__(self, balancer: LoadBalancer, pool: ConnectionPool) -> None:
        self.balancer = balancer
        self.pool = pool

    async def run(
        self,
        item: JobItem,
        upstream: Upstream,
        progress: Progress,
        *,
        host: str,
        account: AccountId,
        urgency: int,
        minimum_version: int,
        model: ModelName | None,
        version: int | None,
    ) -> RunOutcome:
        """Runs an item from where its progress stands.

        Args:
            item: The item.
            upstream: Where to run it.
            progress: What earlier runs made; grows as events arrive.
            host: The host that its route has.
            account: The client account that it runs for.
            urgency: From 0, the most urgent, to 9.
            minimum_version: Events of older weights are not taken.
            model: The model that runs it.
            version: The only version that may run it, or None for any.
        """
        call = UpstreamCall(
            id=item.id,
            method="POST",
            host=host,
            target=item.path,
            headers=item.headers,
            body=item.body,
            upstream=upstream.id,
            remaining_time=RUN_TIME,
            account=account,
            urgency=urgency,
            last_event_id=progress.get_last_id(),
            version=version,
        )
        run = _Run(self, upstream, progress, minimum_version, model)
        return await run.execute(call)


class _Run:
    def __init__(
        self,
        runner: ItemRunner,
        upstream: Upstream,
        progress: Progress,
        minimum_version: int,
        model: ModelName | None,
    ) -> None:
        self.model = model
        self.runner = runner
        self.upstream = upstream
        self.progress = progress
        self.minimum_version = minimum_version
        self.head: ResponseHead | None = None
        self.reader: UpstreamEventParser | None = None
        self.loop = asyncio.get_running_loop()
        self.active_at = self.loop.time()
        self.events = 0
        self.too_old = False
        self.broken = False
        self.is_slow = False
        self.event_times: deque[float] = deque(maxlen=JUDGED_EVENTS + 1)
        self.status = 0
        self.task: asyncio.Task[HTTPResponse] | None = None

    async def execute(self, call: UpstreamCall) -> RunOutcome:
        self.task = asyncio.create_task(
            self.runner.pool.send(
                self.upstream.address,
                encode_upstream_call(call),
                on_headers=self._take_head,
                on_data=self._take_data,
            )
        )
        try:
            is_silent = await self._watch()
            end = self._judge(is_silent)
        finally:
            if not self.task.done():
                self.task.cancel()
                await asyncio.wait({self.task})
            elif not self.task.cancelled():
                self.task.exception()
        return end

    async def _watch(self) -> bool:
        """Waits for the end; gives whether the upstream fell silent."""
        assert self.task is not None
        while True:
            limit = EVENT_TIMEOUT if self.events else FIRST_EVENT_TIMEOUT
            left = self.active_at + limit - self.loop.time()
            if left <= 0:
                return True
            done, _ = await asyncio.wait({self.task}, timeout=left)
            if done:
                return False

    def _take_head(self, answer: HTTPResponse) -> None:
        self.head = decode_response_head(answer)
        self.runner.balancer.record_load(self.upstream, self.head.load)
        if self.head.status != 200 or self.head.is_refusal:
            return
        if self.head.has_content_encoding:
            self._break()
            return
        if self.head.version is None:
            # Only an answer without events needs no version.
            self.reader = UpstreamEventParser(NO_VERSION)
            return
        if self.model is not None:
            self.runner.balancer.view.record_versions(
                self.upstream.id,
                self.upstream.started_at_ms,
                {self.model: self.head.version},
            )
        if self.head.version < self.minimum_version:
            self.too_old = True
            self._cancel()
            return
        self.reader = UpstreamEventParser(self.head.version)

    def _take_data(self, chunk: bytes) -> None:
        if self.reader is None or self.broken:
            return
        try:
            events = self.reader.feed(chunk)
        except ValueError:
            self._break()
            return
        for event, _ in events:
            self._take_event(event)

    def _take_event(self, event: StreamEvent) -> None:
        last = self.progress.get_last_id()
        is_next = last is None or event.id == last + 1
        if self.broken or not is_next or event.version == NO_VERSION:
            self._break()
            return
        now = self.loop.time()
        if self.events:
            self.runner.balancer.record_latency(self.upstream, now - self.active_at)
        self.runner.balancer.record_activity(self.upstream)
        self.active_at = now
        self.event_times.append(now)
        self.events += 1
        self.progress.events.append(event)
        self._judge_pace(now)

    def _judge_pace(self, now: float) -> None:
        """Ends the run if a peer with a free place would be much faster."""
        times = self.event_times
        if len(times) <= JUDGED_EVENTS or self.progress.moves >= MAX_MOVES:
            return
        pace = (now - times[0]) / JUDGED_EVENTS
        if self.runner.balancer.is_slow(self.upstream, pace):
            self.progress.moves += 1
            self.is_slow = True
            self._cancel()

    def _break(self) -> None:
        self.broken = True
        self._cancel()

    def _cancel(self) -> None:
        assert self.task is not None
        self.task.cancel()

    def _judge(self, is_silent: bool) -> RunOutcome:
        balancer, task = self.runner.balancer, self.task
        assert task is not None
        if self.too_old:
            return RunOutcome.TOO_OLD
        if self.is_slow and not task.done():
            return RunOutcome.SLOW
        if self.is_slow and task.cancelled():
            return RunOutcome.SLOW
        if is_silent:
            # One that serves others lets this request wait in its queue.
            if not balancer.is_active(self.upstream):
                balancer.record_failure(self.upstream)
            return RunOutcome.SILENT
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or error is not None or self.broken:
            balancer.record_failure(self.upstream)
            if error is not None and not isinstance(error, BuckthornstileError):
                raise error
            return RunOutcome.BROKEN
        return self._judge_whole()

    def _judge_whole(self) -> RunOutcome:
        balancer, head = self.runner.balancer, self.head
        assert head is not None
        if head.is_refusal:
            if head.other_upstream not in (None, self.upstream.id):
                balancer.record_failure(self.upstream)
            else:
                balancer.record_refusal(self.upstream, REFUSAL_PAUSE)
            return RunOutcome.REFUSED
        if head.status == 422:
            return RunOutcome.IMPOSSIBLE
        if head.status == 500:
            return RunOutcome.FAILED
        self.progress.last_status = head.status
        whole = self.reader is not None and self.reader.is_between_events()
        if head.status != 200 or not whole or not self.progress.events:
            balancer.record_failure(self.upstream)
            return RunOutcome.BROKEN
        balancer.record_success(self.upstream)
        return RunOutcome.COMPLETE
