"""Which upstreams an entry keeps a connection to."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby

from buckthornstile.base import FailureDomain, ProcessName, ServiceName, UpstreamId
from buckthornstile.routing._rendezvous import compute_score


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that an entry may connect to.

    Example:
        >>> Candidate("u1", "shop-desk", "bench-a").service
        'shop-desk'
    """

    upstream: UpstreamId
    service: ServiceName
    failure_domain: FailureDomain


def choose_subset(
    entry: ProcessName,
    upstreams: Sequence[Candidate],
    *,
    size: int = 40,
    minimum_per_service: int = 8,
    minimum_domains: int = 2,
    entries: Sequence[ProcessName] = (),
    minimum_cover: int = 0,
) -> tuple[Candidate, ...]:
    """Chooses the upstreams that one entry connects to.

    Each service gets its share of ``size``, at least ``minimum_per_service``,
    and each failure domain its share of that; ranks are by rendezvous hash, so
    a change of the list moves few connections. All entries agree on the
    result without talking.

    Args:
        entry: The entry's name.
        upstreams: All upstreams that are live.
        size: Upstreams wanted in all; all are taken if there are no more.
        minimum_per_service: The least for each service, as far as there are.
        minimum_domains: Failure domains to have for each service.
        entries: All entries, if coverage is to be guaranteed.
        minimum_cover: With ``entries``, the entries that each upstream keeps.

    Returns:
        The subset, in order of name.

    Example:
        >>> all_upstreams = [Candidate(f"u{i}", "s", f"d{i % 3}") for i in range(30)]
        >>> len(choose_subset("e1", all_upstreams, size=9))
        9
    """
    if len(upstreams) <= size:
        return tuple(sorted(upstreams, key=lambda item: item.upstream))
    chosen: set[Candidate] = set()
    by_service = sorted(upstreams, key=lambda item: item.service)
    for _, group in groupby(by_service, key=lambda item: item.service):
        members = list(group)
        quota = max(minimum_per_service, round(size * len(members) / len(upstreams)))
        chosen.update(_choose_in_service(entry, members, quota, minimum_domains))
    if minimum_cover > 0 and entries:
        chosen.update(
            item
            for item in upstreams
            if item not in chosen
            and entry in _rank_entries(item, entries)[:minimum_cover]
        )
    return tuple(sorted(chosen, key=lambda item: item.upstream))


def _choose_in_service(
    entry: ProcessName, members: list[Candidate], quota: int, minimum_domains: int
) -> list[Candidate]:
    members = sorted(
        members,
        key=lambda item: (compute_score(entry, item.upstream), item.upstream),
        reverse=True,
    )
    by_domain: dict[FailureDomain, list[Candidate]] = {}
    for item in members:
        by_domain.setdefault(item.failure_domain, []).append(item)
    chosen: list[Candidate] = []
    for items in by_domain.values():
        share = int(quota * len(items) / len(members))
        if len(by_domain) <= minimum_domains:
            share = max(1, share)
        chosen.extend(items[:share])
    missing = minimum_domains - len({item.failure_domain for item in chosen})
    for items in by_domain.values():
        if missing > 0 and items[0] not in chosen:
            chosen.append(items[0])
            missing -= 1
    taken = set(chosen)
    spare = [item for item in members if item not in taken]
    return chosen + spare[: max(0, quota - len(chosen))]


def _rank_entries(item: Candidate, entries: Sequence[ProcessName]) -> list[ProcessName]:
    return sorted(
        entries,
        key=lambda name: (compute_score(name, item.upstream), name),
        reverse=True,
    )
