"""Tests of the counts of usage windows and of the choice of windows to seal."""

from buckthornstile.duties import DutyState, SealRecord, UsageCounter, UsageTotals


def test_newest_counts_of_a_process_replace_earlier_counts() -> None:
    totals = UsageTotals(5.0)
    totals.apply("e1", {10: {"mill": 1}}, 60.0)
    totals.apply("e1", {10: {"mill": 3}, 11: {"mill": 1}}, 60.0)
    totals.apply("e2", {10: {"mill": 2, "quay": 1}}, 60.0)
    assert totals.sum_window(10) == {"mill": 5, "quay": 1}
    assert totals.sum_window(99) == {}


def test_windows_are_sealed_after_their_end_until_the_report_timeout() -> None:
    totals = UsageTotals(5.0)
    for window in range(8, 13):
        totals.apply("e1", {window: {"mill": 1}}, 60.0)
    assert totals.find_windows_to_seal({}, 61.0, 10.0) == [10]
    assert totals.find_windows_to_seal({}, 62.3, 10.0) == [10, 11]
    seals = {11: SealRecord(11, {})}
    assert totals.find_windows_to_seal(seals, 62.3, 10.0) == [10]
    assert totals.find_windows_to_seal({}, 80.0, 10.0) == [14]


def test_window_waits_for_the_counts_of_live_processes() -> None:
    """After an outage, one process's counts may be read long before another's."""
    totals = UsageTotals(5.0)
    totals.apply("e1", {10: {"mill": 1}}, 58.0)
    live = ["e1", "e2"]
    assert totals.find_windows_to_seal({}, 58.0, 10.0, live) == []
    totals.apply("e2", {10: {"mill": 2}}, 54.0)
    assert totals.find_windows_to_seal({}, 58.0, 10.0, live) == []
    totals.apply("e2", {10: {"mill": 3}}, 58.1)
    assert totals.find_windows_to_seal({}, 58.2, 10.0, live) == [10]
    assert totals.sum_window(10) == {"mill": 4}


def test_window_does_not_wait_beyond_the_maximum_wait() -> None:
    totals = UsageTotals(5.0)
    totals.apply("e1", {10: {"mill": 1}}, 62.0)
    assert totals.find_windows_to_seal({}, 60.9, 10.0, ["e1", "e2"]) == []
    assert totals.find_windows_to_seal({}, 61.0, 10.0, ["e1", "e2"]) == [10]


def test_window_without_requests_is_sealed() -> None:
    totals = UsageTotals(5.0)
    totals.apply("e1", {10: {"mill": 1}}, 60.0)
    assert totals.find_windows_to_seal({}, 68.0, 30.0) == [10, 11, 12]
    assert totals.sum_window(11) == {}


def test_counts_of_the_first_seal_are_kept() -> None:
    state = DutyState(lambda: 0.0)
    state.apply(0, SealRecord(10, {"mill": 1}))
    state.apply(1, SealRecord(10, {"mill": 2}))
    state.apply(2, SealRecord(10, {"mill": 9}, is_reported=True))
    assert state.seals[10] == SealRecord(10, {"mill": 1}, is_reported=True)


def test_request_counts_in_the_window_in_which_it_started() -> None:
    counter = UsageCounter(5.0)
    counter.count("mill", 54.99)
    counter.count("mill", 55.0)
    assert counter.get_counts(56.0) == {10: {"mill": 1}, 11: {"mill": 1}}
    assert counter.get_counts(90.0) == {}
