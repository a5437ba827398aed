"""Stored progress: the choice between earlier runs, and its replacement."""

from buckthornstile.jobs import JobTable, ProgressCheckpoint, choose_progress
from buckthornstile.jobs._records import encode_specification
from buckthornstile.jobs._types import JobItem, JobSpecification
from buckthornstile.messages import StreamEvent

ITEM = JobItem("i0", "/steps/1", (), b"", tokens=1)
SPECIFICATION = JobSpecification(
    id="j1", account="mill", host="h", path_prefix="/", submitted_at=0.0, items=(ITEM,)
)


def make_events(count: int, version: int, run: str = "a") -> list[StreamEvent]:
    return [
        StreamEvent(number, f"{run}{number}", version) for number in range(1, count + 1)
    ]


def test_longest_allowed_progress_is_chosen() -> None:
    old, short, long = make_events(9, 1), make_events(3, 2), make_events(5, 3)
    chosen = choose_progress(
        [old, short, long], minimum_version=2, requires_single_version=False
    )
    assert chosen == long


def test_progress_of_several_versions_is_not_chosen_for_a_single_version() -> None:
    mixed = make_events(3, 1) + make_events(5, 2)[3:]
    options = {"minimum_version": 1, "held_versions": {1, 2}}
    assert choose_progress([mixed], requires_single_version=False, **options) == mixed
    assert not choose_progress([mixed], requires_single_version=True, **options)


def test_progress_of_a_held_version_goes_before_longer_progress() -> None:
    lost, held = make_events(9, 2), make_events(2, 3)
    options = {"minimum_version": 1, "held_versions": {3}}
    chosen = choose_progress([lost, held], requires_single_version=True, **options)
    assert chosen == held


def read_progress(table: JobTable) -> list[StreamEvent]:
    return table.list_progress("mill", ITEM)["j1"]


def test_reader_never_joins_discarded_events_with_those_of_the_next_run() -> None:
    """The second record of the old run followed the first one of the new run."""
    table, offset = JobTable(), 0

    def apply(records: list) -> None:
        nonlocal offset
        for record in records:
            value = record.value or None
            table.apply(0, offset, record.key, value, 0.0, wall_time=0.0)
            offset += 1

    apply(encode_specification(SPECIFICATION, 1 << 18))
    checkpoint = ProgressCheckpoint("j1", "i0")
    old, new = make_events(16, 1, "old"), make_events(20, 2, "new")
    apply(checkpoint.make_records(old[:8], 8))
    apply(checkpoint.make_records(old, 8))
    assert read_progress(table) == old
    checkpoint.discard()
    apply(checkpoint.make_records(new[:2], 8))
    assert read_progress(table) == []
    apply(checkpoint.make_records(new[:8], 8))
    assert read_progress(table) == new[:8]
    apply(checkpoint.make_records(new, 8))
    assert read_progress(table) == new


def test_records_of_progress_stay_within_the_maximum_size() -> None:
    events = [StreamEvent(n, "\u00e9" * 500, 1) for n in range(1, 101)]
    checkpoint = ProgressCheckpoint("j1", "i0", max_record_bytes=20_000)
    records = checkpoint.make_records(events, 1)
    assert checkpoint.event_count == 100
    assert max(len(record.value) for record in records) <= 20_000


def test_event_that_fits_no_record_ends_the_stored_progress() -> None:
    events = [*make_events(3, 1), StreamEvent(4, "x" * 5000, 1), *make_events(9, 1)[4:]]
    checkpoint = ProgressCheckpoint("j1", "i0", max_record_bytes=2000)
    (record,) = checkpoint.make_records(events, 1)
    assert record.key == "p/j1/i0/0.1"
    assert checkpoint.event_count == 3
    assert checkpoint.make_records(events, 1) == []
