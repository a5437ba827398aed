"""A log in memory and changes for the configuration's tests."""

from buckthornstile.configuration import ConfigurationFold
from buckthornstile.records import (
    ConfigurationChange,
    Drain,
    ItemName,
    decode_record,
    encode_record,
)


class MemoryLog:
    """The encoded records; those before ``first_retained`` are gone."""

    def __init__(self):
        self.records = []
        self.first_retained = 0

    def append(self, record):
        data = record if isinstance(record, bytes) else encode_record(record)
        self.records.append(data)
        return len(self.records) - 1

    def read_into(self, fold, position, limit=1_000_000):
        """Reads from a position into a fold; gives outcomes and next position."""
        position = max(position, self.first_retained)
        outcomes = []
        while position < len(self.records) and len(outcomes) < limit:
            record = decode_record(self.records[position])
            outcomes.append(fold.apply(position, record))
            position += 1
        return outcomes, position


def make_change(change_id, base, *items, remove=()):
    return ConfigurationChange(
        change_id=change_id, base_revision=base, put=items, remove=remove
    )


def make_drain_change(change_id, configuration, domain):
    """A change that drains a failure domain, or restores a drained one."""
    base = configuration.revision
    if configuration.is_drained(domain):
        name = ItemName(kind="drain", name=domain)
        return make_change(change_id, base, remove=(name,))
    return make_change(change_id, base, Drain(name=domain))


def make_reader(log):
    fold = ConfigurationFold()
    log.read_into(fold, 0)
    return fold
