"""A small deployment of separate processes, for tests, benchmarks and the demo.

Every process listens on a loopback address of its own.
"""

import base64
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
    CHANGE_PREFIX,
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

DEFAULT_TIMEOUT = 20.0  # seconds
POLL_INTERVAL = 0.05  # seconds
DEFAULT_ENTRY_SETTINGS = {
    "heartbeat": 0.5,
    "usage_window": 2,
    "usage_due": 10,
    "store_parts": 4,
    "stop_grace": 10,
}


class Deployment:
    """Starts a store, workers and entries, and stops them on exit.

    Args:
        entry_settings: Settings of every entry, which override
            DEFAULT_ENTRY_SETTINGS.
        store_flags: Command-line flags of the store's stand-in.
    """

    def __init__(
        self,
        *,
        entry_settings: dict[str, Any] | None = None,
        store_flags: dict[str, Any] | None = None,
    ) -> None:
        self.entry_settings = {**DEFAULT_ENTRY_SETTINGS, **(entry_settings or {})}
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
        """Stops the running entries.

        The store still runs, so that the entries can write their last records.

        Returns:
            Exit status of each entry that was running.
        """
        running = [entry for entry in self.entries.values() if entry.is_running]
        for entry in running:
            entry.terminate()
        return [entry.stop() for entry in running]

    def allocate_address(self) -> str:
        """Returns a loopback address that no process of this deployment uses yet.

        The address also depends on this process's id. Otherwise an entry that
        restarts at its old port could find the port taken by an entry of another
        deployment that asked for any free port.
        """
        self._addresses += 1
        network = 1 + os.getpid() % 250
        return f"127.{network}.{self._addresses // 250}.{self._addresses % 250 + 1}"

    def add_engine(
        self,
        name: str,
        failure_domain: str,
        service: str,
        *,
        model: str = "llm",
        **flags: Any,
    ) -> ManagedProcess:
        """Starts a worker that is a model engine."""
        return self.add_worker(name, failure_domain, service, models=model, **flags)

    def add_worker(
        self, name: str, failure_domain: str, service: str, **flags: Any
    ) -> ManagedProcess:
        """Starts a worker, which then registers itself in the store."""
        worker = self.workers[name] = self.process_manager.start(
            "standins.worker",
            worker_name=name,
            address=self.allocate_address(),
            service=service,
            zone=failure_domain,
            **{"store": self.store.url, **flags},
        )
        return worker

    def add_entry(
        self,
        name: str,
        failure_domain: str,
        *,
        replaces: ManagedProcess | None = None,
        **settings: Any,
    ) -> ManagedProcess:
        """Starts an entry.

        Args:
            name: Name of the entry's process.
            failure_domain: Failure domain of the entry.
            replaces: A stopped entry whose address and port the new one reuses; by
                default, the entry gets a new address and any free port.
            settings: Settings of this entry, which override those of the
                deployment.
        """
        port = 0
        if replaces is None:
            address = self.allocate_address()
        else:
            address, port = replaces.address, replaces.port
        store = self.store.url.removeprefix("http://")
        base_settings = {
            "process": name,
            "failure_domain": failure_domain,
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
            accepts_address=False,
            **{**base_settings, **self.entry_settings, **settings},
        )
        return entry

    @property
    def entry_urls(self) -> list[str]:
        """Base URLs of the running entries."""
        return [entry.url for entry in self.entries.values() if entry.is_running]

    def send_request(
        self, entry: ManagedProcess, key: str, path: str, body_fields: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Sends one request to an entry, with a default prompt if none is given.

        Returns:
            Status and body of the response.
        """
        body = json.dumps({"prompt": "set a tooth", **body_fields}).encode()
        request = Request(entry.url + path, data=body, method="POST")
        request.add_header("Authorization", f"Bearer {key}")
        try:
            with build_opener(ProxyHandler({})).open(
                request, timeout=DEFAULT_TIMEOUT
            ) as response:
                return response.status, response.read()
        except HTTPError as error:
            return error.code, error.read()

    def apply_change(
        self, *put: ConfigurationItem, remove: Iterable[ItemReference] = ()
    ) -> int:
        """Appends a configuration change to the store, as an operator's command does.

        The append is conditional: an earlier one without a response may take effect
        late, and only one of the two may.

        Returns:
            Revision that the change creates.

        Raises:
            OSError: The store did not respond, or another change was appended
                meanwhile.
        """
        self._revision, end = self._read_revision()
        change = ConfigurationChange(
            change_id=secrets.token_hex(8),
            base_revision=self._revision,
            put=put,
            remove=tuple(remove),
            operator="test",
        )
        self.append_records(
            CONFIGURATION_TOPIC,
            [
                encode_keyed_record(record.key, record.value)
                for record in encode_change(change)
            ],
            at=end,
        )
        self._revision += 1
        return self._revision

    def _read_revision(self) -> tuple[int, int]:
        """Returns the last revision and the end offset of the configuration."""
        path = f"/-/log-newest?topic={CONFIGURATION_TOPIC}&part=0"
        page = self.store.request_json("GET", path)
        revisions = [
            json.loads(base64.b64decode(item["value"]))["revision"]
            for item in page["items"]
            if item["key"].startswith(CHANGE_PREFIX)
        ]
        return max(revisions, default=0), page["end"]

    def append_records(
        self, topic: str, records: Iterable[bytes], *, at: int | None = None
    ) -> None:
        """Appends records to partition 0 of a topic of the store.

        Args:
            topic: The topic.
            records: The records.
            at: End offset at which the partition must be, or None for any.
        """
        body = b"".join(struct.pack(">I", len(record)) + record for record in records)
        url = f"{self.store.url}/-/log-append?topic={topic}&part=0"
        if at is not None:
            url += f"&at={at}"
        request = Request(url, data=body, method="POST")
        with build_opener(ProxyHandler({})).open(
            request, timeout=DEFAULT_TIMEOUT
        ) as response:
            response.read()

    def create_account(self, name: str, **fields: Any) -> tuple[str, list[Any]]:
        """Creates the items of a client account with one API key.

        Returns:
            Key in plain text, and the items to pass to apply_change().
        """
        api_key = f"bk_{secrets.token_urlsafe(24)}"
        key_item = ApiKey(
            name=f"{name}-key", account=name, digest=hash_api_key(api_key)
        )
        return api_key, [Account(name=name, **fields), key_item]

    def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        *,
        seconds: float = DEFAULT_TIMEOUT,
    ) -> float:
        """Polls a condition until it holds.

        Args:
            condition: Returns whether the condition holds.
            what: Description of the condition, for the error text.
            seconds: Timeout in seconds.

        Returns:
            Seconds until the condition held.

        Raises:
            TimeoutError: The condition did not hold in time.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > seconds:
                raise TimeoutError(f"condition not met within {seconds} s: {what}")
            time.sleep(POLL_INTERVAL)
        return time.monotonic() - started

    def read_status(self, entry: str) -> dict[str, Any]:
        """Returns the status that an entry reports."""
        return self.entries[entry].request_json("GET", "/v1/status")

    def wait_until_ready(self, *, revision: int | None = None) -> None:
        """Waits until every entry is ready and knows all running processes.

        Args:
            revision: Configuration revision that each entry must have reached; the
                latest that this deployment created by default.
        """
        expected = self._revision if revision is None else revision
        for name in self.entries:
            self.wait_for(
                lambda name=name: self._is_ready(name, expected),
                f"{name} is ready at revision {expected}",
            )

    def _is_ready(self, name: str, revision: int) -> bool:
        status = self.read_status(name)
        known = {upstream["upstream"] for upstream in status["upstreams"]}
        running = {name for name, worker in self.workers.items() if worker.is_running}
        entries = sum(entry.is_running for entry in self.entries.values())
        return (
            status["ready"]
            and status["configuration"]["revision"] >= revision
            and known >= running
            and len(status["entries"]) >= entries
        )


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic: key length in one byte, key, value."""
    encoded_key = key.encode()
    return bytes([len(encoded_key)]) + encoded_key + value
