"""Small values inside messages."""

from dataclasses import dataclass

from buckthornstile.base import (
    Offset,
    WeightVersion,
)


@dataclass(frozen=True, slots=True)
class TokenRange:
    """Tokens ``first`` to ``last``, inclusive, made by one weight version."""

    first: int
    last: int
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class RelayedRecord:
    """A record of the log, passed on between processes."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True, order=True)
class Slot:
    """One wanted sample of a lot."""

    group: int
    index: int
