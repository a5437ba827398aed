"""The agent's limit on concurrent requests at its upstream."""

from enum import Enum

_JUMP_SAMPLES = 3
"""Very slow first tokens in a row that count as a cold upstream."""
_LEARNING_SAMPLES = 20
_DECREASE = 0.8
_SLOW_SMOOTHING = 0.1
_SLOW_SHARE_TO_DECREASE = 0.5
_SLOW_SHARE_TO_GROW = 0.3
_BASELINE_QUANTILE = 0.9
_BASELINE_STEP = 0.01


class RampRestart(Enum):
    """Why a limit began again from its initial value."""

    ENGINE_INCARNATION = "engine_incarnation"
    CACHE_LOST = "cache_lost"
    LATENCY_JUMP = "latency_jump"


class ConcurrencyLimit:
    """A limit that starts small and grows only while latency stays good.

    At any time ``t`` seconds after the last restart the limit is at most
    ``min(maximum, initial * 2 ** (t / doubling_seconds))``, whatever the
    latencies were. Below this bound it grows by one for each first token that
    came in good time while the limit was in use; many slow first tokens, or an
    error, lower it by a fifth, at most once a ``cooldown``.

    The baseline is a slowly moving 0.9 quantile, not a mean: a prompt in the
    cache has its first token tens of times sooner than one that is not, so a
    mean would take each uncached prompt for a cold upstream.

    Args:
        now: The clock reading at the start, in seconds.
        initial: The limit after a start.
        maximum: The greatest limit.
        doubling_seconds: The least time in which the limit may double.
        tolerance: Multiple of the baseline time to first token that is good.
        jump_factor: Multiple of the baseline that counts as a cold upstream.
        cooldown: Least time between two decreases, in seconds.

    Example:
        >>> limit = ConcurrencyLimit(0.0, initial=2, maximum=16)
        >>> limit.may_start(1), limit.may_start(2)
        (True, False)
    """

    def __init__(
        self,
        now: float,
        *,
        initial: int = 2,
        maximum: int = 64,
        doubling_seconds: float = 2.0,
        tolerance: float = 2.0,
        jump_factor: float = 4.0,
        cooldown: float = 1.0,
    ) -> None:
        self.initial = initial
        self.maximum = maximum
        self.doubling_seconds = doubling_seconds
        self.tolerance = tolerance
        self.jump_factor = jump_factor
        self.cooldown = cooldown
        self.restarts: dict[RampRestart, int] = {}
        self.running = 0
        self.baseline = 0.0
        self._limit = float(initial)
        self._started_at = now
        self._decreased_at = now
        self._samples = 0
        self._slow_share = 0.0
        self._slow_in_a_row = 0

    @property
    def limit(self) -> int:
        """Requests that may run at the upstream at once."""
        return int(self._limit)

    def may_start(self, running: int) -> bool:
        """Tells whether one more request may start.

        Args:
            running: Requests that run at the upstream now.

        Returns:
            Whether the limit allows another.
        """
        return running < self.limit

    def compute_ramp(self, now: float) -> float:
        """Computes the bound that the limit keeps at a time.

        Args:
            now: The clock reading, in seconds.

        Returns:
            The greatest limit allowed.
        """
        doublings = max(0.0, now - self._started_at) / self.doubling_seconds
        if doublings >= 32.0:
            return float(self.maximum)
        return min(float(self.maximum), self.initial * 2.0**doublings)

    def is_ramping(self, now: float) -> bool:
        """Tells whether the ramp still keeps the limit down.

        Args:
            now: The clock reading, in seconds.

        Returns:
            Whether the ramp has not reached the maximum yet.
        """
        return self.compute_ramp(now) < self.maximum

    def restart(self, reason: RampRestart, now: float) -> None:
        """Begins the ramp again.

        Args:
            reason: Why.
            now: The clock reading, in seconds.
        """
        self.restarts[reason] = self.restarts.get(reason, 0) + 1
        self._limit = min(float(self.initial), self._limit)
        self._started_at = now
        self._decreased_at = now
        self._slow_share = 0.0
        self._slow_in_a_row = 0

    def on_start(self) -> None:
        """Notes that a request has started at the upstream."""
        self.running += 1

    def on_first_token(self, latency: float, now: float) -> RampRestart | None:
        """Notes how long an upstream took to its first token.

        Args:
            latency: Seconds from the start at the upstream.
            now: The clock reading, in seconds.

        Returns:
            The reason if the ramp began again because of it, or None.
        """
        learned = self._samples >= _LEARNING_SAMPLES
        slow = learned and latency > self.tolerance * self.baseline
        jumped = learned and latency > self.jump_factor * self.baseline
        self._slow_share += _SLOW_SMOOTHING * (slow - self._slow_share)
        self._slow_in_a_row = self._slow_in_a_row + 1 if jumped else 0
        self._move_baseline(latency)
        if self._slow_in_a_row >= _JUMP_SAMPLES and not self._is_fresh(now):
            self.restart(RampRestart.LATENCY_JUMP, now)
            return RampRestart.LATENCY_JUMP
        if self._slow_share > _SLOW_SHARE_TO_DECREASE:
            self._decrease(now)
        elif self._may_grow(slow):
            self._limit = min(self._limit + 1.0, self.compute_ramp(now))
        return None

    def on_finish(self, ok: bool, now: float) -> None:
        """Notes that a request has left the upstream.

        Args:
            ok: Whether the upstream served it without an error of its own.
            now: The clock reading, in seconds.
        """
        self.running = max(0, self.running - 1)
        if not ok:
            self._decrease(now)

    def _may_grow(self, slow: bool) -> bool:
        in_use = self.running >= 0.5 * self._limit
        return in_use and not slow and self._slow_share < _SLOW_SHARE_TO_GROW

    def _move_baseline(self, latency: float) -> None:
        self._samples += 1
        if self._samples <= _LEARNING_SAMPLES:
            self.baseline = max(self.baseline, latency)
        elif latency > self.baseline:
            self.baseline *= 1.0 + _BASELINE_STEP * _BASELINE_QUANTILE
        else:
            self.baseline *= 1.0 - _BASELINE_STEP * (1.0 - _BASELINE_QUANTILE)

    def _is_fresh(self, now: float) -> bool:
        return now - self._started_at < self.doubling_seconds

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < self.cooldown:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * _DECREASE)
