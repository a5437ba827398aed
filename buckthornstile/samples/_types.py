"""Types for slots, weight-version labels and samples."""

from dataclasses import dataclass

from buckthornstile.base import RequestId, WeightVersion


@dataclass(frozen=True, slots=True)
class TokenRange:
    """A range of a sample's events that one weight version generated.

    Events are tokens if the engine sends each token as a separate event.

    Args:
        first: Index of the first event.
        last: Index of the last event, inclusive.
        version: The weight version.
    """

    first: int
    last: int
    version: WeightVersion


@dataclass(frozen=True, slots=True, order=True)
class Slot:
    """Position of one sample in a lot.

    Args:
        group: Index of the group in the lot.
        index: Index of the sample in the group.
    """

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished sample with the weight versions that generated it.

    Args:
        slot: Its position in the lot.
        body: The JSON object that is sent to the trainer.
        labels: The weight version of each range of its events.
        request_id: Id of the request that generated it.

    Example:
        >>> labels = (TokenRange(0, 4, WeightVersion(2)),)
        >>> Sample(Slot(0, 1), b"{}", labels).slot.index
        1
    """

    slot: Slot
    body: bytes
    labels: tuple[TokenRange, ...]
    request_id: RequestId = RequestId("")
