"""The entry's state of one lot: what to dispatch, deliver, hedge and cancel.

A slot has one sample at most: the first whole result wins. A sample's age is
checked again when it is delivered, since the trainer moves on while stragglers
run.
"""

from collections.abc import Iterable

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    LotId,
    RequestId,
    Verdict,
    WeightVersion,
)
from buckthornstile.samples._actions import (
    Action,
    CancelSlot,
    CompleteLot,
    CutDelivery,
    DeliverSample,
    FailLot,
    ReleaseSamples,
    Sample,
)
from buckthornstile.samples._choice import estimate_remaining, plan_dispatches
from buckthornstile.samples._estimates import WorkEstimator
from buckthornstile.samples._policy import PERMANENT_CODES, LotPolicy
from buckthornstile.samples._slots import SlotStage, SlotState, SlotTable
from buckthornstile.samples._specification import LotSpecification
from buckthornstile.samples._summary import LotCounters, LotSummary, summarize_slots
from buckthornstile.wire import Slot, TokenRange

_NO_ATTACH = -1


class Lot:
    """One trainer's lot, as the entry that the trainer is attached to sees it.

    Args:
        specification: What the trainer wants.
        now: The time, in seconds on a monotonic clock.
        lot_id: The id from :func:`make_lot_id`; the trainer's own by default.
        policy: How the lot spends capacity.

    Example:
        >>> from buckthornstile.samples import GroupSpecification
        >>> group = GroupSpecification(prompt="p", samples=1)
        >>> wanted = LotSpecification(lot="l", trainer="t", groups=(group,), version=1)
        >>> lot = Lot(wanted, now=0.0)
        >>> lot.on_attach(1, (), 1, 0.0)
        []
        >>> lot.decide(0.0, capacity=8)[0].slot
        Slot(group=0, index=0)
    """

    def __init__(
        self,
        specification: LotSpecification,
        *,
        now: float,
        lot_id: LotId | None = None,
        policy: LotPolicy | None = None,
    ) -> None:
        self.specification = specification
        self.lot_id = lot_id or LotId(specification.lot)
        self.policy = policy or LotPolicy()
        self.deadline = now + specification.timeout
        self.trainer_version = WeightVersion(specification.version)
        self.attach = _NO_ATTACH
        speed = self.policy.tokens_per_second
        self.estimator = WorkEstimator(specification, tokens_per_second=speed)
        self.superseded = False
        self.failed = False
        self.counters = LotCounters()
        self._slots = SlotTable(specification.iterate_slots())
        self._requests: dict[RequestId, Slot] = {}
        self._completed = False
        self._pending: list[Action] = []

    @property
    def minimum_version(self) -> WeightVersion:
        """The oldest version that a sample delivered now may be made by."""
        return self.specification.get_minimum_version(self.trainer_version)

    @property
    def is_over(self) -> bool:
        """Whether the lot needs nothing more from this entry."""
        return self.failed or self.superseded or self._slots.is_acknowledged

    def on_attach(
        self,
        attach: int,
        received: Iterable[Slot],
        trainer_version: int,
        now: float,
    ) -> list[Action]:
        """Takes in a trainer's attach; older deliveries are cut.

        Args:
            attach: The trainer's attach number, greater than all before.
            received: The slots whose samples the trainer has.
            trainer_version: The trainer's current weight version.
            now: The time, in seconds.

        Returns:
            The older stream to cut, if there is one.

        Raises:
            BuckthornstileError: With ``ATTACH_OLD`` for a number that is not
                greater than the newest, ``LOT_INVALID`` for an unknown slot.
        """
        if attach <= self.attach:
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD,
                f"attach {attach} is not newer than {self.attach}",
            )
        received = tuple(received)
        self._slots.check(received)
        cut: list[Action] = []
        if self.attach != _NO_ATTACH:
            cut.append(CutDelivery(self.attach))
        self.attach = attach
        self._completed = False
        self.superseded = False
        self.failed = False
        self.on_trainer_version(trainer_version)
        self._acknowledge(received)
        self._slots.unsend_all()
        # A trainer that has restarted has lost what its earlier life received.
        self._slots.reopen_all_but(frozenset(received))
        return cut

    def on_trainer_version(self, version: int) -> None:
        """Takes in the trainer's version; an older one changes nothing.

        Args:
            version: The trainer's current weight version.
        """
        self.trainer_version = WeightVersion(max(self.trainer_version, version))

    def on_dispatched(self, slot: Slot, request_id: RequestId, now: float) -> None:
        """Takes in that a :class:`DispatchSlot` has been carried out.

        Args:
            slot: The slot.
            request_id: The request's id.
            now: The time, in seconds.
        """
        state = self._slots[slot]
        self.counters.hedges += bool(state.running)
        self._slots.start(state, request_id, now)
        self._requests[request_id] = slot

    def on_result(
        self,
        request_id: RequestId,
        body: bytes,
        labels: tuple[TokenRange, ...],
        generated_tokens: int,
        now: float,
    ) -> bool:
        """Takes in the whole answer of a dispatched request.

        Args:
            request_id: The request.
            body: The engine's JSON answer.
            labels: Which weight versions made which tokens.
            generated_tokens: The sample's length, in tokens.
            now: The time, in seconds.

        Returns:
            Whether the result was taken as its slot's sample.
        """
        slot = self._requests.get(request_id)
        if slot is None:
            return False
        sample = Sample(slot, body, labels, request_id, generated_tokens)
        started = self._slots[slot].running.get(request_id)
        taken = self.on_finished(sample, now)
        if taken and started is not None:
            self.estimator.record(
                slot.group, tokens=generated_tokens, duration=now - started
            )
        return taken

    def on_finished(self, sample: Sample, now: float) -> bool:
        """Takes in a finished sample, also one that an agent kept from before.

        Args:
            sample: The sample.
            now: The time, in seconds.

        Returns:
            Whether it was taken as its slot's sample.
        """
        state = self._slots.find(sample.slot)
        if state is None:
            return False
        self._slots.stop(state, sample.request_id)
        if not sample.labels or sample.oldest_version < self.minimum_version:
            self.counters.discarded += 1
            return False
        if state.stage is not SlotStage.OPEN:
            self.counters.duplicates += 1
            return False
        self._slots.finish(state, sample)
        state.failures = 0
        self._cancel_running(state, "another attempt finished first")
        return True

    def on_failure(
        self,
        request_id: RequestId,
        verdict: Verdict,
        code: ErrorCode | None,
        now: float,
        *,
        retry_after: float | None = None,
        message: str = "",
    ) -> None:
        """Takes in that a request failed; its slot will run again.

        Sampling is idempotent, so that a slot is repeated whatever the verdict.

        Args:
            request_id: The request.
            verdict: Whether it may have run.
            code: Why it failed.
            now: The time, in seconds.
            retry_after: The agent's hint, in seconds.
            message: The agent's sentence.
        """
        slot = self._requests.get(request_id)
        if slot is None:
            return
        state = self._slots[slot]
        if self._slots.stop(state, request_id) is None:
            return
        if code is ErrorCode.ATTACH_OLD:
            self._supersede()
            return
        state.failures += 1
        state.runs += verdict is not Verdict.NOT_RUN
        if code in PERMANENT_CODES or state.runs >= self.policy.maximum_runs:
            self._fail(code or ErrorCode.UPSTREAM_FAILED, message)
            return
        state.not_before = now + self.policy.get_delay(
            state.failures, retry_after=retry_after
        )

    def on_undeliverable(self, slot: Slot) -> None:
        """Takes in that a sample could not be written as a line; it runs again.

        Args:
            slot: The slot.
        """
        state = self._slots[slot]
        if state.stage is SlotStage.SENT:
            self._slots.discard(state)
            self.counters.discarded += 1

    def on_acknowledge(
        self, slots: Iterable[Slot], *, attach: int | None = None
    ) -> None:
        """Takes in the slots whose samples the trainer has.

        Args:
            slots: The slots; unknown ones are refused whole.
            attach: The attach number that came with them; an older one than the
                newest says nothing that its received set did not say better.

        Raises:
            BuckthornstileError: With ``LOT_INVALID`` for an unknown slot.
        """
        slots = tuple(slots)
        self._slots.check(slots)
        if attach is None or attach >= self.attach:
            self._acknowledge(slots)

    def decide(
        self, now: float, *, capacity: int, idle_capacity: int = 0
    ) -> list[Action]:
        """Works out what to do now.

        Deliveries count as made once returned. Dispatches do not: call
        :meth:`on_dispatched` for each one that was carried out.

        Args:
            now: The time, in seconds.
            capacity: Slots that may be dispatched now.
            idle_capacity: Hedges that may be dispatched on idle upstreams.

        Returns:
            The actions, in the order in which to carry them out.
        """
        if not self.is_over and now >= self.deadline:
            self._fail(ErrorCode.DEADLINE_PASSED, "the lot's timeout has passed")
        actions, self._pending = self._pending, []
        if self.failed or self.superseded:
            return actions
        actions += self._deliver()
        if self._slots.held_bytes < self.policy.maximum_held_bytes:
            actions += plan_dispatches(
                self._slots,
                self.estimator,
                self.policy,
                now=now,
                capacity=capacity,
                idle_capacity=idle_capacity,
                deadline=self.deadline,
                attach=max(0, self.attach),
                minimum_version=self.minimum_version,
            )
        return actions

    def get_slack(self, now: float) -> float:
        """Gives the seconds to the deadline, less the longest expected slot.

        Args:
            now: The time, in seconds.
        """
        remaining = estimate_remaining(self._slots, self.estimator, now=now)
        return self.deadline - now - remaining

    def get_next_time(self, now: float) -> float:
        """Gives the time at which :meth:`decide` should run again by itself.

        Args:
            now: The time, in seconds.
        """
        times = [
            state.not_before
            for state in self._slots.list_retried()
            if state.not_before > now
        ]
        return min([self.deadline, *times])

    def summarize(self, now: float) -> LotSummary:
        """Counts the lot's slots and the ages of its samples.

        Args:
            now: The time, in seconds.
        """
        return summarize_slots(
            self._slots,
            trainer_version=self.trainer_version,
            slack=self.get_slack(now),
            counters=self.counters,
        )

    def _deliver(self) -> list[Action]:
        if self.attach == _NO_ATTACH:
            return []
        actions: list[Action] = []
        limit = self.policy.maximum_unacknowledged_bytes
        for state in self._slots.list_ready():
            if self._slots.sent_bytes >= limit:
                break
            assert state.sample is not None
            if state.sample.oldest_version < self.minimum_version:
                self._slots.discard(state)
                self.counters.discarded += 1
                continue
            self._slots.send(state)
            actions.append(DeliverSample(state.sample, self.attach))
        if self._slots.is_delivered and not self._completed:
            self._completed = True
            actions.append(CompleteLot(self.attach, len(self._slots)))
        return actions

    def _acknowledge(self, slots: tuple[Slot, ...]) -> None:
        new = []
        for slot in slots:
            state = self._slots[slot]
            if self._slots.acknowledge(state):
                new.append(slot)
                self._cancel_running(state, "the trainer has the sample")
        if new:
            self._pending.append(ReleaseSamples(self.lot_id, tuple(new)))

    def _cancel_running(self, state: SlotState, reason: str) -> None:
        self._pending += [CancelSlot(request, reason) for request in state.running]
        state.running.clear()

    def _supersede(self) -> None:
        # Running attempts go on: the agents keep their samples for the entry
        # that the trainer has moved to.
        if not self.superseded:
            self.superseded = True
            self._pending.append(CutDelivery(self.attach))

    def _fail(self, code: ErrorCode, message: str) -> None:
        self.failed = True
        for state in self._slots:
            self._cancel_running(state, "the lot has failed")
        self._pending.append(FailLot(self.attach, code, message))
