"""Decides whether, when and through which entry a call is tried again."""

import random
from dataclasses import dataclass

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.client._errors import get_worst_verdict

FINAL_CODES = frozenset(
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
"""Refusals that another attempt through another entry would not change."""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and how fast a call is tried again.

    Args:
        maximum_attempts: Attempts in all.
        first_delay: Seconds before the second attempt; doubles.
        maximum_delay: The greatest such delay, in seconds.

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
        number: From 1.
        entry: The index of the entry to send it to.
        age: Seconds since the call's first attempt.
        timeout: Seconds until the call's deadline.
    """

    number: int
    entry: int
    age: float
    timeout: float


class RetryState:
    """The attempts of one call.

    Args:
        entry_count: Entries to choose from.
        idempotent: Whether the call may run more than once.
        deadline: When the caller gives up, in seconds.
        generator: The source of jitter and of the first entry.
        policy: How often to try.

    Example:
        >>> attempts = RetryState(2, idempotent=False, deadline=9.0,
        ...     generator=random.Random(1))
        >>> first = attempts.begin(0.0)
        >>> refusal = BuckthornstileError(ErrorCode.QUEUE_FULL)
        >>> attempts.get_delay(refusal, 0.1) is not None
        True
        >>> second = attempts.begin(0.2)
        >>> second.number, second.age, second.entry == first.entry
        (2, 0.2, False)
    """

    def __init__(
        self,
        entry_count: int,
        *,
        idempotent: bool,
        deadline: float,
        generator: random.Random,
        policy: RetryPolicy | None = None,
    ) -> None:
        self.entry_count = entry_count
        self.idempotent = idempotent
        self.deadline = deadline
        self.generator = generator
        self.policy = policy or RetryPolicy()
        self.verdict = Verdict.NOT_RUN
        self._first_entry = generator.randrange(entry_count)
        self._number = 0
        self._started = 0.0

    def begin(self, now: float) -> Attempt:
        """Begins the next attempt, through the next entry.

        Args:
            now: The time, in seconds.

        Raises:
            BuckthornstileError: With ``DEADLINE_PASSED``, and the worst verdict
                of the attempts so far.
        """
        if now >= self.deadline:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "the call's timeout has passed",
                verdict=self.verdict,
            )
        if self._number == 0:
            self._started = now
        entry = (self._first_entry + self._number) % self.entry_count
        self._number += 1
        return Attempt(self._number, entry, now - self._started, self.deadline - now)

    def get_delay(self, error: BuckthornstileError, now: float) -> float | None:
        """Decides on a failed attempt.

        Args:
            error: Why it failed, with its verdict.
            now: The time, in seconds.

        Returns:
            Seconds to wait before the next attempt, or None to give up.
        """
        self.verdict = get_worst_verdict(self.verdict, error.verdict)
        may_repeat = self.idempotent or error.verdict is Verdict.NOT_RUN
        if not may_repeat or error.code in FINAL_CODES:
            return None
        if self._number >= self.policy.maximum_attempts:
            return None
        delay = max(error.retry_after or 0.0, self._get_backoff())
        return delay if now + delay < self.deadline else None

    def give_up(self, error: BuckthornstileError) -> BuckthornstileError:
        """Makes the call's error: the last one, with the worst verdict of all.

        Args:
            error: The last attempt's error.
        """
        return BuckthornstileError(
            error.code,
            error.message,
            verdict=get_worst_verdict(self.verdict, error.verdict),
            retry_after=error.retry_after,
        )

    def _get_backoff(self) -> float:
        delay = self.policy.first_delay * 2.0 ** (self._number - 1)
        bounded = min(delay, self.policy.maximum_delay)
        return bounded * self.generator.uniform(0.5, 1.0)
