"""Quarantine of requests that crash the upstreams that run them.

Upstreams that end while they run a request may have ended because of it. Such a request
is recognized by its fingerprint, as it comes again under another id and at any entry.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

from xxhash import xxh3_64_hexdigest

from buckthornstile.gateway._fingerprint import Fingerprint
from buckthornstile.topology import Upstream

QUARANTINE_CRASHES = 2
"""Number of crashes from which a request is refused. One crash proves little, as it
ends all requests that the upstream was running."""
FIRST_QUARANTINE = 10.0
"""Seconds of the first quarantine. A request that two crashes have ended by chance can
be sent again after it."""
LONG_QUARANTINE = 600.0
"""Seconds of the quarantine after the next crash; each further crash doubles it."""
MAX_QUARANTINE = 86_400.0
"""Longest quarantine, in seconds."""
SUSPICION_TIME = 300.0
"""Seconds beyond the quarantine for which crashes are remembered."""
MAX_FINGERPRINTS = 10_000
"""Number of fingerprints that are remembered; the oldest are forgotten first."""

IncarnationDigest = NewType("IncarnationDigest", str)
"""Digest that identifies one incarnation of an upstream."""


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of one incarnation of an upstream under a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        incarnation: Digest of the upstream's id and start.
    """

    fingerprint: Fingerprint
    incarnation: IncarnationDigest


def make_crash(fingerprint: Fingerprint, upstream: Upstream) -> Crash:
    """Makes the crash of an upstream's current incarnation under a request."""
    identity = f"{upstream.started_at_ms}\x00{upstream.id}"
    digest = xxh3_64_hexdigest(identity.encode())
    return Crash(fingerprint, IncarnationDigest(digest))


class Quarantine:
    """Counts the crashes under each request and decides which requests are refused.

    Times are seconds since the epoch, as crashes are shared between entries.

    Example:
        >>> quarantine = Quarantine()
        >>> for number in range(2):
        ...     crash = Crash(Fingerprint("f"), IncarnationDigest(f"i{number}"))
        ...     _ = quarantine.add(crash, at=100.0)
        >>> quarantine.get_remaining_time(Fingerprint("f"), now=104.0)
        6.0
        >>> quarantine.get_remaining_time(Fingerprint("g"), now=104.0)
        0.0
    """

    def __init__(self) -> None:
        self._crashes: dict[Fingerprint, dict[Crash, float]] = {}

    def add(self, crash: Crash, at: float) -> bool:
        """Adds a crash.

        Returns:
            Whether the crash was not known yet.
        """
        crashes = self._crashes.setdefault(crash.fingerprint, {})
        is_new = crash not in crashes
        if is_new:
            crashes[crash] = at
        if len(self._crashes) > MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]
        return is_new

    def remove(self, crash: Crash) -> None:
        """Forgets a crash."""
        crashes = self._crashes.get(crash.fingerprint, {})
        crashes.pop(crash, None)
        if not crashes:
            self._crashes.pop(crash.fingerprint, None)

    def retain(self, is_retained: Callable[[Crash], bool]) -> None:
        """Forgets all crashes but those for which a function returns True."""
        for crash in self._list_all():
            if not is_retained(crash):
                self.remove(crash)

    def list_crashes(self, fingerprint: Fingerprint) -> list[Crash]:
        """Returns the known crashes under a request."""
        return list(self._crashes.get(fingerprint, ()))

    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._crashes

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Whether an upstream has ended under a request."""
        return fingerprint in self._crashes

    def get_remaining_time(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns the seconds for which a request is still refused, or 0."""
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return 0.0
        return max(0.0, self._get_end(crashes) - now)

    def list_expired(self, now: float) -> list[Crash]:
        """Returns the crashes that need not be remembered any longer."""
        return [
            crash
            for crashes in self._crashes.values()
            if self._get_end(crashes) + SUSPICION_TIME < now
            for crash in crashes
        ]

    def count_quarantined(self, now: float) -> int:
        """Returns the number of requests that are refused now."""
        return sum(self._get_end(crashes) > now for crashes in self._crashes.values())

    def _list_all(self) -> list[Crash]:
        return [crash for crashes in self._crashes.values() for crash in crashes]

    def _get_end(self, crashes: dict[Crash, float]) -> float:
        last_crash_at = max(crashes.values())
        excess = len(crashes) - QUARANTINE_CRASHES
        if excess < 0:
            return last_crash_at
        if excess == 0:
            return last_crash_at + FIRST_QUARANTINE
        return last_crash_at + min(
            MAX_QUARANTINE, LONG_QUARANTINE * 2.0 ** min(excess - 1, 16)
        )
