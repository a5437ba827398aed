"""Queues requests, starts as many as the limit allows, and ends each one once."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from buckthornstile.agent._admission import AgentCondition, check_request
from buckthornstile.agent._calls import CallResult, UpstreamCaller
from buckthornstile.agent._replies import (
    make_answer,
    make_cancelled,
    make_failure,
    make_replay,
    make_sample,
)
from buckthornstile.agent._requests import AgentRequest
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    RequestId,
    Verdict,
    split_request_id,
)
from buckthornstile.configuration import Configuration
from buckthornstile.guard import GuardAction, KeptAnswer, RequestTable, make_call_name
from buckthornstile.limits import ConcurrencyLimit
from buckthornstile.queueing import FairQueue, QueueItem
from buckthornstile.records import UsageLine
from buckthornstile.samples import FinishedSamples, RunningSlots
from buckthornstile.usage import UsageLedger
from buckthornstile.wire import Connection, Dispatch, Slot

SERVER_ERROR_STATUS = 500
SPEED_SHARE = 0.1
PAUSE_SECONDS = 1.5
HOLD_AFTER_PAUSE_SECONDS = 0.5


@dataclass(slots=True)
class SchedulerCounters:
    """What became of requests at this agent."""

    arrived: int = 0
    started: int = 0
    finished: int = 0
    failed: int = 0
    refused: int = 0
    replayed: int = 0
    cancelled: int = 0
    held_after_pause: int = 0


class Scheduler:
    """Runs requests at one upstream.

    Args:
        caller: Makes upstream calls.
        table: The at-most-once guard.
        queue: The fair queue.
        limit: The concurrency limit.
        finished: Finished samples until acknowledged.
        ledger: Usage until the log holds it.
        get_condition: Gives the agent's condition now.
        read_clock: Gives the time, in seconds.
    """

    def __init__(
        self,
        *,
        caller: UpstreamCaller,
        table: RequestTable,
        queue: FairQueue,
        limit: ConcurrencyLimit,
        finished: FinishedSamples,
        ledger: UsageLedger,
        get_condition: Callable[[], AgentCondition],
        read_clock: Callable[[], float],
    ) -> None:
        self.caller = caller
        self.table = table
        self.queue = queue
        self.limit = limit
        self.finished = finished
        self.ledger = ledger
        self.get_condition = get_condition
        self.read_clock = read_clock
        self.counters = SchedulerCounters()
        self.running_slots = RunningSlots()
        self.tokens_per_second = 0.0
        self._progress_tokens = 0
        self._progress_seconds = 0.0
        self._open: dict[RequestId, AgentRequest] = {}
        self._running: set[RequestId] = set()
        self._held_until = float("-inf")
        self._ticked_at = float("inf")

    @property
    def running_count(self) -> int:
        """Requests at the upstream now."""
        return len(self._running)

    @property
    def open_count(self) -> int:
        """Requests that wait or run."""
        return len(self._open)

    # Arrival

    def accept(self, dispatch: Dispatch, connection: Connection) -> None:
        """Takes in a request; every request gets exactly one end.

        Args:
            dispatch: The request.
            connection: Where its answer goes.
        """
        now = self.read_clock()
        self.counters.arrived += 1
        request = AgentRequest(dispatch, connection, now, now + dispatch.timeout)
        try:
            self._admit(request, now)
        except BuckthornstileError as error:
            self.counters.refused += 1
            request.reply(make_failure(dispatch.request_id, error))
            return
        self.pump()

    def _admit(self, request: AgentRequest, now: float) -> None:
        dispatch = request.dispatch
        check_request(dispatch, self.get_condition())
        if request.is_sample:
            self.finished.check_attach(dispatch.lot, dispatch.attach)
        # A queue that sheds must not leave a mark of the request it refuses, so
        # the guard comes first and is told of the refusal.
        decision = self.table.admit(dispatch, now)
        if request.is_sample and self._join_running(request, now):
            return
        if decision.action is GuardAction.REPLAY:
            assert decision.answer is not None
            self._replay(request, decision.answer)
            return
        result = self.queue.push(request.make_queue_item(), now)
        for item in result.shed:
            self._refuse_waiting(item, ErrorCode.QUEUE_FULL, "shed for other accounts")
        if not result.accepted:
            self.table.seal(dispatch.request_id, now)
            raise BuckthornstileError(
                result.code or ErrorCode.QUEUE_FULL,
                "the upstream's queue is full",
                retry_after=self._estimate_wait(),
            )
        self._open[dispatch.request_id] = request

    def _join_running(self, request: AgentRequest, now: float) -> bool:
        """Lets a slot that runs already, for another entry, answer this one too."""
        dispatch = request.dispatch
        slot = Slot(dispatch.slot_group, dispatch.slot_index)
        joined = self.running_slots.join(
            dispatch.lot,
            slot,
            dispatch.request_id,
            minimum_version=dispatch.minimum_version,
        )
        if joined:
            self.table.start(dispatch.request_id, now)
            self._open[dispatch.request_id] = request
        return joined

    def _estimate_wait(self) -> float:
        if self.tokens_per_second <= 0:
            return 1.0
        return min(self.queue.queued_cost / self.tokens_per_second, 30.0)

    def _replay(self, request: AgentRequest, answer: KeptAnswer) -> None:
        self.counters.replayed += 1
        dispatch = request.dispatch
        request.reply(make_replay(dispatch.request_id, answer))

    # Start

    def hold(self, seconds: float) -> None:
        """Starts nothing for a while, after this process was paused.

        What peers sent meanwhile, such as a drain, must be read first.
        """
        self.counters.held_after_pause += 1
        self._held_until = self.read_clock() + seconds
        asyncio.get_running_loop().call_later(seconds, self.pump)

    def note_tick(self, now: float) -> None:
        """Notes that the process runs; a long gap means that it was paused.

        Args:
            now: The clock reading, in seconds.
        """
        if now - self._ticked_at > PAUSE_SECONDS:
            self.hold(HOLD_AFTER_PAUSE_SECONDS)
        self._ticked_at = now

    def pump(self) -> None:
        """Starts waiting requests as far as the limit allows."""
        now = self.read_clock()
        if now - self._ticked_at > PAUSE_SECONDS:
            # What waited in sockets is read before the watch of pauses runs.
            self.note_tick(now)
        if now < self._held_until:
            return
        while self.limit.may_start(len(self._running)):
            item = self.queue.pop(now)
            if item is None:
                break
            self._start(item, now)
        for expired in self.queue.take_expired():
            self._refuse_waiting(
                expired, ErrorCode.DEADLINE_PASSED, "the deadline passed in the queue"
            )

    def _start(self, item: QueueItem, now: float) -> None:
        request = self._open[item.request_id]
        dispatch = request.dispatch
        incarnation, counter = split_request_id(dispatch.request_id)
        try:
            check_request(dispatch, self.get_condition())
            if request.is_sample:
                self.finished.check_attach(dispatch.lot, dispatch.attach)
            self.ledger.open(incarnation, counter)
        except BuckthornstileError as error:
            self._refuse_waiting(item, error.code, error.message)
            return
        if not self.table.start(item.request_id, now):
            # A retry through another entry has sealed it while it waited.
            self.ledger.finish(incarnation, counter, None)
            self._refuse_waiting(
                item, ErrorCode.SEALED, "the request was sealed before its start"
            )
            return
        self.limit.on_start()
        self._running.add(item.request_id)
        if request.is_sample:
            self.running_slots.begin(
                dispatch.lot,
                Slot(dispatch.slot_group, dispatch.slot_index),
                item.request_id,
                version=self.get_condition().version,
            )
        self.counters.started += 1
        request.task = asyncio.create_task(self._run(request))

    async def _run(self, request: AgentRequest) -> None:
        request_id = request.dispatch.request_id
        started_at = self.read_clock()
        try:
            await self._call(request, started_at)
        except BuckthornstileError as error:
            self._fail(request, error)
            self._answer_joined(request_id, error)
        except asyncio.CancelledError:
            cancelled = request.stop_error or make_cancelled()
            self._fail(request, cancelled)
            self._answer_joined(request_id, cancelled)
        finally:
            self._running.discard(request_id)
            self._open.pop(request_id, None)
        self.pump()

    async def _call(self, request: AgentRequest, started_at: float) -> None:
        request.has_begun = True
        if request.stop_error is not None:
            # Given up in the same turn in which it was to start.
            raise request.stop_error
        try:
            result = await self.caller.call(request, started_at)
            self._finish(request, result, started_at)
        except BuckthornstileError:
            raise
        except Exception as error:
            # Whatever breaks, the entry waits for an end.
            raise BuckthornstileError(
                ErrorCode.INTERNAL,
                f"the upstream call broke on a {type(error).__name__}",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        self._answer_joined(request.dispatch.request_id, result.answer)

    def _answer_joined(
        self, running: RequestId, outcome: KeptAnswer | BuckthornstileError
    ) -> None:
        """Answers the requests that joined a running sample, each once."""
        now = self.read_clock()
        for request_id in self.running_slots.finish(running):
            joined = self._open.get(request_id)
            if joined is None or request_id == running:
                continue
            del self._open[request_id]
            if isinstance(outcome, BuckthornstileError):
                self.table.fail(request_id, outcome.verdict, now)
                joined.reply(make_failure(request_id, outcome))
                continue
            self.table.finish(request_id, now)
            joined.reply(make_replay(request_id, outcome))

    # End

    def _finish(
        self, request: AgentRequest, result: CallResult, started_at: float
    ) -> None:
        now = self.read_clock()
        dispatch = request.dispatch
        answer = result.answer
        self.counters.finished += 1
        keep = answer if make_call_name(dispatch) is not None else None
        self.table.finish(dispatch.request_id, now, keep)
        self._count_usage(dispatch, answer)
        self.queue.charge(dispatch.request_id, float(answer.generated_tokens or 1))
        self._note_speed(answer.generated_tokens, now - started_at)
        self._note_latency(request, started_at, now)
        self.limit.on_finish(answer.status < SERVER_ERROR_STATUS, now)
        if request.is_sample:
            self.finished.add(
                make_sample(dispatch, answer),
                now=now,
                minimum_version=dispatch.minimum_version,
            )
        whole = make_answer(
            dispatch.request_id, answer, queue_wait=started_at - request.arrived_at
        )
        if result.relay is None:
            request.reply(whole)
            return
        end = whole.split()[-1]
        request.reply(
            dataclasses.replace(
                end, length=result.relay.length, digest=result.relay.digest
            )
        )

    def _count_usage(self, dispatch: Dispatch, answer: KeptAnswer) -> None:
        incarnation, counter = split_request_id(dispatch.request_id)
        line = UsageLine(
            account=dispatch.account,
            service=dispatch.service,
            request_class=dispatch.request_class,
            requests=1,
            prompt_tokens=answer.prompt_tokens,
            generated_tokens=answer.generated_tokens,
        )
        self.ledger.finish(incarnation, counter, line)

    def _fail(self, request: AgentRequest, error: BuckthornstileError) -> None:
        now = self.read_clock()
        dispatch = request.dispatch
        self.counters.failed += 1
        self.table.fail(dispatch.request_id, error.verdict, now)
        incarnation, counter = split_request_id(dispatch.request_id)
        self.ledger.finish(incarnation, counter, None)
        self.limit.on_finish(request.stop_error is not None, now)
        request.reply(make_failure(dispatch.request_id, error))

    def _note_latency(
        self, request: AgentRequest, started_at: float, now: float
    ) -> None:
        """Tells the limit when the first token came, or a plain answer's end."""
        first_at = request.progress.first_at
        self._count_progress(request, now)
        self.limit.on_first_token((first_at or now) - started_at, now)

    def _count_progress(self, request: AgentRequest, now: float) -> None:
        tokens, seconds = request.progress.take(now)
        self._progress_tokens += tokens
        self._progress_seconds += seconds

    def report_progress(self, now: float) -> None:
        """Tells the limit how fast streams run; to be called about once a second.

        Args:
            now: The clock reading, in seconds.
        """
        for request_id in self._running:
            self._count_progress(self._open[request_id], now)
        self.limit.on_progress(self._progress_tokens, self._progress_seconds, now)
        self._progress_tokens = 0
        self._progress_seconds = 0.0

    def _note_speed(self, tokens: int, seconds: float) -> None:
        speed = max(tokens, 1) / max(seconds, 1e-6) * max(len(self._running), 1)
        if self.tokens_per_second <= 0:
            self.tokens_per_second = speed
        self.tokens_per_second += SPEED_SHARE * (speed - self.tokens_per_second)

    def _refuse_waiting(self, item: QueueItem, code: ErrorCode, message: str) -> None:
        request = self._open.pop(item.request_id)
        self.table.seal(item.request_id, self.read_clock())
        self.counters.refused += 1
        error = BuckthornstileError(code, message, retry_after=self._estimate_wait())
        request.reply(make_failure(item.request_id, error))

    # Withdrawal and loss

    def cancel(self, request_id: RequestId, error: BuckthornstileError) -> None:
        """Gives a request up, whether it waits or runs.

        Args:
            request_id: The request; an unknown one is passed over.
            error: Why.
        """
        request = self._open.get(request_id)
        if request is None:
            return
        self.counters.cancelled += 1
        item = self.queue.remove(request_id)
        if item is not None:
            self._refuse_waiting(item, error.code, error.message)
            return
        error.verdict = Verdict.MAY_HAVE_RUN
        if request.is_sample and self._leave_running(request, error):
            return
        self._stop_running(request, error)

    def _stop_running(self, request: AgentRequest, error: BuckthornstileError) -> None:
        if request.task is None or request.stop_error is not None:
            return
        request.stop_error = error
        if request.has_begun:
            request.task.cancel()
            return
        # A task that is cancelled before its first step never runs, and so would
        # end nothing; this one sees the error at its first step.
        error.verdict = Verdict.NOT_RUN

    def _leave_running(self, request: AgentRequest, error: BuckthornstileError) -> bool:
        """Ends one request's wait for a sample that others still wait for."""
        request_id = request.dispatch.request_id
        unwanted = self.running_slots.leave(request_id)
        if unwanted == request_id:
            return False
        request.reply(make_failure(request_id, error))
        if request.task is None:
            del self._open[request_id]
            self.table.fail(request_id, error.verdict, self.read_clock())
        request.connection = None
        if unwanted is not None:
            self._stop_running(self._open[unwanted], error)
        return True

    def on_connection_lost(self, connection: Connection) -> None:
        """Drops what only the lost entry wanted; the rest runs to its end."""
        lost = [r for r in self._open.values() if r.connection is connection]
        for request in lost:
            request.connection = None
            waits = request.task is None
            if waits or not request.outlives_connection:
                self.cancel(request.dispatch.request_id, make_cancelled())

    def on_configuration(self, configuration: Configuration) -> None:
        """Ends open requests whose key has been withdrawn."""
        for request in list(self._open.values()):
            key = configuration.keys.get(request.dispatch.key_id)
            if key is not None and key.withdrawn:
                self.cancel(
                    request.dispatch.request_id,
                    BuckthornstileError(
                        ErrorCode.KEY_WITHDRAWN, "the key was withdrawn"
                    ),
                )

    def list_entries(self) -> Iterable[Incarnation]:
        """Lists the incarnations of the entries with open requests."""
        return {split_request_id(request_id)[0] for request_id in self._open}
