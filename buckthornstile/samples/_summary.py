"""What the status page says of a lot."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornstile.base import WeightVersion
from buckthornstile.samples._slots import SlotStage, SlotState


@dataclass(slots=True)
class LotCounters:
    """What happened in a lot.

    Args:
        discarded: Results that were too old or had no labels.
        duplicates: Results that came after their slot's first.
        hedges: Second attempts made.
    """

    discarded: int = 0
    duplicates: int = 0
    hedges: int = 0


@dataclass(frozen=True, slots=True)
class LotSummary:
    """Counts over a lot's slots.

    Args:
        slots: All slots.
        waiting: Slots for which nothing runs.
        running: Slots with a running attempt.
        finished: Samples that wait for delivery.
        sent: Samples on their way to the trainer.
        acknowledged: Samples that the trainer has.
        discarded: Results that were too old or had no labels.
        duplicates: Results that came after their slot's first.
        hedges: Second attempts made.
        maximum_age: The age of the oldest held sample, in versions.
        slack: Seconds that the lot can spare.
    """

    slots: int
    waiting: int
    running: int
    finished: int
    sent: int
    acknowledged: int
    discarded: int
    duplicates: int
    hedges: int
    maximum_age: int
    slack: float


def summarize_slots(
    states: Iterable[SlotState],
    *,
    trainer_version: WeightVersion,
    slack: float,
    counters: LotCounters,
) -> LotSummary:
    """Counts slots by stage.

    Args:
        states: The slots.
        trainer_version: The trainer's version, from which ages count.
        slack: Seconds that the lot can spare.
        counters: What happened in the lot.

    Example:
        >>> from buckthornstile.wire import Slot
        >>> summarize_slots([SlotState(Slot(0, 0))], trainer_version=1, slack=9.0,
        ...     counters=LotCounters()).waiting
        1
    """
    states = list(states)
    stages = Counter(state.stage for state in states)
    samples = [state.sample for state in states if state.sample is not None]
    ages = [trainer_version - sample.oldest_version for sample in samples]
    return LotSummary(
        slots=len(states),
        waiting=sum(state.is_waiting for state in states),
        running=sum(state.is_running for state in states),
        finished=stages[SlotStage.FINISHED],
        sent=stages[SlotStage.SENT],
        acknowledged=stages[SlotStage.ACKNOWLEDGED],
        discarded=counters.discarded,
        duplicates=counters.duplicates,
        hedges=counters.hedges,
        maximum_age=max([0, *ages]),
        slack=slack,
    )
