"""Properties of subsets, ejection and the choice."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.routing import (
    Candidate,
    ChoiceReason,
    EjectionChange,
    OutlierEjection,
    RouteRequest,
    UpstreamState,
    UpstreamView,
    choose_subset,
    choose_upstream,
)

FEW = settings(derandomize=True, deadline=None, max_examples=40)


def make_candidates(count, domains, services):
    return [
        Candidate(f"u{i}", f"s{i % services}", f"d{i // services % domains}")
        for i in range(count)
    ]


def choose_first(entry, upstreams, *, size, **_):
    return tuple(upstreams[:size])


def find_gaps(choose, candidates, entries, size):
    """Gives the promises that a way to choose subsets breaks."""
    subsets = {
        entry: choose(
            entry,
            candidates,
            size=size,
            minimum_per_service=3,
            entries=entries,
            minimum_cover=2,
        )
        for entry in entries
    }
    covered = Counter(item for chosen in subsets.values() for item in chosen)
    gaps = {"cover" for item in candidates if covered[item] < 2}
    for service in {item.service for item in candidates}:
        members = [item for item in candidates if item.service == service]
        domains = {item.failure_domain for item in members}
        for chosen in subsets.values():
            mine = [item for item in chosen if item.service == service]
            if len(mine) < min(3, len(members)):
                gaps.add("service")
            if len({item.failure_domain for item in mine}) < min(2, len(domains)):
                gaps.add("domain")
    return gaps


@FEW
@given(st.integers(1, 60), st.integers(1, 5), st.integers(1, 3), st.integers(6, 40))
def test_subsets_cover_services_domains_and_upstreams(count, domains, services, size):
    candidates = make_candidates(count, domains, services)
    entries = [f"e{i}" for i in range(12)]
    assert not find_gaps(choose_subset, candidates, entries, size)


def test_taking_the_first_upstreams_covers_none_of_that():
    candidates = make_candidates(60, 3, 2)
    candidates.sort(key=lambda item: (item.failure_domain, item.service))
    gaps = find_gaps(choose_first, candidates, ["e1", "e2"], 8)
    assert gaps == {"cover", "service", "domain"}


@FEW
@given(st.integers(0, 199))
def test_one_upstream_less_moves_few_connections(lost):
    candidates = make_candidates(200, 4, 2)
    before = set(choose_subset("e1", candidates, size=40))
    left = [item for item in candidates if item.upstream != f"u{lost}"]
    after = set(choose_subset("e1", left, size=40))
    assert len(before ^ after) <= 6


RESULTS = st.lists(
    st.tuples(st.integers(0, 9), st.booleans(), st.floats(0.0, 2.0)), max_size=200
)


def count_ejected(ejection, results):
    peers = [f"u{i}" for i in range(10)]
    now, most = 0.0, 0
    for number, ok, wait in results:
        now += wait
        ejection.on_result(peers[number], ok, now, peers=peers)
        most = max(most, sum(ejection.is_ejected(peer, now) for peer in peers))
    return most


@FEW
@given(RESULTS)
def test_ejection_keeps_its_cap(results):
    assert count_ejected(OutlierEjection(failures=2), results) <= 3


def test_without_a_cap_all_upstreams_are_ejected():
    ejection = OutlierEjection(failures=2, maximum_share=1.0)
    results = [(number % 10, False, 0.0) for number in range(30)]
    assert count_ejected(ejection, results) == 10
    assert count_ejected(OutlierEjection(failures=2), results) == 3


def test_each_ejection_in_a_row_lasts_longer():
    ejection, now, lengths = OutlierEjection(failures=1, base_seconds=1.0), 0.0, []
    for _ in range(3):
        change = ejection.on_result("u1", False, now, peers=["u1", "u2"])
        assert change is EjectionChange.EJECTED
        begun = now
        while ejection.is_ejected("u1", now):
            now += 0.25
        lengths.append(now - begun)
    assert lengths == [1.0, 2.0, 4.0]


def make_views(count=4, **options):
    return [
        UpstreamView(f"u{i}", "s", f"d{i % 2}", heartbeat_at=0.0, limit=4, **options)
        for i in range(count)
    ]


def test_a_group_goes_to_one_upstream_until_it_is_over_the_bound():
    views, rng = make_views(), Random(1)
    request = RouteRequest("s", prefix="lot-1/3")
    counts = Counter()
    for _ in range(16):
        choice = choose_upstream(views, request, now=0.0, rng=rng)
        counts[choice.upstream] += 1
        next(v for v in views if v.upstream == choice.upstream).on_send(10)
    # Alone it would take the whole group; the bound spreads what is too much.
    assert 4 <= max(counts.values()) <= 6
    first = choose_upstream(make_views(), request, now=0.0, rng=Random(2))
    assert first.reason is ChoiceReason.PREFIX_RANKED
    assert first.upstream == counts.most_common(1)[0][0]


def test_the_choice_names_why_it_refuses():
    def reason(views, **options):
        request = RouteRequest("s", **options)
        return choose_upstream(views, request, now=0.0, rng=Random(1)).reason

    assert reason([]) is ChoiceReason.NONE_KNOWN
    old = make_views(version=3)
    assert reason(old, minimum_version=4) is ChoiceReason.VERSION_TOO_OLD
    assert reason(make_views(state=UpstreamState.DRAINING)) is ChoiceReason.ALL_DRAINED
    every = frozenset(view.upstream for view in make_views())
    assert reason(make_views(), excluded=every) is ChoiceReason.ALL_EJECTED
    loading = make_views(state=UpstreamState.LOADING)
    assert reason(loading) is ChoiceReason.LEAST_WAIT


@pytest.mark.parametrize("prefix", ["", "p1", "p2", "p3"])
def test_a_new_upstream_of_unknown_speed_gets_work_beside_a_busy_one(prefix):
    busy = UpstreamView(
        "u1",
        "s",
        "d",
        heartbeat_at=0.0,
        limit=4,
        running=4,
        queued=8,
        queued_tokens=480,
        tokens_per_second=1300.0,
    )
    new = UpstreamView("u2", "s", "d", heartbeat_at=0.0, limit=2)
    request = RouteRequest("s", cost=60, prefix=prefix)
    choice = choose_upstream([busy, new], request, now=0.0, rng=Random(1))
    assert choice.upstream == "u2"
