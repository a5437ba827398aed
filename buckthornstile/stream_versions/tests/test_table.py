"""The table of the versions that began streams: defaults, records, bounds."""

import pytest

from buckthornstile.stream_versions import (
    DefaultChange,
    ResolutionState,
    RouteDefault,
    RoutePrefix,
    StreamDigest,
    StreamRecord,
    StreamVersionTable,
    VersionObservations,
    decode_batch,
    decode_default,
    encode_batch,
    encode_default,
    encode_route_key,
    needs_record,
    plan_defaults,
)
from buckthornstile.stream_versions._observations import (
    RETIREMENT_TIME,
    UNRECORDED_LIFETIME,
)

ROUTE = RoutePrefix("notes")
KEY = encode_route_key(ROUTE)
STREAM = StreamDigest("a")


def make_table(**options) -> StreamVersionTable:
    table = StreamVersionTable(**options)
    table.apply_default(KEY, RouteDefault(ROUTE, "v1"), 0.0)
    return table


def resolve(table: StreamVersionTable, now: float = 0.0, stream: str = STREAM):
    resolution = table.resolve(ROUTE, stream, now)
    return resolution.state, resolution.version


def test_stream_without_a_record_began_at_the_default() -> None:
    table = make_table()
    assert resolve(table) == (ResolutionState.DEFAULT, "v1")
    table.apply_default(KEY, RouteDefault(ROUTE, "v1", is_retired=True), 0.0)
    assert resolve(table) == (ResolutionState.UNKNOWN, None)
    table.apply_default(KEY, None, 0.0)
    assert resolve(table) == (ResolutionState.UNKNOWN, None)


def test_record_counts_from_its_reading_and_survives_its_batch() -> None:
    table = make_table()
    table.apply_batch("e1/0", [StreamRecord(STREAM, "v2", 10.0)], 100.0)
    table.remove_batch("e1/0")
    table.expire(109.0)
    assert resolve(table, 109.0) == (ResolutionState.RECORDED, "v2")
    assert resolve(table, 111.0) == (ResolutionState.DEFAULT, "v1")
    table.expire(111.0)
    assert table.count_streams() == 0


def test_id_with_records_of_two_versions_is_not_resumed() -> None:
    table = make_table()
    for number, version in enumerate(("v2", "v3", "v2")):
        record = StreamRecord(STREAM, version, 10.0)
        table.apply_batch(f"e{number}/0", [record], 0.0)
    assert resolve(table) == (ResolutionState.AMBIGUOUS, None)


def test_stream_without_a_record_is_not_resumed_while_records_are_missing() -> None:
    table = make_table(max_streams=3)
    records = [StreamRecord(StreamDigest(str(n)), "v2", 10.0) for n in range(5)]
    table.apply_batch("e1/0", records, 0.0)
    assert table.count_streams() == 3
    assert resolve(table, 9.0, "0") == (ResolutionState.RECORDED, "v2")
    assert resolve(table, 9.0, "4") == (ResolutionState.INCOMPLETE, None)
    assert resolve(table, 11.0, "4") == (ResolutionState.DEFAULT, "v1")


def test_number_of_own_streams_is_bounded() -> None:
    table = make_table(max_own_streams=3)
    for number in range(9):
        table.add_own(StreamRecord(StreamDigest(str(number)), "v1", 10.0), 0.0)
    found = [number for number in range(9) if table.find(str(number), 1.0)]
    assert found == [6, 7, 8]


def test_snapshot_keeps_the_streams_of_batches_that_it_no_longer_holds() -> None:
    table = make_table()
    table.apply_batch("e1/0", [StreamRecord(STREAM, "v2", 10.0)], 0.0)
    table.clear_keys()
    assert resolve(table, 1.0) == (ResolutionState.RECORDED, "v2")
    assert table.list_expired_batches(99.0) == []
    assert table.get_default(ROUTE) is None


def test_stream_without_a_name_needs_one_version_in_service_and_in_records() -> None:
    table = make_table()
    assert table.resolve_unnamed(ROUTE, {"v1"}, 0.0).version == "v1"
    assert table.resolve_unnamed(ROUTE, {"v1", "v2"}, 0.0).version is None
    table.apply_batch("e1/0", [StreamRecord(STREAM, "v2", 10.0)], 0.0)
    assert table.resolve_unnamed(ROUTE, {"v1"}, 0.0).version is None
    assert table.resolve_unnamed(ROUTE, {"v1"}, 11.0).version == "v1"


def test_stream_that_outlives_a_default_is_recorded() -> None:
    table, observations = make_table(), VersionObservations()
    observations.observe({ROUTE: {"v1": 1}}, 10.0)

    def is_recorded(**changes) -> bool:
        options = {"now": 10.0, "synced_at": 10.0, "client_time": 30.0} | changes
        version = options.pop("version", "v1")
        return needs_record(ROUTE, version, table, observations, **options)

    assert not is_recorded()
    assert is_recorded(client_time=41.0)
    assert is_recorded(version="v2")
    assert is_recorded(synced_at=-21.0)


def test_default_that_was_read_long_ago_is_not_relied_on() -> None:
    """Streams of a former default were taken for streams of its successor."""
    observations = VersionObservations()
    observations.observe({ROUTE: {"v1": 1}}, 0.0)
    retired_at = synced_at = 6.0
    replaced_at = retired_at + RETIREMENT_TIME
    lifetime = UNRECORDED_LIFETIME
    for began_at in range(7, 100):
        is_recorded = needs_record(
            ROUTE,
            "v1",
            make_table(),
            observations,
            now=float(began_at),
            synced_at=synced_at,
            client_time=lifetime,
        )
        assert is_recorded or began_at + lifetime <= replaced_at


def plan(table, observations, now):
    (change,) = plan_defaults(table, observations, now) or [DefaultChange(ROUTE, None)]
    return change.default


def test_default_is_retired_before_another_version_follows() -> None:
    table, observations = StreamVersionTable(), VersionObservations()
    observations.observe({ROUTE: {"v1": 1, "v2": 3}}, 0.0)
    assert plan(table, observations, 0.0) == RouteDefault(ROUTE, "v2")
    table.apply_default(KEY, RouteDefault(ROUTE, "v2"), 0.0)
    observations.observe({ROUTE: {"v1": 1}}, 1.0)
    assert plan(table, observations, 4.0) is None
    retired = RouteDefault(ROUTE, "v2", is_retired=True)
    assert plan(table, observations, 5.1) == retired
    table.apply_default(KEY, retired, 6.0)
    assert plan(table, observations, 65.0) is None
    assert plan(table, observations, 66.1) == RouteDefault(ROUTE, "v1")
    observations.observe({ROUTE: {"v1": 1, "v2": 1}}, 20.0)
    assert plan(table, observations, 20.0) == RouteDefault(ROUTE, "v2")


def test_absence_does_not_count_from_before_the_first_observation() -> None:
    table, observations = make_table(), VersionObservations()
    observations.observe({ROUTE: {"v2": 1}}, 1000.0)
    assert plan(table, observations, 1004.0) is None
    observations.observe({ROUTE: {"v2": 1}}, 2000.0)
    assert plan(table, observations, 2004.0) is None


def test_default_of_a_removed_route_is_removed_after_its_streams() -> None:
    table, observations = make_table(), VersionObservations()
    table.apply_default(KEY, RouteDefault(ROUTE, "v1", is_retired=True), 0.0)
    observations.observe({}, 1.0)
    assert plan_defaults(table, observations, 59.0) == []
    assert plan_defaults(table, observations, 61.0) == [DefaultChange(ROUTE, None)]


@pytest.mark.parametrize("value", [b"", b"{", b"[1]", b'{"v":[1]}', b'{"v":[[1,"x"]]}'])
def test_unreadable_records_are_value_errors(value: bytes) -> None:
    with pytest.raises(ValueError):
        decode_batch(value)
    with pytest.raises(ValueError):
        decode_default(value)


def test_records_and_defaults_are_read_as_written() -> None:
    records = [StreamRecord(StreamDigest(str(n)), f"v{n % 2}", 5.5) for n in range(5)]
    by_stream = sorted(decode_batch(encode_batch(records)), key=lambda one: one.stream)
    assert by_stream == records
    default = RouteDefault(RoutePrefix("x" * 999), "v1", is_retired=True)
    assert decode_default(encode_default(default)) == default
    assert len(encode_route_key(default.route)) < 60


def test_default_of_a_split_route_is_that_of_the_route_it_is_split_from() -> None:
    table, observations = StreamVersionTable(), VersionObservations()
    for prefix, version in (("h/", "v0"), ("h/a/", "v1"), ("h/b/", "v2"), ("x/", "v3")):
        default = RouteDefault(RoutePrefix(prefix), version)
        table.apply_default(encode_route_key(default.route), default, 0.0)
    observations.observe(
        {route: {"v9": 5, f"v{n}": 1} for n, route in enumerate(["h/", "h/a/", "h/b/"])}
        | {"x/": {"v3": 1}, "h/a/c/": {"v9": 5}, "y/": {"v9": 5}},
        1.0,
    )
    assert plan_defaults(table, observations, 1.0) == [
        DefaultChange("h/a/c/", RouteDefault("h/a/c/", "v1")),
        DefaultChange("y/", RouteDefault("y/", "v9")),
    ]


def test_route_that_replaces_longer_ones_has_no_default_until_theirs_are_gone() -> None:
    table, observations = StreamVersionTable(), VersionObservations()
    key = encode_route_key("h/a/")
    table.apply_default(key, RouteDefault("h/a/", "v1"), 0.0)
    observations.observe({"h/": {"v2": 2}}, 1.0)
    assert plan_defaults(table, observations, 1.0) == []
    table.apply_default(key, None, 2.0)
    assert plan_defaults(table, observations, 2.0) == [
        DefaultChange("h/", RouteDefault("h/", "v2"))
    ]


def test_stream_of_a_removed_route_is_not_taken_for_one_of_the_next_route() -> None:
    table = make_table()
    former = RouteDefault(RoutePrefix("notes/a/"), "v2", is_retired=True)
    table.apply_default(encode_route_key(former.route), former, 0.0)
    assert resolve(table) == (ResolutionState.DEFAULT, "v1")
    options = {"former": [former.route]}
    assert table.resolve(ROUTE, STREAM, 0.0, **options).version is None
    assert table.resolve_unnamed(ROUTE, {"v1"}, 0.0, **options).version is None
    assert table.resolve(ROUTE, STREAM, 0.0, former=["unknown"]).version == "v1"
