"""How a lot spends capacity."""

from dataclasses import dataclass

from buckthornstile.base import ErrorCode

PERMANENT_CODES = frozenset(
    {
        ErrorCode.BODY_MALFORMED,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.ROUTE_UNKNOWN,
        ErrorCode.KEY_WITHDRAWN,
        ErrorCode.ACCOUNT_NOT_ALLOWED,
    }
)
"""Refusals that no retry of the same slot would change."""

_MAX_DOUBLINGS = 20


@dataclass(frozen=True, slots=True)
class LotPolicy:
    """How a lot spends capacity.

    Args:
        maximum_hedges: Hedging begins when this many slots or fewer are left.
        hedge_share: The same as a share of the lot; the greater bound counts.
        hedge_quantile: A slot is hedged once it has run longer than this
            quantile of its finished peers.
        hedge_minimum_peers: Finished peers before any slot is hedged.
        maximum_runs: Failures of one slot that may have run, before the lot fails.
        maximum_held_bytes: Samples kept until acknowledged, above which nothing
            new is dispatched.
        maximum_unacknowledged_bytes: Samples on their way to the trainer, above
            which delivery pauses.
        retry_delay: Seconds before a failed slot's second dispatch; doubles.
        maximum_retry_delay: The greatest such delay, in seconds.
        tokens_per_second: The speed of one stream, before any sample finished.

    Example:
        >>> LotPolicy().maximum_hedges
        4
    """

    maximum_hedges: int = 4
    hedge_share: float = 0.1
    hedge_quantile: float = 0.9
    hedge_minimum_peers: int = 3
    maximum_runs: int = 50
    maximum_held_bytes: int = 64 << 20
    maximum_unacknowledged_bytes: int = 8 << 20
    retry_delay: float = 0.05
    maximum_retry_delay: float = 2.0
    tokens_per_second: float = 50.0

    def get_delay(self, failures: int, *, retry_after: float | None = None) -> float:
        """Gives the seconds to wait before a failed slot is dispatched again.

        Args:
            failures: The slot's failures in a row, from 1.
            retry_after: The agent's hint, in seconds.

        Example:
            >>> [LotPolicy().get_delay(n) for n in (1, 2, 9)]
            [0.05, 0.1, 2.0]
        """
        delay = self.retry_delay * 2.0 ** min(failures - 1, _MAX_DOUBLINGS)
        return max(retry_after or 0.0, min(delay, self.maximum_retry_delay))
