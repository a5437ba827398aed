"""Decides whether, when and through which entry a call is retried."""

import random
from dataclasses import dataclass

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.client._errors import get_worst_verdict

NON_RETRYABLE_CODES = frozenset(
    {
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.HEADERS_TOO_LARGE,
        ErrorCode.BODY_MALFORMED,
        ErrorCode.HEADER_INVALID,
        ErrorCode.ROUTE_UNKNOWN,
        ErrorCode.KEY_MISSING,
        ErrorCode.KEY_UNKNOWN,
        ErrorCode.KEY_WITHDRAWN,
        ErrorCode.ACCOUNT_NOT_ALLOWED,
        ErrorCode.LOT_INVALID,
        ErrorCode.DEADLINE_PASSED,
    }
)
"""Codes of errors that every entry would return, so that a retry is useless."""


def is_final(error: BuckthornstileError, *, key_was_accepted: bool) -> bool:
    """Whether every entry would return an error, so that a retry is useless.

    Args:
        error: The error of an entry.
        key_was_accepted: Whether an entry has accepted the key. Keys are withdrawn, but
            never removed, so that an entry which does not know it has not read the
            latest configuration yet.

    Example:
        >>> error = BuckthornstileError(ErrorCode.KEY_UNKNOWN)
        >>> is_final(error, key_was_accepted=True)
        False
    """
    if key_was_accepted and error.code is ErrorCode.KEY_UNKNOWN:
        return False
    return error.code in NON_RETRYABLE_CODES


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Number of attempts of a call and delays between them.

    Args:
        maximum_attempts: Number of attempts, including the first.
        first_delay: Seconds before the second attempt; the delay doubles with each
            further attempt.
        maximum_delay: Upper bound of the delay, in seconds.

    Example:
        >>> RetryPolicy().maximum_attempts
        6
    """

    maximum_attempts: int = 6
    first_delay: float = 0.05
    maximum_delay: float = 2.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a call.

    Args:
        number: Number of the attempt, from 1.
        entry_index: Index of the entry that the attempt is sent to.
        first_attempt_age: Seconds since the call's first attempt.
        timeout: Seconds until the call's deadline.
    """

    number: int
    entry_index: int
    first_attempt_age: float
    timeout: float


class RetryState:
    """State of one call over its attempts.

    Args:
        entry_count: Number of entries to choose from.
        idempotent: Whether the call is safe to run more than once.
        deadline: Deadline of the call, in seconds, on the clock that the methods'
            ``now`` is read from.
        generator: Source of the jitter and of the choice of the first entry.
        policy: Number of attempts and delays between them.
        key_was_accepted: Whether an entry has accepted the key of the call.

    Example:
        >>> retry_state = RetryState(2, idempotent=False, deadline=9.0,
        ...     generator=random.Random(1))
        >>> first = retry_state.start_attempt(0.0)
        >>> refusal = BuckthornstileError(ErrorCode.QUEUE_FULL)
        >>> retry_state.get_retry_delay(refusal, 0.1) is not None
        True
        >>> second = retry_state.start_attempt(0.2)
        >>> second.number, second.first_attempt_age
        (2, 0.2)
        >>> second.entry_index == first.entry_index
        False
    """

    def __init__(
        self,
        entry_count: int,
        *,
        idempotent: bool,
        deadline: float,
        generator: random.Random,
        policy: RetryPolicy | None = None,
        key_was_accepted: bool = False,
    ) -> None:
        self.key_was_accepted = key_was_accepted
        self.entry_count = entry_count
        self.idempotent = idempotent
        self.deadline = deadline
        self.generator = generator
        self.policy = policy or RetryPolicy()
        self.verdict = Verdict.NOT_RUN
        self._first_entry_index = generator.randrange(entry_count)
        self._attempt_count = 0
        self._first_attempt_at = 0.0

    def start_attempt(self, now: float) -> Attempt:
        """Starts the next attempt, through the next entry in turn.

        Args:
            now: Current time, in seconds.

        Raises:
            BuckthornstileError: With ``DEADLINE_PASSED`` and the most severe
                verdict of the attempts so far.
        """
        if now >= self.deadline:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "the call's timeout has passed",
                verdict=self.verdict,
            )
        if self._attempt_count == 0:
            self._first_attempt_at = now
        entry_index = (self._first_entry_index + self._attempt_count) % self.entry_count
        self._attempt_count += 1
        return Attempt(
            self._attempt_count,
            entry_index,
            now - self._first_attempt_at,
            self.deadline - now,
        )

    def get_retry_delay(self, error: BuckthornstileError, now: float) -> float | None:
        """Returns the delay before the retry of a failed attempt.

        Args:
            error: Error of the attempt, with its verdict.
            now: Current time, in seconds.

        Returns:
            Seconds to wait before the next attempt, or None for no retry.
        """
        self.verdict = get_worst_verdict(self.verdict, error.verdict)
        may_retry = self.idempotent or error.verdict is Verdict.NOT_RUN
        if not may_retry or is_final(error, key_was_accepted=self.key_was_accepted):
            return None
        if self._attempt_count >= self.policy.maximum_attempts:
            return None
        delay = max(error.retry_after or 0.0, self._get_backoff())
        return delay if now + delay < self.deadline else None

    def make_final_error(self, error: BuckthornstileError) -> BuckthornstileError:
        """Creates the call's error: the last one, with the most severe verdict.

        Args:
            error: Error of the last attempt.
        """
        return BuckthornstileError(
            error.code,
            error.message,
            verdict=get_worst_verdict(self.verdict, error.verdict),
            retry_after=error.retry_after,
        )

    def _get_backoff(self) -> float:
        delay = self.policy.first_delay * 2.0 ** (self._attempt_count - 1)
        bounded_delay = min(delay, self.policy.maximum_delay)
        return bounded_delay * self.generator.uniform(0.5, 1.0)
