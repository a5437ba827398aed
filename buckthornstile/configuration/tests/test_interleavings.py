"""State machine test of operators and readers that interleave their steps.

The oracle is the history of accepted changes, in the order in which the store accepted
them. Faulty variants of the reader and of the store must fail the same checks.
"""

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
    ConfigurationState,
    Drain,
    Rule,
    apply_change,
)
from buckthornstile.configuration.tests.memory_store import (
    MemoryStore,
    TopicReader,
    make_change,
)

READER_INDICES = st.integers(0, 2)
OPERATOR_INDICES = st.integers(0, 1)
FAILURE_DOMAINS = st.sampled_from(["bench-a", "bench-b", "grind-room"])


class Deployment(RuleBasedStateMachine):
    reader_type = TopicReader
    state_type = ConfigurationState
    checks_offset = True

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.history = [EMPTY_CONFIGURATION]
        self.readers = [self.make_reader() for _ in range(3)]
        self.last_revisions = [0] * 3
        self.operators = [TopicReader(self.store) for _ in range(2)]
        self.snapshots = [None] * 3
        self.late_appends = []
        self.change_count = 0

    def make_reader(self):
        return self.reader_type(self.store, self.state_type())

    def execute_append(self, change, at):
        """Executes an append in the store, immediately or late."""
        if self.store.append_change(change, at=at if self.checks_offset else None):
            base = self.history[-1]
            rebased = change.model_copy(update={"base_revision": base.revision})
            after = apply_change(base, rebased, offset=self.store.partition.end - 1)
            self.history.append(after)

    @rule(operator=OPERATOR_INDICES)
    def operator_reads(self, operator):
        self.operators[operator].read()

    @rule(
        operator=OPERATOR_INDICES,
        failure_domain=FAILURE_DOMAINS,
        execution=st.sampled_from(["immediate", "late"]),
    )
    def operator_appends(self, operator, failure_domain, execution):
        reader = self.operators[operator]
        if reader.offset is None:
            return
        self.change_count += 1
        # Both items of the change must take effect together.
        change = make_change(
            f"c{self.change_count}",
            reader.state.current.revision,
            Drain(name=failure_domain, reason=str(self.change_count)),
            Rule(name="r", path=f"/{self.change_count}", service="s"),
        )
        if execution == "late":
            self.late_appends.append((change, reader.offset))
        else:
            self.execute_append(change, reader.offset)

    @rule(index=st.integers(0, 9))
    def late_append_is_executed(self, index):
        if self.late_appends:
            self.execute_append(*self.late_appends.pop(index % len(self.late_appends)))

    @rule(reader=READER_INDICES, max_records=st.integers(1, 4))
    def read(self, reader, max_records):
        self.readers[reader].read(max_records)

    @rule(reader=READER_INDICES)
    def read_first_page(self, reader):
        self.snapshots[reader] = self.store.read_latest()

    @rule(reader=READER_INDICES, page_size=st.integers(1, 4))
    def read_last_page(self, reader, page_size):
        """Completes a snapshot with records that may be newer than its first page."""
        if self.snapshots[reader] is None:
            return
        first, end = self.snapshots[reader]
        self.snapshots[reader] = None
        last_key = first[:page_size][-1][1] if first else ""
        rest = [
            record for record in self.store.read_latest()[0] if record[1] > last_key
        ]
        self.readers[reader].apply_snapshot((first[:page_size] + rest, end))

    @rule(
        reader=READER_INDICES,
        page_size=st.integers(1, 4),
        failure_domain=FAILURE_DOMAINS,
        changes=st.integers(1, 2),
    )
    def changes_are_accepted_between_pages(
        self, reader, page_size, failure_domain, changes
    ):
        """Takes a snapshot whose later pages hold changes that its first one lacks.

        The steps are also separate rules, but random choices seldom put them in this
        order.
        """
        self.read_first_page(reader)
        for _ in range(changes):
            self.operator_reads(0)
            self.operator_appends(0, failure_domain, "immediate")
        self.read_last_page(reader, page_size)

    @rule(reader=READER_INDICES)
    def restart(self, reader):
        self.readers[reader] = self.make_reader()
        self.snapshots[reader] = None
        self.last_revisions[reader] = 0

    @rule()
    def drop_history(self):
        self.store.partition.drop_history()

    @invariant()
    def revision_never_decreases(self):
        for index, reader in enumerate(self.readers):
            revision = reader.state.current.revision
            assert revision >= self.last_revisions[index]
            self.last_revisions[index] = revision

    @invariant()
    def items_match_the_accepted_revision(self):
        for reader in self.readers:
            current = reader.state.current
            assert current.revision < len(self.history)
            expected = self.history[current.revision]
            assert current.list_items() == expected.list_items()

    def teardown(self):
        """Checks that every reader that reads to the end has the latest revision."""
        for reader in self.readers:
            reader.read()
            assert reader.state.current.list_items() == self.history[-1].list_items()


def run_machine(max_examples, phases, **members):
    # Hypothesis derives the seed from the source of Deployment: a change of the class,
    # even of a docstring, draws other examples.
    run_state_machine_as_test(
        type("Deployment", (Deployment,), members),
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            database=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


class CommitEachRecordState(ConfigurationState):
    """Faulty variant that commits each record as soon as it is read."""

    def apply(self, offset, key, value):
        super().apply(offset, key, value)
        self.commit()


class CommitSnapshotReader(TopicReader):
    """Faulty variant that commits the pages as if they were a consistent snapshot."""

    def apply_snapshot(self, snapshot):
        super().apply_snapshot(snapshot)
        self.state.commit()


def test_no_reader_returns_to_an_older_revision_and_all_converge():
    run_machine(200, tuple(Phase))


@pytest.mark.parametrize(
    "members",
    [
        {"state_type": CommitEachRecordState},
        {"reader_type": CommitSnapshotReader},
        {"checks_offset": False},
    ],
    ids=["commits-each-record", "commits-snapshots", "store-ignores-offset"],
)
def test_faulty_variant_fails_the_checks(members):
    with pytest.raises(AssertionError):
        run_machine(400, (Phase.generate,), **members)
