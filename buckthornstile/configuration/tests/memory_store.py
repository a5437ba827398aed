"""A store in memory, operators and readers for the configuration's tests."""

from buckthornstile.configuration import (
    ConfigurationChange,
    ConfigurationState,
    Drain,
    ItemReference,
    apply_change,
    encode_change,
)
from standins.store import AppendRejectedError, Partition


class MemoryStore:
    """The configuration's topic."""

    def __init__(self):
        self.partition = Partition(keyed=True)

    def append(self, change, *, at=None):
        """Appends a change; gives whether the store took it."""
        records = [pack(one.key, one.value) for one in encode_change(change)]
        try:
            self.partition.append(records, at=at)
        except AppendRejectedError:
            return False
        return True

    def read_pages(self):
        """Reads the newest record of each key, in the order of keys, and the end."""
        newest = sorted(self.partition.newest.items())
        records = [(offset, key.decode(), value) for key, (offset, value) in newest]
        return records, self.partition.end


class Reader:
    """Reads the topic as an entry does: the newest records, then the log.

    Args:
        store: The store.
        fold: Takes the records.
    """

    def __init__(self, store, fold=None):
        self.store = store
        self.fold = fold or ConfigurationState()
        self.position = None

    def load(self):
        """Reads the newest records; they are settled by the next read only."""
        self.take_pages(self.store.read_pages())

    def take_pages(self, pages):
        records, end = pages
        self.fold.reset()
        for offset, key, value in self.order(records):
            self.fold.apply(offset, key, value)
        self.position = end

    def order(self, records):
        return sorted(records)

    def read(self, limit=1_000_000):
        """Reads up to so many records on; settles at the end."""
        partition = self.store.partition
        if self.position is None or self.position < partition.first:
            self.load()
        chosen = partition.records[self.position - partition.first :][:limit]
        for _, record in chosen:
            key, value = unpack(record)
            self.fold.apply(self.position, key, value)
            self.position += 1
        if self.position >= partition.end:
            self.fold.commit()


def pack(key, value):
    name = key.encode()
    return bytes([len(name)]) + name + value


def unpack(record):
    split = 1 + record[0]
    return record[1:split].decode(), record[split:] or None


def make_change(change_id, base, *items, remove=()):
    return ConfigurationChange(
        change_id=change_id, base_revision=base, put=items, remove=remove
    )


def make_drain_change(change_id, configuration, domain):
    """A change that drains a failure domain, or restores a drained one."""
    base = configuration.revision
    if configuration.is_drained(domain):
        name = ItemReference(kind="drain", name=domain)
        return make_change(change_id, base, remove=(name,))
    return make_change(change_id, base, Drain(name=domain))


def submit(store, change):
    """Submits a change as an operator does who has read the newest revision."""
    reader = Reader(store)
    reader.read()
    apply_change(reader.fold.current, change, offset=0)
    assert store.append(change, at=reader.position)
