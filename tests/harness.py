"""A deployment under test, with callers and trainers that keep what they saw."""

import asyncio
import contextlib
import itertools
import json
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.client import (
    CallerClient,
    RetryPolicy,
    SessionPolicy,
    TrainerClient,
)
from buckthornstile.configuration import Drain, Rule
from buckthornstile.samples import GroupSpecification, LotSpecification
from standins.deployment import Deployment
from tests.invariants import CallRecord, Observations, SampleRecord, check_invariants

MODEL_SERVICE = "geometry-models"
MODEL_NAME = "llm"
PLAIN_SERVICE = "shop-desk"
PROPAGATION_LIMIT = 5.0  # after withdrawal, drain or notice: the users' bound
SETTLE_TIMEOUT = 20.0  # seconds for anything to settle on a busy machine
SESSION_POLICY = SessionPolicy(silence_timeout=3.0)


class DeploymentHarness(Deployment):
    """A small deployment with rules, one account and one key.

    Args:
        engines: Model engines, in failure domains ``bench-a``, ``bench-b``, ….
        services: Plain services, in the same failure domains.
        entries: Entries.
        engine_flags: Flags of the engines.
        service_flags: Flags of the plain services.
        entry_settings: Settings of the entries, besides the usual ones.
        store_flags: Flags of the store.
    """

    def __init__(
        self,
        *,
        engines: int = 0,
        services: int = 0,
        entries: int = 2,
        engine_flags: dict[str, Any] | None = None,
        service_flags: dict[str, Any] | None = None,
        entry_settings: dict[str, Any] | None = None,
        store_flags: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(entry_settings=entry_settings, store_flags=store_flags)
        self.counts = (engines, services, entries)
        self.flags = (engine_flags or {}, service_flags or {})
        self.observations = Observations()
        self.names = itertools.count()
        self.tasks: set[asyncio.Task[Any]] = set()

    def __enter__(self) -> "DeploymentHarness":
        super().__enter__()
        try:
            self._start_all()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def _start_all(self) -> None:
        engines, services, entries = self.counts
        domains = [f"bench-{letter}" for letter in "abc"]
        with ThreadPoolExecutor() as pool:
            started = [
                pool.submit(
                    self.add_engine,
                    f"engine-{n}",
                    domains[n],
                    MODEL_SERVICE,
                    model=MODEL_NAME,
                    **self.flags[0],
                )
                for n in range(engines)
            ]
            started += [
                pool.submit(
                    self.add_worker,
                    f"desk-{n}",
                    domains[n],
                    PLAIN_SERVICE,
                    **self.flags[1],
                )
                for n in range(services)
            ]
            started += [
                pool.submit(self.add_entry, f"entry-{n}", domains[n])
                for n in range(entries)
            ]
        for future in started:
            future.result()
        self.entries = dict(sorted(self.entries.items()))
        self.key, items = self.create_account("mill", weight=1.0)
        self.observations.keys.append(self.key)
        self.apply_change(*items, *make_rules())
        self.wait_until_ready()

    def __exit__(self, *exception: object) -> None:
        # Planned stops have tests of their own; here they would only take time.
        for process in self.process_manager.processes:
            if process.is_running:
                process.process.kill()
        super().__exit__(*exception)

    # Evidence

    def keep_journal(self, name: str) -> None:
        """Reads a worker's journal before it is lost."""
        self.observations.upstreams[name] = self.workers[name].read_journal()

    def kill_worker(self, name: str) -> None:
        """Kills a worker, and its journal with it."""
        self.observations.lost_journals.add(name)
        self.workers[name].kill()

    def collect(self) -> Observations:
        """Reads all journals that are left."""
        for name, process in self.workers.items():
            if process.is_running:
                self.keep_journal(name)
        self.observations.platform = self.store.read_journal()
        return self.observations

    def check(self) -> Observations:
        """Checks every promise that holds whatever the fault."""
        observations = self.collect()
        check_invariants(observations)
        return observations

    async def until(
        self,
        condition: Callable[[], bool],
        what: str,
        *,
        seconds: float = SETTLE_TIMEOUT,
    ) -> float:
        """Waits for a condition while callers go on."""
        return await asyncio.to_thread(self.wait_for, condition, what, seconds=seconds)

    def read_control(self, entry: str) -> dict[str, Any]:
        """Reads what an entry knows of the lease."""
        return self.read_status(entry)["control"]

    def find_holder(self, *, exclude: str = "") -> str:
        """Finds the entry that holds the lease, or an empty name."""
        for name, process in self.entries.items():
            is_asked = process.is_running and name != exclude
            if is_asked and self.read_control(name)["is_holder"]:
                return name
        return ""

    def count_runs(self) -> int:
        """Counts the runs in the running workers' journals."""
        running = [p for p in self.workers.values() if p.is_running]
        return sum(len(process.read_journal("run")) for process in running)

    def drain(self, failure_domain: str) -> None:
        """Drains a failure domain."""
        self.apply_change(Drain(name=failure_domain))

    async def run_command(self, *words: str) -> tuple[int, dict[str, Any]]:
        """Runs an operator's command, and gives exit code and JSON answer."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "buckthornstile",
            *words,
            f"--store_address={self.store.url.removeprefix('http://')}",
            "--json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, json.loads(output)

    async def follow_history(self) -> list[dict[str, Any]]:
        """Reads the accepted changes, and goes on from the last revision."""
        _, history = await self.run_command("config", "history")
        self._revision = history["changes"][-1]["revision"]
        return history["changes"]

    def find_append(self, text: str) -> float:
        """Finds when the store first took a configuration record with this text."""
        for entry in self.store.read_journal("append"):
            if entry["topic"] == "keyed.configuration" and text in entry["data"]:
                return entry["at"]
        raise LookupError(text)

    # Callers

    def make_caller(
        self, *, key: str = "", entries: list[str] | None = None, attempts: int = 6
    ) -> CallerClient:
        """Makes a caller's client."""
        policy = RetryPolicy(maximum_attempts=attempts)
        urls = entries or self.entry_urls
        return CallerClient(urls, key or self.key, policy=policy)

    async def order(
        self,
        caller: CallerClient,
        *,
        timeout: float = 30.0,
        padding: int = 0,
        account: str = "mill",
        path: str = "/orders",
    ) -> CallRecord:
        """Sends an order, which must not run twice."""
        name = f"order-{next(self.names)}"
        body = json.dumps({"name": name, "padding": "x" * padding}).encode()
        seen = CallRecord(account, "order", name, body)
        return await self._see(seen, caller.call(path, body, timeout=timeout))

    async def look_up(
        self, caller: CallerClient, *, timeout: float = 30.0
    ) -> CallRecord:
        """Sends a lookup, which may run twice."""
        name = f"lookup-{next(self.names)}"
        body = json.dumps({"name": name}).encode()
        seen = CallRecord("mill", "lookup", name, body)
        call = caller.call("/lookup", body, idempotent=True, timeout=timeout)
        return await self._see(seen, call)

    async def complete(
        self,
        caller: CallerClient,
        *,
        tokens: int = 50,
        stream: bool = False,
        timeout: float = 30.0,
    ) -> CallRecord:
        """Completes a prompt of its own, streamed or whole."""
        name = f"prompt {next(self.names)}"
        request = {"prompt": name, "max_tokens": tokens, "seed": 7, "stream": stream}
        body = json.dumps(request).encode()
        seen = CallRecord("mill", "completion", name, body)
        path = "/v1/completions"
        if stream:
            events = caller.stream(path, body, idempotent=True, timeout=timeout)
            return await self._see_stream(seen, events)
        call = caller.call(path, body, idempotent=True, timeout=timeout)
        return await self._see(seen, call)

    async def _see(self, seen: CallRecord, call: Awaitable[Any]) -> CallRecord:
        seen.began = time.time()
        self.observations.calls.append(seen)
        try:
            answer = await call
            seen.status, seen.answer = answer.status, answer.body
        except BuckthornstileError as error:
            seen.code, seen.verdict = error.code.value, error.verdict.value
        seen.ended = time.time()
        return seen

    async def _see_stream(
        self, seen: CallRecord, events: AsyncIterator[bytes]
    ) -> CallRecord:
        seen.began = time.time()
        self.observations.calls.append(seen)
        received: list[bytes] = []
        seen.answer = received
        try:
            async for data in events:
                received.append(data)
            seen.status = 200
        except BuckthornstileError as error:
            seen.code, seen.verdict = error.code.value, error.verdict.value
        seen.ended = time.time()
        return seen

    @contextlib.asynccontextmanager
    async def load(
        self, call: Callable[[], Awaitable[CallRecord]], *, clients: int = 4
    ) -> AsyncIterator[list[CallRecord]]:
        """Calls again and again while the block runs; gives what has ended."""
        ended: list[CallRecord] = []
        stopping = False

        async def loop() -> None:
            while not stopping:
                ended.append(await call())
                await asyncio.sleep(0.01)

        tasks = [asyncio.create_task(loop()) for _ in range(clients)]
        try:
            yield ended
        finally:
            stopping = True
            await asyncio.gather(*tasks)

    # Trainers

    def make_trainer(self, entries: list[str] | None = None) -> TrainerClient:
        """Makes a trainer's client."""
        urls = entries or self.entry_urls
        return TrainerClient(urls, self.key, "geometry", policy=SESSION_POLICY)

    async def run_lot(
        self,
        trainer: TrainerClient,
        specification: LotSpecification,
        *,
        get_version: Callable[[], int] = lambda: 1,
    ) -> list[SampleRecord]:
        """Runs a lot, and keeps each sample as it comes."""
        seen = []
        async for sample in trainer.run_lot(specification):
            group = specification.groups[sample.slot.group]
            labels = [(r.first, r.last, r.version) for r in sample.labels]
            one = SampleRecord(
                "mill",
                specification.lot,
                (sample.slot.group, sample.slot.index),
                group.prompt,
                group.max_tokens,
                sample.slot.index,
                sample.body,
                labels,
                get_version(),
                specification.maximum_age,
            )
            seen.append(one)
            self.observations.samples.append(one)
        await trainer.close()
        return seen


def make_rules() -> Iterator[Rule]:
    """Makes the rules that each test uses."""
    yield Rule(
        name="completions",
        path="/v1/completions",
        service=MODEL_SERVICE,
        idempotent=True,
        maximum_age=2,
    )
    yield Rule(name="orders", path="/orders", service=PLAIN_SERVICE, idempotent=False)
    yield Rule(
        name="private",
        path="/private",
        account="mill",
        service=PLAIN_SERVICE,
        idempotent=False,
    )
    yield Rule(name="lookup", path="/lookup", service=PLAIN_SERVICE, idempotent=True)


def make_lot(
    name: str, *, groups: int = 2, samples: int = 4, tokens: int = 100, **fields: Any
) -> LotSpecification:
    """Makes a lot, with a prompt for each group."""
    return LotSpecification(
        lot=name,
        trainer="geometry",
        groups=tuple(
            GroupSpecification(
                prompt=f"{name} group {number}", samples=samples, max_tokens=tokens
            )
            for number in range(groups)
        ),
        version=1,
        timeout=60.0,
        **fields,
    )
