"""Model-based test of the lease: lost and late appends, pauses and store outages."""

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

TURN_BOUND_SECONDS = 3.0
NAMES = ("e1", "e2", "e3")


class Process:
    """One process with its duty state and its lease."""

    def __init__(self, machine: "LeaseMachine", name: str) -> None:
        self.name = name
        self.state = DutyState(lambda: machine.now)
        self.lease = Lease(
            name, self.state, clock=lambda: machine.now, turn_bound=TURN_BOUND_SECONDS
        )
        self.next_offset = 0
        self.unanswered: tuple[LeaseRecord, int, float] | None = None

    def receive_answer(self) -> None:
        """Receives the acknowledgement of an append that the store has executed."""
        if self.unanswered is not None:
            self.lease.record_acknowledged(*self.unanswered)
            self.unanswered = None

    def read_log(self, log: list[bytes]) -> None:
        """Applies the records that it has not read yet."""
        for offset in range(self.next_offset, len(log)):
            self.state.apply(offset, decode_duty_record(log[offset]))
        self.next_offset = len(log)


class LeaseMachine(RuleBasedStateMachine):
    """Processes read, append and act in any order on one shared log."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.log: list[bytes] = []
        self.processes = {name: Process(self, name) for name in NAMES}
        self.late_appends: list[tuple[int, bytes]] = []
        self.acts: list[tuple[float, str, int]] = []

    @rule(
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(
            ["acknowledged", "acknowledged", "lost", "late", "slow", "unanswered"]
        ),
        wait=st.sampled_from([0.0, 0.0, 0.3, 0.9, 2.5]),
        reads=st.booleans(),
        acts=st.booleans(),
    )
    def take_turn(
        self, name: str, outcome: str, wait: float, reads: bool, acts: bool
    ) -> None:
        """Lets time pass; a process may read, writes the due record and may act."""
        self.now += wait
        if reads:
            self.read(name)
        self.write(name, outcome)
        if acts:
            self.act(name)

    @rule(wait=st.sampled_from([0.0, 0.2, 1.0]))
    def read_all(self, wait: float) -> None:
        """Lets time pass; all processes read."""
        self.now += wait
        for name in NAMES:
            self.read(name)

    def read(self, name: str) -> None:
        self.processes[name].read_log(self.log)

    def write(self, name: str, outcome: str) -> None:
        process = self.processes[name]
        record = process.lease.get_due_record()
        if record is None or process.unanswered is not None:
            return
        sent_at, offset = self.now, process.state.end_offset
        data = encode_duty_record(record)
        if outcome == "late":
            self.late_appends.append((offset, data))
            return
        if outcome == "slow":
            self.now += 0.5
        if offset != len(self.log):
            return
        self.log.append(data)
        if outcome == "unanswered":
            process.unanswered = (record, offset, sent_at)
        elif outcome != "lost":
            process.lease.record_acknowledged(record, offset, sent_at)

    @rule()
    def append_late(self) -> None:
        if self.late_appends:
            offset, data = self.late_appends.pop(0)
            if offset == len(self.log):
                self.log.append(data)

    @rule(name=st.sampled_from(NAMES))
    def receive_answer(self, name: str) -> None:
        self.processes[name].receive_answer()

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.processes[name] = Process(self, name)
        self.processes[name].read_log(self.log)

    def act(self, name: str) -> None:
        process = self.processes[name]
        if process.lease.is_held():
            self.acts.append((self.now, name, process.state.term))

    @invariant()
    def terms_never_decrease(self) -> None:
        terms = [term for _, _, term in getattr(self, "acts", [])]
        assert terms == sorted(terms)

    @invariant()
    def each_term_has_one_holder(self) -> None:
        holders: dict[int, str] = {}
        for _, name, term in getattr(self, "acts", []):
            assert holders.setdefault(term, name) == name

    @invariant()
    def lease_does_not_return_within_the_bound(self) -> None:
        acts = getattr(self, "acts", [])
        for index, (acted_at, name, _) in enumerate(acts):
            has_other_holder = False
            for later, other, _ in acts[index + 1 :]:
                if later - acted_at > TURN_BOUND_SECONDS:
                    break
                has_other_holder |= other != name
                assert not (has_other_holder and other == name)


def test_lease_machine() -> None:
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            derandomize=True, max_examples=300, stateful_step_count=60, deadline=None
        ),
    )


def test_only_one_of_two_concurrent_claims_is_written() -> None:
    machine = LeaseMachine()
    machine.start()
    first, second = machine.processes["e1"], machine.processes["e2"]
    assert first.lease.get_due_record() == LeaseRecord("e1")
    assert second.lease.get_due_record() == LeaseRecord("e2")
    machine.write("e1", "acknowledged")
    machine.write("e2", "acknowledged")
    second.read_log(machine.log)
    assert first.lease.is_held()
    assert not second.lease.is_held()
    assert second.lease.get_due_record() is None


def test_suspended_holder_may_not_act_after_expiry() -> None:
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "acknowledged")
    holder = machine.processes["e1"]
    assert holder.lease.is_held()
    machine.now += 0.5 * TURN_BOUND_SECONDS
    assert not holder.lease.is_held()


def test_store_outage_does_not_count_as_holder_failure() -> None:
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "acknowledged")
    follower = machine.processes["e2"]
    follower.read_log(machine.log)
    machine.now += 10.0
    follower.state.reset_last_record_at()
    assert follower.lease.get_due_record() is None


def test_frozen_holder_never_acts_alongside_its_successor() -> None:
    """Each holder in turn stops reading and writing but acts until its lease ends."""
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "acknowledged")
    for frozen, successor in (("e1", "e2"), ("e2", "e1"), ("e1", "e2")):
        machine.read(successor)
        machine.write(successor, "acknowledged")
        for _ in range(round(1.5 * TURN_BOUND_SECONDS / 0.05)):
            machine.now += 0.05
            machine.act(frozen)
            machine.read(successor)
            machine.write(successor, "acknowledged")
            machine.act(successor)
        machine.read(frozen)
    assert {name for _, name, _ in machine.acts} == {"e1", "e2"}
    machine.terms_never_decrease()
    machine.each_term_has_one_holder()
    machine.lease_does_not_return_within_the_bound()


def test_late_acknowledgement_does_not_bring_a_replaced_term_back() -> None:
    """A process received the answer to its claim after it had read a later claim."""
    machine = LeaseMachine()
    machine.start()
    machine.write("e1", "unanswered")
    machine.read("e2")
    machine.now += TURN_BOUND_SECONDS
    machine.write("e2", "acknowledged")
    machine.act("e2")
    machine.read("e1")
    machine.processes["e1"].receive_answer()
    machine.write("e1", "acknowledged")
    machine.act("e1")
    assert [name for _, name, _ in machine.acts] == ["e2"]
    assert len(machine.log) == 2


def test_renewal_of_a_replaced_term_does_not_give_the_lease_back() -> None:
    """All processes followed a holder that renewed a term lower than the current."""
    state = DutyState(lambda: 0.0)
    state.apply(3, LeaseRecord("e1"))
    state.apply(4, LeaseRecord("e2"))
    state.apply(5, LeaseRecord("e1", 3))
    assert (state.holder, state.term, state.end_offset) == ("e2", 4, 6)
    state.apply(6, LeaseRecord("e1", 4))
    assert (state.holder, state.term) == ("e2", 4)


def test_renewal_of_a_claim_that_the_store_has_dropped_is_followed() -> None:
    """A process that did not read the claim must still follow its holder."""
    state = DutyState(lambda: 0.0)
    state.apply(3, LeaseRecord("e1"))
    state.apply(40, LeaseRecord("e2", 17))
    assert (state.holder, state.term) == ("e2", 17)
