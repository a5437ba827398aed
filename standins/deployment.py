"""A whole small deployment of separate processes, for the demo and tests.

Test-side only: the product starts no process. Every process listens on a
loopback address of its own.
"""

import json
import secrets
import time
from collections.abc import Callable, Iterable
from typing import Any, Self
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from buckthornstile.configuration import hash_key
from buckthornstile.records import (
    Account,
    ConfigurationChange,
    ConfigurationItem,
    ItemName,
    Key,
    encode_record,
)
from standins.launch import Bench, BenchProcess

WAIT_SECONDS = 20.0
POLL_SECONDS = 0.05


class Deployment:
    """Starts stand-ins and daemons, and tells the platform of them.

    Args:
        daemon_settings: Settings for every daemon, by name.
        platform_flags: Flags of the platform's stand-in.
    """

    def __init__(
        self,
        *,
        daemon_settings: dict[str, Any] | None = None,
        platform_flags: dict[str, Any] | None = None,
    ) -> None:
        self.daemon_settings = daemon_settings or {}
        self.platform_flags = platform_flags or {}
        self.secret = secrets.token_hex(16)
        self.upstreams: dict[str, BenchProcess] = {}
        self.agents: dict[str, BenchProcess] = {}
        self.entries: dict[str, BenchProcess] = {}
        self._addresses = 1
        self._revision = 0

    def __enter__(self) -> Self:
        environment = {"BUCKTHORNSTILE_DEPLOYMENT_SECRET": self.secret}
        self.bench = Bench(environment=environment)
        self.bench.__enter__()
        try:
            self.platform = self.bench.start("standins.platform", **self.platform_flags)
        except BaseException:
            self.bench.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        if exception == (None, None, None):
            self.stop_daemons()
        self.bench.__exit__(*exception)

    def stop_daemons(self) -> list[int]:
        """Stops the daemons while the platform still takes their last records.

        Returns:
            The exit status of each that was running.
        """
        daemons = [*self.entries.values(), *self.agents.values()]
        running = [daemon for daemon in daemons if daemon.is_running]
        for daemon in running:
            daemon.ask_to_stop()
        return [daemon.stop() for daemon in running]

    def take_address(self) -> str:
        """Gives the next loopback address."""
        self._addresses += 1
        return f"127.0.{self._addresses // 250}.{self._addresses % 250 + 1}"

    # Processes

    def add_engine(self, name: str, domain: str, service: str, **flags: Any) -> None:
        """Starts a model engine and the agent beside it."""
        address = self.take_address()
        self.upstreams[name] = self.bench.start(
            "standins.engine", name=name, address=address, **flags
        )
        self.start_agent(name, domain, service, kind="engine")

    def add_service(self, name: str, domain: str, service: str, **flags: Any) -> None:
        """Starts a plain service and the agent beside it."""
        address = self.take_address()
        self.upstreams[name] = self.bench.start(
            "standins.service", name=name, address=address, **flags
        )
        self.start_agent(name, domain, service, kind="service")

    def start_agent(
        self, name: str, domain: str, service: str, *, kind: str, **settings: Any
    ) -> BenchProcess:
        """Starts the agent beside an upstream, and lists its VM."""
        agent = self.bench.start(
            "buckthornstile",
            "agent",
            name=f"agent-{name}",
            address=self.take_address(),
            process=f"agent-{name}",
            failure_domain=domain,
            peer_port=0,
            upstream=name,
            service=service,
            upstream_url=self.upstreams[name].url,
            upstream_kind=kind,
            **self._make_settings("agent", settings),
        )
        self.agents[name] = agent
        self.list_agent(name, domain, service)
        return agent

    def list_agent(self, name: str, domain: str, service: str, **fields: Any) -> None:
        """Puts an agent's VM on the platform's list."""
        agent = self.agents[name]
        self.platform.call(
            "PUT",
            f"/control/vms/agent-{name}",
            {
                "role": "agent",
                "failure_domain": domain,
                "address": agent.address,
                "port": agent.port,
                "state": "live",
                "upstream": name,
                "service": service,
                **fields,
            },
        )

    def add_entry(self, name: str, domain: str, **settings: Any) -> BenchProcess:
        """Starts an entry, and lists its VM."""
        entry = self.bench.start(
            "buckthornstile",
            "entry",
            name=name,
            address=self.take_address(),
            process=name,
            failure_domain=domain,
            http_port=0,
            **self._make_settings("entry", settings),
        )
        self.entries[name] = entry
        self.platform.call(
            "PUT",
            f"/control/vms/{name}",
            {
                "role": "entry",
                "failure_domain": domain,
                "address": entry.address,
                "port": entry.port,
                "state": "live",
            },
        )
        return entry

    def _make_settings(self, role: str, settings: dict[str, Any]) -> dict[str, Any]:
        common = {"platform_url": self.platform.url}
        return {**common, **self.daemon_settings.get(role, {}), **settings}

    @property
    def entry_urls(self) -> list[str]:
        """The addresses of the running entries."""
        return [entry.url for entry in self.entries.values() if entry.is_running]

    def call_entry(
        self, entry: BenchProcess, key: str, path: str, fields: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Makes one call through an entry, with a prompt if none is given.

        Returns:
            The status and the body.
        """
        body = json.dumps({"prompt": "set a tooth", **fields}).encode()
        request = Request(entry.url + path, data=body, method="POST")
        request.add_header("Authorization", f"Bearer {key}")
        try:
            with urlopen(request, timeout=WAIT_SECONDS) as answer:
                return answer.status, answer.read()
        except HTTPError as error:
            return error.code, error.read()

    # Configuration

    def change(self, *put: ConfigurationItem, remove: Iterable[ItemName] = ()) -> int:
        """Appends a configuration change to the log.

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
        request = Request(
            self.platform.url + "/log", data=encode_record(change), method="POST"
        )
        with urlopen(request, timeout=WAIT_SECONDS) as answer:
            answer.read()
        self._revision += 1
        return self._revision

    def make_account(self, name: str, **fields: Any) -> tuple[str, list[Any]]:
        """Makes a client account with one key.

        Returns:
            The key in clear, and the items to put.
        """
        clear = f"bk_{secrets.token_urlsafe(24)}"
        key = Key(name=f"{name}-key", account=name, digest=hash_key(clear))
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

    def wait_ready(self, *, revision: int | None = None) -> None:
        """Waits until every entry knows a revision and all agents."""
        wanted = self._revision if revision is None else revision
        for name in self.entries:
            self.wait_for(
                lambda name=name: self._is_ready(name, wanted),
                f"{name} is ready at revision {wanted}",
            )

    def _is_ready(self, name: str, revision: int) -> bool:
        status = self.read_status(name)
        connected = [u for u in status["upstreams"] if u["connected"]]
        behind = [
            u
            for u in connected
            if u["configuration_offset"] < status["configuration"]["offset"]
        ]
        return (
            status["configuration"]["revision"] >= revision
            and len(connected) >= len(self.agents)
            and not behind
        )
