"""Usage windows against a model of the store: lost and late seals, deaths, skew."""

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
    SealRecord,
    UsageCounter,
    UsageTotals,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.duties._usage import PATIENCE_SHARE

WINDOW = 5.0
DUE = 30.0
SKEWS = (-0.4, 0.0, 0.3)
ACCOUNTS = ("mill", "quay")

Announcement = tuple[str, dict[int, dict[str, int]], float]


class Process:
    """One process: its clock, its counts and its folds of both topics."""

    def __init__(self, machine: "UsageMachine", name: str, skew: float) -> None:
        self.machine = machine
        self.name = name
        self.skew = skew
        self.counter = UsageCounter(WINDOW)
        self.totals = UsageTotals(WINDOW)
        self.fold = DutyState(lambda: machine.now)
        self.read_presence = 0
        self.read_duties = 0

    def get_wall_time(self) -> float:
        return self.machine.now + self.skew

    def read(self) -> None:
        """Folds what it has not read yet."""
        for name, counts, made_at in self.machine.presence[self.read_presence :]:
            self.totals.apply(name, counts, made_at)
        self.read_presence = len(self.machine.presence)
        self.read_log()

    def read_log(self) -> None:
        for offset in range(self.read_duties, len(self.machine.log)):
            self.fold.apply(offset, decode_duty_record(self.machine.log[offset]))
        self.read_duties = len(self.machine.log)

    def write(self, record: SealRecord, outcome: str) -> bool:
        """Appends at the end that is known; whether the answer came."""
        at, data = self.fold.end_offset, encode_duty_record(record)
        if outcome == "late":
            self.machine.late.append((at, data))
            return False
        if at != len(self.machine.log):
            return False
        self.machine.log.append(data)
        if outcome == "lost":
            return False
        self.fold.apply(at, record)
        return True


class UsageMachine(RuleBasedStateMachine):
    """Processes that count, announce, seal and report at any moments.

    Any of them may hold the lease; that one at a time does is the lease's own model.
    """

    waits = True

    @initialize()
    def start(self) -> None:
        self.now = 1000.0
        self.log: list[bytes] = []
        self.presence: list[Announcement] = []
        self.late: list[tuple[int, bytes]] = []
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.counted: dict[int, dict[str, int]] = {}
        self.exact: set[int] = set()
        self.births = 0
        self.processes: list[Process] = []
        self.lost: set[int] = set()
        for skew in SKEWS:
            self.add(skew)

    def add(self, skew: float) -> None:
        self.births += 1
        process = Process(self, f"e{self.births}", skew)
        process.read()
        self.processes.append(process)

    @rule(wait=st.sampled_from([0.1, 0.4, 1.0, 3.0]))
    def wait(self, wait: float) -> None:
        self.now += wait

    @rule(index=st.integers(0, 2), account=st.sampled_from(ACCOUNTS))
    def count(self, index: int, account: str) -> None:
        process = self.processes[index]
        wall_time = process.get_wall_time()
        process.counter.count(account, wall_time)
        counts = self.counted.setdefault(int(wall_time // WINDOW), {})
        counts[account] = counts.get(account, 0) + 1

    @rule(index=st.integers(0, 2), is_lost=st.sampled_from([False, False, True]))
    def announce(self, index: int, is_lost: bool) -> None:
        process = self.processes[index]
        wall_time = process.get_wall_time()
        counts = process.counter.get_counts(wall_time)
        if not is_lost:
            self.presence.append((process.name, counts, wall_time))

    @rule()
    def all_announce_and_read(self) -> None:
        for index in range(len(self.processes)):
            self.announce(index, False)
        for process in self.processes:
            process.read()

    @rule(index=st.integers(0, 2))
    def read(self, index: int) -> None:
        self.processes[index].read()

    @rule(
        index=st.integers(0, 2),
        outcome=st.sampled_from(["answered", "answered", "lost", "late"]),
    )
    def seal(self, index: int, outcome: str) -> None:
        process = self.processes[index]
        wall_time = process.get_wall_time()
        live = [one.name for one in self.processes] if self.waits else []
        for window in process.totals.find_windows_to_seal(
            process.fold.seals, wall_time, DUE, live
        ):
            record = SealRecord(window, process.totals.sum_window(window))
            if wall_time < (window + 1) * WINDOW + PATIENCE_SHARE * DUE:
                self.exact.add(window)
            else:
                self.lost.add(window)
            if not process.write(record, outcome):
                return

    @rule(index=st.integers(0, 2), outcome=st.sampled_from(["answered", "lost"]))
    def report(self, index: int, outcome: str) -> None:
        process = self.processes[index]
        for seal in list(process.fold.seals.values()):
            if seal.is_reported:
                continue
            self.reports.append((seal.window, dict(seal.counts)))
            if outcome == "lost":
                return
            process.write(SealRecord(seal.window, seal.counts, True), "answered")

    @rule()
    def carry_out_late(self) -> None:
        if self.late:
            at, data = self.late.pop(0)
            if at == len(self.log):
                self.log.append(data)

    @rule(index=st.integers(0, 2), skew=st.sampled_from(SKEWS))
    def die(self, index: int, skew: float) -> None:
        """A process dies; its counts that it did not announce are lost."""
        self.processes.pop(index)
        self.lost |= set(self.counted)
        self.lost.add(int((self.now + max(SKEWS)) // WINDOW))
        self.add(skew)

    @invariant()
    def a_window_is_reported_alike(self) -> None:
        first: dict[int, dict[str, int]] = {}
        for window, counts in getattr(self, "reports", []):
            assert first.setdefault(window, counts) == counts

    @invariant()
    def nothing_is_billed_that_did_not_run(self) -> None:
        for window, counts in getattr(self, "reports", []):
            for account, count in counts.items():
                assert count <= self.counted.get(window, {}).get(account, 0)

    @invariant()
    def a_window_that_all_told_is_billed_whole(self) -> None:
        for window, counts in getattr(self, "reports", []):
            if window in self.exact - self.lost:
                assert counts == self.counted.get(window, {})


def test_usage_machine() -> None:
    run_state_machine_as_test(
        UsageMachine,
        settings=settings(
            derandomize=True, max_examples=120, stateful_step_count=60, deadline=None
        ),
    )


class HastyUsageMachine(UsageMachine):
    """Seals that do not wait for what living processes counted."""

    waits = False


def test_seal_that_does_not_wait_bills_too_little() -> None:
    outcomes = []
    for kind in (UsageMachine, HastyUsageMachine):
        machine = kind()
        machine.start()
        machine.count(0, "mill")
        machine.count(1, "mill")
        machine.announce(0, False)
        machine.now += 2 * WINDOW
        machine.announce(0, False)
        machine.read(0)
        machine.seal(0, "answered")
        machine.report(0, "answered")
        machine.all_announce_and_read()
        machine.seal(0, "answered")
        machine.report(0, "answered")
        assert machine.reports
        try:
            machine.a_window_that_all_told_is_billed_whole()
        except AssertionError:
            outcomes.append("too little")
        else:
            outcomes.append("whole")
    assert outcomes == ["whole", "too little"]
