"""The slots of a lot: their stages, their attempts and the bytes they hold."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from buckthornstile.base import BuckthornstileError, ErrorCode, RequestId
from buckthornstile.samples._actions import Sample
from buckthornstile.wire import Slot


class SlotStage(Enum):
    """How far a slot has come."""

    OPEN = "open"
    FINISHED = "finished"
    SENT = "sent"
    ACKNOWLEDGED = "acknowledged"


@dataclass(slots=True)
class SlotState:
    """One slot: its running attempts, and its sample once there is one."""

    slot: Slot
    stage: SlotStage = SlotStage.OPEN
    running: dict[RequestId, float] = field(default_factory=dict)
    attempts: int = 0
    runs: int = 0
    failures: int = 0
    not_before: float = float("-inf")
    sample: Sample | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the slot has no sample and nothing runs for it."""
        return self.stage is SlotStage.OPEN and not self.running

    @property
    def is_running(self) -> bool:
        """Whether the slot has no sample yet, but an attempt runs."""
        return self.stage is SlotStage.OPEN and bool(self.running)

    @property
    def held_bytes(self) -> int:
        """The bytes of the sample that is kept until acknowledged."""
        return len(self.sample.body) if self.sample is not None else 0


class SlotTable:
    """Moves slots between stages and keeps the sums over them.

    Args:
        slots: All slots of the lot.

    Example:
        >>> table = SlotTable([Slot(0, 0)])
        >>> table.finish(table[Slot(0, 0)], Sample(Slot(0, 0), b"{}", ()))
        >>> table.open_count, table.held_bytes
        (0, 2)
    """

    def __init__(self, slots: Iterable[Slot]) -> None:
        self._states = {slot: SlotState(slot) for slot in slots}
        self._open = dict.fromkeys(self._states)
        self._open_counts = Counter(slot.group for slot in self._states)
        # Waiting slots are kept apart by group, so that a choice among them
        # takes time by groups and not by slots.
        self._fresh: dict[int, dict[Slot, None]] = {}
        self._retried: dict[Slot, None] = {}
        self._latest_starts: dict[int, float] = {}
        self._ready: dict[Slot, None] = {}
        self._acknowledged_count = 0
        self.held_bytes = 0
        self.sent_bytes = 0
        for state in self._states.values():
            self._index(state)

    def __getitem__(self, slot: Slot) -> SlotState:
        return self._states[slot]

    def __iter__(self) -> Iterator[SlotState]:
        return iter(self._states.values())

    def __len__(self) -> int:
        return len(self._states)

    @property
    def open_count(self) -> int:
        """How many slots have no sample yet."""
        return len(self._open)

    @property
    def is_delivered(self) -> bool:
        """Whether every sample has been sent or acknowledged."""
        return not self._open and not self._ready

    @property
    def is_acknowledged(self) -> bool:
        """Whether every sample has been acknowledged."""
        return self._acknowledged_count == len(self._states)

    def find(self, slot: Slot) -> SlotState | None:
        """Gives a slot's state, or None for a slot of another lot."""
        return self._states.get(slot)

    def check(self, slots: Iterable[Slot]) -> None:
        """Refuses slots of another lot.

        Raises:
            BuckthornstileError: With ``LOT_INVALID``.
        """
        for slot in slots:
            if slot not in self._states:
                raise BuckthornstileError(
                    ErrorCode.LOT_INVALID, f"the lot has no slot {slot}"
                )

    def list_open(self) -> list[SlotState]:
        """Lists the slots without a sample."""
        return [self._states[slot] for slot in self._open]

    def list_retried(self) -> list[SlotState]:
        """Lists the waiting slots that have been dispatched before."""
        return [self._states[slot] for slot in self._retried]

    def get_fresh(self) -> Mapping[int, Collection[Slot]]:
        """Gives the slots that were never dispatched, by group."""
        return self._fresh

    def iterate_open_groups(self) -> Iterator[tuple[int, float | None]]:
        """Yields each group with open slots.

        With it comes the time at which its last slot was started, or None if
        one of its slots waits.
        """
        retried = {slot.group for slot in self._retried}
        for group, count in self._open_counts.items():
            waits = group in self._fresh or group in retried
            if count:
                yield group, None if waits else self._latest_starts.get(group)

    def list_ready(self) -> list[SlotState]:
        """Lists the slots whose samples wait for delivery, oldest first."""
        return [self._states[slot] for slot in self._ready]

    def start(self, state: SlotState, request_id: RequestId, now: float) -> None:
        """Notes that an attempt of a slot has begun."""
        if not state.running:
            self._latest_starts[state.slot.group] = now
        state.running[request_id] = now
        state.attempts += 1
        self._index(state)

    def stop(self, state: SlotState, request_id: RequestId) -> float | None:
        """Notes that an attempt has ended; gives the time of its start."""
        started = state.running.pop(request_id, None)
        self._index(state)
        return started

    def finish(self, state: SlotState, sample: Sample) -> None:
        """Moves an open slot on to delivery."""
        state.stage = SlotStage.FINISHED
        state.sample = sample
        self._close(state)
        self._ready[state.slot] = None
        self.held_bytes += state.held_bytes

    def send(self, state: SlotState) -> None:
        """Notes that a finished sample is on its way to the trainer."""
        state.stage = SlotStage.SENT
        del self._ready[state.slot]
        self.sent_bytes += state.held_bytes

    def unsend_all(self) -> None:
        """Makes every sample that was sent but not acknowledged ready again."""
        for state in self._states.values():
            if state.stage is SlotStage.SENT:
                self.sent_bytes -= state.held_bytes
                state.stage = SlotStage.FINISHED
                self._ready[state.slot] = None

    def reopen_all_but(self, received: Collection[Slot]) -> None:
        """Reopens acknowledged slots that the trainer says it has not."""
        for state in self._states.values():
            if state.stage is SlotStage.ACKNOWLEDGED and state.slot not in received:
                self._acknowledged_count -= 1
                self.discard(state)

    def discard(self, state: SlotState) -> None:
        """Drops a slot's sample, so that it is made again."""
        self._drop_sample(state)
        state.stage = SlotStage.OPEN
        self._open[state.slot] = None
        self._open_counts[state.slot.group] += 1
        self._index(state)

    def acknowledge(self, state: SlotState) -> bool:
        """Notes that the trainer has a sample, wherever it came from.

        Returns:
            Whether this is news.
        """
        if state.stage is SlotStage.ACKNOWLEDGED:
            return False
        self._drop_sample(state)
        state.stage = SlotStage.ACKNOWLEDGED
        self._close(state)
        self._acknowledged_count += 1
        return True

    def _close(self, state: SlotState) -> None:
        if state.slot in self._open:
            del self._open[state.slot]
            self._open_counts[state.slot.group] -= 1
        self._index(state)

    def _index(self, state: SlotState) -> None:
        slot = state.slot
        self._retried.pop(slot, None)
        group = self._fresh.get(slot.group)
        if state.is_waiting and state.attempts:
            self._retried[slot] = None
        elif state.is_waiting:
            self._fresh.setdefault(slot.group, {})[slot] = None
            return
        if group is not None:
            group.pop(slot, None)
            if not group:
                del self._fresh[slot.group]

    def _drop_sample(self, state: SlotState) -> None:
        if state.stage is SlotStage.SENT:
            self.sent_bytes -= state.held_bytes
        self.held_bytes -= state.held_bytes
        self._ready.pop(state.slot, None)
        state.sample = None
