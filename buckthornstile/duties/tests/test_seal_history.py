"""Windows whose seals the store may have dropped."""

from buckthornstile.duties import SealHistory


def test_without_a_loss_every_window_is_complete() -> None:
    assert SealHistory().is_complete(1, -100.0)


def test_window_that_ended_before_the_loss_may_have_a_dropped_seal() -> None:
    history = SealHistory()
    history.record_loss(50.0)
    assert not history.is_complete(9, 49.0)
    assert history.is_complete(10, 54.0)


def test_windows_from_the_first_seal_after_the_loss_on_are_complete() -> None:
    history = SealHistory()
    history.record_loss(50.0)
    history.record_new_seal(7)
    history.record_new_seal(8)
    assert not history.is_complete(6, 30.0)
    assert history.is_complete(9, 45.0)


def test_seals_read_before_a_further_loss_do_not_count() -> None:
    history = SealHistory()
    history.record_new_seal(7)
    history.record_loss(50.0)
    assert not history.is_complete(9, 49.0)
