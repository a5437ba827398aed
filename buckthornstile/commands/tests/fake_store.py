"""An in-memory store with injected faults, which tests use instead of the platform."""

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


class FaultyMemoryStore:
    """Has the methods of the store client; appends and reads fail as tests set them.

    Attributes:
        partitions: Partition 0 of each topic, by topic.
        append_faults: Faults of the next appends: ``refused`` (no effect, and the error
            says so), ``lost before`` (timeout without effect), ``lost after`` (timeout
            after the effect), ``late`` (timeout before the effect) or None.
        reads_before_outage: Number of reads that succeed before all others fail; None
            for no outage.
        appends_before_outage: If not None, the first append starts an outage of reads.
        delayed_appends: Appends with the fault ``late`` that have not taken effect.
        before_append_hooks: Functions to call before the next appends, one each.
    """

    def __init__(self):
        self.partitions = {}
        self.append_faults = []
        self.reads_before_outage = None
        self.appends_before_outage = None
        self.delayed_appends = []
        self.before_append_hooks = []

    def get_partition(self, topic):
        keyed = topic.startswith("keyed.")
        return self.partitions.setdefault(topic, Partition(keyed=keyed))

    @property
    def configuration(self):
        return self.get_partition(CONFIGURATION_TOPIC)

    def append_change(self, change):
        """Appends a change as another operator's command does."""
        self.configuration.append(
            [
                encode_keyed_record(item.key, item.value)
                for item in encode_change(change)
            ]
        )

    def load_state(self):
        state = ConfigurationState()
        for offset, (_, record) in enumerate(
            self.configuration.records, self.configuration.first
        ):
            keyed = decode_keyed_record(offset, record)
            state.apply(Offset(offset), keyed.key, keyed.value)
        state.commit()
        return state

    async def append(
        self, topic, part, records, *, at=None, producer=None, timeout=1.0
    ):
        if self.appends_before_outage is not None:
            self.reads_before_outage = 0
            self.appends_before_outage -= 1
        if self.before_append_hooks:
            self.before_append_hooks.pop(0)()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault == "refused":
            raise PlatformUnavailableError("refused", may_have_taken_effect=False)
        if fault == "late":
            self.delayed_appends.append((topic, list(records), at))
        elif fault != "lost before":
            self._append_records(topic, list(records), at)
        if fault is not None:
            raise PlatformUnavailableError("timed out")
        while self.delayed_appends:
            # A delayed append takes effect after the next append, and only if the end
            # offset is still the one that it expects.
            delayed = self.delayed_appends.pop(0)
            partition = self.get_partition(delayed[0])
            if delayed[2] is None or delayed[2] == partition.end:
                partition.append(delayed[1])
        return 0

    def _append_records(self, topic, records, at):
        try:
            self.get_partition(topic).append(records, at=at)
        except AppendRejectedError as error:
            raise AppendConflictError("end", error.fields["end"]) from error

    async def read_latest(self, topic, part, *, timeout=1.0):
        self._check_outage()
        partition = self.get_partition(topic)
        records = [
            KeyedRecord(offset, key.decode(), value)
            for key, (offset, value) in partition.newest.items()
        ]
        return records, partition.end

    async def read(self, topic, part, start, *, wait=0.0, timeout=1.0):
        self._check_outage()
        partition = self.get_partition(topic)
        selected = tuple(
            (offset, record)
            for offset, (_, record) in enumerate(partition.records, partition.first)
            if offset >= start
        )
        return FetchResult(selected, partition.end, partition.end)

    def _check_outage(self):
        if self.reads_before_outage is not None:
            self.reads_before_outage -= 1
            if self.reads_before_outage < 0:
                raise PlatformUnavailableError("the store is unavailable")


def patch_store(monkeypatch, store):
    """Makes the commands use a store, without delays between retries."""
    monkeypatch.setattr(
        "buckthornstile.commands._context.make_store_client", lambda settings: store
    )
    monkeypatch.setattr(
        "buckthornstile.commands._queries.make_store_client", lambda settings: store
    )
    monkeypatch.setattr("buckthornstile.commands._submit.RETRY_DELAY_S", 0)
