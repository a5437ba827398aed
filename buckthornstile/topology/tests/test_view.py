"""Tests of the view with delayed, expired and renewed records of upstreams."""

from buckthornstile.topology import (
    PlatformConfiguration,
    Route,
    RouteKind,
    TopologyView,
)
from buckthornstile.topology._types import PlatformAccount, Upstream


def make_upstream(sequence: int = 1, **changes) -> Upstream:
    fields = {
        "id": "w1",
        "service": "desk",
        "host": "127.0.0.1",
        "port": 9000,
        "failure_domain": "bench-a",
        "slots": 4,
        "started_at_ms": 10,
        "sequence": sequence,
    } | changes
    return Upstream(**fields)


def list_available_ids(view: TopologyView) -> list[str]:
    return [upstream.id for upstream in view.list_available_upstreams("desk")]


def test_delayed_write_does_not_undo_a_drain() -> None:
    view = TopologyView()
    assert view.apply_upstream(make_upstream(5), 0.0)
    assert view.apply_upstream(make_upstream(7, is_draining=True), 1.0)
    assert not view.apply_upstream(make_upstream(6), 1.5)
    assert list_available_ids(view) == []


def test_delayed_write_does_not_restore_a_removed_upstream() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(5), 0.0)
    view.remove_upstream("w1", 1.0)
    assert not view.apply_upstream(make_upstream(6), 2.0)
    assert list_available_ids(view) == []


def test_removed_upstream_that_keeps_writing_is_restored() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(5), 0.0)
    view.remove_upstream("w1", 1.0)
    assert not view.apply_upstream(make_upstream(6), 2.0)
    assert view.apply_upstream(make_upstream(7), 3.2)
    assert list_available_ids(view) == ["w1"]


def test_new_incarnation_of_a_removed_upstream_is_accepted_at_once() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(50), 0.0)
    view.remove_upstream("w1", 1.0)
    assert view.apply_upstream(make_upstream(1, started_at_ms=20), 1.5)
    assert list_available_ids(view) == ["w1"]
    assert not view.apply_upstream(make_upstream(51, started_at_ms=10), 1.6)


def test_restarted_sequence_without_start_time_is_accepted_after_a_delay() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(50, started_at_ms=0), 0.0)
    assert not view.apply_upstream(make_upstream(1, started_at_ms=0), 1.0)
    assert view.apply_upstream(make_upstream(8, started_at_ms=0), 7.0)


def test_expired_record_is_kept_until_removal_and_restored_at_once() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(5), 0.0)
    view.remove_upstream("w1", 1.0, until=3.0)
    assert list_available_ids(view) == ["w1"]
    assert view.remove_expired(2.9) == []
    assert view.remove_expired(3.0) == ["w1"]
    assert list_available_ids(view) == []
    assert view.apply_upstream(make_upstream(9), 3.5)


def test_replacing_upstreams_removes_the_missing_ones() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(5), 0.0)
    view.apply_upstream(make_upstream(5, id="w2", port=9001), 0.0)
    view.replace_upstreams({"w2": make_upstream(6, id="w2", port=9001)}, 1.0, until=0)
    assert list_available_ids(view) == ["w2"]


def test_recorded_versions_apply_to_their_incarnation_only() -> None:
    view = TopologyView()
    upstream = make_upstream(versions={"llm": 3})
    view.apply_upstream(upstream, 0.0)
    view.record_versions("w1", 10, {"llm": 5})
    assert view.get_version(upstream, "llm") == 5
    assert (
        view.get_version(make_upstream(started_at_ms=11, versions={"llm": 3}), "llm")
        == 3
    )
    assert view.get_version(upstream, "other") == 0


def test_configuration_and_target_versions_never_decrease() -> None:
    view = TopologyView()
    route = Route("r", "h", "/a/", RouteKind.IDEMPOTENT, (("desk", 1.0),), 1.0, 0.1)
    longer = Route("l", "h", "/a/b/", RouteKind.IDEMPOTENT, (("x", 1.0),), 1.0, 0.1)
    account = PlatformAccount("mill", ("k1",))
    configuration = PlatformConfiguration(7, (route, longer), accounts=(account,))
    assert view.apply_configuration(configuration)
    assert not view.apply_configuration(PlatformConfiguration(6))
    assert view.find_route("h", "/a/b/c") == longer
    assert view.find_route("h", "/a/c") == route
    assert view.find_route("h", "/c") is None
    assert view.find_account("k1") == account
    assert view.apply_target_version("llm", 3)
    assert not view.apply_target_version("llm", 2)


def test_upstream_that_stated_that_it_leaves_gets_no_new_requests() -> None:
    """The statement counts before and without a record in the store."""
    view = TopologyView()
    view.apply_upstream(make_upstream(1), 0.0)
    assert view.record_leaving("w1", 10, 1.0)
    assert not view.record_leaving("w1", 10, 1.1)
    assert list_available_ids(view) == []
    view.apply_upstream(make_upstream(2), 2.0)
    assert list_available_ids(view) == []
    assert view.count_leaving() == 1


def test_new_incarnation_of_an_upstream_that_left_is_used() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(1), 0.0)
    view.record_leaving("w1", 10, 1.0)
    view.apply_upstream(make_upstream(1, started_at_ms=20), 2.0)
    assert list_available_ids(view) == ["w1"]
    # A response of the first incarnation that is read late.
    assert not view.record_leaving("w1", 10, 2.1)
    assert list_available_ids(view) == ["w1"]


def test_another_upstream_at_the_same_address_is_used() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(1), 0.0)
    view.record_leaving("w1", 10, 1.0)
    view.apply_upstream(make_upstream(1, id="w2"), 2.0)
    assert list_available_ids(view) == ["w2"]


def test_late_record_does_not_bring_back_an_upstream_that_left() -> None:
    view = TopologyView()
    view.apply_upstream(make_upstream(1), 0.0)
    view.record_leaving("w1", 10, 1.0)
    view.remove_upstream("w1", 2.0)
    view.prune_leaving(30.0)
    view.apply_upstream(make_upstream(9), 31.0)
    assert "w1" in view.upstreams
    assert list_available_ids(view) == []


def test_statements_of_upstreams_that_are_gone_are_forgotten() -> None:
    view = TopologyView()
    for number in range(100):
        view.record_leaving(f"w{number}", 10, 0.0)
    view.prune_leaving(119.0)
    assert len(view._leaving) == 100
    view.prune_leaving(121.0)
    assert not view._leaving
