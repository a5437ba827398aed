"""A budget that keeps retries a small share of the traffic."""


class RetryBudget:
    """Tokens earned by successes and spent by retries.

    Args:
        ratio: Tokens that one success earns.
        maximum: The most tokens that are kept.

    Example:
        >>> budget = RetryBudget(ratio=0.5, maximum=1)
        >>> budget.spend(), budget.spend()
        (True, False)
        >>> budget.on_success(); budget.on_success(); budget.spend()
        True
    """

    def __init__(self, *, ratio: float = 0.1, maximum: float = 20.0) -> None:
        self.ratio = ratio
        self.maximum = maximum
        self.tokens = maximum
        self.refused = 0

    def on_success(self) -> None:
        """Earns the tokens of one success."""
        self.tokens = min(self.maximum, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Spends one token on a retry.

        Returns:
            Whether there was one; if not, the request must not be retried.
        """
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        return True
