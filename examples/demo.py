"""Runs a whole small deployment, checks what it promises, and says so.

Run it with ``make demo``. It starts the stand-ins of the store and of four
workers and two entries in two failure domains, drives them as operators, callers and
a trainer do, and ends with one line of JSON; each field is measured from what these
and the stand-ins saw. The exit status is zero only if all is well.
"""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path
from typing import Any

from buckthornstile import (
    BuckthornstileError,
    CallerClient,
    GroupSpecification,
    LotSpecification,
    RetryPolicy,
    TrainerClient,
)
from examples._caller_pool import CallerPool, CallStatistics, ReadinessBalancer
from examples._commands import run_command
from examples._report import Report
from examples._verification import (
    LotStatistics,
    count_keys_seen,
    count_label_errors,
    count_order_runs,
    find_withdrawal,
)
from standins.deployment import Deployment
from standins.process import ManagedProcess

SHEET = Path(__file__).with_name("sheet.csv")
DOMAINS = ("bench-a", "bench-b")
GROUPS, GROUP_SAMPLES = 8, 8
SAMPLE_TOKENS = 120
MAXIMUM_AGE = 0
SWAP_AFTER_SAMPLES = 16
OLD_VERSION, NEW_VERSION = 1, 2
TOKEN_SECONDS = 0.005
CALLER_PAUSE = 0.02  # seconds
PROBE_PAUSE = 0.02  # seconds
PROBES_AFTER = 10
SWAP_POLL = 0.1  # seconds
LOT_TIMEOUT = 40.0  # seconds
STEP_TIMEOUT = 20.0  # seconds
STOP_GRACE = 8.0  # seconds
WITHDRAWN_KEY = "mill-7-counter"
KEY_LIMIT = 5.0  # seconds


class Demo:
    """One run of the demo.

    Args:
        deployment: The processes, not yet started but for the platform.
        report: Takes progress and results.
    """

    def __init__(self, deployment: Deployment, report: Report) -> None:
        self.deployment = deployment
        self.report = report
        self.tally = CallStatistics()
        self.keys: dict[str, str] = {}
        self.withdrawn_key = ""

    async def run(self) -> None:
        """Runs all steps but the start."""
        await self.apply_sheet()
        balancer = ReadinessBalancer(self.deployment.entry_urls)
        balancing = asyncio.create_task(balancer.run())
        callers = CallerPool(balancer, self.keys, self.tally, pause=CALLER_PAUSE)
        callers.start()
        try:
            await self.run_lot()
            await self.withdraw_key()
            await self.stop_entry()
            await callers.stop()
        except BaseException:
            # Blocking calls to stand-ins end with them.
            kill_processes(self.deployment)
            raise
        finally:
            callers.cancel()
            balancing.cancel()
        await asyncio.to_thread(self.check_calls)
        await asyncio.to_thread(self.stop_entries)

    # Steps

    def start_processes(self) -> None:
        """Starts workers and entries in two failure domains."""
        deployment = self.deployment
        engine = {"event_seconds": TOKEN_SECONDS, "version": OLD_VERSION}
        for number, domain in enumerate(DOMAINS, 1):
            deployment.add_engine(
                f"model-{number}", domain, "geometry-models", **engine
            )
            deployment.add_worker(f"desk-{number}", domain, "shop-desk")
            deployment.add_entry(f"entry-{number}", domain)
        self.report.say(
            f"{len(deployment.entries)} entries and {len(deployment.workers) + 1} "
            f"stand-ins run in {len(DOMAINS)} failure domains"
        )

    async def apply_sheet(self) -> None:
        """Applies the sheet, and makes one more key, to be withdrawn."""
        applied = await self._command("config", "apply", str(SHEET))
        keys = applied["keys"]
        self.keys = {
            "mill-7": keys["mill-7-clerks"],
            "tooth-geometry": keys["geometry-trainers"],
        }
        added = await self._command("keys", "add", "mill-7", f"--name={WITHDRAWN_KEY}")
        self.withdrawn_key = added["keys"][WITHDRAWN_KEY]
        behind = [*applied["in_force"]["behind"], *added["in_force"]["behind"]]
        self.report.check("processes_behind", len(behind), 0)
        self.report.say(f"{SHEET.name} is in force as revision {applied['revision']}")

    async def run_lot(self) -> None:
        """Runs a lot whose trainer names new weights in the middle of it."""
        group = {"samples": GROUP_SAMPLES, "max_tokens": SAMPLE_TOKENS}
        lot = LotSpecification(
            lot="step-1",
            trainer="geometry",
            groups=tuple(
                GroupSpecification(prompt=f"set tooth pitch {number}", **group)
                for number in range(GROUPS)
            ),
            version=OLD_VERSION,
            maximum_age=MAXIMUM_AGE,
            timeout=LOT_TIMEOUT,
        )
        trainer = TrainerClient(
            self.deployment.entry_urls, self.keys["tooth-geometry"], "geometry"
        )
        tally = LotStatistics()
        version = OLD_VERSION
        swap: asyncio.Task[None] | None = None
        async with contextlib.aclosing(trainer.run_lot(lot)) as samples:
            async for sample in samples:
                tally.add(sample, version)
                if swap is None and len(tally.samples) >= SWAP_AFTER_SAMPLES:
                    version = NEW_VERSION
                    await trainer.set_version(version)
                    self.report.say(f"the trainer is at version {version}")
                    swap = asyncio.create_task(self.watch_swap())
        if swap is not None:
            await swap
        await trainer.close()
        self.report.note("trainer_idle_s", round(trainer.idle_seconds, 3))
        self._check_lot(lot, tally, trainer)

    def _check_lot(
        self, lot: LotSpecification, tally: LotStatistics, trainer: TrainerClient
    ) -> None:
        report = self.report
        deliveries = tally.count_slots()
        repeated = sum(deliveries.values()) - len(deliveries)
        journals = [e.read_journal("run") for e in self._list_engines()]
        report.note("samples_wanted", lot.slot_count)
        report.check("samples_delivered", len(deliveries), lot.slot_count)
        report.check("samples_doubled", repeated + trainer.duplicate_count, 0)
        errors = count_label_errors(tally.samples, lot, journals)
        report.check("label_errors", errors, 0)
        report.check("samples_too_old", tally.count_too_old(MAXIMUM_AGE), 0)
        versions = sorted({s.newest_version for s in tally.samples})
        report.check("sample_versions", versions, [OLD_VERSION, NEW_VERSION])
        report.say(f"{len(deliveries)} samples of versions {versions} came")

    async def watch_swap(self) -> None:
        """Waits until every engine has loaded the version that was named."""
        started = time.monotonic()
        async with asyncio.timeout(STEP_TIMEOUT):
            while await asyncio.to_thread(self._count_old_engines):
                await asyncio.sleep(SWAP_POLL)
        self.report.note("swap_s", round(time.monotonic() - started, 3))
        self.report.say("every engine has loaded it, as the lease's holder ordered")

    def _count_old_engines(self) -> int:
        reports = [
            engine.request_json("GET", "/-/report") for engine in self._list_engines()
        ]
        return sum(
            model["version"] != NEW_VERSION
            for report in reports
            for model in report["models"]
        )

    def _list_engines(self) -> list[ManagedProcess]:
        workers = self.deployment.workers
        return [p for name, p in workers.items() if name.startswith("model-")]

    async def withdraw_key(self) -> None:
        """Withdraws a key, and measures when the last entry refuses it."""
        probes = [
            asyncio.create_task(probe_key(url, self.withdrawn_key))
            for url in self.deployment.entry_urls
        ]
        await asyncio.sleep(0.5)
        result = await self._command("keys", "withdraw", WITHDRAWN_KEY)
        refused_at = await asyncio.gather(*probes)
        withdrawn_at = await asyncio.to_thread(
            find_withdrawal, self.deployment, WITHDRAWN_KEY
        )
        seconds = round(max(refused_at) - withdrawn_at, 3)
        self.report.check_at_most("key_refused_after_s", seconds, KEY_LIMIT)
        behind = len(result["in_force"]["behind"])
        self.report.check("processes_behind_withdrawal", behind, 0)
        self.report.say(f"the withdrawn key was refused everywhere after {seconds} s")

    async def stop_entry(self) -> None:
        """Stops an entry that has calls open, as in a planned replacement."""
        name = next(iter(self.deployment.entries))
        entry = self.deployment.entries[name]
        status: dict[str, Any] = {"open_calls": 0}
        async with asyncio.timeout(STEP_TIMEOUT):
            while status["open_calls"] < 2:
                status = await asyncio.to_thread(
                    entry.request_json, "GET", "/v1/status"
                )
        self.report.say(
            f"{name} is asked to stop with {status['open_calls']} calls open"
        )
        self.report.note("open_calls_at_stop", status["open_calls"])
        started = time.monotonic()
        exit_status = await asyncio.to_thread(entry.stop, timeout=STEP_TIMEOUT)
        self.report.note("stop_s", round(time.monotonic() - started, 3))
        self.report.check("stop_exit_status", exit_status, 0)

    # Checks

    def check_calls(self) -> None:
        """Compares what the callers saw with the stand-ins' journals."""
        report, tally = self.report, self.tally
        report.note("calls", tally.total)
        for kind in ("idempotent", "non_idempotent", "streamed", "open_route"):
            report.check_positive(f"{kind}_calls", tally.whole[kind])
        report.check("calls_refused", tally.refused.total(), 0)
        report.check("cut_requests", tally.cut.total(), 0)
        report.check("short_answers", tally.short, 0)
        runs = count_order_runs(self.deployment)
        twice = sum(count > 1 for count in runs.values())
        report.check("orders_run_twice", twice, 0)
        report.check_positive("orders_repeated", tally.repeated_orders)
        untrue = tally.untrue_refusals + len(tally.refused_names & set(runs))
        report.check("untrue_refusals", untrue, 0)
        lost = len(tally.answered_orders - set(runs))
        report.check("orders_answered_but_not_run", lost, 0)
        keys = [*self.keys.values(), self.withdrawn_key]
        seen = count_keys_seen(self.deployment, keys)
        report.check("keys_seen_upstream", seen, 0)
        for code, count in (tally.refused + tally.cut).items():
            report.say(f"{count} calls ended with {code}")
        report.say(f"{tally.total} calls were made, {tally.cut.total()} were cut")

    def stop_entries(self) -> None:
        """Stops the entries while the store still stands."""
        statuses = self.deployment.stop_entries()
        self.report.check("bad_exits", sum(status != 0 for status in statuses), 0)

    async def _command(self, *words: str) -> dict[str, Any]:
        flags = [
            f"--store_address={self.deployment.store.url.removeprefix('http://')}",
            f"--entries={','.join(self.deployment.entry_urls)}",
            "--operator=demo",
        ]
        return await run_command(*words, flags=flags)


async def probe_key(url: str, key: str) -> float:
    """Calls an entry with a key until it has been refused many times in a row.

    Returns:
        When the first of these refusals came, in seconds since the epoch.
    """
    client = CallerClient([url], key, policy=RetryPolicy(maximum_attempts=1))
    refused_at = 0.0
    refusals = 0
    async with asyncio.timeout(STEP_TIMEOUT):
        while refusals < PROBES_AFTER:
            try:
                await client.call("/v1/orders/lookup", b"{}")
            except BuckthornstileError as error:
                if not error.code.value.startswith("key."):
                    raise
                refused_at = refused_at if refusals else time.time()
                refusals += 1
            else:
                refusals = 0
            await asyncio.sleep(PROBE_PAUSE)
    return refused_at


def run_demo(report: Report) -> None:
    """Runs the demo; every process has ended when this returns.

    Args:
        report: Takes progress and results.
    """
    with Deployment(entry_settings={"stop_grace": STOP_GRACE}) as deployment:
        try:
            demo = Demo(deployment, report)
            demo.start_processes()
            asyncio.run(demo.run())
        except BaseException:
            # What is broken off has nothing to finish, and may hang.
            kill_processes(deployment)
            raise
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)


def kill_processes(deployment: Deployment) -> None:
    """Kills whatever still runs."""
    for process in deployment.process_manager.processes:
        if process.is_running:
            process.kill()


def main() -> int:
    """Runs the demo.

    Returns:
        The exit status.
    """
    report = Report()
    # A shell that starts the demo in the background has it ignore SIGINT.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        run_demo(report)
    except KeyboardInterrupt:
        report.fail("interrupted")
    except Exception as error:  # noqa: BLE001 - the last line tells of any failure
        report.fail(f"{type(error).__name__}: {error}")
    return report.finish()


if __name__ == "__main__":
    sys.exit(main())
