"""An in-memory store and a reader for the tests of the configuration."""

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
    """In-memory store of the configuration's topic."""

    def __init__(self):
        self.partition = Partition(keyed=True)

    def append_change(self, change, *, at=None):
        """Appends a change and returns whether the store accepted it."""
        records = [
            encode_record(record.key, record.value) for record in encode_change(change)
        ]
        try:
            self.partition.append(records, at=at)
        except AppendRejectedError:
            return False
        return True

    def read_latest(self):
        """Returns the latest record of each key, ordered by key, and the end offset."""
        latest = sorted(self.partition.newest.items())
        records = [(offset, key.decode(), value) for key, (offset, value) in latest]
        return records, self.partition.end


class TopicReader:
    """Reads the topic as an entry does: a snapshot of the latest records, then the log.

    Args:
        store: The store.
        state: The state to which the records are applied.
    """

    def __init__(self, store, state=None):
        self.store = store
        self.state = state or ConfigurationState()
        self.offset = None

    def load_snapshot(self):
        """Applies the latest records; the next call of ``read`` commits them."""
        self.apply_snapshot(self.store.read_latest())

    def apply_snapshot(self, snapshot):
        records, end = snapshot
        self.state.reset()
        for offset, key, value in self.sort_records(records):
            self.state.apply(offset, key, value)
        self.offset = end

    def sort_records(self, records):
        return sorted(records)

    def read(self, max_records=1_000_000):
        """Reads the next records and commits the state at the end of the topic."""
        partition = self.store.partition
        if self.offset is None or self.offset < partition.first:
            self.load_snapshot()
        chosen = partition.records[self.offset - partition.first :][:max_records]
        for _, record in chosen:
            key, value = decode_record(record)
            self.state.apply(self.offset, key, value)
            self.offset += 1
        if self.offset >= partition.end:
            self.state.commit()


def encode_record(key, value):
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_record(record):
    split = 1 + record[0]
    return record[1:split].decode(), record[split:] or None


def make_change(change_id, base_revision, *items, remove=()):
    return ConfigurationChange(
        change_id=change_id, base_revision=base_revision, put=items, remove=remove
    )


def make_drain_toggle(change_id, configuration, failure_domain):
    """Returns a change that drains a failure domain, or restores a drained one."""
    base_revision = configuration.revision
    if configuration.is_drained(failure_domain):
        reference = ItemReference(kind="drain", name=failure_domain)
        return make_change(change_id, base_revision, remove=(reference,))
    return make_change(change_id, base_revision, Drain(name=failure_domain))


def submit_change(store, change):
    """Submits a change as an operator who has read the latest revision."""
    reader = TopicReader(store)
    reader.read()
    apply_change(reader.state.current, change, offset=0)
    assert store.append_change(change, at=reader.offset)
