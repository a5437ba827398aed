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
