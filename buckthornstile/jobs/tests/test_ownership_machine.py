"""Owners of one job against a store that loses, delays and drops.

Processes accept, claim, append results and die at any moment. Whoever reads the
partition must list the same results at the same positions, each item once.
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
    """One process: its fold and its next append."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = JobTable()
        self.read = 0
        self.newest_read = False
        self.appended = 0
        self.epoch = -1
        self.pending: tuple[list[bytes], int, int] | None = None

    def apply_records(self, offset: int, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :] or None
        self.table.apply(0, offset, key, value, 0.0, wall_time=0.0)


class OwnershipMachine(RuleBasedStateMachine):
    """Processes over one partition."""

    @initialize()
    def start(self) -> None:
        self.partition = Partition(keyed=True)
        self.processes = {name: Process(name) for name in NAMES}
        self.late: list[tuple[list[bytes], int, int]] = []
        self.seen: dict[int, ItemResult] = {}
        self.acknowledged: set[ItemId] = set()

    def append(
        self, records: list[bytes], epoch: int, sequence: int, outcome: str
    ) -> bool | None:
        """Appends; gives whether it was acknowledged, None if it was refused."""
        if outcome == "late":
            self.late.append((records, epoch, sequence))
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
        encoded = [encode_keyed_record(one.key, one.value) for one in records]
        self.append(encoded, 1, 0, outcome)

    @rule(name=st.sampled_from(NAMES))
    def read(self, name: str) -> None:
        process = self.processes[name]
        if process.read < self.partition.first:
            self._read_newest(process)
        for offset in range(process.read, self.partition.end):
            process.apply_records(
                offset, self.partition.records[offset - self.partition.first][1]
            )
        process.read = self.partition.end

    def _read_newest(self, process: Process) -> None:
        newest = sorted(self.partition.newest.items(), key=lambda one: one[1][0])
        for key, (offset, value) in newest:
            process.apply_records(offset, bytes([len(key)]) + key + value)
        process.read = self.partition.end

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
        """A turn of one process: it may read and take over, and lists a result."""
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
            encoded = [encode_keyed_record(one.key, one.value) for one in records]
            process.pending = (encoded, process.epoch, process.appended)
        records_bytes, epoch, sequence = process.pending
        done = self.append(records_bytes, epoch, sequence, outcome)
        if done:
            process.pending = None
            self.read(name)
        elif done is None:
            process.epoch = -1

    @rule()
    def carry_out_late(self) -> None:
        if self.late:
            records, epoch, sequence = self.late.pop(0)
            self.append(records, epoch, sequence, "ok")

    @rule(name=st.sampled_from(NAMES))
    def die(self, name: str) -> None:
        # A new incarnation has a name of its own and owns nothing.
        index = NAMES.index(name)
        fresh = Process(f"{name}+")
        fresh.name = f"{self.processes[name].name}+"
        self.processes[NAMES[index]] = fresh

    @rule()
    def drop_history(self) -> None:
        self.partition.drop_history()

    @invariant()
    def all_list_alike(self) -> None:
        for process in getattr(self, "processes", {}).values():
            job = process.table.find(JOB)
            if job is None:
                continue
            items = [result.item for result in job.results]
            assert len(set(items)) == len(items)
            for position, result in enumerate(job.results):
                assert self.seen.setdefault(position, result) == result


def test_ownership_machine() -> None:
    run_state_machine_as_test(
        OwnershipMachine,
        settings=settings(
            derandomize=True, max_examples=400, stateful_step_count=50, deadline=None
        ),
    )
