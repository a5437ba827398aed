"""Estimates of the work that is left, learned from a lot's finished samples."""

import bisect

from buckthornstile.samples._specification import LotSpecification

DEFAULT_TOKENS_PER_SECOND = 50.0
_PRIOR_WEIGHT = 1.0
_MIN_DURATION_S = 1e-3


class WorkEstimator:
    """Learns lengths by group, and durations and speed by lot.

    Args:
        specification: The lot.
        tokens_per_second: The speed of one stream, before any sample finished.

    Example:
        >>> from buckthornstile.samples import GroupSpecification
        >>> group = GroupSpecification(prompt="p", samples=4, max_tokens=100)
        >>> lot = LotSpecification(lot="l", trainer="t", groups=(group,), version=1)
        >>> estimator = WorkEstimator(lot)
        >>> estimator.estimate_tokens(0)
        100
        >>> estimator.record(0, tokens=40, duration=2.0)
        >>> estimator.estimate_tokens(0)
        70
    """

    def __init__(
        self,
        specification: LotSpecification,
        *,
        tokens_per_second: float = DEFAULT_TOKENS_PER_SECOND,
    ) -> None:
        self.specification = specification
        self.tokens_per_second = tokens_per_second
        self._sums = [0] * len(specification.groups)
        self._counts = [0] * len(specification.groups)
        self._durations: list[float] = []
        self._estimates = [
            group.expected_tokens or group.max_tokens for group in specification.groups
        ]

    @property
    def finished_count(self) -> int:
        """How many durations are known."""
        return len(self._durations)

    def record(self, group: int, *, tokens: int, duration: float) -> None:
        """Takes in one finished sample.

        Args:
            group: Its group.
            tokens: Its length, in tokens.
            duration: How long it ran, in seconds.
        """
        self._sums[group] += tokens
        self._counts[group] += 1
        bisect.insort(self._durations, duration)
        speed = tokens / max(duration, _MIN_DURATION_S)
        share = 1 / (len(self._durations) + 1)
        self._estimates[group] = self._compute_estimate(group)
        if tokens:
            self.tokens_per_second += share * (speed - self.tokens_per_second)

    def estimate_tokens(self, group: int) -> int:
        """Estimates the length of one of a group's samples.

        Args:
            group: The group.

        Returns:
            The mean of the prior and the group's finished samples, in tokens.
        """
        return self._estimates[group]

    def get_duration_quantile(self, quantile: float) -> float | None:
        """Gives a quantile of the finished samples' durations.

        Args:
            quantile: From 0 to 1.

        Returns:
            Seconds, or None before any sample has finished.
        """
        if not self._durations:
            return None
        index = min(len(self._durations) - 1, int(quantile * len(self._durations)))
        return self._durations[index]

    def _compute_estimate(self, group: int) -> int:
        specification = self.specification.groups[group]
        prior = specification.expected_tokens or specification.max_tokens
        total = prior * _PRIOR_WEIGHT + self._sums[group]
        mean = total / (_PRIOR_WEIGHT + self._counts[group])
        return max(1, min(specification.max_tokens, round(mean)))
