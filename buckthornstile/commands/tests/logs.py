"""A log port in memory that fails as it is told, put in the platform's place."""

import sys
import types

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.configuration import ConfigurationFold
from buckthornstile.ports import LogEntry, LogPage
from buckthornstile.records import decode_record, encode_record


class MemoryLogPort:
    def __init__(self):
        self.records = []
        self.first_retained = 0
        self.append_faults = []
        self.reads_before_outage = None
        self.appends_before_outage = None
        self.late = []
        self.before_append = []

    def add(self, record):
        self.records.append(encode_record(record))

    async def append(self, data):
        if self.appends_before_outage is not None:
            self.reads_before_outage = 0
            self.appends_before_outage -= 1
        if self.before_append:
            self.before_append.pop(0)()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault == "refused":
            raise PlatformUnavailableError("refused", may_have_taken_effect=False)
        if fault == "late":
            self.late.append(data)
        elif fault != "lost before":
            self.records.append(data)
        if fault is not None:
            raise PlatformUnavailableError("timed out")
        self.records += self.late
        self.late.clear()
        return len(self.records) - 1

    async def read(self, first, *, limit=500, wait=0.0):
        if self.reads_before_outage is not None:
            self.reads_before_outage -= 1
            if self.reads_before_outage < 0:
                raise PlatformUnavailableError("the log is out")
        first = max(first, self.first_retained)
        entries = tuple(
            LogEntry(offset, self.records[offset])
            for offset in range(first, min(first + limit, len(self.records)))
        )
        return LogPage(entries, self.first_retained, len(self.records))

    def fold(self):
        fold = ConfigurationFold()
        outcomes = [
            fold.apply(offset, decode_record(data))
            for offset, data in enumerate(self.records)
        ]
        return fold, outcomes


def put_in_place(monkeypatch, log):
    """Puts a log in the platform's place and takes out the pauses."""

    def make_platform_ports(base_url, *, timeout):
        return types.SimpleNamespace(log=log)

    module = types.ModuleType("buckthornstile.platform")
    module.make_platform_ports = make_platform_ports
    monkeypatch.setitem(sys.modules, module.__name__, module)
    monkeypatch.setattr("buckthornstile.commands._submit.PAUSE", 0)
    monkeypatch.setenv("BUCKTHORNSTILE_PLATFORM_URL", "http://127.0.0.1:1")
