"""Carries out the actions of lots: requests to agents, lines to trainers."""

import asyncio
import json
from collections.abc import Callable
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    LotId,
    RequestId,
    UpstreamId,
    Verdict,
)
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._open_lots import OpenLot
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.metrics import CounterName, Measure
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
    ReleaseSamples,
    encode_line,
    encode_sample,
)
from buckthornstile.wire import (
    Chunk,
    Dispatch,
    End,
    Slot,
    Started,
    compute_digest,
)

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry

MAX_SEED = 1 << 31


class LotRunner:
    """Carries out what lots ask for: dispatches, cancellations and deliveries.

    Args:
        entry: The entry.
        wake: Asks for another decision soon.
    """

    def __init__(self, entry: "Entry", *, wake: Callable[[], None]) -> None:
        self.entry = entry
        self.wake = wake

    def run(self, opened: OpenLot, actions: list[Action]) -> None:
        """Carries out a lot's actions, in their order.

        Args:
            opened: The lot.
            actions: What it asks for.
        """
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

    def cancel(self, opened: OpenLot, request_id: RequestId, reason: str) -> None:
        """Gives one of a lot's requests up."""
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
        self.cancel(opened, action.request_id, action.reason)

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
