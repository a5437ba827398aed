"""What a lot asks its daemon to do, and the samples that it hands over."""

from dataclasses import dataclass

from buckthornstile.base import (
    ErrorCode,
    LotId,
    RequestId,
    WeightVersion,
)
from buckthornstile.wire import Slot, TokenRange


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished sample with the weight versions that made it.

    Args:
        slot: Which sample of the lot it is.
        body: The engine's JSON answer.
        labels: Which weight versions made which tokens.
        request_id: The request that made it.
        generated_tokens: Its length, in tokens.

    Example:
        >>> labels = (TokenRange(0, 4, WeightVersion(2)),)
        >>> Sample(Slot(0, 1), b"{}", labels).oldest_version
        2
    """

    slot: Slot
    body: bytes
    labels: tuple[TokenRange, ...]
    request_id: RequestId = RequestId("")
    generated_tokens: int = 0

    @property
    def oldest_version(self) -> WeightVersion:
        """The oldest version that made any of its tokens."""
        return min(label.version for label in self.labels)

    @property
    def newest_version(self) -> WeightVersion:
        """The newest version that made any of its tokens."""
        return max(label.version for label in self.labels)


@dataclass(frozen=True, slots=True)
class DispatchSlot:
    """Send a slot to an upstream, then call ``Lot.on_dispatched`` at once.

    Args:
        slot: The slot.
        attempt: Counts the slot's dispatches, from 1.
        prompt: The group's prompt.
        max_tokens: The most tokens to make.
        expected_tokens: The work that it is likely to take, in tokens.
        slack: Seconds that the lot can spare.
        timeout: Seconds until the lot's deadline.
        attach: The trainer's attach number.
        minimum_version: The oldest weights that may make the sample.
        prefix_hash: The group's hash, for prefix affinity.
        hedge: Whether another attempt of the slot still runs.
        running: That attempt's requests, whose upstreams are to be avoided.
    """

    slot: Slot
    attempt: int
    prompt: str
    max_tokens: int
    expected_tokens: int
    slack: float
    timeout: float
    attach: int
    minimum_version: WeightVersion
    prefix_hash: str
    hedge: bool = False
    running: tuple[RequestId, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelSlot:
    """Cancel a request whose result is no longer wanted."""

    request_id: RequestId
    reason: str


@dataclass(frozen=True, slots=True)
class DeliverSample:
    """Write a sample to the trainer's stream of this attach, now."""

    sample: Sample
    attach: int


@dataclass(frozen=True, slots=True)
class CutDelivery:
    """Close the trainer's stream of an older attach."""

    attach: int


@dataclass(frozen=True, slots=True)
class ReleaseSamples:
    """Tell the agents that the trainer has these samples."""

    lot: LotId
    slots: tuple[Slot, ...]


@dataclass(frozen=True, slots=True)
class CompleteLot:
    """Write the end of the stream: the trainer has every sample."""

    attach: int
    delivered: int


@dataclass(frozen=True, slots=True)
class FailLot:
    """Write an error to the trainer's stream and forget the lot."""

    attach: int
    code: ErrorCode
    message: str


Action = (
    DispatchSlot
    | CancelSlot
    | DeliverSample
    | CutDelivery
    | ReleaseSamples
    | CompleteLot
    | FailLot
)
