"""The processes that may be sending, as the presence records show them."""

from buckthornstile.gateway import PresenceRecord, PresenceTable


class Table:
    """A presence table whose clock the test moves."""

    def __init__(self) -> None:
        self.now = 100.0
        self.table = PresenceTable(lambda: self.now)

    def read(self, *names: str) -> None:
        for name in names:
            self.table.apply(PresenceRecord(name, node=f"vm-{name}"))
        self.table.on_caught_up()


def test_entries_keep_their_shares_of_a_limit_while_the_store_is_away() -> None:
    """Each entry would otherwise take the whole limit after 10 s of silence."""
    setup = Table()
    setup.read("a", "b", "c")
    setup.now += 25.0
    assert sorted(setup.table.list_possibly_live()) == ["a", "b", "c"]
    setup.now += 10.0
    setup.read("a")
    assert sorted(setup.table.list_possibly_live()) == ["a", "b", "c"]


def test_silent_entry_loses_its_share_while_the_store_is_read() -> None:
    setup = Table()
    setup.read("a", "b")
    for _ in range(30):
        setup.now += 0.4
        setup.read("a")
    assert setup.table.list_possibly_live() == ["a"]


def test_late_record_of_a_replaced_process_does_not_remove_its_successor() -> None:
    """A live process was taken for dead when the store executed an old append late."""
    setup = Table()
    old, new = (PresenceRecord(name, node="vm-a") for name in ("a#1", "a#2"))
    for record in (old, new, old):
        setup.table.apply(record)
    assert setup.table.list_live() == ["a#2"]


def test_late_record_does_not_bring_a_leaving_process_back() -> None:
    """A process that was leaving was given jobs again."""
    setup = Table()
    record = PresenceRecord("a#1", node="vm-a")
    leaving = PresenceRecord("a#1", node="vm-a", is_leaving=True)
    for one in (record, leaving, record):
        setup.table.apply(one)
    assert setup.table.list_live() == []
