"""Runs trainers' lots: turns their actions into requests and lines."""

import asyncio
import json
from collections import deque
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError

from buckthornstile.base import (
    OPEN_ROUTE_KEY,
    AccountId,
    BuckthornstileError,
    ErrorCode,
    LotId,
    RequestClass,
    RequestId,
    TrainerId,
    UpstreamId,
    Verdict,
)
from buckthornstile.configuration import Configuration
from buckthornstile.entry._calls import Call
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.metrics import CounterName, Measure
from buckthornstile.records import Rule
from buckthornstile.routing import RouteRequest
from buckthornstile.samples import (
    Action,
    CancelSlot,
    CompleteLot,
    CutDelivery,
    DeliverSample,
    DispatchSlot,
    EndLine,
    ErrorLine,
    FailLot,
    HeartbeatLine,
    Lot,
    LotSpecification,
    ReleaseSamples,
    Sample,
    encode_line,
    encode_sample,
    make_lot_id,
    parse_specification,
)
from buckthornstile.wire import (
    Chunk,
    Dispatch,
    End,
    FinishedSample,
    Slot,
    Started,
    compute_digest,
)

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry

LINE_HEARTBEAT_SECONDS = 1.0
TICK_SECONDS = 0.1
FETCH_TIMEOUT_SECONDS = 1.0
QUEUE_AHEAD = 1.5
QUEUE_AHEAD_SLOTS = 1.0
MAX_SEED = 1 << 31
KEEP_IDLE_LOT_SECONDS = 120.0
_SLOTS: TypeAdapter[list[tuple[int, int]]] = TypeAdapter(list[tuple[int, int]])


class LotStream:
    """The lines on their way to one attach of a trainer.

    Args:
        request_class: The lot's class, for metrics.
    """

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self.closed = False
        self._lines: deque[bytes] = deque()
        self._event = asyncio.Event()
        self._ended = False

    def put(self, line: bytes) -> None:
        """Adds a line."""
        if not self._ended:
            self._lines.append(line)
            self._event.set()

    def end(self) -> None:
        """Ends the stream after the lines that wait."""
        self._ended = True
        self._event.set()

    def close(self) -> None:
        """Ends the stream at once: the trainer has gone."""
        self.closed = True
        self._lines.clear()
        self.end()

    async def next_line(self) -> bytes | None:
        """Waits for the next line, or writes a heartbeat in silence.

        Returns:
            The line, or None at the end.
        """
        while not self._lines:
            if self._ended:
                return None
            self._event.clear()
            try:
                async with asyncio.timeout(LINE_HEARTBEAT_SECONDS):
                    await self._event.wait()
            except TimeoutError:
                return encode_line(HeartbeatLine())
        return self._lines.popleft()


class OpenLot:
    """One lot with its requests and its trainer's stream.

    Args:
        lot: The lot's state.
        account: The client account.
        rule: The rule that serves it.
        now: The clock reading, in seconds.
    """

    def __init__(self, lot: Lot, *, account: AccountId, rule: Rule, now: float) -> None:
        self.lot = lot
        self.account = account
        self.key_id = OPEN_ROUTE_KEY
        self.rule = rule
        self.stream: LotStream | None = None
        self.requests: dict[RequestId, tuple[AgentLink, PendingRequest]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.streamless_since = now
        self.opened_at = now

    @property
    def specification(self) -> LotSpecification:
        """What the trainer wants."""
        return self.lot.specification


class LotDesk:
    """All lots that trainers have open at this entry.

    Args:
        entry: The entry.
    """

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry
        self.open: dict[LotId, OpenLot] = {}
        self._wake = asyncio.Event()

    # The trainers' calls

    async def attach(self, trainer: Call, body: dict[str, object]) -> LotStream:
        """Attaches a trainer to its lot, which may be new here.

        Args:
            trainer: The trainer's authenticated request.
            body: The request's body.

        Returns:
            The stream to write to the trainer.

        Raises:
            BuckthornstileError: ``LOT_INVALID``, ``ATTACH_OLD``,
                ``QUEUE_FULL`` or ``DRAINING``.
        """
        if self.entry.stopping:
            raise BuckthornstileError(
                ErrorCode.DRAINING, "this entry stops", retry_after=0.1
            )
        specification = parse_specification(body.get("specification"))
        attach = body.get("attach")
        if type(attach) is not int or not 0 <= attach < 1 << 31:
            raise BuckthornstileError(
                ErrorCode.LOT_INVALID, "attach must be a whole number from 0"
            )
        received = parse_slots(body.get("received", []))
        lot_id = make_lot_id(trainer.account, specification.trainer, specification.lot)
        opened = self._open_lot(lot_id, trainer.account, specification)
        opened.key_id = trainer.key_id
        now = self.entry.read_clock()
        actions = opened.lot.on_attach(attach, received, specification.version, now)
        stream = LotStream(opened.rule.request_class)
        self._run_actions(opened, actions)
        opened.stream = stream
        await self._fetch_finished(opened, attach)
        self.wake()
        return stream

    def _open_lot(
        self, lot_id: LotId, account: AccountId, specification: LotSpecification
    ) -> OpenLot:
        opened = self.open.get(lot_id)
        if opened is not None and not opened.lot.is_over:
            return opened
        if len(self.open) >= self.entry.settings.max_lots:
            raise BuckthornstileError(
                ErrorCode.QUEUE_FULL, "too many lots are open here", retry_after=1.0
            )
        if specification.slot_count > self.entry.settings.max_lot_samples:
            raise BuckthornstileError(
                ErrorCode.LOT_INVALID,
                f"the lot has {specification.slot_count} samples; it may have "
                f"{self.entry.settings.max_lot_samples}",
            )
        configuration = self.entry.configuration.current
        rule = configuration.find_rule(
            specification.path, account, specification.trainer
        )
        if rule is None:
            raise BuckthornstileError(
                ErrorCode.ROUTE_UNKNOWN, "no rule serves this trainer's path"
            )
        bounded = specification.model_copy(
            update={"maximum_age": min(specification.maximum_age, rule.maximum_age)}
        )
        now = self.entry.read_clock()
        lot = Lot(bounded, now=now, lot_id=lot_id)
        opened = OpenLot(
            lot,
            account=account,
            rule=rule,
            now=now,
        )
        self.open[lot_id] = opened
        return opened

    async def _fetch_finished(self, opened: OpenLot, attach: int) -> None:
        """Takes over what agents finished for an earlier attach of the lot."""
        links = [
            link
            for link in self.entry.fleet.links.values()
            if link.view.service == opened.rule.service
        ]
        found = await asyncio.gather(
            *[
                link.fetch_finished(opened.lot.lot_id, attach, FETCH_TIMEOUT_SECONDS)
                for link in links
            ]
        )
        now = self.entry.read_clock()
        for samples in found:
            for sample in samples:
                if _is_whole(sample):
                    opened.lot.on_finished(_make_sample(sample), now)

    def acknowledge(self, account: AccountId, lot: str, body: dict[str, object]) -> int:
        """Notes the samples that a trainer has.

        Args:
            account: The client account.
            lot: The trainer's name for the lot.
            body: The request's body, with ``trainer``, ``attach`` and ``slots``.

        Returns:
            How many slots were named.

        Raises:
            BuckthornstileError: ``LOT_UNKNOWN``, ``ATTACH_OLD`` or
                ``LOT_INVALID``.
        """
        opened = self._find_lot(account, lot, body.get("trainer"))
        slots = parse_slots(body.get("slots", []))
        attach = body.get("attach")
        if type(attach) is not int or attach < opened.lot.attach:
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, "the trainer has attached again since"
            )
        opened.lot.on_acknowledge(slots, attach=attach)
        self.wake()
        return len(slots)

    def _find_lot(self, account: AccountId, lot: str, trainer: object) -> OpenLot:
        for opened in self.open.values():
            specification = opened.specification
            same_trainer = trainer is None or specification.trainer == trainer
            if (opened.account, specification.lot) == (account, lot) and same_trainer:
                return opened
        raise BuckthornstileError(ErrorCode.LOT_UNKNOWN, "the lot is not open here")

    def on_trainer_version(
        self, account: AccountId, trainer: str, version: int
    ) -> None:
        """Takes in a trainer's current version."""
        for opened in self.open.values():
            trainer_id = opened.specification.trainer_id
            if (opened.account, trainer_id) == (account, TrainerId(trainer)):
                opened.lot.on_trainer_version(version)
        self.wake()

    # Decisions

    def wake(self) -> None:
        """Asks for a decision soon."""
        self._wake.set()

    async def run(self) -> None:
        """Decides whenever something has changed, and at times."""
        while True:
            self._wake.clear()
            self.decide()
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def decide(self) -> None:
        """Lets each lot act, the one with least slack first."""
        if self.entry.fleet.is_stale:
            return
        now = self.entry.read_clock()
        for lot_id, opened in list(self.open.items()):
            if self._is_forgotten(opened, now):
                self._drop(lot_id, opened)
        urgent = sorted(self.open.values(), key=lambda o: o.lot.get_slack(now))
        for opened in urgent:
            capacity, idle = self._get_capacity(opened)
            actions = opened.lot.decide(now, capacity=capacity, idle_capacity=idle)
            self._run_actions(opened, actions)

    def _is_forgotten(self, opened: OpenLot, now: float) -> bool:
        if opened.stream is not None and not opened.stream.closed:
            opened.streamless_since = now
        silent = now - opened.streamless_since > KEEP_IDLE_LOT_SECONDS
        return opened.lot.is_over or silent

    def _drop(self, lot_id: LotId, opened: OpenLot) -> None:
        del self.open[lot_id]
        self._run_actions(
            opened, opened.lot.decide(self.entry.read_clock(), capacity=0)
        )
        for request_id in list(opened.requests):
            self._cancel(opened, request_id, "the lot is over")
        if opened.stream is not None:
            opened.stream.end()

    def _get_capacity(self, opened: OpenLot) -> tuple[int, int]:
        """Counts the slots that upstreams can take now, and those left idle."""
        now = self.entry.read_clock()
        capacity = 0.0
        idle = 0.0
        for view in self.entry.fleet.list_views():
            usable = view.service == opened.rule.service and view.is_alive(
                now, timeout=self.entry.heartbeat_timeout
            )
            if not usable or view.drained or view.leaving:
                continue
            busy = view.compute_busy(now)
            ahead = view.limit * QUEUE_AHEAD + QUEUE_AHEAD_SLOTS
            capacity += max(0.0, ahead - busy)
            idle += max(0.0, view.limit - busy)
        return int(capacity), int(idle)

    # Actions

    def _run_actions(self, opened: OpenLot, actions: list[Action]) -> None:
        for action in actions:
            self._run(action, opened)

    @singledispatchmethod
    def _run(self, action: Action, opened: OpenLot) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_run.register
    def _dispatch(self, action: DispatchSlot, opened: OpenLot) -> None:
        excluded: set[UpstreamId] = {
            opened.requests[request_id][0].view.upstream
            for request_id in action.running
            if request_id in opened.requests
        }
        request = RouteRequest(
            opened.rule.service,
            cost=float(action.expected_tokens),
            prefix=action.prefix_hash,
            minimum_version=action.minimum_version,
            excluded=frozenset(excluded),
        )
        link, _ = self.entry.dispatcher.choose(request)
        if link is None:
            return
        dispatch = self._make_dispatch(action, opened)
        try:
            pending = self.entry.dispatcher.send(dispatch, link)
        except BuckthornstileError:
            return
        now = self.entry.read_clock()
        opened.lot.on_dispatched(action.slot, dispatch.request_id, now)
        opened.requests[dispatch.request_id] = (link, pending)
        if action.hedge:
            self.entry.counters.increment(CounterName("lot_hedges"))
        task = asyncio.create_task(self._follow(opened, link, pending))
        opened.tasks.add(task)
        task.add_done_callback(opened.tasks.discard)

    def _make_dispatch(self, action: DispatchSlot, opened: OpenLot) -> Dispatch:
        specification = opened.specification
        seed = hash_slot(opened.lot.lot_id, action.slot)
        body = json.dumps(
            {"prompt": action.prompt, "max_tokens": action.max_tokens, "seed": seed}
        )
        account = self.entry.configuration.current.accounts.get(opened.account)
        return Dispatch(
            self.entry.dispatcher.make_id(),
            opened.account,
            opened.key_id,
            self.entry.configuration.current.through,
            opened.rule.request_class,
            opened.rule.service,
            "POST",
            specification.path,
            idempotent=True,
            timeout=action.timeout,
            body=body.encode(),
            expected_tokens=action.expected_tokens,
            lot=opened.lot.lot_id,
            slot_group=action.slot.group,
            slot_index=action.slot.index,
            attach=action.attach,
            minimum_version=action.minimum_version,
            weight=1.0 if account is None else account.weight,
            slack=action.slack,
        )

    async def _follow(
        self, opened: OpenLot, link: AgentLink, pending: PendingRequest
    ) -> None:
        """Follows one slot's request to its end."""
        body = bytearray()
        end: End | None = None
        try:
            while end is None:
                reply = await pending.next()
                if isinstance(reply, Chunk):
                    body += reply.data
                elif not isinstance(reply, Started):
                    end = reply
            self._take_result(opened, link, bytes(body), end)
        except BuckthornstileError as error:
            self._take_failure(opened, link, pending, error)
        finally:
            opened.requests.pop(pending.dispatch.request_id, None)
            self.entry.dispatcher.settle(pending, link, end)
            self.wake()

    def _take_result(
        self, opened: OpenLot, link: AgentLink, body: bytes, end: End
    ) -> None:
        if end.verdict is not Verdict.RAN:
            raise BuckthornstileError(
                end.code or ErrorCode.INTERNAL,
                end.message,
                verdict=end.verdict,
                retry_after=end.retry_after or None,
            )
        self.entry.dispatcher.note_result(link, None)
        self.entry.histograms.record(
            Measure.QUEUE_WAIT,
            end.queue_wait,
            account=opened.account,
            request_class=opened.rule.request_class,
        )
        now = self.entry.read_clock()
        opened.lot.on_result(
            end.request_id, body, end.labels, end.generated_tokens, now
        )

    def _take_failure(
        self,
        opened: OpenLot,
        link: AgentLink,
        pending: PendingRequest,
        error: BuckthornstileError,
    ) -> None:
        self.entry.dispatcher.note_result(link, error.code)
        self.entry.counters.increment(
            CounterName("lot_failures"), code=error.code.value
        )
        opened.lot.on_failure(
            pending.dispatch.request_id,
            error.verdict,
            error.code,
            self.entry.read_clock(),
            retry_after=error.retry_after,
            message=error.message,
        )

    def _cancel(self, opened: OpenLot, request_id: RequestId, reason: str) -> None:
        found = opened.requests.get(request_id)
        if found is None:
            return
        link, pending = found
        link.cancel(
            pending,
            BuckthornstileError(
                ErrorCode.CANCELLED, reason, verdict=Verdict.MAY_HAVE_RUN
            ),
        )

    @_run.register
    def _cancel_slot(self, action: CancelSlot, opened: OpenLot) -> None:
        self._cancel(opened, action.request_id, action.reason)

    @_run.register
    def _deliver(self, action: DeliverSample, opened: OpenLot) -> None:
        if opened.stream is None:
            return
        try:
            line = encode_sample(action.sample)
        except BuckthornstileError as error:
            self.entry.count_error(error)
            opened.lot.on_undeliverable(action.sample.slot)
            return
        opened.stream.put(line)
        age = opened.lot.trainer_version - action.sample.oldest_version
        self.entry.histograms.record(
            Measure.SAMPLE_AGE,
            float(max(age, 0)),
            account=opened.account,
            request_class=opened.rule.request_class,
        )

    @_run.register
    def _cut(self, action: CutDelivery, opened: OpenLot) -> None:
        if opened.stream is not None:
            opened.stream.close()

    @_run.register
    def _release(self, action: ReleaseSamples, opened: OpenLot) -> None:
        for link in self.entry.fleet.links.values():
            if link.view.service == opened.rule.service:
                link.acknowledge(action.lot, action.slots)

    @_run.register
    def _complete(self, action: CompleteLot, opened: OpenLot) -> None:
        if opened.stream is not None:
            opened.stream.put(encode_line(EndLine(delivered=action.delivered)))
        self.entry.histograms.record(
            Measure.TRAINER_IDLE,
            self.entry.read_clock() - opened.opened_at,
            account=opened.account,
            request_class=opened.rule.request_class,
        )

    @_run.register
    def _fail(self, action: FailLot, opened: OpenLot) -> None:
        if opened.stream is not None:
            line = ErrorLine(code=action.code, message=action.message)
            opened.stream.put(encode_line(line))
            opened.stream.end()

    def on_configuration(self, configuration: Configuration) -> None:
        """Ends the lots whose trainer's key has been withdrawn."""
        for opened in self.open.values():
            key = configuration.keys.get(opened.key_id)
            if key is None or not key.withdrawn or opened.stream is None:
                continue
            line = ErrorLine(
                code=ErrorCode.KEY_WITHDRAWN, message="the key was withdrawn"
            )
            opened.stream.put(encode_line(line))
            opened.stream.end()
            for request_id in list(opened.requests):
                self._cancel(opened, request_id, "the key was withdrawn")
            opened.lot.deadline = self.entry.read_clock()

    def hand_over(self) -> None:
        """Tells every trainer to attach through another entry, at a planned stop."""
        line = ErrorLine(
            code=ErrorCode.DRAINING, message="this entry stops", retry_after=0.0
        )
        for opened in self.open.values():
            if opened.stream is not None:
                opened.stream.put(encode_line(line))
                opened.stream.end()


def parse_slots(value: object) -> list[Slot]:
    """Reads a list of ``[group, index]`` pairs.

    Args:
        value: The decoded JSON value.

    Returns:
        The slots.

    Raises:
        BuckthornstileError: With ``LOT_INVALID``.

    Example:
        >>> parse_slots([[0, 1]])
        [Slot(group=0, index=1)]
    """
    try:
        return [Slot(group, index) for group, index in _SLOTS.validate_python(value)]
    except ValidationError as error:
        raise BuckthornstileError(
            ErrorCode.LOT_INVALID, "slots must be pairs of group and index"
        ) from error


def hash_slot(lot_id: LotId, slot: Slot) -> int:
    """Gives a slot's seed, the same on each attempt.

    Args:
        lot_id: The lot.
        slot: The slot.

    Returns:
        A seed below 2**31.

    Example:
        >>> hash_slot(LotId("l"), Slot(0, 1)) == hash_slot(LotId("l"), Slot(0, 2))
        False
    """
    digest = compute_digest(f"{lot_id}/{slot.group}/{slot.index}".encode())
    return int.from_bytes(digest[:8], "big") % MAX_SEED


def _is_whole(sample: FinishedSample) -> bool:
    return compute_digest(sample.body) == sample.digest


def _make_sample(sample: FinishedSample) -> Sample:
    return Sample(
        Slot(sample.slot_group, sample.slot_index),
        sample.body,
        sample.labels,
        sample.request_id,
        sample.generated_tokens,
    )
