"""Operators and readers under every interleaving, and naive forms.

The oracle keeps each accepted change in the order in which the store took it.
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
    Reader,
    make_change,
)

READERS = st.integers(0, 2)
OPERATORS = st.integers(0, 1)
DOMAINS = st.sampled_from(["bench-a", "bench-b", "grind-room"])


class Deployment(RuleBasedStateMachine):
    reader_type = Reader
    fold_type = ConfigurationState
    has_condition = True

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.history = [EMPTY_CONFIGURATION]
        self.readers = [self.make_reader() for _ in range(3)]
        self.seen = [0] * 3
        self.operators = [Reader(self.store) for _ in range(2)]
        self.pages = [None] * 3
        self.late = []
        self.count = 0

    def make_reader(self):
        return self.reader_type(self.store, self.fold_type())

    def take(self, change, at):
        """The store carries out an append, now or late."""
        if self.store.append(change, at=at if self.has_condition else None):
            base = self.history[-1]
            rebased = change.model_copy(update={"base_revision": base.revision})
            after = apply_change(base, rebased, offset=self.store.partition.end - 1)
            self.history.append(after)

    @rule(operator=OPERATORS)
    def operator_reads(self, operator):
        self.operators[operator].read()

    @rule(operator=OPERATORS, domain=DOMAINS, fate=st.sampled_from(["done", "late"]))
    def operator_appends(self, operator, domain, fate):
        reader = self.operators[operator]
        if reader.position is None:
            return
        self.count += 1
        # Two items of one change, which must be in force together.
        change = make_change(
            f"c{self.count}",
            reader.fold.current.revision,
            Drain(name=domain, reason=str(self.count)),
            Rule(name="r", path=f"/{self.count}", service="s"),
        )
        if fate == "late":
            self.late.append((change, reader.position))
        else:
            self.take(change, reader.position)

    @rule(index=st.integers(0, 9))
    def late_append_is_carried_out(self, index):
        if self.late:
            self.take(*self.late.pop(index % len(self.late)))

    @rule(reader=READERS, limit=st.integers(1, 4))
    def read(self, reader, limit):
        self.readers[reader].read(limit)

    @rule(reader=READERS)
    def read_first_page(self, reader):
        self.pages[reader] = self.store.read_pages()

    @rule(reader=READERS, cut=st.integers(1, 4))
    def read_last_page(self, reader, cut):
        """Later pages show later changes than the first one."""
        if self.pages[reader] is None:
            return
        first, end = self.pages[reader]
        self.pages[reader] = None
        last = first[:cut][-1][1] if first else ""
        rest = [one for one in self.store.read_pages()[0] if one[1] > last]
        self.readers[reader].take_pages((first[:cut] + rest, end))

    @rule(reader=READERS)
    def restart(self, reader):
        self.readers[reader] = self.make_reader()
        self.pages[reader] = None
        self.seen[reader] = 0

    @rule()
    def drop_history(self):
        self.store.partition.drop_history()

    @invariant()
    def no_process_goes_back(self):
        for index, reader in enumerate(self.readers):
            revision = reader.fold.current.revision
            assert revision >= self.seen[index]
            self.seen[index] = revision

    @invariant()
    def one_revision_has_one_content(self):
        for reader in self.readers:
            current = reader.fold.current
            assert current.revision < len(self.history)
            wanted = self.history[current.revision]
            assert current.list_items() == wanted.list_items()

    def teardown(self):
        """Once all is well again, every process comes to the newest revision."""
        for reader in self.readers:
            reader.read()
            assert reader.fold.current.list_items() == self.history[-1].list_items()


def run(examples, phases, **members):
    run_state_machine_as_test(
        type("Deployment", (Deployment,), members),
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


class SettlesAtOnce(ConfigurationState):
    """Puts each record in force as it comes."""

    def apply(self, offset, key, value):
        super().apply(offset, key, value)
        self.commit()


class SettlesPages(Reader):
    """Takes pages for a snapshot."""

    def take_pages(self, pages):
        super().take_pages(pages)
        self.fold.commit()


def test_no_process_goes_back_and_all_converge():
    run(200, tuple(Phase))


@pytest.mark.parametrize(
    "members",
    [
        {"fold_type": SettlesAtOnce},
        {"reader_type": SettlesPages},
        {"has_condition": False},
    ],
    ids=["settles at once", "settles pages", "no condition"],
)
def test_a_naive_form_breaks_the_promise(members):
    with pytest.raises(AssertionError):
        run(400, (Phase.generate,), **members)
