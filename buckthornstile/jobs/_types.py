"""Batch jobs, their items and results."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from buckthornstile.base import AccountId, KeyId
from buckthornstile.topology import ModelName

JobId = NewType("JobId", str)
ItemId = NewType("ItemId", str)


@dataclass(frozen=True, slots=True)
class ScoreCall:
    """The request whose signature becomes an item's score."""

    id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class JobItem:
    """One request of a batch job; ``headers`` go to the upstream as they are.

    ``expected_tokens`` is the client's estimate of what it generates, or 0.
    """

    id: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str = ""
    score_call: ScoreCall | None = None
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True)
class JobSpecification:
    """A batch job as it was accepted.

    ``wanted_groups`` is how many whole groups its trainer waits for;
    ``submitted_at`` is seconds since the epoch on the accepting process's clock;
    ``time_limit`` the seconds after which it is given up, or 0 for its route's
    retention. A job with a ``key`` ends when that key is withdrawn.
    """

    id: JobId
    account: AccountId
    host: str
    path_prefix: str
    submitted_at: float
    items: tuple[JobItem, ...]
    model: ModelName | None = None
    minimum_version: int = 0
    wanted_groups: int = 0
    step: int = -1
    time_limit: float = 0.0
    key: KeyId = KeyId("")


class ResultState(Enum):
    """How an item ended."""

    COMPLETE = "complete"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """Consecutive events that one version of the weights made."""

    version: int
    events: int


@dataclass(frozen=True, slots=True)
class ItemResult:
    """What is listed of an item; ``version_spans`` are in the order of its events."""

    item: ItemId
    state: ResultState
    text: str = ""
    version_spans: tuple[VersionSpan, ...] = ()
    score: str = ""

    @property
    def versions(self) -> tuple[int, ...]:
        """The versions that made its events."""
        return tuple(sorted({run.version for run in self.version_spans}))
