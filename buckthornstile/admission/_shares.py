"""Max-min fair shares of client accounts, within an entry and across entries."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from buckthornstile.admission._work import DecayingRate
from buckthornstile.base import AccountId

MIN_WEIGHT, MAX_WEIGHT = 0.1, 4.0
"""Bounds of the weights, so that no account starves or takes everything."""
WITHIN_SHARE_WEIGHT = 0.95
"""Weight from which an account counts as within its share."""
NEGLIGIBLE_RATE = 1e-3
"""Seconds of work per second below which an account counts as idle."""
MAX_ACCOUNTS = 1024
"""Number of accounts whose rates are kept; bounds the memory."""


@dataclass(frozen=True, slots=True)
class AccountRates:
    """What an account asks for and gets, in seconds of work per second.

    Args:
        demand: Work of the requests that arrived.
        use: Work of the requests that were started.
    """

    demand: float = 0.0
    use: float = 0.0


def compute_fair_shares(
    demands: Mapping[AccountId, float], capacity: float
) -> dict[AccountId, float]:
    """Returns the max-min fair division of a capacity.

    Accounts that ask for less than an equal part get what they ask for; the others
    divide the rest equally.

    Example:
        >>> compute_fair_shares({"a": 8.0, "b": 1.0, "c": 3.0}, 6.0)
        {'b': 1.0, 'c': 2.5, 'a': 2.5}
    """
    shares: dict[AccountId, float] = {}
    remaining = capacity
    ordered = sorted(demands.items(), key=lambda entry: (entry[1], entry[0]))
    for number, (account, demand) in enumerate(ordered):
        shares[account] = min(demand, remaining / (len(ordered) - number))
        remaining -= shares[account]
    return shares


def compute_weights(
    rates: Mapping[AccountId, AccountRates],
) -> dict[AccountId, float]:
    """Returns the ratio of fair share and use of each account that is not idle.

    An account that uses more than its share has a weight below 1, one that gets less
    than its share has a weight above 1. What is divided is the use of all accounts, so
    that no knowledge of the capacity is needed.

    Example:
        >>> weights = compute_weights(
        ...     {"a": AccountRates(9.0, 6.0), "b": AccountRates(3.0, 2.0)}
        ... )
        >>> {account: round(weight, 2) for account, weight in weights.items()}
        {'b': 1.5, 'a': 0.83}
    """
    demands = {
        account: max(rate.demand, rate.use)
        for account, rate in rates.items()
        if max(rate.demand, rate.use) > NEGLIGIBLE_RATE
    }
    total_use = sum(rate.use for rate in rates.values())
    if total_use <= NEGLIGIBLE_RATE:
        return {}
    shares = compute_fair_shares(demands, total_use)
    return {
        account: min(
            MAX_WEIGHT,
            max(MIN_WEIGHT, share / max(NEGLIGIBLE_RATE, rates[account].use)),
        )
        for account, share in shares.items()
    }


class AccountMeter:
    """Measures the demand and the use of the accounts of one service."""

    def __init__(self) -> None:
        self._demands: dict[AccountId, DecayingRate] = {}
        self._uses: dict[AccountId, DecayingRate] = {}

    def record_demand(self, account: AccountId, work: float, now: float) -> None:
        """Records the work of a request that arrived."""
        _add(self._demands, account, work, now)

    def record_use(self, account: AccountId, work: float, now: float) -> None:
        """Records the work of a request that was started."""
        _add(self._uses, account, work, now)

    def get_rates(self, now: float) -> dict[AccountId, AccountRates]:
        """Returns the rates of all accounts that are not idle."""
        _prune(self._demands, now)
        _prune(self._uses, now)
        return {
            account: AccountRates(
                self._demands[account].get(now) if account in self._demands else 0.0,
                self._uses[account].get(now) if account in self._uses else 0.0,
            )
            for account in self._demands.keys() | self._uses.keys()
        }


def add_rates(
    sources: Iterable[Mapping[AccountId, AccountRates]],
) -> dict[AccountId, AccountRates]:
    """Returns the sums of the accounts' rates at several entries."""
    total: dict[AccountId, AccountRates] = {}
    for rates in sources:
        for account, rate in rates.items():
            known = total.get(account, AccountRates())
            total[account] = AccountRates(
                known.demand + rate.demand, known.use + rate.use
            )
    return total


def _add(
    rates: dict[AccountId, DecayingRate], account: AccountId, work: float, now: float
) -> None:
    if account not in rates and len(rates) >= MAX_ACCOUNTS:
        _prune(rates, now)
        if len(rates) >= MAX_ACCOUNTS:
            return
    rates.setdefault(account, DecayingRate()).add(work, now)


def _prune(rates: dict[AccountId, DecayingRate], now: float) -> None:
    for account in [
        account for account, rate in rates.items() if rate.get(now) < NEGLIGIBLE_RATE
    ]:
        del rates[account]
