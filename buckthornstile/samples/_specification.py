"""Specification of a lot: the samples that a trainer requests, grouped by prompt."""

import hashlib
from collections.abc import Iterator
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    LotId,
    TrainerId,
    WeightVersion,
)
from buckthornstile.samples._types import Slot

MAX_SLOTS = 16_384
"""Maximum number of samples in a lot."""
MAX_PROMPT_CHARACTERS = 1 << 18
MAX_TOKENS = 1 << 17
"""Maximum number of tokens of a sample."""
MAX_TIMEOUT_S = 6 * 3600.0
"""Maximum timeout of a lot, in seconds."""
_ID_PATTERN = r"^[^\s/]+$"

_Id = Annotated[str, Field(min_length=1, max_length=128, pattern=_ID_PATTERN)]


class GroupSpecification(BaseModel):
    """A group of samples that share one prompt.

    Args:
        prompt: The prompt.
        samples: Number of samples requested.
        max_tokens: Maximum number of tokens of each sample.
        expected_tokens: The trainer's estimate of a sample's length, in tokens; 0 if
            it has none.

    Example:
        >>> GroupSpecification(prompt="set the saw", samples=8).max_tokens
        256
    """

    model_config = ConfigDict(frozen=True, extra="forbid")
    prompt: str = Field(max_length=MAX_PROMPT_CHARACTERS)
    samples: int = Field(ge=1, le=MAX_SLOTS)
    max_tokens: int = Field(default=256, ge=1, le=MAX_TOKENS)
    expected_tokens: int = Field(default=0, ge=0, le=MAX_TOKENS)

    @property
    def prefix_hash(self) -> str:
        """Hash of the prompt that all samples of the group share.

        Example:
            >>> GroupSpecification(prompt="a", samples=1).prefix_hash
            '40f89e395b66422f'
        """
        return hash_prefix(self.prompt)


class LotSpecification(BaseModel):
    """A lot: the samples that a trainer requests for one training step.

    Args:
        lot: The lot's id, unique for the trainer.
        trainer: The trainer's id.
        groups: The groups of samples; a slot's group is an index into them.
        version: The trainer's current weight version.
        maximum_age: Number of versions by which a sample may be behind the trainer.
        timeout: Time after which the trainer abandons the lot, in seconds.
        path: Path of the requests to the upstream.

    Example:
        >>> group = GroupSpecification(prompt="p", samples=2)
        >>> lot = LotSpecification(lot="l", trainer="t", groups=(group,), version=3)
        >>> list(lot.iterate_slots())
        [Slot(group=0, index=0), Slot(group=0, index=1)]
    """

    model_config = ConfigDict(frozen=True, extra="forbid")
    lot: _Id
    trainer: _Id
    groups: tuple[GroupSpecification, ...] = Field(min_length=1, max_length=MAX_SLOTS)
    version: int = Field(ge=0)
    maximum_age: int = Field(default=1, ge=0, le=1000)
    timeout: float = Field(default=600.0, gt=0, le=MAX_TIMEOUT_S)
    path: str = Field(default="/v1/completions", pattern=r"^/", max_length=1024)

    @model_validator(mode="after")
    def _check_slots(self) -> "LotSpecification":
        if self.slot_count > MAX_SLOTS:
            raise ValueError(
                f"the lot has {self.slot_count} samples; the maximum is {MAX_SLOTS}"
            )
        return self

    @property
    def trainer_id(self) -> TrainerId:
        """The trainer's id, as a ``TrainerId``."""
        return TrainerId(self.trainer)

    @property
    def slot_count(self) -> int:
        """Number of samples in all groups."""
        return sum(group.samples for group in self.groups)

    def iterate_slots(self) -> Iterator[Slot]:
        """Yields the slots of the lot, ordered by group and index."""
        for group_index, group in enumerate(self.groups):
            for index in range(group.samples):
                yield Slot(group_index, index)

    def has_slot(self, slot: Slot) -> bool:
        """Whether a slot belongs to the lot.

        Args:
            slot: The slot.
        """
        if not 0 <= slot.group < len(self.groups):
            return False
        return 0 <= slot.index < self.groups[slot.group].samples

    def get_minimum_version(self, trainer_version: WeightVersion) -> WeightVersion:
        """Returns the oldest weight version that may generate a sample.

        Args:
            trainer_version: The trainer's newest known version.
        """
        return WeightVersion(max(0, trainer_version - self.maximum_age))


def make_lot_id(account: AccountId, trainer: str, lot: str) -> LotId:
    """Returns a lot's id that is unique across all client accounts.

    Args:
        account: The client account to which the trainer's key belongs.
        trainer: The trainer's id.
        lot: The lot's id at the trainer.

    Example:
        >>> make_lot_id(AccountId("mill-7"), "geometry", "step-9")
        'mill-7/geometry/step-9'
    """
    return LotId(f"{account}/{trainer}/{lot}")


def hash_prefix(prompt: str) -> str:
    """Returns the hash that identifies a prompt in the prefix caches of engines.

    Args:
        prompt: The prompt.

    Returns:
        16 hexadecimal digits.

    Example:
        >>> hash_prefix("a") == hash_prefix("b")
        False
    """
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


def parse_specification(data: object) -> LotSpecification:
    """Parses and validates the specification that a trainer sent.

    Args:
        data: The decoded JSON object.

    Returns:
        The specification.

    Raises:
        BuckthornstileError: With ``LOT_INVALID``, with the first invalid field
            in the message.

    Example:
        >>> parse_specification({"lot": "l"})
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: trainer: Field required
    """
    try:
        return LotSpecification.model_validate(data)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        location = ".".join(str(part) for part in first["loc"]) or "specification"
        raise BuckthornstileError(
            ErrorCode.LOT_INVALID, f"{location}: {first['msg']}"
        ) from error
