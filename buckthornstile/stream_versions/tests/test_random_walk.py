"""Random walks: a stream never goes on at another version than the one that began it.

Entries read late, are killed one by one or all at once, and several of them take
themselves for the holder of the lease; appends are lost or executed late.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from buckthornstile.stream_versions import (
    RecordBatches,
    ResolutionState,
    RoutePrefix,
    StreamRecord,
    StreamVersionTable,
    VersionObservations,
    compute_stream_digest,
    decode_batch,
    decode_default,
    encode_default,
    encode_route_key,
    is_route_key,
    needs_record,
    plan_defaults,
)

ROUTE = RoutePrefix("notes")
VERSIONS = ("v1", "v2", "v3")
MAX_LAG = 20.0  # seconds
MAX_LATE = 6.0  # seconds
MARGIN = 5.0  # seconds


@dataclass
class Stream:
    name: str
    version: str
    deadline: float


class WalkEntry:
    """An entry with its own, perhaps late, knowledge of the store and the upstreams."""

    def __init__(self, name, walk):
        self.name = name
        self.walk = walk
        self.table = StreamVersionTable()
        self.observations = VersionObservations()
        self.batches = RecordBatches(name, max_batch_bytes=400)
        self.waiting = []
        self.synced_at = walk.now
        self.next_offset = len(walk.log)
        for key, value in walk.newest.items():
            self.apply(key, value)
        self.observe()

    def apply(self, key, value):
        now = self.walk.now
        if is_route_key(key):
            default = decode_default(value) if value else None
            self.table.apply_default(key, default, now)
        elif value:
            self.table.apply_batch(key, decode_batch(value), now)
            self.batches.reclaim(key, now)
        else:
            self.table.remove_batch(key)

    def read(self):
        for key, value in self.walk.log[self.next_offset :]:
            self.apply(key, value)
        self.next_offset = len(self.walk.log)
        self.synced_at = self.walk.now

    def observe(self):
        counts = Counter(self.walk.upstreams)
        self.observations.observe({ROUTE: counts}, self.walk.now)
        self.observed_at = self.walk.now


@dataclass
class Walk:
    entry_count: int
    seed: int
    now: float = 1000.0
    log: list = field(default_factory=list)
    newest: dict = field(default_factory=dict)
    upstreams: Counter = field(default_factory=lambda: Counter(v1=2))
    streams: list = field(default_factory=list)
    late: list = field(default_factory=list)
    started: int = 0
    resolved: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.entries = [self.start_entry() for _ in range(self.entry_count)]

    def start_entry(self):
        self.started += 1
        return WalkEntry(f"e{self.started}", self)

    def append(self, pairs, *, at=None):
        if at is not None and at != len(self.log):
            return False
        for key, value in pairs:
            self.log.append((key, value))
            self.newest.pop(key, None)
            if value:
                self.newest[key] = value
        return True

    def send(self, pairs, *, at=None):
        """Returns whether the store acknowledges an append; it may execute it late."""
        outcome = self.random.choice(
            ["done", "done", "done", "refused", "lost", "late"]
        )
        if outcome == "late":
            delay = self.random.uniform(0.1, MAX_LATE)
            self.late.append((self.now + delay, pairs, at))
        if outcome in ("refused", "late"):
            return False
        return self.append(pairs, at=at) and outcome == "done"

    def advance(self):
        self.now += self.random.choice([0.02, 0.1, 0.5, 2.0, 8.0])
        for due in sorted(one for one in self.late if one[0] <= self.now):
            self.late.remove(due)
            self.append(due[1], at=due[2])
        for entry in self.entries:
            if self.now - entry.synced_at > MAX_LAG:
                entry.read()
            if self.now - entry.observed_at > MAX_LAG:
                entry.observe()
        self.streams = [one for one in self.streams if one.deadline > self.now]

    def change_upstreams(self):
        version = self.random.choice(VERSIONS)
        count = self.random.choice([0, 0, 1, 3])
        if count or len(+self.upstreams) > 1:
            self.upstreams[version] = count
        self.upstreams = +self.upstreams

    def pick(self):
        return self.random.choice(self.entries)

    def begin(self):
        entry = self.pick()
        known = set(entry.observations.counts.get(ROUTE, ())) & set(self.upstreams)
        if not known:
            return
        version = self.random.choice(sorted(known))
        client_time = self.random.choice([5.0, 20.0, 40.0, 90.0])
        self.started += 1
        stream = Stream(f"r{self.started}", version, self.now + client_time)
        digest = compute_stream_digest(stream.name)
        record = StreamRecord(digest, version, client_time + MARGIN)
        entry.table.add_own(record, self.now)
        if needs_record(
            ROUTE,
            version,
            entry.table,
            entry.observations,
            now=self.now,
            synced_at=entry.synced_at,
            client_time=client_time,
        ):
            entry.waiting.append((entry.batches.add(record), stream))
        else:
            self.streams.append(stream)
            self.resolved["unrecorded"] += 1

    def write(self):
        entry = self.pick()
        append = entry.batches.get_append(self.now)
        if append is None or not self.send(append.pairs):
            return
        entry.batches.confirm(append)
        for ticket, stream in list(entry.waiting):
            if entry.batches.is_confirmed(ticket):
                entry.waiting.remove((ticket, stream))
                self.streams.append(stream)

    def hold(self):
        entry = self.random.choice(self.entries[:3])
        if self.random.random() < 0.5:
            entry.read()
        if self.now - entry.observed_at > 3.0:
            entry.observe()
        changes = plan_defaults(entry.table, entry.observations, self.now)
        pairs = [
            (encode_route_key(one.route), encode_default(one.default))
            for one in changes
            if one.default is not None
        ]
        if pairs and self.send(pairs, at=entry.next_offset):
            self.resolved["default changes"] += 1
        writers = {one.name for one in self.entries}
        over = [
            (key, b"")
            for key in entry.table.list_expired_batches(self.now)
            if key.rpartition("/")[0] not in writers
        ]
        if over:
            self.send(over)

    def kill(self):
        position = self.random.randrange(len(self.entries))
        self.entries[position] = self.start_entry()

    def kill_all(self):
        self.entries = [self.start_entry() for _ in self.entries]

    def read(self):
        entry = self.pick()
        entry.read()
        entry.observe()
        entry.table.expire(self.now)

    def take_up(self):
        if not self.streams:
            return
        stream, entry = self.random.choice(self.streams), self.pick()
        digest = compute_stream_digest(stream.name)
        resolution = entry.table.find(digest, self.now)
        if resolution is None:
            entry.read()
            resolution = entry.table.resolve(ROUTE, digest, self.now)
        self.resolved[resolution.state] += 1
        assert resolution.version in (None, stream.version), (stream, resolution)
        unnamed = entry.table.resolve_unnamed(ROUTE, self.upstreams, self.now)
        if {one.version for one in self.streams} == {stream.version}:
            assert unnamed.version in (None, stream.version)

    def run(self, steps):
        rules = {
            self.advance: 12,
            self.begin: 8,
            self.write: 16,
            self.read: 8,
            self.take_up: 16,
            self.hold: 4,
            self.change_upstreams: 1,
            self.kill: 0.5,
            self.kill_all: 0.1,
        }
        for step in self.random.choices(list(rules), list(rules.values()), k=steps):
            step()


@pytest.mark.parametrize("entry_count", [1, 9, 88])
@pytest.mark.parametrize("seed", range(6))
def test_stream_never_resolves_to_a_version_that_did_not_begin_it(
    entry_count: int, seed: int
) -> None:
    walk = Walk(entry_count, seed)
    walk.run(12_000)
    assert walk.resolved["unrecorded"] > 20
    assert walk.resolved["default changes"] > 3
    assert walk.resolved[ResolutionState.DEFAULT] > 20
    own, recorded = ResolutionState.OWN, ResolutionState.RECORDED
    assert walk.resolved[own] + walk.resolved[recorded] > 20
