"""Keys that change accounts beside entries that are paused, killed and started again.

There are so many entries that most of them forward requests about jobs to the few that
serve them. The clients use the listener of the users' platform.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from typing import Any

from buckthornstile.base import BuckthornstileError, ProcessName
from buckthornstile.gateway._job_store import MAX_JOB_PARTITIONS
from buckthornstile.gateway._partition_assignment import assign_partition
from buckthornstile.http_client import ConnectionPool, HTTPRequest
from buckthornstile.platform import OPERATOR_TOPIC, encode_keyed_record
from buckthornstile.routing import compute_rendezvous_score
from soak._key_history import (
    REGRESSION_LIMIT,
    KeyObservation,
    KeyVersion,
    find_problems,
)
from soak._runner import SoakResult
from standins.deployment import Deployment

ENTRY_COUNT = 14  # from 13 on, six of them serve the jobs of an account
ACCOUNTS = ("a", "e")  # their jobs are in one partition
RELEASE_TIMEOUT = 12.0  # seconds
DURATION = 14.0  # seconds of load
READER_COUNT = 6
KEY_CHANGES = ("move", "move", "withdraw", "none")
MAX_KEYS = 8
PREFERRED_SHARE = 0.5
"""Share of the disturbances that hit the entry which serves the jobs first."""
HOST = "soak.example"
REQUEST_TIMEOUT = 4.0  # seconds


class KeyChangeRun:
    """One run on real processes.

    Args:
        deployment: The deployment, whose store is started.
        seed: Seed of all random choices.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.generator = random.Random(f"keys {seed}")
        self.pool = ConnectionPool()
        self.accounts = {f"key-{account}": account for account in ACCOUNTS}
        self.withdrawn: list[str] = []
        self.versions: list[KeyVersion] = []
        self.observations: list[KeyObservation] = []
        self.client_addresses: dict[str, str] = {}
        self.start_counts: dict[str, int] = {}
        self.steps: list[str] = []
        self.request_count = 0
        self.started_at = time.monotonic()

    async def run(self) -> list[str]:
        """Runs the load and the changes, and returns the problems."""
        await self._put_configuration()
        await asyncio.to_thread(self._start_processes)
        for account in ACCOUNTS:
            await self._submit_job(account)
        await self._wait_for_forwarding()
        end = time.monotonic() + DURATION
        async with asyncio.TaskGroup() as group:
            group.create_task(self._change_keys(end))
            for _ in range(2):
                group.create_task(self._disturb_entries(end))
            for number in range(READER_COUNT):
                group.create_task(self._send_requests(end, number))
            group.create_task(self._follow_changes(end))
        self.pool.close()
        problems = find_problems(self.versions, self.observations)
        for name, entry in self.deployment.entries.items():
            if not entry.is_running:
                problems.append(f"{name} exited")
            # A planned stop of all of them takes longer than the run.
            entry.kill()
        return problems

    def _start_processes(self) -> None:
        deployment = self.deployment
        for number in range(2):
            deployment.add_engine(f"engine-{number}", f"bench-{'ab'[number]}", "lm")
            deployment.add_worker(f"desk-{number}", f"bench-{'ab'[number]}", "desk")
        for number in range(ENTRY_COUNT):
            name = f"entry-{number:02}"
            self.client_addresses[name] = find_address(deployment)
            self._start_entry(name)

    def _start_entry(self, name: str) -> None:
        number = self.start_counts.get(name, 0)
        self.start_counts[name] = number + 1
        self.deployment.add_entry(
            name,
            f"bench-{'abc'[int(name[-2:]) % 3]}",
            replaces=self.deployment.entries.get(name),
            client_address=self.client_addresses[name],
        )

    async def _wait_for_forwarding(self) -> None:
        """Waits until most entries have released the partitions that others serve."""
        deadline = time.monotonic() + RELEASE_TIMEOUT
        while time.monotonic() < deadline:
            entries = self.deployment.entries.values()
            if all(entry.read_events("jobs.unfollow") for entry in entries):
                return
            await asyncio.sleep(0.2)

    # Configuration

    async def _put_configuration(self) -> None:
        """Puts a version with the present keys in effect, at the store alone."""
        version = len(self.versions) + 1
        tenants = [
            {
                "name": name,
                "apiKeys": [
                    key for key, account in self.accounts.items() if account == name
                ],
            }
            for name in ACCOUNTS
        ]
        value = json.dumps(make_configuration(version, tenants)).encode()
        record = encode_keyed_record("config", value)
        body = struct.pack(">I", len(record)) + record
        target = f"/-/log-append?topic={OPERATOR_TOPIC}&part=0"
        address = self.deployment.store.url.removeprefix("http://")
        sent_at, accounts = time.monotonic(), dict(self.accounts)
        request = HTTPRequest("POST", target, [("Host", address)], body)
        response = await self.pool.send(address, request)
        assert response.status == 200, response.status
        self.versions.append(KeyVersion(accounts, sent_at, time.monotonic()))

    async def _change_keys(self, end: float) -> None:
        """Adds a key in each version, which shows it, and changes another key."""
        generator = self.generator
        while time.monotonic() < end:
            keys = sorted(self.accounts)
            key, kind = generator.choice(keys), generator.choice(KEY_CHANGES)
            if len(keys) > MAX_KEYS:
                kind = "withdraw"
            if kind == "withdraw":
                del self.accounts[key]
                self.withdrawn.append(key)
            elif kind == "move":
                self.accounts[key] = next(
                    account for account in ACCOUNTS if account != self.accounts[key]
                )
            self.accounts[f"key-{len(self.versions)}"] = generator.choice(ACCOUNTS)
            self._log_step(f"{kind} {key}, add key-{len(self.versions)}")
            await self._put_configuration()
            await asyncio.sleep(generator.uniform(0.4, 1.6))

    # Entries

    async def _disturb_entries(self, end: float) -> None:
        generator = self.generator
        while time.monotonic() < end:
            name = generator.choice(sorted(self.deployment.entries))
            if generator.random() < PREFERRED_SHARE:
                name = self._find_preferred_entry() or name
            entry = self.deployment.entries[name]
            kind = generator.choice(["pause", "pause", "stutter", "kill"])
            seconds = generator.uniform(0.3, 3.0)
            self._log_step(f"{kind} {name} {seconds:.2f}")
            if not entry.is_running:
                continue
            if kind == "kill":
                await asyncio.to_thread(entry.kill)
                await asyncio.to_thread(self._start_entry, name)
            elif kind == "pause":
                await self._pause(entry, seconds)
            else:
                for _ in range(6):
                    await self._pause(entry, 0.3)
                    await asyncio.sleep(0.05)

    def _find_preferred_entry(self) -> str:
        """Returns the entry that the others ask first about the jobs.

        Only the choice of the entry to disturb depends on it, not the checks.
        """
        names: dict[ProcessName, str] = {}
        for name, entry in self.deployment.entries.items():
            starts = entry.read_events("process.start") if entry.is_running else []
            if starts:
                names[ProcessName(starts[-1]["name"])] = name
        part = compute_rendezvous_score("jobs", ACCOUNTS[0]) % MAX_JOB_PARTITIONS
        domains = {
            process: f"bench-{'abc'[int(name[-2:]) % 3]}"
            for process, name in names.items()
        }
        chosen = assign_partition(part, sorted(names), domains.__getitem__, 1)
        return names[chosen[0]] if chosen else ""

    async def _pause(self, entry: Any, seconds: float) -> None:
        if not entry.is_running:
            return
        entry.pause()
        try:
            await asyncio.sleep(seconds)
        finally:
            if entry.is_running:
                entry.resume()

    def _log_step(self, text: str) -> None:
        self.steps.append(f"{time.monotonic() - self.started_at:6.2f} {text}")

    # Clients

    async def _submit_job(self, account: str) -> None:
        item = {
            "id": f"item-{account}",
            "path": "/lot/1",
            "headers": {"Model": "llm", "Token-Counts": "4,4"},
            "body": "aGVsbG8=",
            "tokens": 8,
            "group": "g",
        }
        body = json.dumps(
            {"step": 1, "model": "llm", "desiredCount": 1, "items": [item]}
        ).encode()
        headers = [("Request-Id", f"job-{account}")]
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            name = self.generator.choice(sorted(self.client_addresses))
            status = await self._send(
                name, "POST", "/lot/", f"key-{account}", headers, body
            )
            if status == 202:
                return
            await asyncio.sleep(0.2)
        raise AssertionError(f"the job of account {account} was not accepted")

    async def _send_requests(self, end: float, number: int) -> None:
        generator = random.Random(f"{self.generator.random()} {number}")
        while time.monotonic() < end:
            keys = [*sorted(self.accounts), *self.withdrawn[-2:]]
            await self._observe(
                generator.choice(sorted(self.client_addresses)),
                # The keys that were added last tell the versions apart.
                generator.choice(keys[-4:] + keys),
                generator.choice(("", *ACCOUNTS)),
                is_held=generator.random() < 0.3,
            )
            await asyncio.sleep(generator.uniform(0.0, 0.05))

    async def _follow_changes(self, end: float) -> None:
        """Reads the jobs with changed keys through entries that have shown a change."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                count = len(self.versions)
                while len(self.versions) == count and time.monotonic() < end:
                    await asyncio.sleep(0.01)
                if len(self.versions) > count:
                    for name in self.client_addresses:
                        group.create_task(self._follow_change(name))

    async def _follow_change(self, name: str) -> None:
        previous, current = (version.accounts for version in self.versions[-2:])
        added = sorted(set(current) - set(previous))[0]
        changed = {key for key, _ in set(current.items()) ^ set(previous.items())}
        for _ in range(10):
            if await self._observe(name, added, "") == 200:
                break
            await asyncio.sleep(0.03)
        await asyncio.sleep(REGRESSION_LIMIT + 0.02)
        await asyncio.gather(
            *(
                self._observe(name, key, account, is_held=True)
                for key in changed
                for account in ACCOUNTS
            )
        )

    async def _observe(
        self, name: str, key: str, account: str, *, is_held: bool = False
    ) -> int:
        """Sends a call, or a read of an account's job, and records the response.

        Returns:
            The status, or 0 if there was no response.
        """
        self.request_count += 1
        method, target, body = "GET", f"/-/lots/job-{account}", None
        headers: list[tuple[str, str]] = []
        if not account:
            method, target, body = "POST", "/look/1", b"{}"
            headers = [("Request-Id", f"call-{self.request_count}")]
        elif is_held:
            target += "?after=1"
            headers = [("Wait-Ms", "500")]
        start_count = self.start_counts[name]
        sent_at = time.monotonic()
        status = await self._send(name, method, target, key, headers, body)
        if status and self.start_counts[name] == start_count:
            self.observations.append(
                KeyObservation(
                    f"{name} start {start_count}",
                    key,
                    account,
                    status,
                    sent_at,
                    time.monotonic(),
                )
            )
        return status

    async def _send(
        self,
        name: str,
        method: str,
        target: str,
        key: str,
        headers: list[tuple[str, str]],
        body: bytes | None = None,
    ) -> int:
        """Returns the status of a request, or 0 if it got no response."""
        common = [("Host", HOST), ("Credential", key), ("Deadline-Ms", "3000")]
        request = HTTPRequest(method, target, [*common, *headers], body)
        with contextlib.suppress(TimeoutError, BuckthornstileError):
            async with asyncio.timeout(REQUEST_TIMEOUT):
                response = await self.pool.send(self.client_addresses[name], request)
                return response.status
        return 0


def make_configuration(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration with a route of batch jobs and one of plain calls."""
    common = {"hostname": HOST, "timeoutMs": 2000, "targetLatencyMs": 300}
    rollout = {
        "name": "lots",
        "pathPrefix": "/lot/",
        "kind": "rollout",
        "service": "lm",
        "maxAttempts": 3,
        "resultDeadlineMs": 7500,
        "retentionS": 60,
    }
    plain = {
        "name": "look",
        "pathPrefix": "/look/",
        "kind": "safe",
        "service": "desk",
        "maxAttempts": 3,
    }
    return {
        "version": version,
        "routes": [common | rollout, common | plain],
        "services": [
            {
                "name": "lm",
                "maxConnections": 200,
                "engine": {"models": [{"name": "llm"}]},
            },
            {"name": "desk", "maxConnections": 200},
        ],
        "tenants": tenants,
    }


def find_address(deployment: Deployment) -> str:
    """Returns an unused loopback address with a free port."""
    address = deployment.allocate_address()
    with socket.socket() as probe:
        probe.bind((address, 0))
        return f"{address}:{probe.getsockname()[1]}"


def run_key_changes(seed: int) -> SoakResult:
    """Runs a seed on a new deployment and stops all its processes."""
    started_at = time.monotonic()
    result = SoakResult(seed)
    with Deployment() as deployment:
        run = KeyChangeRun(deployment, seed)
        result.problems = asyncio.run(run.run())
        result.steps = run.steps
    for observation in run.observations:
        status = str(observation.status)
        result.calls[status] = result.calls.get(status, 0) + 1
    result.seconds = time.monotonic() - started_at
    return result
