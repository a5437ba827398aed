"""A lot that a trainer has open at this entry, and the lines on their way to it."""

import asyncio
from collections import deque

from pydantic import TypeAdapter, ValidationError

from buckthornstile.base import (
    OPEN_ROUTE_KEY,
    AccountId,
    BuckthornstileError,
    ErrorCode,
    RequestClass,
    RequestId,
)
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.records import Rule
from buckthornstile.samples import (
    HeartbeatLine,
    Lot,
    LotSpecification,
    encode_line,
)
from buckthornstile.wire import (
    Slot,
)

LINE_HEARTBEAT_SECONDS = 1.0
_SLOTS: TypeAdapter[list[tuple[int, int]]] = TypeAdapter(list[tuple[int, int]])


class LotStream:
    """The lines on their way to one attach of a trainer.

    Args:
        request_class: The lot's class, for metrics.
    """

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self.closed = False
        self._lines: deque[bytes] = deque()
        self._event = asyncio.Event()
        self._ended = False

    def put(self, line: bytes) -> None:
        """Adds a line."""
        if not self._ended:
            self._lines.append(line)
            self._event.set()

    def end(self) -> None:
        """Ends the stream after the lines that wait."""
        self._ended = True
        self._event.set()

    def close(self) -> None:
        """Ends the stream at once: the trainer has gone."""
        self.closed = True
        self._lines.clear()
        self.end()

    async def next_line(self) -> bytes | None:
        """Waits for the next line, or writes a heartbeat in silence.

        Returns:
            The line, or None at the end.
        """
        while not self._lines:
            if self._ended:
                return None
            self._event.clear()
            try:
                async with asyncio.timeout(LINE_HEARTBEAT_SECONDS):
                    await self._event.wait()
            except TimeoutError:
                return encode_line(HeartbeatLine())
        return self._lines.popleft()


class OpenLot:
    """One lot with its requests and its trainer's stream.

    Args:
        lot: The lot's state.
        account: The client account.
        rule: The rule that serves it.
        now: The clock reading, in seconds.
    """

    def __init__(self, lot: Lot, *, account: AccountId, rule: Rule, now: float) -> None:
        self.lot = lot
        self.account = account
        self.key_id = OPEN_ROUTE_KEY
        self.rule = rule
        self.stream: LotStream | None = None
        self.requests: dict[RequestId, tuple[AgentLink, PendingRequest]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.streamless_since = now
        self.opened_at = now

    @property
    def specification(self) -> LotSpecification:
        """What the trainer wants."""
        return self.lot.specification


def parse_slots(value: object) -> list[Slot]:
    """Reads a list of ``[group, index]`` pairs.

    Args:
        value: The decoded JSON value.

    Returns:
        The slots.

    Raises:
        BuckthornstileError: With ``LOT_INVALID``.

    Example:
        >>> parse_slots([[0, 1]])
        [Slot(group=0, index=1)]
    """
    try:
        return [Slot(group, index) for group, index in _SLOTS.validate_python(value)]
    except ValidationError as error:
        raise BuckthornstileError(
            ErrorCode.LOT_INVALID, "slots must be pairs of group and index"
        ) from error
