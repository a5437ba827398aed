"""A store in memory that fails as it is told, put in the platform's place."""

from buckthornstile.base import Offset, PlatformUnavailableError
from buckthornstile.configuration import (
    ConfigurationState,
    encode_change,
)
from buckthornstile.platform import (
    CONFIGURATION_TOPIC,
    AppendConflictError,
    FetchResult,
    KeyedRecord,
    decode_keyed_record,
    encode_keyed_record,
)
from standins.store import AppendRejectedError, Partition


class MemoryStore:
    def __init__(self):
        self.partitions = {}
        self.append_faults = []
        self.reads_before_outage = None
        self.appends_before_outage = None
        self.late = []
        self.before_append = []

    def get(self, topic):
        keyed = topic.startswith("keyed.")
        return self.partitions.setdefault(topic, Partition(keyed=keyed))

    @property
    def configuration(self):
        return self.get(CONFIGURATION_TOPIC)

    def add_change(self, change):
        """Appends a change as another operator's command does."""
        self.configuration.append(
            [encode_keyed_record(one.key, one.value) for one in encode_change(change)]
        )

    def fold(self):
        fold = ConfigurationState()
        for offset, (_, record) in enumerate(
            self.configuration.records, self.configuration.first
        ):
            keyed = decode_keyed_record(offset, record)
            fold.apply(Offset(offset), keyed.key, keyed.value)
        fold.commit()
        return fold

    async def append(
        self, topic, part, records, *, at=None, producer=None, timeout=1.0
    ):
        if self.appends_before_outage is not None:
            self.reads_before_outage = 0
            self.appends_before_outage -= 1
        if self.before_append:
            self.before_append.pop(0)()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault == "refused":
            raise PlatformUnavailableError("refused", may_have_taken_effect=False)
        if fault == "late":
            self.late.append((topic, list(records), at))
        elif fault != "lost before":
            self._take(topic, list(records), at)
        if fault is not None:
            raise PlatformUnavailableError("timed out")
        while self.late:
            # Carried out after the appends that came later, if it still may be.
            late = self.late.pop(0)
            partition = self.get(late[0])
            if late[2] is None or late[2] == partition.end:
                partition.append(late[1])
        return 0

    def _take(self, topic, records, at):
        try:
            self.get(topic).append(records, at=at)
        except AppendRejectedError as refused:
            raise AppendConflictError("end", refused.fields["end"]) from refused

    async def read_latest(self, topic, part, *, timeout=1.0):
        self._check_outage()
        partition = self.get(topic)
        records = [
            KeyedRecord(offset, key.decode(), value)
            for key, (offset, value) in partition.newest.items()
        ]
        return records, partition.end

    async def read(self, topic, part, start, *, wait=0.0, timeout=1.0):
        self._check_outage()
        partition = self.get(topic)
        found = tuple(
            (offset, record)
            for offset, (_, record) in enumerate(partition.records, partition.first)
            if offset >= start
        )
        return FetchResult(found, partition.end, partition.end)

    def _check_outage(self):
        if self.reads_before_outage is not None:
            self.reads_before_outage -= 1
            if self.reads_before_outage < 0:
                raise PlatformUnavailableError("the store is out")


def put_in_place(monkeypatch, store):
    """Puts a store in the platform's place and takes out the pauses."""
    monkeypatch.setattr(
        "buckthornstile.commands._context.make_store_client", lambda settings: store
    )
    monkeypatch.setattr(
        "buckthornstile.commands._queries.make_store_client", lambda settings: store
    )
    monkeypatch.setattr("buckthornstile.commands._submit.PAUSE", 0)
