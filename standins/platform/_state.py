"""What the platform's stand-in holds."""

import asyncio
import hashlib
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class PlatformOptions:
    """How the platform behaves.

    Args:
        retain_records: How many records the log keeps.
        retain_seconds: For how long the log keeps a record.
        vm_lag_seconds: How old the VM list is.
        refuse_old_terms: Whether an order with an old term is refused.
        chunks_per_second: The weight store's rate.
        chunk_burst: Chunks that may be read at once.
        vms: VMs that are listed at the start.
        start_seconds: From an order to start until the VM is listed.
        notice_seconds: From an order to stop until the VM is gone.
    """

    retain_records: int = 100_000
    retain_seconds: float = 3600.0
    vm_lag_seconds: float = 0.0
    refuse_old_terms: bool = True
    chunks_per_second: float = 50.0
    chunk_burst: float = 20.0
    vms: list[dict[str, Any]] = field(default_factory=list)
    start_seconds: float = 0.0
    notice_seconds: float = 2.0


class Log:
    """An append-only log with limited retention.

    Example:
        >>> log = Log(retain_records=2, retain_seconds=60)
        >>> [log.append(b"x", now=0.0) for _ in range(3)], log.first_retained
        ([0, 1, 2], 1)
    """

    def __init__(self, *, retain_records: int, retain_seconds: float) -> None:
        self.retain_records = retain_records
        self.retain_seconds = retain_seconds
        self.next_offset = 0
        self.entries: deque[tuple[int, float, bytes]] = deque()
        self.grown = asyncio.Event()

    @property
    def first_retained(self) -> int:
        """The first offset that is still kept."""
        return self.entries[0][0] if self.entries else self.next_offset

    def append(self, data: bytes, *, now: float) -> int:
        """Appends a record and gives its offset."""
        offset = self.next_offset
        self.next_offset += 1
        self.entries.append((offset, now, data))
        self.expire(now=now)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def expire(self, *, now: float) -> None:
        """Drops records that are past retention."""
        while self.entries and (
            len(self.entries) > self.retain_records
            or self.entries[0][1] < now - self.retain_seconds
        ):
            self.entries.popleft()

    def read(self, first: int, limit: int) -> list[tuple[int, bytes]]:
        """Reads records from an offset on."""
        start = max(0, first - self.first_retained)
        stop = min(len(self.entries), start + limit)
        return [
            (self.entries[index][0], self.entries[index][2])
            for index in range(start, stop)
        ]


class TokenBucket:
    """A rate limit.

    Example:
        >>> bucket = TokenBucket(rate=1, burst=1)
        >>> bucket.take(now=0.0), bucket.take(now=0.5), bucket.take(now=1.5)
        (True, False, True)
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated: float | None = None

    def take(self, *, now: float) -> bool:
        """Takes one token if there is one."""
        if self._updated is not None:
            gained = (now - self._updated) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._updated = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class VmTable:
    """The VM list, served as it was some seconds ago.

    Example:
        >>> table = VmTable(lag=5)
        >>> table.put({"process": "a1"}, now=0.0)
        >>> table.list(now=1.0), table.list(now=6.0)
        ([], [{'process': 'a1'}])
    """

    def __init__(self, *, lag: float) -> None:
        self.lag = lag
        self._current: dict[str, dict[str, Any]] = {}
        self._versions: deque[tuple[float, dict[str, dict[str, Any]]]] = deque()
        self._versions.append((float("-inf"), {}))

    def put(self, vm: dict[str, Any], *, now: float) -> None:
        """Adds a VM, or merges new fields into its entry."""
        old = self._current.get(vm["process"], {})
        leaving = vm.get("seconds_left")
        if leaving is not None:
            vm = {**vm, "leaves_at": now + leaving}
        self._change({**self._current, vm["process"]: {**old, **vm}}, now)

    def remove(self, process: str, *, now: float) -> None:
        """Removes a VM."""
        rest = {k: v for k, v in self._current.items() if k != process}
        self._change(rest, now)

    def find(self, failure_domain: str, service: str, upstream: str) -> str | None:
        """Finds a VM that is not leaving, by the upstream on it if one is named."""
        for process, vm in self._current.items():
            is_live = vm.get("state", "live") == "live"
            is_meant = upstream in ("", vm.get("upstream", ""))
            if is_live and is_meant and _is_for(vm, failure_domain, service):
                return process
        return None

    def get(self, process: str) -> dict[str, Any]:
        """Gives a VM's entry as it is now."""
        return self._current[process]

    def list(self, *, now: float) -> list[dict[str, Any]]:
        """Lists VMs as they were ``lag`` seconds ago."""
        while len(self._versions) > 1 and self._versions[1][0] <= now - self.lag:
            self._versions.popleft()
        return [_count_down(vm, now) for vm in self._versions[0][1].values()]

    def _change(self, vms: dict[str, dict[str, Any]], now: float) -> None:
        self._current = vms
        self._versions.append((now, vms))


def _is_for(vm: dict[str, Any], failure_domain: str, service: str) -> bool:
    return (vm.get("failure_domain"), vm.get("service")) == (failure_domain, service)


def _count_down(vm: dict[str, Any], now: float) -> dict[str, Any]:
    if "leaves_at" not in vm:
        return vm
    shown = {k: v for k, v in vm.items() if k != "leaves_at"}
    return {**shown, "seconds_left": max(0.0, vm["leaves_at"] - now)}


def make_chunk(version: int, index: int, size: int) -> bytes:
    """Makes one chunk of weights, always the same for a version and index.

    Example:
        >>> len(make_chunk(3, 0, 100))
        100
    """
    return hashlib.shake_128(f"{version}/{index}".encode()).digest(size)


class PlatformState:
    """All state of the platform's stand-in."""

    def __init__(self, options: PlatformOptions) -> None:
        self.options = options
        self.log = Log(
            retain_records=options.retain_records,
            retain_seconds=options.retain_seconds,
        )
        self.vms = VmTable(lag=options.vm_lag_seconds)
        for vm in options.vms:
            self.vms.put(vm, now=time.monotonic() - options.vm_lag_seconds)
        self.spares: dict[str, dict[str, Any]] = {}
        self.orders: dict[str, dict[str, Any]] = {}
        self.highest_term = -1
        self.reports: dict[int, dict[str, Any]] = {}
        self.manifests: dict[int, dict[str, Any]] = {}
        self.chunk_bucket = TokenBucket(
            rate=options.chunks_per_second, burst=options.chunk_burst
        )
        self.trainers: dict[str, int] = {}

    def carry_out(self, order: dict[str, Any]) -> None:
        """Lists spare VMs, or gives listed ones notice, as an order says."""
        for _ in range(order.get("count", 1)):
            if order["action"] == "start":
                self._start(order)
            else:
                self._stop(order)

    def _start(self, order: dict[str, Any]) -> None:
        wanted = (order["failure_domain"], order["service"])
        for process, vm in self.spares.items():
            if _is_for(vm, *wanted):
                del self.spares[process]
                asyncio.get_running_loop().call_later(
                    self.options.start_seconds, self._list_vm, vm
                )
                return

    def _stop(self, order: dict[str, Any]) -> None:
        process = self.vms.find(
            order["failure_domain"], order["service"], order.get("upstream", "")
        )
        if process is None:
            return
        notice = self.options.notice_seconds
        spare = self.vms.get(process)
        leaving = {"process": process, "state": "leaving", "seconds_left": notice}
        self.vms.put(leaving, now=time.monotonic())
        asyncio.get_running_loop().call_later(notice, self._remove_vm, spare)

    def _list_vm(self, vm: dict[str, Any]) -> None:
        self.vms.put(vm, now=time.monotonic())

    def _remove_vm(self, vm: dict[str, Any]) -> None:
        self.vms.remove(vm["process"], now=time.monotonic())
        self.spares[vm["process"]] = vm

    def publish(self, version: int, chunk_count: int, chunk_bytes: int) -> None:
        """Publishes a version of the weights."""
        chunks = (make_chunk(version, i, chunk_bytes) for i in range(chunk_count))
        self.manifests[version] = {
            "version": version,
            "chunk_count": chunk_count,
            "chunk_bytes": chunk_bytes,
            "digests": [hashlib.sha256(chunk).hexdigest() for chunk in chunks],
        }
