"""Times at which refused callers return, and the recognition of those that do."""

import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornstile.base import AccountId

MIN_RETRY_DELAY = 0.1
"""Shortest time after which a caller is told to return, in seconds."""
MAX_RETRY_DELAY = 5.0
"""Longest time after which a caller is told to return, in seconds: predictions over a
longer time are worthless."""
EARLY_TOLERANCE = 0.05
"""Seconds by which a caller may return early and still be recognized."""
LATE_TOLERANCE = 0.5
"""Seconds by which a caller may return late and still be recognized."""
TRANSPORT_DELAY = 0.7
"""Seconds that a reservation may take to reach another entry. The entry counts the
delay from its receipt, so the caller may return this much earlier."""
MAX_RESERVATIONS = 512
"""Number of own reservations that are kept; the oldest are forgotten."""
MAX_SHARED_RESERVATIONS = 16
"""Number of its newest reservations that an entry shares."""
DIGEST_BYTES = 4


@dataclass(slots=True)
class Reservation:
    """The expected return of a refused caller.

    Args:
        account: The client account.
        digest: Digest of the path of the request.
        return_at: Time at which the caller is expected, in seconds.
        is_claimed: Whether the caller has returned.
    """

    account: AccountId
    digest: str
    return_at: float
    is_claimed: bool = False


def make_path_digest(path: str) -> str:
    """Returns a short digest of a path.

    Example:
        >>> len(make_path_digest("/orders/7"))
        8
    """
    data = path.encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class ReservationTable:
    """The reservations of this entry and the newest ones of the others.

    Example:
        >>> table = ReservationTable()
        >>> round(table.reserve("mill", "/a", 10.0, earliest=10.5, spacing=0.1), 3)
        10.5
        >>> round(table.reserve("quay", "/a", 10.0, earliest=10.5, spacing=0.1), 3)
        10.6
        >>> table.claim("mill", "/a", 10.5), table.claim("mill", "/a", 10.5)
        (True, False)
    """

    def __init__(self) -> None:
        self._own: deque[Reservation] = deque(maxlen=MAX_RESERVATIONS)
        self._latest_return = 0.0
        self._others: dict[str, tuple[float, list[Reservation]]] = {}

    def reserve(
        self,
        account: AccountId,
        path: str,
        now: float,
        *,
        earliest: float,
        spacing: float,
        latest: float = float("inf"),
    ) -> float:
        """Reserves the next free return time.

        Args:
            account: The client account.
            path: Path of the request.
            now: The time in seconds.
            earliest: Time before which no upstream is predicted to be free.
            spacing: Seconds between this return and the latest one reserved.
            latest: Time at which the caller returns in any case.

        Returns:
            The time at which the caller should return.
        """
        returns = [
            reservation.return_at
            for _, reservations in self._others.values()
            for reservation in reservations
        ]
        known = max([self._latest_return, *returns])
        return_at = max(earliest, now + MIN_RETRY_DELAY, known + spacing)
        return_at = min(return_at, now + MAX_RETRY_DELAY)
        self._latest_return = max(self._latest_return, return_at)
        digest = make_path_digest(path)
        self._own.append(Reservation(account, digest, min(return_at, latest)))
        return return_at

    def claim(self, account: AccountId, path: str, now: float) -> bool:
        """Whether a caller returns within its window; each reservation counts once."""
        digest = make_path_digest(path)
        if _claim(self._own, account, digest, now, EARLY_TOLERANCE):
            return True
        return any(
            _claim(reservations, account, digest, now, TRANSPORT_DELAY)
            for _, reservations in self._others.values()
        )

    def list_newest(self, now: float) -> list[Reservation]:
        """Returns the newest own reservations whose callers may still return."""
        open_reservations = [
            reservation
            for reservation in self._own
            if not reservation.is_claimed
            and reservation.return_at + LATE_TOLERANCE > now
        ]
        return open_reservations[-MAX_SHARED_RESERVATIONS:]

    def apply(
        self, name: str, reservations: Iterable[Reservation], received_at: float
    ) -> None:
        """Replaces the reservations of another entry by those of its newest record."""
        _, known = self._others.get(name, (0.0, []))
        claimed = {
            (reservation.account, reservation.digest)
            for reservation in known
            if reservation.is_claimed and reservation.return_at > received_at - 1
        }
        newest = list(reservations)[:MAX_SHARED_RESERVATIONS]
        for reservation in newest:
            key = (reservation.account, reservation.digest)
            reservation.is_claimed = key in claimed
        self._others[name] = (received_at, newest)

    def prune(self, now: float, lifetime: float) -> None:
        """Forgets the reservations of other entries whose record is too old."""
        for name, (received_at, _) in list(self._others.items()):
            if received_at < now - lifetime:
                del self._others[name]


def _claim(
    reservations: Iterable[Reservation],
    account: AccountId,
    digest: str,
    now: float,
    early_tolerance: float,
) -> bool:
    for reservation in reservations:
        if (
            not reservation.is_claimed
            and reservation.account == account
            and reservation.digest == digest
            and reservation.return_at - early_tolerance <= now
            and now <= reservation.return_at + LATE_TOLERANCE
        ):
            reservation.is_claimed = True
            return True
    return False
