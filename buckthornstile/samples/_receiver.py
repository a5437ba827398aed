"""What a trainer has received of a lot: the truth of what was delivered."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, WeightVersion
from buckthornstile.samples._lines import SampleLine, digest_body
from buckthornstile.samples._specification import LotSpecification
from buckthornstile.samples._types import Slot


class ReceiveResult(Enum):
    """What became of a sample that came in."""

    NEW = "new"
    DUPLICATE = "duplicate"
    TOO_OLD = "too_old"


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """What a trainer sends to attach, or to attach again.

    Args:
        attach: The attach number, greater than all before.
        received: The slots whose samples the trainer has.
        specification: The lot, with the trainer's version of now.
    """

    attach: int
    received: tuple[Slot, ...]
    specification: LotSpecification

    def to_json(self) -> dict[str, object]:
        """Gives the body of the attach, as ``POST /v1/lots`` takes it."""
        return {
            "specification": self.specification.model_dump(mode="json"),
            "attach": self.attach,
            "received": [[slot.group, slot.index] for slot in self.received],
        }


class SampleReceiver:
    """Removes duplicates, refuses broken or old samples, and counts attaches.

    Args:
        specification: The lot.
        first_attach: The first attach number. A trainer that may have attached
            in an earlier life passes seconds since the epoch, so that its
            numbers go on growing.

    Example:
        >>> from buckthornstile.samples import GroupSpecification
        >>> group = GroupSpecification(prompt="p", samples=1)
        >>> wanted = LotSpecification(lot="l", trainer="t", groups=(group,), version=3)
        >>> received = SampleReceiver(wanted)
        >>> received.make_attach_request().attach
        1
        >>> line = SampleLine(group=0, index=0, body={}, labels=((0, 1, 2),),
        ...     digest=digest_body({}))
        >>> received.receive(line), received.receive(line), received.is_complete
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
        """The slots received, in order."""
        return tuple(sorted(self._received))

    @property
    def unacknowledged(self) -> tuple[Slot, ...]:
        """Received slots whose acknowledgement has not been confirmed."""
        return tuple(sorted(self._unacknowledged))

    def make_attach_request(self) -> AttachRequest:
        """Makes the next attach; its number is never used again."""
        attach = self.next_attach
        self.next_attach += 1
        self.needs_attach = False
        specification = self.specification.model_copy(
            update={"version": self.trainer_version}
        )
        return AttachRequest(attach, self.received, specification)

    def update_trainer_version(self, version: int) -> None:
        """Takes in the trainer's version; an older one changes nothing.

        Args:
            version: The trainer's current weight version.
        """
        self.trainer_version = WeightVersion(max(self.trainer_version, version))

    def receive(self, line: SampleLine) -> ReceiveResult:
        """Takes in a sample.

        Args:
            line: The sample.

        Returns:
            ``NEW`` exactly once for each slot. ``TOO_OLD`` asks for a new
            attach, by which the slot is made again.

        Raises:
            BuckthornstileError: With ``ANSWER_CROSSED`` for a slot of another
                lot, ``ANSWER_TRUNCATED`` for a wrong digest, or
                ``VERSION_UNVERIFIABLE`` for labels with gaps.
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
        """Takes in that an entry has taken an acknowledgement.

        Args:
            slots: The acknowledged slots.
        """
        self._unacknowledged.difference_update(slots)

    def _check(self, line: SampleLine) -> None:
        if not self.specification.has_slot(line.slot):
            raise _make_error(ErrorCode.ANSWER_CROSSED, "a sample of another lot came")
        if digest_body(line.body) != line.digest:
            raise _make_error(
                ErrorCode.ANSWER_TRUNCATED, "a sample does not match its digest"
            )
        position = 0
        for first, last, _ in line.labels:
            if first != position or last < first:
                raise _make_error(
                    ErrorCode.VERSION_UNVERIFIABLE, "a sample's labels leave gaps"
                )
            position = last + 1
        if not line.labels:
            raise _make_error(
                ErrorCode.VERSION_UNVERIFIABLE, "a sample came without labels"
            )


def _make_error(code: ErrorCode, message: str) -> BuckthornstileError:
    return BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)
