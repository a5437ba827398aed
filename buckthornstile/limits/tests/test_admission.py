"""Admission and the retry budget under load."""

from buckthornstile.limits import Admission, RetryBudget


def fill(admission, account, count):
    return [admission.admit(account, 0.0, maximum_open=10_000) for _ in range(count)]


def test_a_flooding_account_leaves_room_for_others():
    admission = Admission(maximum_open=100, shed_at=0.75)
    fill(admission, "small", 1)
    flood = fill(admission, "large", 500)
    assert sum(result.admitted for result in flood) < 80
    assert all(result.retry_after > 0 for result in flood if not result.admitted)
    assert all(result.admitted for result in fill(admission, "small", 20))


def test_without_shedding_the_flood_takes_all():
    admission = Admission(maximum_open=100, shed_at=1.0)
    fill(admission, "large", 500)
    assert not any(result.admitted for result in fill(admission, "small", 20))


def test_release_gives_the_place_back_once():
    admission = Admission(maximum_open=1)
    assert admission.admit("a", 0.0).admitted
    admission.release("a", 1.0)
    admission.release("a", 1.0)
    assert admission.open == 0
    assert admission.admit("b", 2.0).admitted


def test_retries_stay_a_small_share_when_everything_fails():
    budget = RetryBudget(ratio=0.1, maximum=10)
    for _ in range(100):
        budget.on_success()
    assert sum(budget.spend() for _ in range(1000)) == 10
    assert budget.refused == 990
