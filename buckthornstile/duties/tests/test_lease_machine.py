"""The lease against a model of the store: lost and late answers, pauses, outages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.duties import (
    DutyState,
    Lease,
    LeaseRecord,
    decode_duty_record,
    encode_duty_record,
)

TURN_BOUND = 3.0
NAMES = ("e1", "e2", "e3")


class Process:
    """One process: its fold, its lease and what it has in flight."""

    def __init__(self, machine: "LeaseMachine", name: str) -> None:
        self.name = name
        self.fold = DutyState(lambda: machine.now)
        self.lease = Lease(
            name, self.fold, clock=lambda: machine.now, turn_bound=TURN_BOUND
        )
        self.read = 0

    def read_log(self, log: list[bytes]) -> None:
        """Folds what it has not read yet."""
        for offset in range(self.read, len(log)):
            self.fold.apply(offset, decode_duty_record(log[offset]))
        self.read = len(log)


class LeaseMachine(RuleBasedStateMachine):
    """Processes that read, append and act at any moments."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.log: list[bytes] = []
        self.processes = {name: Process(self, name) for name in NAMES}
        self.late: list[tuple[int, bytes]] = []
        self.acts: list[tuple[float, str, int]] = []

    @rule(
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(["answered", "answered", "lost", "late", "slow"]),
        wait=st.sampled_from([0.0, 0.0, 0.3, 0.9, 2.5]),
        reads=st.booleans(),
        acts=st.booleans(),
    )
    def turn(
        self, name: str, outcome: str, wait: float, reads: bool, acts: bool
    ) -> None:
        """Time passes; a process may read, writes what is due, and may act."""
        self.now += wait
        if reads:
            self.read(name)
        self.write(name, outcome)
        if acts:
            self.act(name)

    @rule(wait=st.sampled_from([0.0, 0.2, 1.0]))
    def all_read(self, wait: float) -> None:
        """Time passes and all processes read."""
        self.now += wait
        for name in NAMES:
            self.read(name)

    def read(self, name: str) -> None:
        self.processes[name].read_log(self.log)

    def write(self, name: str, outcome: str) -> None:
        process = self.processes[name]
        record = process.lease.get_due_record()
        if record is None:
            return
        sent_at, at = self.now, process.fold.end_offset
        data = encode_duty_record(record)
        if outcome == "late":
            self.late.append((at, data))
            return
        if outcome == "slow":
            self.now += 0.5
        if at != len(self.log):
            return
        self.log.append(data)
        if outcome != "lost":
            process.lease.record_acknowledged(record, at, sent_at)

    @rule()
    def carry_out_late(self) -> None:
        if self.late:
            at, data = self.late.pop(0)
            if at == len(self.log):
                self.log.append(data)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.processes[name] = Process(self, name)
        self.processes[name].read_log(self.log)

    def act(self, name: str) -> None:
        process = self.processes[name]
        if process.lease.is_held():
            self.acts.append((self.now, name, process.fold.term))

    @invariant()
    def terms_only_rise(self) -> None:
        terms = [term for _, _, term in getattr(self, "acts", [])]
        assert terms == sorted(terms)

    @invariant()
    def a_term_has_one_holder(self) -> None:
        holders: dict[int, str] = {}
        for _, name, term in getattr(self, "acts", []):
            assert holders.setdefault(term, name) == name

    @invariant()
    def no_turn_there_and_back_within_the_bound(self) -> None:
        acts = getattr(self, "acts", [])
        for first, (at, name, _) in enumerate(acts):
            others = False
            for later, other, _ in acts[first + 1 :]:
                if later - at > TURN_BOUND:
                    break
                others |= other != name
                assert not (others and other == name)


def test_lease_machine() -> None:
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            derandomize=True, max_examples=300, stateful_step_count=60, deadline=None
        ),
    )


def test_one_of_two_claims_is_written() -> None:
    machine = LeaseMachine()
    machine.start()
    first, second = machine.processes["e1"], machine.processes["e2"]
    assert first.lease.get_due_record() == LeaseRecord("e1")
    assert second.lease.get_due_record() == LeaseRecord("e2")
    machine.write("e1", "answered")
    machine.write("e2", "answered")
    second.read_log(machine.log)
    assert first.lease.is_held()
    assert not second.lease.is_held()
    assert second.lease.get_due_record() is None


def test_holder_that_was_suspended_does_not_act() -> None:
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "answered")
    holder = machine.processes["e1"]
    assert holder.lease.is_held()
    machine.now += 0.5 * TURN_BOUND
    assert not holder.lease.is_held()


def test_silence_of_an_outage_is_no_death() -> None:
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "answered")
    follower = machine.processes["e2"]
    follower.read_log(machine.log)
    machine.now += 10.0
    follower.fold.reset_last_record_at()
    assert follower.lease.get_due_record() is None


def test_frozen_holders_never_act_beside_their_successors() -> None:
    """Each holder in turn stops reading and writing, and acts while it may."""
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "answered")
    for frozen, successor in (("e1", "e2"), ("e2", "e1"), ("e1", "e2")):
        machine.read(successor)
        machine.write(successor, "answered")
        for _ in range(round(1.5 * TURN_BOUND / 0.05)):
            machine.now += 0.05
            machine.act(frozen)
            machine.read(successor)
            machine.write(successor, "answered")
            machine.act(successor)
        machine.read(frozen)
    assert {name for _, name, _ in machine.acts} == {"e1", "e2"}
    machine.terms_only_rise()
    machine.a_term_has_one_holder()
    machine.no_turn_there_and_back_within_the_bound()
