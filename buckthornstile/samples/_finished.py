"""The agent's store of finished samples that no trainer has acknowledged yet.

It outlives the entry that asked for them, so that an entry's death loses no
work. Attach numbers fence off entries that a trainer has left.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornstile.base import (
    UNKNOWN_VERSION,
    BuckthornstileError,
    ErrorCode,
    LotId,
    WeightVersion,
)
from buckthornstile.wire import FinishedSample, Slot

DEFAULT_MAXIMUM_BYTES = 64 << 20
DEFAULT_MAXIMUM_SAMPLES = 16_384
DEFAULT_MAXIMUM_AGE_S = 900.0
MAX_FENCES = 16_384


@dataclass(slots=True)
class FinishedCounters:
    """What happened to finished samples.

    Args:
        added: Samples stored.
        duplicates: Results that came after their slot's first.
        replaced: Samples that a newer result replaced, being too old.
        acknowledged: Samples that a trainer has.
        expired: Samples dropped by age.
        evicted: Samples dropped for want of room.
        refused_attaches: Requests of an attach that has been left.
    """

    added: int = 0
    duplicates: int = 0
    replaced: int = 0
    acknowledged: int = 0
    expired: int = 0
    evicted: int = 0
    refused_attaches: int = 0


@dataclass(frozen=True, slots=True)
class _Held:
    sample: FinishedSample
    since: float


class FinishedSamples:
    """Holds finished samples by lot and slot, bounded by bytes and age.

    Args:
        maximum_bytes: Bodies held in all; the oldest sample goes first.
        maximum_samples: Samples held in all; the oldest goes first.
        maximum_age: Seconds that a sample is held.

    Example:
        >>> from buckthornstile.base import RequestId
        >>> store = FinishedSamples()
        >>> sample = FinishedSample(RequestId("e/1"), LotId("l"), 0, 1, b"{}", b"")
        >>> store.add(sample, now=0.0) is sample
        True
        >>> [held.slot_index for held in store.list_finished(LotId("l"), 2)]
        [1]
    """

    def __init__(
        self,
        *,
        maximum_bytes: int = DEFAULT_MAXIMUM_BYTES,
        maximum_samples: int = DEFAULT_MAXIMUM_SAMPLES,
        maximum_age: float = DEFAULT_MAXIMUM_AGE_S,
    ) -> None:
        self.maximum_bytes = maximum_bytes
        self.maximum_samples = maximum_samples
        self.maximum_age = maximum_age
        self.counters = FinishedCounters()
        self.held_bytes = 0
        self._held: OrderedDict[tuple[LotId, Slot], _Held] = OrderedDict()
        self._slots: dict[LotId, set[Slot]] = {}
        self._attaches: OrderedDict[LotId, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    def check_attach(self, lot: LotId, attach: int) -> None:
        """Refuses an attach that its trainer has left; notes a newer one.

        Call it for every dispatch of a lot before the request is started.

        Args:
            lot: The lot.
            attach: The attach number that came with the message.

        Raises:
            BuckthornstileError: With ``ATTACH_OLD``.
        """
        newest = self._attaches.get(lot, attach)
        if attach < newest:
            self.counters.refused_attaches += 1
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, f"attach {attach} is older than {newest}"
            )
        self._attaches[lot] = attach
        self._attaches.move_to_end(lot)
        if len(self._attaches) > MAX_FENCES:
            self._attaches.popitem(last=False)

    def add(
        self,
        sample: FinishedSample,
        *,
        now: float,
        minimum_version: WeightVersion = UNKNOWN_VERSION,
    ) -> FinishedSample:
        """Stores a finished sample; the slot's first one stays.

        A result of an attach that its trainer has left is stored too: the work
        is good, and the new entry lists it.

        Args:
            sample: The sample.
            now: The time, in seconds.
            minimum_version: The oldest version that its dispatch allowed; a
                held sample that is older gives way.

        Returns:
            The sample to answer with: this one, or the one held before.
        """
        slot = Slot(sample.slot_group, sample.slot_index)
        held = self._held.get((sample.lot, slot))
        if held is not None:
            if _get_oldest_version(held.sample) >= minimum_version:
                self.counters.duplicates += 1
                return held.sample
            self.counters.replaced += 1
            self._remove(sample.lot, slot)
        self._held[sample.lot, slot] = _Held(sample, now)
        self._slots.setdefault(sample.lot, set()).add(slot)
        self.held_bytes += len(sample.body)
        self.counters.added += 1
        self._evict()
        return sample

    def list_finished(self, lot: LotId, attach: int) -> tuple[FinishedSample, ...]:
        """Lists a lot's samples for the entry of a trainer's newest attach.

        Args:
            lot: The lot.
            attach: The trainer's attach number.

        Raises:
            BuckthornstileError: With ``ATTACH_OLD``.
        """
        self.check_attach(lot, attach)
        slots = sorted(self._slots.get(lot, ()))
        return tuple(self._held[lot, slot].sample for slot in slots)

    def acknowledge(self, lot: LotId, slots: Iterable[Slot]) -> int:
        """Forgets samples that the trainer has.

        Args:
            lot: The lot.
            slots: The acknowledged slots; unknown ones are passed over.

        Returns:
            How many samples were held and are now forgotten.
        """
        removed = sum(self._remove(lot, slot) for slot in slots)
        self.counters.acknowledged += removed
        return removed

    def expire(self, now: float) -> int:
        """Drops samples that have been held for too long.

        Args:
            now: The time, in seconds.

        Returns:
            How many were dropped; their slots are made again if still wanted.
        """
        dropped = 0
        while self._held:
            (lot, slot), held = next(iter(self._held.items()))
            if now - held.since < self.maximum_age:
                break
            self._remove(lot, slot)
            dropped += 1
        self.counters.expired += dropped
        return dropped

    def _evict(self) -> None:
        while self._is_full() and len(self._held) > 1:
            lot, slot = next(iter(self._held))
            self._remove(lot, slot)
            self.counters.evicted += 1

    def _is_full(self) -> bool:
        too_many = len(self._held) > self.maximum_samples
        return too_many or self.held_bytes > self.maximum_bytes

    def _remove(self, lot: LotId, slot: Slot) -> bool:
        held = self._held.pop((lot, slot), None)
        if held is None:
            return False
        self.held_bytes -= len(held.sample.body)
        self._slots[lot].discard(slot)
        if not self._slots[lot]:
            del self._slots[lot]
        return True


def _get_oldest_version(sample: FinishedSample) -> int:
    return min((label.version for label in sample.labels), default=-1)
