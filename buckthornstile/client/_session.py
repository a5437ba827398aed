"""Decides how a trainer follows one lot over breaks, silences and restarts."""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.client._retry import FINAL_CODES
from buckthornstile.samples import (
    AttachRequest,
    EndLine,
    ErrorLine,
    HeartbeatLine,
    Line,
    ReceiveResult,
    SampleLine,
    SampleReceiver,
)

_MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True)
class SessionPolicy:
    """How patiently a trainer follows a lot.

    Args:
        silence_timeout: Seconds without any line after which the trainer
            attaches through another entry.
        first_delay: Seconds before the second attach in a row that brought
            nothing; doubles.
        maximum_delay: The greatest such delay, in seconds.

    Example:
        >>> SessionPolicy().silence_timeout
        3.0
    """

    silence_timeout: float = 3.0
    first_delay: float = 0.05
    maximum_delay: float = 1.0


class SessionAction(Enum):
    """What the trainer's client does next."""

    READ = "read"
    YIELD = "yield"
    ATTACH = "attach"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class AttachAttempt:
    """An attach to send.

    Args:
        request: The attach.
        entry: The index of the entry to send it to.
        delay: Seconds to wait before.
    """

    request: AttachRequest
    entry: int
    delay: float


class LotSession:
    """One lot, as its trainer follows it through any of several entries.

    Args:
        received: What the trainer has.
        entry_count: Entries to choose from.
        now: The time, in seconds.
        first_entry: The entry to begin with.
        policy: How patiently to follow.

    Example:
        >>> from buckthornstile.samples import GroupSpecification, LotSpecification
        >>> group = GroupSpecification(prompt="p", samples=1)
        >>> wanted = LotSpecification(lot="l", trainer="t", groups=(group,), version=1)
        >>> session = LotSession(SampleReceiver(wanted), entry_count=2, now=0.0)
        >>> session.begin_attach(0.0).entry
        0
        >>> session.on_stream_failed(1.0)
        <SessionAction.ATTACH: 'attach'>
        >>> session.begin_attach(1.0).entry
        1
    """

    def __init__(
        self,
        received: SampleReceiver,
        *,
        entry_count: int,
        now: float,
        first_entry: int = 0,
        policy: SessionPolicy | None = None,
    ) -> None:
        self.received = received
        self.entry_count = entry_count
        self.entry = first_entry
        self.policy = policy or SessionPolicy()
        self.deadline = now + received.specification.timeout
        self.attach: AttachAttempt | None = None
        self.attach_count = 0
        self._vain_attaches = 0
        self._retry_after = 0.0

    def get_read_timeout(self, now: float) -> float:
        """Gives the seconds to wait for the next line, from now on.

        Silence counts from the moment at which the client begins to read, since
        the trainer may have been busy with the sample before.

        Args:
            now: The time, in seconds.
        """
        return max(0.0, min(self.deadline - now, self.policy.silence_timeout))

    def begin_attach(self, now: float) -> AttachAttempt:
        """Makes the next attach.

        Args:
            now: The time, in seconds.

        Raises:
            BuckthornstileError: With ``DEADLINE_PASSED``.
        """
        if now >= self.deadline:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "the lot's timeout has passed",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        delay = max(self._get_backoff(), self._retry_after)
        self._retry_after = 0.0
        self.attach_count += 1
        self._vain_attaches += 1
        self.attach = AttachAttempt(
            self.received.make_attach_request(), self.entry, delay
        )
        return self.attach

    def on_stream_failed(
        self, now: float, error: BuckthornstileError | None = None
    ) -> SessionAction:
        """Takes in that a stream broke, fell silent or was refused.

        Args:
            now: The time, in seconds.
            error: The entry's error, if it gave one.

        Raises:
            BuckthornstileError: That error, if no entry would decide otherwise.
        """
        if error is not None and error.code in FINAL_CODES:
            raise error
        if error is not None:
            self._retry_after = error.retry_after or 0.0
        if self.received.is_complete:
            return SessionAction.FINISH
        self.entry = (self.entry + 1) % self.entry_count
        return SessionAction.ATTACH

    @singledispatchmethod
    def on_line(self, line: Line, now: float) -> SessionAction:
        """Takes in one line of the stream.

        Args:
            line: The line.
            now: The time, in seconds.

        Returns:
            What to do next; ``YIELD`` for a sample that is new.

        Raises:
            BuckthornstileError: For an error that no entry would decide
                otherwise.
        """
        raise TypeError(f"not a line: {line!r}")

    @on_line.register
    def _(self, line: SampleLine, now: float) -> SessionAction:
        try:
            receipt = self.received.receive(line)
        except BuckthornstileError:
            return self.on_stream_failed(now)
        if receipt is ReceiveResult.NEW:
            self._vain_attaches = 0
            return SessionAction.YIELD
        if receipt is ReceiveResult.DUPLICATE:
            return SessionAction.READ
        # The entry makes the slot again, now that it learns the version; one
        # that brings nothing new is left.
        return (
            self.on_stream_failed(now) if self._vain_attaches else SessionAction.ATTACH
        )

    @on_line.register
    def _(self, line: HeartbeatLine, now: float) -> SessionAction:
        return SessionAction.READ

    @on_line.register
    def _(self, line: EndLine, now: float) -> SessionAction:
        return self.on_stream_failed(now)

    @on_line.register
    def _(self, line: ErrorLine, now: float) -> SessionAction:
        error = BuckthornstileError(
            line.code,
            line.message,
            verdict=line.verdict,
            retry_after=line.retry_after,
        )
        return self.on_stream_failed(now, error)

    def _get_backoff(self) -> float:
        if self._vain_attaches == 0:
            return 0.0
        doublings = min(self._vain_attaches - 1, _MAX_DOUBLINGS)
        return min(self.policy.first_delay * 2.0**doublings, self.policy.maximum_delay)
