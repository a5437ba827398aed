"""Model-based test of job ownership on a store that loses and delays appends.

Processes accept a job, claim it, append results and crash in any order, and the store
drops old records. Every process that reads the partition must list the same results
at the same positions, and each item once.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.jobs import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    JobTable,
    OwnerClaim,
    ResultState,
    encode_claim,
    encode_result,
    encode_specification,
)
from buckthornstile.platform import encode_keyed_record
from standins.store import AppendRejectedError, Partition

JOB = JobId("j1")
ITEMS = tuple(ItemId(f"i{number}") for number in range(4))
NAMES = ("e1", "e2", "e3")
RECORD_BYTES = 4096


class Process:
    """One process with its job table and its unacknowledged append."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = JobTable()
        self.next_offset = 0
        self.newest_read = False
        self.appended = 0
        self.epoch = -1
        self.pending: tuple[list[bytes], int, int] | None = None

    def apply_records(self, offset: int, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :] or None
        self.table.apply(0, offset, key, value, 0.0, wall_time=0.0)


class OwnershipMachine(RuleBasedStateMachine):
    """Several processes share one partition."""

    @initialize()
    def start(self) -> None:
        self.partition = Partition(keyed=True)
        self.processes = {name: Process(name) for name in NAMES}
        self.late_appends: list[tuple[list[bytes], int, int]] = []
        self.results_by_position: dict[int, ItemResult] = {}
        self.acknowledged: set[ItemId] = set()

    def append(
        self, records: list[bytes], epoch: int, sequence: int, outcome: str
    ) -> bool | None:
        """Appends records to the partition.

        Returns:
            Whether the append was acknowledged, or None if it was refused.
        """
        if outcome == "late":
            self.late_appends.append((records, epoch, sequence))
            return False
        try:
            self.partition.append(records, producer=JOB, epoch=epoch, sequence=sequence)
        except AppendRejectedError:
            return None
        return outcome != "lost"

    @rule(name=st.sampled_from(NAMES), outcome=st.sampled_from(["ok", "lost", "late"]))
    def accept(self, name: str, outcome: str) -> None:
        process = self.processes[name]
        if process.table.find(JOB) is not None:
            return
        specification = JobSpecification(
            JOB,
            "mill",
            "h",
            "/s/",
            0.0,
            tuple(JobItem(item, "/s/1", (), b"", 1) for item in ITEMS),
        )
        records = encode_specification(specification, RECORD_BYTES)
        records.append(encode_claim(JOB, OwnerClaim(name, 1)))
        encoded = [encode_keyed_record(record.key, record.value) for record in records]
        self.append(encoded, 1, 0, outcome)

    @rule(name=st.sampled_from(NAMES))
    def read(self, name: str) -> None:
        process = self.processes[name]
        if process.next_offset < self.partition.first:
            self._read_newest(process)
        for offset in range(process.next_offset, self.partition.end):
            process.apply_records(
                offset, self.partition.records[offset - self.partition.first][1]
            )
        process.next_offset = self.partition.end

    def _read_newest(self, process: Process) -> None:
        newest = sorted(self.partition.newest.items(), key=lambda entry: entry[1][0])
        for key, (offset, value) in newest:
            process.apply_records(offset, bytes([len(key)]) + key + value)
        process.next_offset = self.partition.end

    @rule(name=st.sampled_from(NAMES), outcome=st.sampled_from(["ok", "lost", "late"]))
    def claim(self, name: str, outcome: str) -> None:
        process = self.processes[name]
        job = process.table.find(JOB)
        if job is None or job.claim is None or job.claim.owner == name:
            return
        record = encode_claim(JOB, OwnerClaim(name, job.claim.epoch + 1))
        encoded = [encode_keyed_record(record.key, record.value)]
        self.append(encoded, job.claim.epoch + 1, 0, outcome)

    @rule(
        name=st.sampled_from(NAMES),
        item=st.sampled_from(ITEMS),
        outcome=st.sampled_from(["ok", "ok", "lost", "late"]),
        reads=st.booleans(),
        claims=st.booleans(),
    )
    def work(
        self, name: str, item: ItemId, outcome: str, reads: bool, claims: bool
    ) -> None:
        """Lets a process read and claim the job, if drawn, and append a result."""
        if reads:
            self.read(name)
        if claims:
            self.claim(name, "ok")
            self.read(name)
        self.write_result(name, item, outcome)

    def write_result(self, name: str, item: ItemId, outcome: str) -> None:
        process = self.processes[name]
        job = process.table.find(JOB)
        if job is None or job.claim is None or job.claim.owner != name:
            return
        if process.epoch != job.claim.epoch:
            process.epoch, process.appended, process.pending = job.claim.epoch, 0, None
        if process.pending is None:
            if item in job.positions:
                return
            process.appended += 1
            result = ItemResult(item, ResultState.COMPLETE, f"{name}-{process.epoch}")
            records = encode_result(JOB, result, RECORD_BYTES)
            encoded = [
                encode_keyed_record(record.key, record.value) for record in records
            ]
            process.pending = (encoded, process.epoch, process.appended)
        records_bytes, epoch, sequence = process.pending
        done = self.append(records_bytes, epoch, sequence, outcome)
        if done:
            process.pending = None
            self.read(name)
        elif done is None:
            process.epoch = -1

    @rule()
    def append_late(self) -> None:
        if self.late_appends:
            records, epoch, sequence = self.late_appends.pop(0)
            self.append(records, epoch, sequence, "ok")

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        # A new incarnation has a new name and owns no job.
        index = NAMES.index(name)
        replacement = Process(f"{name}+")
        replacement.name = f"{self.processes[name].name}+"
        self.processes[NAMES[index]] = replacement

    @rule()
    def drop_history(self) -> None:
        self.partition.drop_history()

    @invariant()
    def all_processes_list_the_same_results(self) -> None:
        for process in getattr(self, "processes", {}).values():
            job = process.table.find(JOB)
            if job is None:
                continue
            items = [result.item for result in job.results]
            assert len(set(items)) == len(items)
            for position, result in enumerate(job.results):
                assert self.results_by_position.setdefault(position, result) == result


def test_ownership_machine() -> None:
    run_state_machine_as_test(
        OwnershipMachine,
        settings=settings(
            derandomize=True, max_examples=400, stateful_step_count=50, deadline=None
        ),
    )
