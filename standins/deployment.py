"""A whole small deployment of separate processes, for the demo and tests.

Test-side only: the product starts no process. Every process listens on a
loopback address of its own.
"""

import json
import os
import secrets
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any, Self
from urllib.error import HTTPError
from urllib.request import ProxyHandler, Request, build_opener

from buckthornstile.configuration import (
    Account,
    ApiKey,
    ConfigurationChange,
    ConfigurationItem,
    ItemReference,
    encode_change,
    hash_api_key,
)
from buckthornstile.platform import CONFIGURATION_TOPIC
from standins.process import ManagedProcess, ProcessManager

WAIT_SECONDS = 20.0
POLL_SECONDS = 0.05
ENTRY_SETTINGS = {
    "heartbeat": 0.5,
    "usage_window": 2,
    "usage_due": 10,
    "store_parts": 4,
    "stop_grace": 10,
}


class Deployment:
    """Starts the store, workers and entries.

    Args:
        entry_settings: Settings of every entry, besides the usual ones.
        store_flags: Flags of the store's stand-in.
    """

    def __init__(
        self,
        *,
        entry_settings: dict[str, Any] | None = None,
        store_flags: dict[str, Any] | None = None,
    ) -> None:
        self.entry_settings = {**ENTRY_SETTINGS, **(entry_settings or {})}
        self.store_flags = store_flags or {}
        self.workers: dict[str, ManagedProcess] = {}
        self.entries: dict[str, ManagedProcess] = {}
        self._addresses = 1
        self._revision = 0

    def __enter__(self) -> Self:
        self.process_manager = ProcessManager()
        self.process_manager.__enter__()
        try:
            self.store = self.process_manager.start(
                "standins.store", **self.store_flags
            )
        except BaseException:
            self.process_manager.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        if exception == (None, None, None):
            self.stop_entries()
        self.process_manager.__exit__(*exception)

    def stop_entries(self) -> list[int]:
        """Stops the entries while the store still takes their last records.

        Returns:
            The exit status of each that was running.
        """
        running = [entry for entry in self.entries.values() if entry.is_running]
        for entry in running:
            entry.terminate()
        return [entry.stop() for entry in running]

    def allocate_address(self) -> str:
        """Gives the next loopback address, one that no other process here uses.

        An entry that starts again at its port must not find it taken by another
        deployment's entry that asked for any free one.
        """
        self._addresses += 1
        network = 1 + os.getpid() % 250
        return f"127.{network}.{self._addresses // 250}.{self._addresses % 250 + 1}"

    # Processes

    def add_engine(
        self, name: str, domain: str, service: str, *, model: str = "llm", **flags: Any
    ) -> ManagedProcess:
        """Starts a model engine."""
        return self.add_worker(name, domain, service, models=model, **flags)

    def add_worker(
        self, name: str, domain: str, service: str, **flags: Any
    ) -> ManagedProcess:
        """Starts a worker, which registers itself in the store."""
        worker = self.workers[name] = self.process_manager.start(
            "standins.worker",
            worker_name=name,
            address=self.allocate_address(),
            service=service,
            zone=domain,
            **{"store": self.store.url, **flags},
        )
        return worker

    def add_entry(
        self,
        name: str,
        domain: str,
        *,
        instead_of: ManagedProcess | None = None,
        **settings: Any,
    ) -> ManagedProcess:
        """Starts an entry, at an address of its own or at that of an earlier one."""
        port = 0
        if instead_of is None:
            address = self.allocate_address()
        else:
            address, port = instead_of.address, instead_of.port
        store = self.store.url.removeprefix("http://")
        own = {
            "process": name,
            "failure_domain": domain,
            "api_address": f"{address}:{port}",
            "peer_address": f"{address}:0",
            "store_address": store,
            "duty_address": store,
        }
        entry = self.entries[name] = self.process_manager.start(
            "buckthornstile",
            "entry",
            name=name,
            address=address,
            is_standin=False,
            **{**own, **self.entry_settings, **settings},
        )
        return entry

    @property
    def entry_urls(self) -> list[str]:
        """The addresses of the running entries."""
        return [entry.url for entry in self.entries.values() if entry.is_running]

    def send_request(
        self, entry: ManagedProcess, key: str, path: str, fields: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Makes one call through an entry, with a prompt if none is given.

        Returns:
            The status and the body.
        """
        body = json.dumps({"prompt": "set a tooth", **fields}).encode()
        request = Request(entry.url + path, data=body, method="POST")
        request.add_header("Authorization", f"Bearer {key}")
        try:
            with build_opener(ProxyHandler({})).open(
                request, timeout=WAIT_SECONDS
            ) as answer:
                return answer.status, answer.read()
        except HTTPError as error:
            return error.code, error.read()

    # Configuration

    def change(
        self, *put: ConfigurationItem, remove: Iterable[ItemReference] = ()
    ) -> int:
        """Appends a configuration change to the store.

        Returns:
            The revision that it makes.
        """
        change = ConfigurationChange(
            change_id=secrets.token_hex(8),
            base_revision=self._revision,
            put=put,
            remove=tuple(remove),
            operator="test",
        )
        self.append(
            CONFIGURATION_TOPIC,
            [pack_keyed(record.key, record.value) for record in encode_change(change)],
        )
        self._revision += 1
        return self._revision

    def append(self, topic: str, records: Iterable[bytes]) -> None:
        """Appends records to a topic of the store."""
        body = b"".join(struct.pack(">I", len(one)) + one for one in records)
        url = f"{self.store.url}/-/log-append?topic={topic}&part=0"
        request = Request(url, data=body, method="POST")
        with build_opener(ProxyHandler({})).open(
            request, timeout=WAIT_SECONDS
        ) as answer:
            answer.read()

    def create_account(self, name: str, **fields: Any) -> tuple[str, list[Any]]:
        """Makes a client account with one key.

        Returns:
            The key in clear, and the items to put.
        """
        clear = f"bk_{secrets.token_urlsafe(24)}"
        key = ApiKey(name=f"{name}-key", account=name, digest=hash_api_key(clear))
        return clear, [Account(name=name, **fields), key]

    # Waiting

    def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        *,
        seconds: float = WAIT_SECONDS,
    ) -> float:
        """Polls until a condition holds.

        Returns:
            The seconds that it took.

        Raises:
            TimeoutError: It did not hold in time.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > seconds:
                raise TimeoutError(f"after {seconds} s still not: {what}")
            time.sleep(POLL_SECONDS)
        return time.monotonic() - started

    def read_status(self, entry: str) -> dict[str, Any]:
        """Reads an entry's status."""
        return self.entries[entry].call("GET", "/v1/status")

    def wait_until_ready(self, *, revision: int | None = None) -> None:
        """Waits until every entry knows a revision, all workers and all entries."""
        wanted = self._revision if revision is None else revision
        for name in self.entries:
            self.wait_for(
                lambda name=name: self._is_ready(name, wanted),
                f"{name} is ready at revision {wanted}",
            )

    def _is_ready(self, name: str, revision: int) -> bool:
        status = self.read_status(name)
        known = {upstream["upstream"] for upstream in status["upstreams"]}
        running = {name for name, one in self.workers.items() if one.is_running}
        entries = sum(entry.is_running for entry in self.entries.values())
        return (
            status["ready"]
            and status["configuration"]["revision"] >= revision
            and known >= running
            and len(status["entries"]) >= entries
        )


def pack_keyed(key: str, value: bytes) -> bytes:
    """Packs a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value
