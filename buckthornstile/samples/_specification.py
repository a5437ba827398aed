"""What a trainer asks for: one lot of samples, in groups with a shared prompt."""

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
MAX_PROMPT_CHARACTERS = 1 << 18
MAX_TOKENS = 1 << 17
MAX_TIMEOUT_S = 6 * 3600.0
_NAME = r"^[^\s/]+$"

_Name = Annotated[str, Field(min_length=1, max_length=128, pattern=_NAME)]


class GroupSpecification(BaseModel):
    """Samples that share one prompt.

    Args:
        prompt: The prompt.
        samples: How many samples are wanted.
        max_tokens: The most tokens of each sample.
        expected_tokens: The trainer's estimate of a sample's length; 0 for none.

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
        """The hash by which the group's samples prefer one upstream.

        Example:
            >>> GroupSpecification(prompt="a", samples=1).prefix_hash
            '40f89e395b66422f'
        """
        return hash_prefix(self.prompt)


class LotSpecification(BaseModel):
    """One training step's order of samples.

    Args:
        lot: The lot's id, unique for the trainer.
        trainer: The trainer.
        groups: The groups of samples; a slot's group is an index into them.
        version: The trainer's current weight version.
        maximum_age: Versions that a sample may be behind the trainer.
        timeout: Seconds until the trainer gives the lot up.
        path: The path at the upstream.

    Example:
        >>> group = GroupSpecification(prompt="p", samples=2)
        >>> lot = LotSpecification(lot="l", trainer="t", groups=(group,), version=3)
        >>> list(lot.iterate_slots())
        [Slot(group=0, index=0), Slot(group=0, index=1)]
    """

    model_config = ConfigDict(frozen=True, extra="forbid")
    lot: _Name
    trainer: _Name
    groups: tuple[GroupSpecification, ...] = Field(min_length=1, max_length=MAX_SLOTS)
    version: int = Field(ge=0)
    maximum_age: int = Field(default=1, ge=0, le=1000)
    timeout: float = Field(default=600.0, gt=0, le=MAX_TIMEOUT_S)
    path: str = Field(default="/v1/completions", pattern=r"^/", max_length=1024)

    @model_validator(mode="after")
    def _check_slots(self) -> "LotSpecification":
        if self.slot_count > MAX_SLOTS:
            raise ValueError(
                f"the lot has {self.slot_count} samples; it may have {MAX_SLOTS}"
            )
        return self

    @property
    def trainer_id(self) -> TrainerId:
        """The trainer's id, typed."""
        return TrainerId(self.trainer)

    @property
    def slot_count(self) -> int:
        """How many samples are wanted."""
        return sum(group.samples for group in self.groups)

    def iterate_slots(self) -> Iterator[Slot]:
        """Yields every slot, in order."""
        for number, group in enumerate(self.groups):
            for index in range(group.samples):
                yield Slot(number, index)

    def has_slot(self, slot: Slot) -> bool:
        """Says whether a slot belongs to the lot.

        Args:
            slot: The slot.
        """
        if not 0 <= slot.group < len(self.groups):
            return False
        return 0 <= slot.index < self.groups[slot.group].samples

    def get_minimum_version(self, trainer_version: WeightVersion) -> WeightVersion:
        """Gives the oldest version that a sample may be made by.

        Args:
            trainer_version: The trainer's newest known version.
        """
        return WeightVersion(max(0, trainer_version - self.maximum_age))


def make_lot_id(account: AccountId, trainer: str, lot: str) -> LotId:
    """Joins the names that make a lot's id unique over all client accounts.

    Args:
        account: The client account that the trainer's key stands for.
        trainer: The trainer.
        lot: The trainer's own name for the lot.

    Example:
        >>> make_lot_id(AccountId("mill-7"), "geometry", "step-9")
        'mill-7/geometry/step-9'
    """
    return LotId(f"{account}/{trainer}/{lot}")


def hash_prefix(prompt: str) -> str:
    """Hashes a prompt, for prefix affinity.

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
    """Validates a trainer's specification.

    Args:
        data: The decoded JSON object.

    Returns:
        The specification.

    Raises:
        BuckthornstileError: With ``LOT_INVALID``, naming the first wrong field.

    Example:
        >>> parse_specification({"lot": "l"})
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: trainer: Field required
    """
    try:
        return LotSpecification.model_validate(data)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"]) or "specification"
        raise BuckthornstileError(
            ErrorCode.LOT_INVALID, f"{place}: {first['msg']}"
        ) from error
