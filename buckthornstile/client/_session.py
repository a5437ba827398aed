"""Decides when a trainer attaches to its lot again after a stream has failed."""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.client._retry import is_final
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
"""Limit of the backoff's exponent; ``2.0**1024`` would overflow a float."""


@dataclass(frozen=True, slots=True)
class SessionPolicy:
    """Timeout and delays for attaching to a lot.

    Args:
        silence_timeout: Seconds without a line on the stream after which the trainer
            attaches through another entry.
        first_delay: Seconds before the next attach after an attach that brought no
            new sample; the delay doubles with each further such attach.
        maximum_delay: Upper bound of the delay, in seconds.

    Example:
        >>> SessionPolicy().silence_timeout
        3.0
    """

    silence_timeout: float = 3.0
    first_delay: float = 0.05
    maximum_delay: float = 1.0


class SessionAction(Enum):
    """Next action of the trainer's client."""

    READ = "read"
    YIELD = "yield"
    ATTACH = "attach"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class AttachAttempt:
    """An attach request with its entry and delay.

    Args:
        request: The attach request.
        entry_index: Index of the entry that the request is sent to.
        delay: Seconds to wait before the request is sent.
    """

    request: AttachRequest
    entry_index: int
    delay: float


class LotSession:
    """State of one lot in the trainer's client, kept while it changes entries.

    Args:
        received: Receiver of the lot's samples.
        entry_count: Number of entries to choose from.
        now: Current time, in seconds.
        first_entry_index: Index of the entry of the first attach.
        policy: Timeout and delays.
        key_was_accepted: Whether an entry has accepted the trainer's key.

    Example:
        >>> from buckthornstile.samples import GroupSpecification, LotSpecification
        >>> group = GroupSpecification(prompt="p", samples=1)
        >>> specification = LotSpecification(
        ...     lot="l", trainer="t", groups=(group,), version=1)
        >>> receiver = SampleReceiver(specification)
        >>> session = LotSession(receiver, entry_count=2, now=0.0)
        >>> session.start_attach(0.0).entry_index
        0
        >>> session.on_stream_failed(1.0)
        <SessionAction.ATTACH: 'attach'>
        >>> session.start_attach(1.0).entry_index
        1
    """

    def __init__(
        self,
        received: SampleReceiver,
        *,
        entry_count: int,
        now: float,
        first_entry_index: int = 0,
        policy: SessionPolicy | None = None,
        key_was_accepted: bool = False,
    ) -> None:
        self.key_was_accepted = key_was_accepted
        self.received = received
        self.entry_count = entry_count
        self.entry_index = first_entry_index
        self.policy = policy or SessionPolicy()
        self.deadline = now + received.specification.timeout
        self.last_attach_attempt: AttachAttempt | None = None
        self.attach_count = 0
        self._unproductive_attaches = 0
        self._retry_after = 0.0

    def get_read_timeout(self, now: float) -> float:
        """Returns the seconds to wait for the next line.

        The silence timeout starts when the client starts to read, because the
        trainer may have been processing the previous sample until then.

        Args:
            now: Current time, in seconds.
        """
        return max(0.0, min(self.deadline - now, self.policy.silence_timeout))

    def start_attach(self, now: float) -> AttachAttempt:
        """Creates the next attach attempt.

        Args:
            now: Current time, in seconds.

        Raises:
            BuckthornstileError: With ``DEADLINE_PASSED`` after the lot's timeout.
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
        self._unproductive_attaches += 1
        self.last_attach_attempt = AttachAttempt(
            self.received.make_attach_request(), self.entry_index, delay
        )
        return self.last_attach_attempt

    def on_stream_failed(
        self, now: float, error: BuckthornstileError | None = None
    ) -> SessionAction:
        """Returns the next action after a stream ended, timed out or was refused.

        Args:
            now: Current time, in seconds.
            error: Error of the entry or the connection, if there is one.

        Raises:
            BuckthornstileError: ``error``, if every entry would return it.
        """
        if error is not None and is_final(
            error, key_was_accepted=self.key_was_accepted
        ):
            raise error
        if error is not None:
            self._retry_after = error.retry_after or 0.0
        if self.received.is_complete:
            return SessionAction.FINISH
        self.entry_index = (self.entry_index + 1) % self.entry_count
        return SessionAction.ATTACH

    @singledispatchmethod
    def on_line(self, line: Line, now: float) -> SessionAction:
        """Processes one line of the stream.

        Args:
            line: The decoded line.
            now: Current time, in seconds.

        Returns:
            The next action; ``YIELD`` for a new sample.

        Raises:
            BuckthornstileError: For an error that every entry would return.
        """
        raise TypeError(f"unknown type of lot line: {line!r}")

    @on_line.register
    def _(self, line: SampleLine, now: float) -> SessionAction:
        self.key_was_accepted = True
        try:
            result = self.received.receive(line)
        except BuckthornstileError:
            return self.on_stream_failed(now)
        if result is ReceiveResult.NEW:
            self._unproductive_attaches = 0
            return SessionAction.YIELD
        if result is ReceiveResult.DUPLICATE:
            return SessionAction.READ
        # The sample is too old. A new attach sends the trainer's version, so that
        # the entry generates the slot again. If this stream has brought no new
        # sample, the attach is sent to the next entry instead of the same one.
        return (
            self.on_stream_failed(now)
            if self._unproductive_attaches
            else SessionAction.ATTACH
        )

    @on_line.register
    def _(self, line: HeartbeatLine, now: float) -> SessionAction:
        self.key_was_accepted = True
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
        if self._unproductive_attaches == 0:
            return 0.0
        doublings = min(self._unproductive_attaches - 1, _MAX_DOUBLINGS)
        return min(self.policy.first_delay * 2.0**doublings, self.policy.maximum_delay)
