"""Runs trainers' lots: turns their actions into requests and lines."""

import asyncio
from typing import TYPE_CHECKING

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    LotId,
    TrainerId,
)
from buckthornstile.configuration import Configuration
from buckthornstile.entry._calls import Call
from buckthornstile.entry._lot_runner import LotRunner
from buckthornstile.entry._open_lots import LotStream, OpenLot, parse_slots
from buckthornstile.samples import (
    ErrorLine,
    Lot,
    LotSpecification,
    Sample,
    encode_line,
    make_lot_id,
    parse_specification,
)
from buckthornstile.wire import (
    FinishedSample,
    Slot,
    compute_digest,
)

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry

TICK_SECONDS = 0.1
FETCH_TIMEOUT_SECONDS = 1.0
QUEUE_AHEAD = 1.5
QUEUE_AHEAD_SLOTS = 1.0
KEEP_IDLE_LOT_SECONDS = 120.0


class LotDesk:
    """All lots that trainers have open at this entry.

    Args:
        entry: The entry.
    """

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry
        self.open: dict[LotId, OpenLot] = {}
        self.runner = LotRunner(entry, wake=self.wake)
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
        self.runner.run(opened, actions)
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
            self.runner.run(opened, actions)

    def _is_forgotten(self, opened: OpenLot, now: float) -> bool:
        if opened.stream is not None and not opened.stream.closed:
            opened.streamless_since = now
        silent = now - opened.streamless_since > KEEP_IDLE_LOT_SECONDS
        return opened.lot.is_over or silent

    def _drop(self, lot_id: LotId, opened: OpenLot) -> None:
        del self.open[lot_id]
        self.runner.run(opened, opened.lot.decide(self.entry.read_clock(), capacity=0))
        for request_id in list(opened.requests):
            self.runner.cancel(opened, request_id, "the lot is over")
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
                self.runner.cancel(opened, request_id, "the key was withdrawn")
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
