"""The agent's limit on concurrent requests at its upstream."""

from enum import Enum

from buckthornstile.limits._windows import WindowedMaximum

_JUMP_SAMPLES = 3
"""Very slow first tokens in a row that count as a cold upstream."""
_LEARNING_SAMPLES = 20
_DECREASE = 0.8
_SLOW_SMOOTHING = 0.1
_SLOW_SHARE_TO_DECREASE = 0.5
_SLOW_SHARE_TO_GROW = 0.3
_BASELINE_QUANTILE = 0.9
_BASELINE_STEP = 0.01
_SPEED_WINDOW_SECONDS = 60.0
_CHANGED_FACTOR = 2.0
_CHANGED_SAMPLES = 2
_FULL_SPEED_SHARE = 1.1
_PROBE_FACTOR = 1.1


class RampRestart(Enum):
    """Why a limit began again from its initial value.

    ``LATENCY_JUMP`` stands for first tokens or streams that became slow without
    more concurrency, as at an upstream that turned cold without warning.
    """

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

    Where :meth:`on_progress` tells how fast streams run, the limit also keeps
    near the least concurrency that gives the upstream's full speed: more would
    only slow every stream and take the order of service from the queue.

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
        slowdown: Multiple of a stream's best time per token that is accepted.

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
        slowdown: float = 1.25,
    ) -> None:
        self.initial = initial
        self.maximum = maximum
        self.doubling_seconds = doubling_seconds
        self.tolerance = tolerance
        self.jump_factor = jump_factor
        self.cooldown = cooldown
        self.slowdown = slowdown
        self.restarts: dict[RampRestart, int] = {}
        self.running = 0
        self.baseline = 0.0
        self._limit = float(initial)
        self._useful = float(maximum)
        self._stream_speed = WindowedMaximum(_SPEED_WINDOW_SECONDS)
        self._total_speed = WindowedMaximum(_SPEED_WINDOW_SECONDS)
        self._progress_at = now
        self._changed_in_a_row = 0
        self._started_at = now
        self._decreased_at = now
        self._samples = 0
        self._slow_share = 0.0
        self._slow_in_a_row = 0

    @property
    def limit(self) -> int:
        """Requests that may run at the upstream at once."""
        return int(self._limit)

    @property
    def tokens_per_second(self) -> float:
        """The upstream's full speed as last seen, or 0 if it is not known."""
        return self._total_speed.value

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
            # What even a cold upstream bears is not taken for its late tokens.
            self._decrease(now, minimum=min(self._limit, self.initial))
        elif self._may_grow(slow):
            bound = min(self._useful, self.compute_ramp(now))
            self._limit = max(self._limit, min(self._limit + 1.0, bound))
        return None

    def on_progress(
        self, tokens: int, stream_seconds: float, now: float
    ) -> RampRestart | None:
        """Notes how fast streams ran since the last call.

        Args:
            tokens: Tokens that all streams made.
            stream_seconds: Time that streams spent between their first and last
                token, summed over streams.
            now: The clock reading, in seconds.

        Returns:
            The reason if the ramp began again because of it, or None.
        """
        elapsed = now - self._progress_at
        self._progress_at = now
        if elapsed <= 0.0 or stream_seconds <= 0.0 or tokens <= 0:
            return None
        speed = tokens / stream_seconds
        best = self._stream_speed.add(speed, now)
        total = self._total_speed.add(tokens / elapsed, now)
        streams = stream_seconds / elapsed
        expected = min(best, total / streams)
        if self._is_changed(speed, expected):
            # First tokens are later by the same factor, and fewer requests at
            # once would not bring them sooner.
            self.baseline *= expected / speed
            self._slow_share = 0.0
            if not self._is_fresh(now):
                self.restart(RampRestart.LATENCY_JUMP, now)
                return RampRestart.LATENCY_JUMP
            self._stream_speed.reset(speed, now)
            self._total_speed.reset(tokens / elapsed, now)
        elif speed * self.slowdown < best:
            # As with the bandwidth-delay product of a link: the streams that
            # carry the full speed if each one ran at its best.
            self._useful = max(float(self.initial), min(self._useful, total / best))
            self._limit = min(self._limit, self._useful)
        elif speed * _FULL_SPEED_SHARE > best and self._is_in_use():
            self._useful = min(float(self.maximum), self._useful * _PROBE_FACTOR)
        return None

    def _is_changed(self, speed: float, expected: float) -> bool:
        """Tells whether the upstream, not its concurrency, made streams slow."""
        unexpected = speed * _CHANGED_FACTOR < expected
        self._changed_in_a_row = self._changed_in_a_row + 1 if unexpected else 0
        return self._changed_in_a_row >= _CHANGED_SAMPLES

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
        in_time = not slow and self._slow_share < _SLOW_SHARE_TO_GROW
        return in_time and self._is_in_use()

    def _is_in_use(self) -> bool:
        return self.running >= 0.5 * self._limit

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

    def _decrease(self, now: float, *, minimum: float = 1.0) -> None:
        if now - self._decreased_at < self.cooldown:
            return
        self._decreased_at = now
        self._limit = max(minimum, self._limit * _DECREASE)
