"""Estimates the work of requests from the runs of similar ones."""

from bisect import bisect_right
from collections import OrderedDict, deque
from itertools import accumulate

from buckthornstile.base import ServiceName
from buckthornstile.placement._types import (
    BASE_SECONDS,
    RequestProfile,
    WorkEstimate,
)

WINDOW_RUNS = 64
"""Number of the newest runs that an estimate is based on."""
MAX_HISTORIES = 512
"""Maximum number of routes and accounts whose runs are kept; the one that was not used
for the longest time is removed first."""
PRIOR_WEIGHTS = (2, 4, 8)
"""Number of runs that an estimate's own history outweighs: of a service against the
prior, of a route against its service, and of an account against its route."""
PRIOR_HIGH_RATIO = 2.5
"""Ratio of the 90th percentile to the expectation, before any run."""
MAX_MEDIAN_RATIO = 8.0
"""Multiple of the median beyond which a run counts as that multiple, so that a single
stalled run does not dominate the mean."""
CENSORED_GROWTH = 1.5
"""Expected total work of a run, as a multiple of the work it had done when it was cut,
if no completed run was longer."""
AVERAGE_WEIGHT = 0.02
"""Weight of the newest completed run in a service's average."""
MAX_RUN_SECONDS = 3600.0
"""Seconds from which a run's time counts as a fault of a clock."""
HIGH_QUANTILE = 0.9

Key = tuple[str, ...]


class _History:
    """The newest runs of similar requests, as ratios of their work to its prior."""

    def __init__(self) -> None:
        self._runs: deque[tuple[float, bool]] = deque(maxlen=WINDOW_RUNS)
        self._sorted: list[float] = []
        # Sums of the sorted ratios from each position to the end.
        self._suffix_sums: list[float] = []
        self.mean = 1.0
        self.high = PRIOR_HIGH_RATIO

    def __len__(self) -> int:
        return len(self._runs)

    def append(self, ratio: float, *, is_censored: bool) -> None:
        self._runs.append((ratio, is_censored))
        completed = sorted(ratio for ratio, is_cut in self._runs if not is_cut)
        if completed:
            limit = MAX_MEDIAN_RATIO * completed[len(completed) // 2]
            completed = [min(ratio, limit) for ratio in completed]
        self._set_sorted(completed)
        imputed = [
            self._impute(ratio) for ratio, is_cut in self._runs if is_cut
        ] + completed
        self._set_sorted(sorted(imputed))
        self.mean = sum(imputed) / len(imputed)
        self.high = self._sorted[int(HIGH_QUANTILE * (len(imputed) - 1))]

    def _set_sorted(self, ratios: list[float]) -> None:
        self._sorted = ratios
        self._suffix_sums = list(accumulate(reversed(ratios)))[::-1]

    def _impute(self, ratio: float) -> float:
        """Returns the expected ratio of a run that was cut at a ratio."""
        excess = self.compute_excess(ratio)
        return ratio * CENSORED_GROWTH if excess is None else ratio + excess

    def compute_excess(self, ratio: float) -> float | None:
        """Returns by how much runs longer than a ratio exceed it, or None."""
        position = bisect_right(self._sorted, ratio)
        count = len(self._sorted) - position
        return self._suffix_sums[position] / count - ratio if count else None


class WorkEstimator:
    """Estimates the work of requests from completed and cut runs.

    Work is learned as a multiple of what the stated sizes suggest, by service, route
    and account. An estimate shrinks the account's mean to its route's, and this to the
    service's, so that it is useful from the first request.

    Example:
        >>> estimator = WorkEstimator()
        >>> profile = RequestProfile("desk", "r1", "mill-7")
        >>> for _ in range(100):
        ...     estimator.record_completed(profile, 0.2)
        >>> round(estimator.estimate(profile).mean, 1)
        0.2
    """

    def __init__(self) -> None:
        self._histories: OrderedDict[Key, _History] = OrderedDict()
        self._average_seconds: dict[ServiceName, float] = {}

    def get_average(self, service: ServiceName) -> float:
        """Returns the average seconds of work of a service's completed runs.

        It stands for the requests of other processes, whose profiles are not known.
        """
        return self._average_seconds.get(service, BASE_SECONDS)

    def estimate(self, profile: RequestProfile) -> WorkEstimate:
        """Returns the estimated work of a request."""
        mean, high = 1.0, PRIOR_HIGH_RATIO
        for key, weight in zip(_list_keys(profile), PRIOR_WEIGHTS, strict=True):
            history = self._histories.get(key)
            if history is None:
                break
            self._histories.move_to_end(key)
            count = len(history)
            mean = (weight * mean + count * history.mean) / (weight + count)
            high = (weight * high + count * history.high) / (weight + count)
        prior = profile.compute_prior()
        return WorkEstimate(prior * mean, prior * max(mean, high))

    def estimate_remaining(self, profile: RequestProfile, done: float) -> float:
        """Returns the expected work that is left of a running request.

        Args:
            profile: The request.
            done: Seconds of work that it has done.
        """
        estimate = self.estimate(profile)
        if done <= 0:
            return estimate.mean
        prior = profile.compute_prior()
        for key in reversed(_list_keys(profile)):
            history = self._histories.get(key)
            if history is not None and len(history) >= PRIOR_WEIGHTS[-1]:
                excess = history.compute_excess(done / prior)
                if excess is not None:
                    return excess * prior
                break
        # With a heavy tail, a request that took longer than all others has about as
        # much left as it has done; half of it avoids that it blocks a slot for ever.
        return max(estimate.mean - done, 0.5 * min(done, estimate.mean))

    def record_completed(self, profile: RequestProfile, seconds: float) -> None:
        """Records the work of a run that was completed."""
        if 0.0 < seconds < MAX_RUN_SECONDS:
            average = self._average_seconds.get(profile.service, seconds)
            average += AVERAGE_WEIGHT * (seconds - average)
            self._average_seconds[profile.service] = average
        self._record(profile, seconds, is_censored=False)

    def record_censored(self, profile: RequestProfile, seconds: float) -> None:
        """Records the work that a run had done when it was cancelled or broke."""
        self._record(profile, seconds, is_censored=True)

    def _record(
        self, profile: RequestProfile, seconds: float, *, is_censored: bool
    ) -> None:
        if not 0.0 < seconds < MAX_RUN_SECONDS:
            return
        for key in _list_keys(profile):
            history = self._histories.get(key)
            if history is None:
                history = self._histories[key] = _History()
            self._histories.move_to_end(key)
            history.append(seconds / profile.compute_prior(), is_censored=is_censored)
        while len(self._histories) > MAX_HISTORIES:
            self._histories.popitem(last=False)


def _list_keys(profile: RequestProfile) -> tuple[Key, Key, Key]:
    service = (profile.service,)
    route = (*service, profile.route)
    return (service, route, (*route, profile.account or ""))
