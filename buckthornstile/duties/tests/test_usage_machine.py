"""Model-based test of usage windows: lost and late seals, crashes and clock skew."""

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
from buckthornstile.duties._usage import COUNT_WAIT_FRACTION

WINDOW_SECONDS = 5.0
REPORT_TIMEOUT_SECONDS = 30.0
CLOCK_SKEWS_SECONDS = (-0.4, 0.0, 0.3)
ACCOUNTS = ("mill", "quay")

PublishedCounts = tuple[str, dict[int, dict[str, int]], float]


class Process:
    """One process with its clock, its counts and its state of both topics."""

    def __init__(self, machine: "UsageMachine", name: str, skew: float) -> None:
        self.machine = machine
        self.name = name
        self.skew = skew
        self.counter = UsageCounter(WINDOW_SECONDS)
        self.totals = UsageTotals(WINDOW_SECONDS)
        self.state = DutyState(lambda: machine.now)
        self.next_presence_record = 0
        self.next_duty_offset = 0

    def get_wall_time(self) -> float:
        return self.machine.now + self.skew

    def read(self) -> None:
        """Applies the records of both topics that it has not read yet."""
        for name, counts, counted_at in self.machine.presence_log[
            self.next_presence_record :
        ]:
            self.totals.apply(name, counts, counted_at)
        self.next_presence_record = len(self.machine.presence_log)
        self.read_log()

    def read_log(self) -> None:
        for offset in range(self.next_duty_offset, len(self.machine.log)):
            self.state.apply(offset, decode_duty_record(self.machine.log[offset]))
        self.next_duty_offset = len(self.machine.log)

    def write(self, record: SealRecord, outcome: str) -> bool:
        """Appends at the known end offset; returns whether it was acknowledged."""
        offset, data = self.state.end_offset, encode_duty_record(record)
        if outcome == "late":
            self.machine.late_appends.append((offset, data))
            return False
        if offset != len(self.machine.log):
            return False
        self.machine.log.append(data)
        if outcome == "lost":
            return False
        self.state.apply(offset, record)
        return True


class UsageMachine(RuleBasedStateMachine):
    """Processes count, publish, seal and report in any order.

    Any of them may act as the lease holder: the test of the lease checks that only
    one does at a time.
    """

    waits_for_counts = True

    @initialize()
    def start(self) -> None:
        self.now = 1000.0
        self.log: list[bytes] = []
        self.presence_log: list[PublishedCounts] = []
        self.late_appends: list[tuple[int, bytes]] = []
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.counted: dict[int, dict[str, int]] = {}
        self.sealed_in_time: set[int] = set()
        self.process_count = 0
        self.processes: list[Process] = []
        self.incomplete: set[int] = set()
        for skew in CLOCK_SKEWS_SECONDS:
            self.add(skew)

    def add(self, skew: float) -> None:
        self.process_count += 1
        process = Process(self, f"e{self.process_count}", skew)
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
        counts = self.counted.setdefault(int(wall_time // WINDOW_SECONDS), {})
        counts[account] = counts.get(account, 0) + 1

    @rule(index=st.integers(0, 2), is_lost=st.sampled_from([False, False, True]))
    def publish(self, index: int, is_lost: bool) -> None:
        process = self.processes[index]
        wall_time = process.get_wall_time()
        counts = process.counter.get_counts(wall_time)
        if not is_lost:
            self.presence_log.append((process.name, counts, wall_time))

    @rule()
    def publish_and_read_all(self) -> None:
        for index in range(len(self.processes)):
            self.publish(index, False)
        for process in self.processes:
            process.read()

    @rule(index=st.integers(0, 2))
    def read(self, index: int) -> None:
        self.processes[index].read()

    @rule(
        index=st.integers(0, 2),
        outcome=st.sampled_from(["acknowledged", "acknowledged", "lost", "late"]),
    )
    def seal(self, index: int, outcome: str) -> None:
        process = self.processes[index]
        wall_time = process.get_wall_time()
        live = (
            [process.name for process in self.processes]
            if self.waits_for_counts
            else []
        )
        for window in process.totals.find_windows_to_seal(
            process.state.seals, wall_time, REPORT_TIMEOUT_SECONDS, live
        ):
            record = SealRecord(window, process.totals.sum_window(window))
            if (
                wall_time
                < (window + 1) * WINDOW_SECONDS
                + COUNT_WAIT_FRACTION * REPORT_TIMEOUT_SECONDS
            ):
                self.sealed_in_time.add(window)
            else:
                self.incomplete.add(window)
            if not process.write(record, outcome):
                return

    @rule(index=st.integers(0, 2), outcome=st.sampled_from(["acknowledged", "lost"]))
    def report(self, index: int, outcome: str) -> None:
        process = self.processes[index]
        for seal in list(process.state.seals.values()):
            if seal.is_reported:
                continue
            self.reports.append((seal.window, dict(seal.counts)))
            if outcome == "lost":
                return
            process.write(SealRecord(seal.window, seal.counts, True), "acknowledged")

    @rule()
    def append_late(self) -> None:
        if self.late_appends:
            offset, data = self.late_appends.pop(0)
            if offset == len(self.log):
                self.log.append(data)

    @rule(index=st.integers(0, 2), skew=st.sampled_from(CLOCK_SKEWS_SECONDS))
    def crash(self, index: int, skew: float) -> None:
        """Replaces a process by a new one; its unpublished counts are lost."""
        self.processes.pop(index)
        self.incomplete |= set(self.counted)
        self.incomplete.add(
            int((self.now + max(CLOCK_SKEWS_SECONDS)) // WINDOW_SECONDS)
        )
        self.add(skew)

    @invariant()
    def every_report_of_a_window_is_the_same(self) -> None:
        first: dict[int, dict[str, int]] = {}
        for window, counts in getattr(self, "reports", []):
            assert first.setdefault(window, counts) == counts

    @invariant()
    def no_more_is_billed_than_ran(self) -> None:
        for window, counts in getattr(self, "reports", []):
            for account, count in counts.items():
                assert count <= self.counted.get(window, {}).get(account, 0)

    @invariant()
    def a_window_with_all_counts_is_billed_in_full(self) -> None:
        for window, counts in getattr(self, "reports", []):
            if window in self.sealed_in_time - self.incomplete:
                assert counts == self.counted.get(window, {})


def test_usage_machine() -> None:
    run_state_machine_as_test(
        UsageMachine,
        settings=settings(
            derandomize=True, max_examples=120, stateful_step_count=60, deadline=None
        ),
    )


class UsageWithoutWaitMachine(UsageMachine):
    """Windows that are sealed without waiting for the counts of live processes."""

    waits_for_counts = False


def test_seal_that_does_not_wait_for_counts_bills_too_little() -> None:
    """A window is over before the counts of the second process are published.

    A seal that does not wait for them omits the second process's request from the
    bill, which the invariant must detect.
    """
    outcomes = []
    for kind in (UsageMachine, UsageWithoutWaitMachine):
        machine = kind()
        machine.start()
        machine.count(0, "mill")
        machine.count(1, "mill")
        machine.publish(0, False)
        machine.now += 2 * WINDOW_SECONDS
        machine.publish(0, False)
        machine.read(0)
        machine.seal(0, "acknowledged")
        machine.report(0, "acknowledged")
        machine.publish_and_read_all()
        machine.seal(0, "acknowledged")
        machine.report(0, "acknowledged")
        assert machine.reports
        try:
            machine.a_window_with_all_counts_is_billed_in_full()
        except AssertionError:
            outcomes.append("too little")
        else:
            outcomes.append("whole")
    assert outcomes == ["whole", "too little"]
