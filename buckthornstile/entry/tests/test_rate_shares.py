"""Shares of a rate limit among many entries, decided without a network."""

import random
from dataclasses import dataclass, field

import pytest

from buckthornstile.gateway._rate_limits import RateLimits
from buckthornstile.gateway._rate_records import (
    LimitStatement,
    RateRecord,
    decode_rate_record,
)
from buckthornstile.routing import Share, compute_share, list_slots
from buckthornstile.topology import Upstream

STEP = 0.05
"""Seconds between two steps of a simulation."""
PUBLISH_INTERVAL = 0.45
"""Seconds between two records of an entry."""
READ_DELAY = 0.5
"""Seconds until an entry reads a record."""
WINDOW = 4.0
"""Seconds over which the requests at an upstream are counted."""


@dataclass
class Deployment:
    """Entries that send to the same upstreams and read each other's records."""

    entry_count: int
    upstream_count: int = 1
    now: float = 1_000_000.0
    sent_at: list[tuple[float, str, str]] = field(default_factory=list)
    is_store_away: bool = False

    def __post_init__(self) -> None:
        self.upstreams = [
            Upstream(f"u{number}", "s", "127.0.0.1", number, "a", 12)
            for number in range(self.upstream_count)
        ]
        self.names: list[str] = []
        self.waiting: dict[str, int] = {}
        self.records: list[tuple[float, str, RateRecord]] = []
        self.entries: dict[str, RateLimits] = {}
        for number in range(self.entry_count):
            self.add_entry(f"e{number}")

    def add_entry(self, name: str) -> RateLimits:
        self.names.append(name)
        entry = self.entries[name] = RateLimits(
            name,
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
            list_entries=lambda: self.names,
            count_waiting=lambda service: self.waiting.get(name, 0),
        )
        return entry

    def state_limit(self, limit: float | None) -> None:
        for entry in self.entries.values():
            for upstream in self.upstreams:
                entry.record_statement(upstream, limit, sent_at=self.now)

    def step(self, wanted: dict[str, int]) -> None:
        """Lets entries send up to their wanted number of requests in one step."""
        self.now += STEP
        self.waiting = wanted
        if not self.is_store_away:
            self._exchange_records()
        for name, count in wanted.items():
            entry = self.entries[name]
            for _ in range(count):
                upstream = next(filter(entry.has_slot, self.upstreams), None)
                if upstream is None:
                    break
                entry.take_slot(upstream)
                self.sent_at.append((self.now, upstream.id, name))

    def _exchange_records(self) -> None:
        for position, (name, entry) in enumerate(self.entries.items()):
            phase = position / len(self.entries) * PUBLISH_INTERVAL
            if (self.now + phase) % PUBLISH_INTERVAL < STEP:
                record = entry.make_record({"s"})
                if record is not None:
                    decoded = decode_rate_record(record.encode())
                    assert decoded is not None
                    self.records.append((self.now + READ_DELAY, name, decoded))
        due = [record for at, _, record in self.records if at <= self.now]
        self.records = [entry for entry in self.records if entry[0] > self.now]
        for record in due:
            for entry in self.entries.values():
                entry.apply_record(record)

    def find_most_requests(self) -> int:
        """Returns the most requests that one upstream got in a window."""
        most = 0
        for upstream in self.upstreams:
            times = [at for at, name, _ in self.sent_at if name == upstream.id]
            for start in times:
                most = max(most, sum(start <= at < start + WINDOW for at in times))
        return most


def compute_allowed(limit: float) -> float:
    return 1.5 * WINDOW * limit + 5


@pytest.mark.parametrize("limit", [0.0, 0.4, 1.0, 3.2, 25.0])
@pytest.mark.parametrize("entry_count", [1, 9, 88, 320])
def test_entries_stay_within_the_limit_together(entry_count: int, limit: float) -> None:
    """All entries want more than the limit, and the demand moves between them."""
    deployment = Deployment(entry_count)
    deployment.state_limit(limit)
    random_source = random.Random(7)
    for step in range(240):
        if step % 40 == 0:
            busy = random_source.sample(deployment.names, max(1, entry_count // 4))
        deployment.step(dict.fromkeys(busy, 10))
    assert deployment.find_most_requests() <= compute_allowed(limit)


@pytest.mark.parametrize("entry_count", [9, 88])
def test_limit_is_used_by_the_entries_that_have_requests(entry_count: int) -> None:
    """Three entries run all jobs, and the other entries send nothing."""
    deployment = Deployment(entry_count, upstream_count=4)
    deployment.state_limit(3.2)
    for _ in range(400):
        deployment.step({"e0": 20, "e1": 20, "e2": 20})
    seconds = 10.0
    late = [at for at, _, _ in deployment.sent_at if at > deployment.now - seconds]
    assert len(late) >= 0.9 * 4 * 3.2 * seconds
    by_entry = [name for at, _, name in deployment.sent_at]
    assert min(by_entry.count(f"e{number}") for number in range(3)) > 0.2 * len(
        by_entry
    )


@pytest.mark.parametrize("entry_count", [9, 88])
def test_entries_stay_within_the_limit_while_the_store_is_away(
    entry_count: int,
) -> None:
    deployment = Deployment(entry_count)
    for step in range(400):
        if step == 100:
            deployment.is_store_away = True
        if step == 20:
            deployment.state_limit(2.0)
            deployment.sent_at.clear()
        deployment.step(dict.fromkeys(deployment.names, 3))
    late = [sent for sent in deployment.sent_at if sent[0] > 1_000_002.0]
    deployment.sent_at = late
    assert deployment.find_most_requests() <= compute_allowed(2.0)


def test_entry_that_has_just_started_learns_the_limit_from_the_others() -> None:
    deployment = Deployment(9)
    deployment.state_limit(1.0)
    for _ in range(40):
        deployment.step(dict.fromkeys(deployment.names, 3))
    entry = deployment.add_entry("new")
    assert not entry.is_limited(deployment.upstreams[0])
    # The upstream repeats its statement in each response.
    deployment.entries["e0"].record_statement(
        deployment.upstreams[0], 1.0, sent_at=deployment.now
    )
    for _ in range(20):
        deployment.step({})
    assert entry.is_limited(deployment.upstreams[0])


def test_entry_without_a_record_of_its_own_sends_nothing() -> None:
    """The others do not know it, so they have divided the whole limit."""
    entry = RateLimits(
        "new",
        clock=lambda: 5.0,
        wall_clock=lambda: 1_000_000.5,
        list_entries=lambda: ["e0", "e1"],
    )
    upstream = Upstream("u0", "s", "127.0.0.1", 1, "a", 12)
    entry.record_statement(upstream, 50.0, sent_at=5.0)
    assert not entry.has_slot(upstream)
    assert entry.get_slot_delay(upstream) == float("inf")


def test_limit_ends_with_a_later_response_without_it() -> None:
    now = [5.0]
    entry = RateLimits(
        "e0",
        clock=lambda: now[0],
        wall_clock=lambda: now[0],
        list_entries=lambda: ["e0"],
    )
    upstream = Upstream("u0", "s", "127.0.0.1", 1, "a", 12, started_at_ms=1)
    entry.record_statement(upstream, None, sent_at=5.0)
    assert not entry.is_limited(upstream)
    entry.record_statement(upstream, 1.0, sent_at=5.0)
    now[0] = 6.0
    # Its head was on its way before the upstream stated the limit.
    entry.record_statement(upstream, None, sent_at=4.9)
    assert entry.is_limited(upstream)
    entry.record_statement(upstream, None, sent_at=5.5)
    assert not entry.is_limited(upstream)


def test_limit_belongs_to_one_incarnation_of_an_upstream() -> None:
    entry = RateLimits(
        "e0", clock=lambda: 5.0, wall_clock=lambda: 5.0, list_entries=lambda: ["e0"]
    )
    upstream = Upstream("u0", "s", "127.0.0.1", 1, "a", 12, started_at_ms=1)
    entry.record_statement(upstream, 1.0, sent_at=5.0)
    restarted = Upstream("u0", "s", "127.0.0.1", 1, "a", 12, started_at_ms=2)
    assert not entry.is_limited(restarted)
    older = RateRecord("e1", {}, {"u0": LimitStatement(0, 9.0, 0.0)})
    entry.apply_record(older)
    assert entry.get_limit(upstream) == 1.0


@pytest.mark.parametrize(
    "data",
    [
        b"{}",
        b'{"name":"e","demands":[],"limits":{}}',
        b'{"name":"e","demands":{"s":"x"},"limits":{}}',
        b'{"name":"e","demands":{},"limits":{"u":[1,2]}}',
        b'{"name":"e","demands":{},"limits":{"u":[1e999,2,0]}}',
        b"{",
    ],
)
def test_malformed_record_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode_rate_record(data)


def test_record_of_another_kind_is_left_to_its_decoder() -> None:
    assert decode_rate_record(b'["e1","n",false,{},{},"a","",0]') is None


@pytest.mark.parametrize("limit", [1e300, float("inf"), float("nan"), -1.0])
def test_limit_without_meaning_neither_stops_nor_slows_an_entry(limit: float) -> None:
    entry = RateLimits(
        "e0", clock=lambda: 5.0, wall_clock=lambda: 5.0, list_entries=lambda: ["e0"]
    )
    upstream = Upstream("u0", "s", "127.0.0.1", 1, "a", 12)
    entry.record_statement(upstream, limit, sent_at=5.0)
    assert entry.has_slot(upstream)
    data = f'{{"name":"e1","demands":{{"s":1e999}},"limits":{{"u0":[0,{limit!r},0]}}}}'
    data = data.replace("inf", "Infinity").replace("nan", "NaN")
    record = decode_rate_record(data.encode())
    assert record is not None
    entry.apply_record(record)
    assert entry.has_slot(upstream)
    assert entry.get_slot_delay(upstream) == 0.0


def test_slots_of_all_shares_are_those_of_the_rate() -> None:
    weights = {"a": 1.0, "b": 2.5, "c": 0.0, "d": 4.0}
    shares = [compute_share(name, weights) for name in weights]
    for rate in (0.3, 1.0, 3.2, 400.0):
        for after, until in ((100.0, 104.0), (100.4, 100.6), (99.999, 103.2)):
            parts = [
                list_slots("u", rate, share, after=after, until=until)
                for share in shares
            ]
            whole = list_slots("u", rate, Share(0.0, 1.0), after=after, until=until)
            assert sorted(time for part in parts for time in part) == whole
            assert abs(len(whole) - rate * (until - after)) < 2


def test_late_record_does_not_bring_a_former_limit_back() -> None:
    """A record's ages count from when it is read, so that a late one looked newest."""
    deployment = Deployment(2)
    first, second = deployment.entries.values()
    (upstream,) = deployment.upstreams
    records = []
    for limit in (50.0, 5.0):
        first.record_statement(upstream, limit, sent_at=deployment.now)
        records.append(first.make_record({"s"}))
        deployment.now += PUBLISH_INTERVAL
    for record in (records[1], records[0]):
        second.apply_record(decode_rate_record(record.encode()))
        deployment.now += READ_DELAY
    assert second.get_limit(upstream) == 5.0
