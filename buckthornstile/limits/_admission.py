"""The entry's bound on open requests."""

from dataclasses import dataclass

from buckthornstile.base import AccountId, ErrorCode

_MIN_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 10.0
_RATE_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """Whether a request may go on.

    Args:
        admitted: Whether it may.
        code: Why not, or None.
        retry_after: Seconds after which a retry may succeed.

    Example:
        >>> AdmissionResult(True).retry_after
        0.0
    """

    admitted: bool
    code: ErrorCode | None = None
    retry_after: float = 0.0


class Admission:
    """Bounds open requests in all and by client account.

    Above ``shed_at`` of the total, an account that holds more than an equal
    share of the open requests is refused, so that room is left for others.

    Args:
        maximum_open: Open requests in all.
        shed_at: The share of ``maximum_open`` above which shedding starts.

    Example:
        >>> admission = Admission(maximum_open=2)
        >>> admission.admit("a", 0.0).admitted
        True
        >>> admission.admit("a", 0.0, maximum_open=1).code
        <ErrorCode.QUEUE_FULL: 'load.queue_full'>
    """

    def __init__(self, *, maximum_open: int = 4096, shed_at: float = 0.75) -> None:
        self.maximum_open = maximum_open
        self.shed_at = shed_at
        self.open = 0
        self.refused = 0
        self._by_account: dict[AccountId, int] = {}
        self._seconds_per_release = 0.01
        self._released_at: float | None = None

    def get_open(self, account: AccountId) -> int:
        """Gives the open requests of one account."""
        return self._by_account.get(account, 0)

    def admit(
        self, account: AccountId, now: float, *, maximum_open: int = 256
    ) -> AdmissionResult:
        """Admits a request, or refuses it with a hint when to come again.

        Args:
            account: The client account.
            now: The clock reading, in seconds.
            maximum_open: The account's own bound.

        Returns:
            The result; each admitted request must be released once.
        """
        held = self.get_open(account)
        if held >= maximum_open:
            return self._refuse(held - maximum_open + 1, now)
        if self.open >= self.maximum_open:
            return self._refuse(1, now)
        accounts = len(self._by_account) + (held == 0)
        share = self.maximum_open / accounts
        if self.open >= self.shed_at * self.maximum_open and held >= share:
            return self._refuse(1, now)
        self.open += 1
        self._by_account[account] = held + 1
        return AdmissionResult(admitted=True)

    def release(self, account: AccountId, now: float) -> None:
        """Notes the end of an admitted request.

        Args:
            account: The client account.
            now: The clock reading, in seconds.
        """
        held = self._by_account.pop(account, 0)
        if not held:
            return
        self.open -= 1
        if held > 1:
            self._by_account[account] = held - 1
        if self._released_at is not None:
            gap = max(0.0, now - self._released_at)
            self._seconds_per_release += _RATE_SHARE * (gap - self._seconds_per_release)
        self._released_at = now

    def _refuse(self, excess: int, now: float) -> AdmissionResult:
        self.refused += 1
        waited = 0.0 if self._released_at is None else now - self._released_at
        hint = max(excess * self._seconds_per_release, waited)
        bounded = min(max(hint, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
        return AdmissionResult(False, ErrorCode.QUEUE_FULL, bounded)
