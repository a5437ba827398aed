"""Slots, version labels and samples."""

from dataclasses import dataclass

from buckthornstile.base import RequestId, WeightVersion


@dataclass(frozen=True, slots=True)
class TokenRange:
    """Events ``first`` to ``last``, inclusive, made by one weight version.

    An engine that sends each token as an event of its own makes these tokens.
    """

    first: int
    last: int
    version: WeightVersion


@dataclass(frozen=True, slots=True, order=True)
class Slot:
    """One wanted sample of a lot."""

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished sample with the weight versions that made it.

    Args:
        slot: Which sample of the lot it is.
        body: The JSON object that its trainer gets.
        labels: Which weight versions made which events.
        request_id: The request that made it.

    Example:
        >>> labels = (TokenRange(0, 4, WeightVersion(2)),)
        >>> Sample(Slot(0, 1), b"{}", labels).slot.index
        1
    """

    slot: Slot
    body: bytes
    labels: tuple[TokenRange, ...]
    request_id: RequestId = RequestId("")
