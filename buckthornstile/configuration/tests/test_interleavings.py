"""Readers and relay-only receivers under every interleaving, and naive forms.

The oracle reads the whole log with nothing but compare-and-set.
"""

import functools

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.configuration import (
    EMPTY_CONFIGURATION,
    ChangeError,
    ConfigurationFold,
    apply_change,
    make_configuration,
)
from buckthornstile.configuration.tests.logs import MemoryLog, make_drain_change
from buckthornstile.records import (
    ConfigurationChange,
    ConfigurationSnapshot,
    decode_record,
    encode_record,
)

READERS = range(3)
NODES = st.integers(0, 4)
DOMAINS = st.sampled_from(["bench-a", "bench-b", "grind-room"])


class Oracle:
    """The accepted revisions, by a reader that never misses a record."""

    def __init__(self):
        self.history = [EMPTY_CONFIGURATION]
        self.accepted = set()

    def read(self, offset, record):
        if not isinstance(record, ConfigurationChange):
            return
        if record.change_id in self.accepted:
            return
        try:
            after = apply_change(self.history[-1], record, offset=offset)
        except ChangeError:
            return
        self.history.append(after)
        self.accepted.add(record.change_id)


class Deployment(RuleBasedStateMachine):
    fold_type = ConfigurationFold

    def __init__(self):
        super().__init__()
        self.log = MemoryLog()
        self.oracle = Oracle()
        self.nodes = [self.fold_type() for _ in range(5)]
        self.positions = [0] * 5
        self.seen = [0] * 5
        self.changes = []
        self.snapshots = []
        self.relays = []

    def append(self, record):
        offset = self.log.append(record)
        self.oracle.read(offset, decode_record(self.log.records[offset]))

    def append_change(self, configuration, domain):
        change_id = f"c{len(self.changes)}"
        change = make_drain_change(change_id, configuration, domain)
        self.changes.append(change)
        self.append(change)

    @rule(node=NODES, domain=DOMAINS)
    def change_from_what_a_process_knows(self, node, domain):
        self.append_change(self.nodes[node].current, domain)

    @rule(domains=st.lists(DOMAINS, min_size=1, max_size=3))
    def change_in_turn(self, domains):
        for domain in domains:
            self.append_change(self.oracle.history[-1], domain)

    @rule(index=st.integers(0, 50), newer=st.booleans())
    def repeat_change(self, index, newer):
        if not self.changes:
            return
        change = self.changes[index % len(self.changes)]
        if newer:
            base = self.oracle.history[-1].revision
            change = change.model_copy(update={"base_revision": base})
        self.append(change)

    @rule(record=st.sampled_from([b"?", b"{}"]))
    def append_other_record(self, record):
        self.append(record)

    @rule(node=NODES)
    def make_snapshot(self, node):
        self.snapshots.append(self.nodes[node].make_snapshot())

    @rule(index=st.integers(0, 50))
    def append_snapshot_late(self, index):
        if self.snapshots:
            self.append(self.snapshots[index % len(self.snapshots)])

    @rule(node=st.sampled_from(READERS), limit=st.integers(1, 6))
    def read(self, node, limit):
        _, self.positions[node] = self.log.read_into(
            self.nodes[node], self.positions[node], limit
        )

    @rule(sender=NODES, receiver=NODES, first=st.integers(0, 2))
    def relay(self, sender, receiver, first):
        through = self.nodes[receiver].current.through
        records = self.nodes[sender].records_after(through)
        self.relays.append(records)
        self.nodes[receiver].merge_relay(records[first:])

    @rule(index=st.integers(0, 50), first=st.integers(0, 2), receiver=NODES)
    def deliver_relay_late(self, index, first, receiver):
        if self.relays:
            records = self.relays[index % len(self.relays)]
            self.nodes[receiver].merge_relay(records[first:])

    @rule(node=NODES)
    def restart(self, node):
        self.nodes[node] = self.fold_type()
        self.positions[node] = self.log.first_retained
        self.seen[node] = 0

    @rule(count=st.integers(1, 6))
    def retain_less(self, count):
        first = self.log.first_retained + count
        self.log.first_retained = min(first, len(self.log.records))

    @invariant()
    def no_process_goes_back(self):
        for index, node in enumerate(self.nodes):
            assert node.current.revision >= self.seen[index]
            self.seen[index] = node.current.revision

    @invariant()
    def one_revision_has_one_content(self):
        for node in self.nodes:
            revision = node.current.revision
            assert revision < len(self.oracle.history)
            assert node.current == self.oracle.history[revision]
            assert node.snapshot_conflicts == node.relay_rejections == 0

    def teardown(self):
        """Once all is well again, every process comes to the newest revision."""
        newest = self.oracle.history[-1]
        snapshot = ConfigurationSnapshot(
            revision=newest.revision,
            through=newest.through,
            items=newest.list_items(),
            read_through=len(self.log.records) - 1,
        )
        self.append(snapshot)
        for node in READERS:
            self.read(node, 1_000_000)
        for node in range(len(READERS), len(self.nodes)):
            through = self.nodes[node].current.through
            self.nodes[node].merge_relay(self.nodes[0].records_after(through))
        for node in self.nodes:
            assert node.current == newest


def make_machine(fold_type):
    return type("Deployment", (Deployment,), {"fold_type": fold_type})


def run(fold_type, examples, phases):
    run_state_machine_as_test(
        make_machine(fold_type),
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            database=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def rebase(fold, change):
    return change.model_copy(update={"base_revision": fold.current.revision})


class WithoutCompareAndSet(ConfigurationFold):
    def _judge(self, offset, change):
        return super()._judge(offset, rebase(self, change))


class WithoutChangeIds(ConfigurationFold):
    def find_change(self, change_id):
        return None


class WithAnySnapshot(ConfigurationFold):
    def _adopt(self, snapshot):
        self._current = make_configuration(
            snapshot.items, revision=snapshot.revision, through=snapshot.through
        )
        return True


class WithSnapshotsThatHoldForAll(ConfigurationFold):
    """Takes a snapshot's word for all records up to the snapshot's own offset."""

    def _apply_snapshot(self, offset, snapshot):
        known = snapshot.model_copy(update={"read_through": offset - 1})
        return super()._apply_snapshot(offset, known)


class WithoutRelayGapCheck(ConfigurationFold):
    def merge_relay(self, records):
        for relayed in records:
            change = decode_record(relayed.data)
            if isinstance(change, ConfigurationChange):
                known = self.find_change(change.change_id) is not None
                change = change if known else rebase(self, change)
            record = type(relayed)(relayed.offset, encode_record(change))
            super().merge_relay((record,))


class WithoutLogGapCheck(ConfigurationFold):
    has_gap = functools.cached_property(lambda self: False)


def test_no_process_goes_back_and_all_converge():
    run(ConfigurationFold, 150, tuple(Phase))


@pytest.mark.parametrize(
    "fold_type",
    [
        WithoutCompareAndSet,
        WithoutChangeIds,
        WithAnySnapshot,
        WithSnapshotsThatHoldForAll,
        WithoutRelayGapCheck,
        WithoutLogGapCheck,
    ],
)
def test_a_naive_form_breaks_the_promise(fold_type):
    with pytest.raises(AssertionError):
        run(fold_type, 400, (Phase.generate,))
