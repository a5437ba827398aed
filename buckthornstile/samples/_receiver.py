"""The trainer's record of the samples of a lot that it has received."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, WeightVersion
from buckthornstile.samples._lines import SampleLine, digest_body
from buckthornstile.samples._specification import LotSpecification
from buckthornstile.samples._types import Slot


class ReceiveResult(Enum):
    """Outcome of receiving a sample."""

    NEW = "new"
    DUPLICATE = "duplicate"
    TOO_OLD = "too_old"


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Request by which a trainer attaches to a lot, for the first time or again.

    Args:
        attach: The attach number, greater than all previous ones.
        received: Slots of the samples that the trainer has received.
        specification: The lot, with the trainer's current version.
    """

    attach: int
    received: tuple[Slot, ...]
    specification: LotSpecification

    def to_json(self) -> dict[str, object]:
        """Returns the body of the request to ``POST /v1/lots``."""
        return {
            "specification": self.specification.model_dump(mode="json"),
            "attach": self.attach,
            "received": [[slot.group, slot.index] for slot in self.received],
        }


class SampleReceiver:
    """Validates the samples of a lot, removes duplicates and numbers attach requests.

    Args:
        specification: The lot.
        first_attach: The first attach number. A trainer that may have attached
            before a restart passes seconds since the epoch, so that its numbers
            keep increasing.

    Example:
        >>> from buckthornstile.samples import GroupSpecification
        >>> group = GroupSpecification(prompt="p", samples=1)
        >>> lot = LotSpecification(lot="l", trainer="t", groups=(group,), version=3)
        >>> receiver = SampleReceiver(lot)
        >>> receiver.make_attach_request().attach
        1
        >>> line = SampleLine(group=0, index=0, body={}, labels=((0, 1, 2),),
        ...     digest=digest_body({}))
        >>> receiver.receive(line), receiver.receive(line), receiver.is_complete
        (<ReceiveResult.NEW: 'new'>, <ReceiveResult.DUPLICATE: 'duplicate'>, True)
    """

    def __init__(
        self, specification: LotSpecification, *, first_attach: int = 1
    ) -> None:
        self.specification = specification
        self.trainer_version = WeightVersion(specification.version)
        self.duplicate_count = 0
        self.too_old_count = 0
        self.needs_attach = True
        self.next_attach = first_attach
        self._received: set[Slot] = set()
        self._unacknowledged: set[Slot] = set()

    @property
    def is_complete(self) -> bool:
        """Whether every sample of the lot has been received."""
        return len(self._received) == self.specification.slot_count

    @property
    def received(self) -> tuple[Slot, ...]:
        """Received slots, in order."""
        return tuple(sorted(self._received))

    @property
    def unacknowledged(self) -> tuple[Slot, ...]:
        """Received slots whose acknowledgement no entry has accepted yet, in order."""
        return tuple(sorted(self._unacknowledged))

    def make_attach_request(self) -> AttachRequest:
        """Returns the next attach request, whose number is never used again."""
        attach = self.next_attach
        self.next_attach += 1
        self.needs_attach = False
        specification = self.specification.model_copy(
            update={"version": self.trainer_version}
        )
        return AttachRequest(attach, self.received, specification)

    def update_trainer_version(self, version: int) -> None:
        """Updates the trainer's version and ignores an older one.

        Args:
            version: The trainer's current weight version.
        """
        self.trainer_version = WeightVersion(max(self.trainer_version, version))

    def receive(self, line: SampleLine) -> ReceiveResult:
        """Validates and records a sample.

        Args:
            line: The sample.

        Returns:
            ``NEW`` exactly once for each slot. ``TOO_OLD`` requires a new attach,
            which requests the slot again.

        Raises:
            BuckthornstileError: With ``ANSWER_CROSSED`` for a slot of another
                lot, ``ANSWER_TRUNCATED`` for a wrong digest, or
                ``VERSION_UNVERIFIABLE`` for labels that are missing, leave gaps or
                overlap.
        """
        self._check(line)
        if line.slot in self._received:
            self.duplicate_count += 1
            self._unacknowledged.add(line.slot)
            return ReceiveResult.DUPLICATE
        oldest = min(label[2] for label in line.labels)
        if oldest < self.specification.get_minimum_version(self.trainer_version):
            self.too_old_count += 1
            self.needs_attach = True
            return ReceiveResult.TOO_OLD
        self._received.add(line.slot)
        self._unacknowledged.add(line.slot)
        return ReceiveResult.NEW

    def mark_acknowledged(self, slots: Iterable[Slot]) -> None:
        """Records that an entry has accepted an acknowledgement.

        Args:
            slots: The acknowledged slots.
        """
        self._unacknowledged.difference_update(slots)

    def _check(self, line: SampleLine) -> None:
        if not self.specification.has_slot(line.slot):
            raise _make_error(
                ErrorCode.ANSWER_CROSSED, "a sample does not belong to this lot"
            )
        if digest_body(line.body) != line.digest:
            raise _make_error(
                ErrorCode.ANSWER_TRUNCATED, "a sample does not match its digest"
            )
        next_event = 0
        for first, last, _ in line.labels:
            if first != next_event or last < first:
                raise _make_error(
                    ErrorCode.VERSION_UNVERIFIABLE,
                    "the labels of a sample leave gaps or overlap",
                )
            next_event = last + 1
        if not line.labels:
            raise _make_error(ErrorCode.VERSION_UNVERIFIABLE, "a sample has no labels")


def _make_error(code: ErrorCode, message: str) -> BuckthornstileError:
    return BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)
