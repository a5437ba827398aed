"""Runs a small deployment, checks its guarantees and prints a report.

Run it with ``make demo``. It starts stand-ins of the store and of four workers, and two
entries, in two failure domains. It runs commands as an operator, and sends requests as
callers and a trainer do. The last line is JSON, whose fields are computed from the
responses and from the stand-ins' journals. The exit status is zero only if there are no
problems.
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
    count_key_leaks,
    count_label_errors,
    count_order_runs,
    find_withdrawal_time,
)
from standins.deployment import Deployment
from standins.process import ManagedProcess

SHEET = Path(__file__).with_name("sheet.csv")
FAILURE_DOMAINS = ("bench-a", "bench-b")
GROUP_COUNT, SAMPLES_PER_GROUP = 8, 8
SAMPLE_TOKENS = 120
MAXIMUM_AGE = 0  # versions
UPDATE_AFTER_SAMPLES = 16  # samples before the trainer names the new version
OLD_VERSION, NEW_VERSION = 1, 2
TOKEN_SECONDS = 0.005  # seconds that an engine takes for a token
CALLER_INTERVAL = 0.02  # seconds
PROBE_INTERVAL = 0.02  # seconds
REQUIRED_REFUSALS = 10  # in a row, until a key counts as refused
UPDATE_POLL_INTERVAL = 0.1  # seconds
LOT_TIMEOUT = 40.0  # seconds
STEP_TIMEOUT = 20.0  # seconds
STOP_GRACE_SECONDS = 8.0  # seconds
WITHDRAWN_KEY = "mill-7-counter"
KEY_WITHDRAWAL_LIMIT = 5.0  # seconds


class Demo:
    """One run of the demo.

    Args:
        deployment: The deployment, of which only the store is started.
        report: The report that receives progress and results.
    """

    def __init__(self, deployment: Deployment, report: Report) -> None:
        self.deployment = deployment
        self.report = report
        self.statistics = CallStatistics()
        self.keys: dict[str, str] = {}
        self.withdrawn_key = ""

    async def run(self) -> None:
        """Runs all steps after the processes have started."""
        await self.apply_sheet()
        balancer = ReadinessBalancer(self.deployment.entry_urls)
        balancing = asyncio.create_task(balancer.run())
        callers = CallerPool(
            balancer, self.keys, self.statistics, interval=CALLER_INTERVAL
        )
        callers.start()
        try:
            await self.run_lot()
            await self.withdraw_key()
            await self.stop_entry()
            await callers.stop()
        except BaseException:
            # Requests to the stand-ins block; they fail when the stand-ins are killed.
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
        for number, domain in enumerate(FAILURE_DOMAINS, 1):
            deployment.add_engine(
                f"model-{number}", domain, "geometry-models", **engine
            )
            deployment.add_worker(f"desk-{number}", domain, "shop-desk")
            deployment.add_entry(f"entry-{number}", domain)
        self.report.print_progress(
            f"{len(deployment.entries)} entries and {len(deployment.workers) + 1} "
            f"stand-ins run in {len(FAILURE_DOMAINS)} failure domains"
        )

    async def apply_sheet(self) -> None:
        """Applies the sheet and adds a key, which is withdrawn later."""
        applied = await self._command("config", "apply", str(SHEET))
        keys = applied["keys"]
        self.keys = {
            "mill-7": keys["mill-7-clerks"],
            "tooth-geometry": keys["geometry-trainers"],
        }
        added = await self._command("keys", "add", "mill-7", f"--name={WITHDRAWN_KEY}")
        self.withdrawn_key = added["keys"][WITHDRAWN_KEY]
        behind = [*applied["in_force"]["behind"], *added["in_force"]["behind"]]
        self.report.check_equal("processes_behind", len(behind), 0)
        self.report.print_progress(
            f"{SHEET.name} is in effect as revision {applied['revision']}"
        )

    async def run_lot(self) -> None:
        """Runs a lot during which the trainer names a new weight version."""
        group = {"samples": SAMPLES_PER_GROUP, "max_tokens": SAMPLE_TOKENS}
        lot = LotSpecification(
            lot="step-1",
            trainer="geometry",
            groups=tuple(
                GroupSpecification(prompt=f"set tooth pitch {number}", **group)
                for number in range(GROUP_COUNT)
            ),
            version=OLD_VERSION,
            maximum_age=MAXIMUM_AGE,
            timeout=LOT_TIMEOUT,
        )
        trainer = TrainerClient(
            self.deployment.entry_urls, self.keys["tooth-geometry"], "geometry"
        )
        statistics = LotStatistics()
        version = OLD_VERSION
        update: asyncio.Task[None] | None = None
        async with contextlib.aclosing(trainer.run_lot(lot)) as samples:
            async for sample in samples:
                statistics.record_sample(sample, version)
                if update is None and len(statistics.samples) >= UPDATE_AFTER_SAMPLES:
                    version = NEW_VERSION
                    await trainer.set_version(version)
                    self.report.print_progress(f"the trainer is at version {version}")
                    update = asyncio.create_task(self.wait_for_weight_update())
        if update is not None:
            await update
        await trainer.close()
        self.report.record("trainer_idle_s", round(trainer.idle_seconds, 3))
        self._check_lot(lot, statistics, trainer)

    def _check_lot(
        self, lot: LotSpecification, statistics: LotStatistics, trainer: TrainerClient
    ) -> None:
        report = self.report
        deliveries = statistics.count_slots()
        repeated = sum(deliveries.values()) - len(deliveries)
        journals = [e.read_journal("run") for e in self._list_engines()]
        report.record("samples_wanted", lot.slot_count)
        report.check_equal("samples_delivered", len(deliveries), lot.slot_count)
        report.check_equal("samples_doubled", repeated + trainer.duplicate_count, 0)
        errors = count_label_errors(statistics.samples, lot, journals)
        report.check_equal("label_errors", errors, 0)
        report.check_equal("samples_too_old", statistics.count_stale(MAXIMUM_AGE), 0)
        versions = sorted({s.newest_version for s in statistics.samples})
        report.check_equal("sample_versions", versions, [OLD_VERSION, NEW_VERSION])
        report.print_progress(
            f"{len(deliveries)} samples of versions {versions} arrived"
        )

    async def wait_for_weight_update(self) -> None:
        """Waits until every engine has loaded the version that the trainer named."""
        started = time.monotonic()
        async with asyncio.timeout(STEP_TIMEOUT):
            while await asyncio.to_thread(self._count_old_engines):
                await asyncio.sleep(UPDATE_POLL_INTERVAL)
        self.report.record("swap_s", round(time.monotonic() - started, 3))
        self.report.print_progress(
            "every engine has loaded it, as the lease holder ordered"
        )

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
        """Withdraws a key and measures the time until every entry refuses it."""
        probes = [
            asyncio.create_task(wait_until_key_refused(url, self.withdrawn_key))
            for url in self.deployment.entry_urls
        ]
        await asyncio.sleep(0.5)
        result = await self._command("keys", "withdraw", WITHDRAWN_KEY)
        refused_at = await asyncio.gather(*probes)
        withdrawn_at = await asyncio.to_thread(
            find_withdrawal_time, self.deployment, WITHDRAWN_KEY
        )
        seconds = round(max(refused_at) - withdrawn_at, 3)
        self.report.check_at_most("key_refused_after_s", seconds, KEY_WITHDRAWAL_LIMIT)
        behind = len(result["in_force"]["behind"])
        self.report.check_equal("processes_behind_withdrawal", behind, 0)
        self.report.print_progress(
            f"the withdrawn key was refused everywhere after {seconds} s"
        )

    async def stop_entry(self) -> None:
        """Stops an entry with open calls, as in a planned replacement."""
        name = next(iter(self.deployment.entries))
        entry = self.deployment.entries[name]
        status: dict[str, Any] = {"open_calls": 0}
        async with asyncio.timeout(STEP_TIMEOUT):
            while status["open_calls"] < 2:
                status = await asyncio.to_thread(
                    entry.request_json, "GET", "/v1/status"
                )
        self.report.print_progress(
            f"{name} is asked to stop with {status['open_calls']} calls open"
        )
        self.report.record("open_calls_at_stop", status["open_calls"])
        started = time.monotonic()
        exit_status = await asyncio.to_thread(entry.stop, timeout=STEP_TIMEOUT)
        self.report.record("stop_s", round(time.monotonic() - started, 3))
        self.report.check_equal("stop_exit_status", exit_status, 0)

    # Checks

    def check_calls(self) -> None:
        """Compares the callers' statistics with the stand-ins' journals."""
        report, statistics = self.report, self.statistics
        report.record("calls", statistics.total)
        for kind in ("idempotent", "non_idempotent", "streamed", "open_route"):
            report.check_positive(f"{kind}_calls", statistics.completed[kind])
        report.check_equal("calls_refused", statistics.refused.total(), 0)
        report.check_equal("cut_requests", statistics.interrupted.total(), 0)
        report.check_equal("short_answers", statistics.wrong, 0)
        runs = count_order_runs(self.deployment)
        duplicate_runs = sum(count > 1 for count in runs.values())
        report.check_equal("orders_run_twice", duplicate_runs, 0)
        report.check_positive("orders_repeated", statistics.repeated_orders)
        false_refusals = statistics.false_refusals + len(
            statistics.refused_names & set(runs)
        )
        report.check_equal("false_refusals", false_refusals, 0)
        lost = len(statistics.answered_orders - set(runs))
        report.check_equal("orders_answered_but_not_run", lost, 0)
        keys = [*self.keys.values(), self.withdrawn_key]
        leaks = count_key_leaks(self.deployment, keys)
        report.check_equal("keys_seen_upstream", leaks, 0)
        for code, count in (statistics.refused + statistics.interrupted).items():
            report.print_progress(f"{count} calls failed with {code}")
        report.print_progress(
            f"{statistics.total} calls were sent, "
            f"{statistics.interrupted.total()} were interrupted"
        )

    def stop_entries(self) -> None:
        """Stops the entries while the store is still running."""
        statuses = self.deployment.stop_entries()
        self.report.check_equal("bad_exits", sum(status != 0 for status in statuses), 0)

    async def _command(self, *arguments: str) -> dict[str, Any]:
        flags = [
            f"--store_address={self.deployment.store.url.removeprefix('http://')}",
            f"--entries={','.join(self.deployment.entry_urls)}",
            "--operator=demo",
        ]
        return await run_command(*arguments, flags=flags)


async def wait_until_key_refused(url: str, key: str) -> float:
    """Calls an entry with a key until it refuses the key several times in a row.

    Args:
        url: URL of the entry.
        key: The key in clear text.

    Returns:
        The time of the first of these refusals, in seconds since the epoch.
    """
    client = CallerClient([url], key, policy=RetryPolicy(maximum_attempts=1))
    refused_at = 0.0
    refusals = 0
    async with asyncio.timeout(STEP_TIMEOUT):
        while refusals < REQUIRED_REFUSALS:
            try:
                await client.call("/v1/orders/lookup", b"{}")
            except BuckthornstileError as error:
                if not error.code.value.startswith("key."):
                    raise
                refused_at = refused_at if refusals else time.time()
                refusals += 1
            else:
                refusals = 0
            await asyncio.sleep(PROBE_INTERVAL)
    return refused_at


def run_demo(report: Report) -> None:
    """Runs the demo and stops all its processes.

    Args:
        report: The report that receives progress and results.
    """
    with Deployment(entry_settings={"stop_grace": STOP_GRACE_SECONDS}) as deployment:
        try:
            demo = Demo(deployment, report)
            demo.start_processes()
            asyncio.run(demo.run())
        except BaseException:
            # An interrupted demo does not need graceful stops, which may hang.
            kill_processes(deployment)
            raise
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)


def kill_processes(deployment: Deployment) -> None:
    """Kills all processes that are still running."""
    for process in deployment.process_manager.processes:
        if process.is_running:
            process.kill()


def main() -> int:
    """Runs the demo.

    Returns:
        The exit status.
    """
    report = Report()
    # A shell that starts the demo in the background makes it ignore SIGINT.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        run_demo(report)
    except (KeyboardInterrupt, asyncio.CancelledError):
        # asyncio.run raises the latter if the signal arrives while it starts.
        report.add_problem("interrupted")
    except Exception as error:  # noqa: BLE001 - the last line reports any failure
        report.add_problem(f"{type(error).__name__}: {error}")
    return report.print_summary()


if __name__ == "__main__":
    sys.exit(main())
