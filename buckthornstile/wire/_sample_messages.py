"""Messages about finished samples and counted usage."""

from dataclasses import dataclass

from buckthornstile.base import (
    Incarnation,
    LotId,
    RequestId,
)
from buckthornstile.wire._values import Slot, TokenRange


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """Asks an agent for a lot's finished, unacknowledged samples."""

    lot: LotId
    attach: int


@dataclass(frozen=True, slots=True)
class FinishedSample:
    """A finished sample that an agent keeps until it is acknowledged."""

    request_id: RequestId
    lot: LotId
    slot_group: int
    slot_index: int
    body: bytes
    digest: bytes
    labels: tuple[TokenRange, ...] = ()
    prompt_tokens: int = 0
    generated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class FinishedList:
    """The answer to :class:`FinishedRequest`."""

    lot: LotId
    attach: int
    samples: tuple[FinishedSample, ...] = ()


@dataclass(frozen=True, slots=True)
class AcknowledgeSamples:
    """The trainer has these samples; the agent may forget them."""

    lot: LotId
    slots: tuple[Slot, ...]


@dataclass(frozen=True, slots=True)
class ConfirmUsage:
    """The log holds an entry's usage up to and including this counter."""

    entry: Incarnation
    through: int
