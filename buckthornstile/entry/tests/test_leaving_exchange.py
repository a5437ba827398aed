"""Entries tell each other which upstreams stated that they leave."""

import asyncio
import json

import pytest

from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_job,
    with_deployment,
)
from buckthornstile.entry.tests.test_leaving_upstreams import (
    list_late_runs,
    send_at_once,
)
from buckthornstile.gateway import decode_rate_record
from buckthornstile.gateway._leaving_upstreams import LeavingUpstreams
from buckthornstile.messages import ResponseHead
from buckthornstile.topology import TopologyView, Upstream

HEAD = ResponseHead(200, (), is_leaving=True)


class Exchange:
    """Entries that read each other's records, with a clock that the test moves."""

    def __init__(self, *names: str) -> None:
        self.now = 100.0
        self.views = {name: TopologyView() for name in names}
        self.entries = {
            name: LeavingUpstreams(name, view, lambda: self.now)
            for name, view in self.views.items()
        }

    def list(self, upstream: Upstream) -> None:
        for view in self.views.values():
            view.apply_upstream(upstream, self.now)

    def publish(self, name: str) -> bool:
        """Publishes one entry's record to all, and returns whether it had one."""
        record = self.entries[name].add_departures(None)
        if record is None:
            return False
        decoded = decode_rate_record(record.encode())
        assert decoded is not None
        for entry in self.entries.values():
            entry.apply_record(decoded)
        return bool(decoded.departures)

    def is_used(self, name: str) -> bool:
        return bool(self.views[name].list_available_upstreams("s"))


def make_upstream(started_at_ms: int = 10, *, sequence: int = 1) -> Upstream:
    return Upstream(
        "u", "s", "127.0.0.1", 1, "a", 6, started_at_ms=started_at_ms, sequence=sequence
    )


def test_entry_stops_using_an_upstream_that_another_saw_leaving() -> None:
    """A departure was known only to the entries that had a response."""
    exchange = Exchange("a", "b")
    exchange.list(make_upstream())
    exchange.entries["a"].record_response(make_upstream(), HEAD)
    assert exchange.is_used("b")
    assert exchange.publish("a")
    assert not exchange.is_used("b")
    assert exchange.entries["a"].counts == {"response": 1, "entry": 0}
    assert exchange.entries["b"].counts == {"response": 0, "entry": 1}
    assert not exchange.publish("b"), "what another entry told is published again"


def test_departure_is_published_by_each_entry_that_had_a_response() -> None:
    """If the first witness died, entries that start later would not learn of it."""
    exchange = Exchange("a", "b", "c")
    exchange.list(make_upstream())
    exchange.entries["a"].record_response(make_upstream(), HEAD)
    assert exchange.publish("a")
    exchange.entries["b"].record_response(make_upstream(), HEAD)
    assert exchange.publish("b")
    assert exchange.entries["b"].counts == {"response": 0, "entry": 1}


def test_departure_is_published_for_3_s_and_then_while_the_upstream_is_listed() -> None:
    """An entry that starts later, or misses records, would not learn of it."""
    exchange = Exchange("a")
    exchange.list(make_upstream())
    exchange.entries["a"].record_response(make_upstream(), HEAD)
    published_at = []
    for _ in range(20):
        exchange.now += 0.45
        if exchange.publish("a"):
            published_at.append(exchange.now - 100.0)
    assert sum(at <= 3.0 for at in published_at) == 6
    assert 2 <= sum(at > 3.0 for at in published_at) <= 4
    exchange.views["a"].remove_upstream("u", exchange.now)
    exchange.now += 2.0
    assert not exchange.publish("a")


@pytest.mark.parametrize("reads_record_first", [True, False])
def test_only_the_incarnation_that_leaves_is_excluded(reads_record_first: bool) -> None:
    """A record of an earlier incarnation, read late, would bring the upstream back."""
    exchange = Exchange("a", "b")
    if reads_record_first:
        exchange.list(make_upstream(9))
    exchange.entries["a"].record_response(make_upstream(10), HEAD)
    exchange.publish("a")
    exchange.list(make_upstream(9, sequence=2))
    assert not exchange.is_used("b")
    exchange.list(make_upstream(10))
    assert not exchange.is_used("b")
    exchange.list(make_upstream(11))
    assert exchange.is_used("b")
    exchange.publish("a")
    assert exchange.is_used("b"), "a late statement excludes the new incarnation"


def test_departures_of_many_upstreams_fit_into_a_record() -> None:
    exchange = Exchange("a", "b")
    for number in range(600):
        upstream = Upstream(f"u{number}", "s", "127.0.0.1", 1, "a", 6)
        exchange.entries["a"].record_response(upstream, HEAD)
    record = exchange.entries["a"].add_departures(None)
    assert record is not None
    assert len(record.encode()) < 4096
    assert len(record.departures) == 64


@pytest.mark.parametrize(
    ("leaving", "unreadable_count"),
    [
        ({"u1": [10, -0.5], "u2": [10]}, 1),
        ({"u1": [10, -0.5], "u2": None, "u3": ["10", 0], "u4": [True, 0]}, 3),
        ({"u1": [10, -0.5], "u2": [-1, 0], "u3": [1 << 60, 0], "u4": [1, 5]}, 3),
        ({"u1": [10, -0.5], "u2": [1, float("nan")], "u3": [1, -(10**400)]}, 2),
        ([], 1),
        (None, 1),
        ("u1", 1),
    ],
)
def test_malformed_departure_is_skipped(leaving: object, unreadable_count: int) -> None:
    """It would make the limits and the other departures unreadable."""
    data = {"name": "a", "demands": {}, "limits": {"u": [1, 2.0, 0]}}
    record = decode_rate_record(json.dumps(data | {"leaving": leaving}).encode())
    assert record is not None
    assert record.unreadable_count == unreadable_count
    assert list(record.departures) == (["u1"] if isinstance(leaving, dict) else [])
    assert list(record.statements) == ["u"]


def test_earlier_versions_and_this_one_read_each_other_s_records() -> None:
    """A rolling update would log each record as unreadable."""
    exchange = Exchange("a")
    exchange.entries["a"].record_response(make_upstream(), HEAD)
    record = exchange.entries["a"].add_departures(None)
    assert record is not None
    fields = json.loads(record.encode())
    # What an earlier version reads.
    assert (fields["name"], fields["demands"], fields["limits"]) == ("a", {}, {})
    del fields["leaving"]
    earlier = decode_rate_record(json.dumps(fields).encode())
    assert earlier is not None and not earlier.unreadable_count


@with_deployment
async def test_entry_that_never_called_an_upstream_learns_that_it_leaves(
    deployment: InProcessDeployment,
) -> None:
    """It sent its first requests to an upstream that was about to stop."""
    leaving = deployment.add_worker("w1", PLAIN_SERVICE)
    deployment.add_worker("w2", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    other = await deployment.add_entry("e2")
    leaving.state.is_leaving = True
    await send_at_once(deployment)
    await deployment.wait_for(other.view.count_leaving, timeout=3.0)
    calls = (deployment.send_simple_request("e2", f"late{n}") for n in range(20))
    assert {response.status for response in await asyncio.gather(*calls)} == {200}
    assert list_late_runs(leaving, "late") == []
    metrics = other._render_metrics()
    assert "upstreams_leaving_by_entry 1" in metrics
    assert "upstreams_leaving_by_response 0" in metrics
    newest = await deployment.add_entry("e3")
    await deployment.wait_for(newest.view.count_leaving, timeout=3.0)
    await leaving.stop()
    leaving.state.is_leaving = False
    leaving.start()
    await deployment.wait_for(lambda: not other.view.count_leaving())


@with_deployment
async def test_items_avoid_an_engine_that_another_entry_saw_leaving(
    deployment: InProcessDeployment,
) -> None:
    """The owner of a job sent items to an engine of which only another entry knew."""
    deployment.add_worker("w1", PLAIN_SERVICE)
    leaving = deployment.add_worker("m1", MODEL_SERVICE)
    deployment.add_worker("m2", MODEL_SERVICE)
    seen = await deployment.add_entry("e1")
    told = await deployment.add_entry("e2")
    leaving.state.is_leaving = True
    upstream = seen.view.upstreams["m1"]
    seen.balancer.leaving.record_response(upstream, HEAD)
    await deployment.wait_for(told.view.count_leaving, timeout=3.0)
    assert await deployment.submit_job("e2", make_job(8, prefix="late"), "j1") == 202
    await deployment.wait_for_results("e2", "j1", 8)
    assert list_late_runs(leaving, "late") == []


@with_deployment
async def test_malformed_record_does_not_hide_a_departure(
    deployment: InProcessDeployment,
) -> None:
    """One malformed record or departure must not stop the reader of the topic."""
    started_at_ms = deployment.add_worker("w1", PLAIN_SERVICE).state.started_at_ms
    entry = await deployment.add_entry("e1")
    records = [
        {"name": "x", "demands": {}, "limits": {}, "leaving": {"w9": 5}},
        {"name": "x", "leaving": {"w9": [1, 0]}},
        {
            "name": "x",
            "demands": {},
            "limits": {},
            "leaving": {"w9": [1], "w1": [started_at_ms, -0.2]},
        },
    ]
    partition = deployment.topic_store.get("presence", 0)
    with entry.event_handler.applicationbound():
        for record in records:
            partition.append([json.dumps(record).encode()])
        await deployment.wait_for(entry.view.count_leaving, timeout=3.0)
    assert entry.event_handler.count_events("presence.unreadable") == {
        "presence.unreadable": 3
    }
