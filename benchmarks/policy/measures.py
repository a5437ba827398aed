"""The users' measures, from what callers, trainers and upstreams saw."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from benchmarks.policy.scenarios import (
    DOMAIN_LEAVES_AT,
    DOMAIN_RETURNS_AT,
    END_SECONDS,
    FLOOD,
    WARM_UP_SECONDS,
)
from buckthornstile.base import Verdict

_BACK_WINDOW_SECONDS = 5
_BACK_SHARE = 0.95


@dataclass
class Figures:
    """One run's figures; NaN or 0 where a scenario does not give one.

    Args:
        idle_share: Share of time that trainers waited on samples.
        age_mean: Versions that a delivered sample was behind, on average.
        age_max: The same, at most.
        too_old: Samples made again, since they were over the bound.
        lost_samples: Wanted samples never delivered.
        doubled_samples: Late twins of delivered samples, dropped by the lot.
        worst_p99: p99 seconds to first token of the worst-served account.
        worst_share: Least share of a max-min fair share over accounts.
        failed_share: Calls that ended without an answer.
        overloads: Starts above what an upstream bore.
        cost_ratio: Upstream-seconds over the least with a spare domain.
        cost_ratio_bare: The same over the least without a spare.
        back_seconds: From a domain's return until throughput was back.
        domain_back_seconds: The same for the domain's own throughput.
        dip_share: Least throughput while the domain was gone, over before.
    """

    idle_share: float = 0.0
    age_mean: float = 0.0
    age_max: float = 0.0
    too_old: float = 0.0
    lost_samples: float = 0.0
    doubled_samples: float = 0.0
    worst_p99: float = 0.0
    worst_share: float = 1.0
    failed_share: float = 0.0
    overloads: float = 0.0
    cost_ratio: float = 0.0
    cost_ratio_bare: float = 0.0
    back_seconds: float = 0.0
    domain_back_seconds: float = 0.0
    dip_share: float = 1.0
    worst_account: str = ""
    p99_by_account: dict[str, float] = field(default_factory=dict)
    share_by_account: dict[str, float] = field(default_factory=dict)


def compute_percentile(values: Sequence[float], share: float) -> float:
    """Computes a percentile by nearest rank; 0 of nothing.

    Example:
        >>> compute_percentile([3.0, 1.0, 2.0], 0.5)
        2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_max_min(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Computes max-min fair shares of a capacity.

    Example:
        >>> compute_max_min({"a": 1.0, "b": 9.0, "c": 9.0}, 9.0)
        {'a': 1.0, 'b': 4.0, 'c': 4.0}
    """
    left, shares = capacity, {}
    ordered = sorted(demands, key=lambda name: demands[name])
    for number, name in enumerate(ordered):
        shares[name] = min(demands[name], left / (len(ordered) - number))
        left -= shares[name]
    return shares


def measure(run, *, flood: bool) -> Figures:
    """Measures one finished run.

    Args:
        run: The run.
        flood: Whether one account floods; its own wait then does not count,
            and shares are taken over the flood only.

    Returns:
        The figures.
    """
    figures = Figures()
    _measure_trainers(run, figures)
    _measure_waits(run, figures, flood)
    window = FLOOD if flood else (WARM_UP_SECONDS, END_SECONDS)
    _measure_shares(run, figures, window)
    agents = run.cluster.agents.values()
    figures.overloads = sum(agent.upstream.overloads for agent in agents)
    return figures


def _measure_trainers(run, figures: Figures) -> None:
    idle, ages, window = 0.0, [], END_SECONDS - WARM_UP_SECONDS
    for loop in run.trainers:
        for free_at, begun_at in loop.steps:
            idle += max(0.0, min(begun_at, END_SECONDS) - max(free_at, WARM_UP_SECONDS))
        if not loop.training and loop.free_at < END_SECONDS:
            idle += END_SECONDS - max(loop.free_at, WARM_UP_SECONDS)
        ages += [age for at, age in loop.ages if at >= WARM_UP_SECONDS]
        figures.too_old += loop.too_old
        figures.doubled_samples += loop.doubled
        delivered = sum(len(lot.delivered) for lot in loop.lots)
        figures.lost_samples += loop.wanted - delivered
    figures.idle_share = idle / (window * len(run.trainers))
    figures.age_mean = sum(ages) / max(1, len(ages))
    figures.age_max = max(ages, default=0)


def _measure_waits(run, figures: Figures, flood: bool) -> None:
    waits, failed, calls = defaultdict(list), 0, 0
    for caller in run.callers:
        if flood and caller.source.account == run.cluster.site.flooding:
            continue
        for call in caller.calls:
            if call.born_at < WARM_UP_SECONDS:
                continue
            calls += 1
            ran = call.verdict is Verdict.RAN and call.first_at is not None
            failed += not ran
            wait = call.first_at - call.born_at if ran else caller.source.patience
            waits[caller.source.account].append(wait)
    figures.p99_by_account = {
        account: compute_percentile(values, 0.99) for account, values in waits.items()
    }
    figures.failed_share = failed / max(1, calls)
    figures.worst_p99 = max(figures.p99_by_account.values(), default=0.0)


def _measure_shares(run, figures: Figures, window: tuple[float, float]) -> None:
    begin, end = window
    for service in run.cluster.site.services:
        wanted: dict[str, float] = defaultdict(float)
        served: dict[str, float] = defaultdict(float)
        for caller in run.callers:
            if caller.source.service != service.name:
                continue
            account = caller.source.account
            for call in caller.calls:
                wanted[account] += call.tokens * (begin <= call.born_at < end)
                if call.verdict is Verdict.RAN and begin <= call.ended_at < end:
                    served[account] += call.tokens
        for loop in run.trainers:
            if loop.trainer.service == service.name:
                account = loop.trainer.account
                wanted[account] += loop.compute_demand() * (end - begin)
                served[account] += sum(
                    tokens for at, tokens in loop.served if begin <= at < end
                )
        fair = compute_max_min(wanted, sum(served.values()))
        for account, share in fair.items():
            if share > 0.0:
                ratio = served[account] / share
                figures.share_by_account[f"{account}@{service.name}"] = ratio
    ratios = figures.share_by_account
    figures.worst_account = min(ratios, key=lambda name: ratios[name])
    figures.worst_share = ratios[figures.worst_account]


def measure_return(
    total: Sequence[float], domain: Sequence[float], figures: Figures
) -> None:
    """Measures how throughput falls and comes back around a domain's absence.

    Throughput is back when a window of 5 seconds reaches 95% of the mean
    before, or the worst tenth of windows before if that is lower.

    Args:
        total: Tokens served in each second.
        domain: The same in the failure domain that leaves.
        figures: Where the results go.
    """
    figures.back_seconds = _find_back(total)
    figures.domain_back_seconds = _find_back(domain)
    before = list(total[int(WARM_UP_SECONDS) : int(DOMAIN_LEAVES_AT) - 3])
    gone = _slide(total[int(DOMAIN_LEAVES_AT) : int(DOMAIN_RETURNS_AT)])
    mean = sum(before) / len(before)
    figures.dip_share = min(gone) / mean if mean else 0.0


def _find_back(rates: Sequence[float]) -> float:
    before = _slide(rates[int(WARM_UP_SECONDS) : int(DOMAIN_LEAVES_AT) - 3])
    mean = sum(before) / len(before)
    goal = min(_BACK_SHARE * mean, compute_percentile(before, 0.1))
    after = _slide(rates[int(DOMAIN_RETURNS_AT) : int(END_SECONDS)])
    for number, rate in enumerate(after):
        if rate >= goal:
            return float(number + _BACK_WINDOW_SECONDS)
    return float(len(after) + _BACK_WINDOW_SECONDS)


def _slide(rates: Sequence[float]) -> list[float]:
    width = _BACK_WINDOW_SECONDS
    return [
        sum(rates[start : start + width]) / width
        for start in range(len(rates) - width + 1)
    ]
