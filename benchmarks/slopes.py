"""Measures the slopes that the capacity page is worked out from.

Run it with ``make bench-slopes``: one real entry before fake agents, one real agent
behind fake entries, the real code for memory and for parsing, and the real path. It
prints one table and writes ``results/slopes.json``.
"""

import argparse
import asyncio
import json
import os
import statistics
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from benchmarks import fold as fold_costs
from benchmarks.peers import FakePeers, read_cpu_seconds
from benchmarks.redirect import measure_redirect
from benchmarks.sizes import measure_sizes
from buckthornstile.control import ControlFold
from buckthornstile.records import Account, encode_record
from standins.deployment import Deployment
from standins.launch import BenchProcess

PEERS = (20, 80, 160)
WINDOW_SECONDS = 4.0
SETTLE_SECONDS = 2.0
REPEATS = 2
CHANGES = 5
LOG_RECORDS_PER_SECOND = 100
LISTED_VMS = 920
LEASE_SECONDS = 9.0
RESULTS = Path(__file__).parent.parent / "results" / "slopes.json"

Samples = dict[str, list[float]]


async def measure_windows(
    process: BenchProcess, peers: FakePeers, repeats: int
) -> list[dict[str, float]]:
    """Measures one process while it exchanges heartbeats, some times over."""
    await asyncio.sleep(SETTLE_SECONDS)
    windows = []
    for _ in range(repeats):
        before = peers.read(process.process.pid)
        started = time.monotonic()
        await asyncio.sleep(WINDOW_SECONDS)
        seconds = time.monotonic() - started
        after = peers.read(process.process.pid)
        windows.append(
            {
                "peers": len(peers.peers),
                "cpu_share": (after.cpu_seconds - before.cpu_seconds) / seconds,
                "memory_bytes": after.memory_bytes,
                "received": (after.received_bytes - before.received_bytes) / seconds,
                "sent": (after.sent_bytes - before.sent_bytes) / seconds,
            }
        )
    return windows


async def measure_entry(count: int, repeats: int) -> tuple[list, list[float]]:
    """Measures an entry before fake agents, and changes of configuration."""
    with Deployment(daemon_settings={"entry": {"vm_list_interval": 60}}) as deployment:
        peers = FakePeers(deployment.secret)
        for vm in peers.listen(count):
            deployment.platform.call("PUT", f"/control/vms/{vm['process']}", vm)
        entry = await asyncio.to_thread(deployment.add_entry, "e1", "domain-0")
        await peers.wait_connected()
        peers.start_beating()
        windows = await measure_windows(entry, peers, repeats)
        delays = []
        for number in range(CHANGES):
            item = Account(name=f"account-{number}")
            started = time.monotonic()
            revision = await asyncio.to_thread(deployment.change, item)
            await peers.wait_revision(revision)
            delays.append(time.monotonic() - started)
        peers.stop()
    return windows, delays


async def measure_agent(count: int, repeats: int) -> list:
    """Measures an agent behind fake entries."""
    with Deployment() as deployment:
        await asyncio.to_thread(deployment.add_service, "s1", "domain-0", "desk")
        agent = deployment.agents["s1"]
        peers = FakePeers(deployment.secret)
        await peers.dial(count, agent.address, agent.port)
        peers.start_beating()
        windows = await measure_windows(agent, peers, repeats)
        peers.stop()
    return windows


async def measure_log_reading(repeats: int) -> Samples:
    """Measures what an entry spends on reading other entries' usage batches."""
    samples: Samples = {}
    fold = ControlFold()
    with Deployment() as deployment:
        entry = await asyncio.to_thread(deployment.add_entry, "e1", "domain-0")
        pid = entry.process.pid
        await asyncio.sleep(SETTLE_SECONDS)
        for repeat in range(repeats):
            before = read_cpu_seconds(pid)
            await asyncio.sleep(WINDOW_SECONDS / 2)
            idle = (read_cpu_seconds(pid) - before) / (WINDOW_SECONDS / 2)
            count = int(LOG_RECORDS_PER_SECOND * WINDOW_SECONDS)
            started = time.monotonic()
            before = read_cpu_seconds(pid)
            for index in range(count):
                record = fold_costs.make_batch(fold, index + repeat * count)
                await asyncio.to_thread(_append, deployment, encode_record(record))
                late = started + (index + 1) / LOG_RECORDS_PER_SECOND - time.monotonic()
                await asyncio.sleep(max(0.0, late))
            seconds = time.monotonic() - started
            spent = read_cpu_seconds(pid) - before - idle * seconds
            samples.setdefault("log_read_us_per_record", []).append(spent / count * 1e6)
        page = deployment.platform.call("GET", "/log?first=100&limit=100&wait=0")
        size = len(json.dumps(page).encode()) / len(page["entries"])
        samples["log_read_bytes_per_batch"] = [size]
    return samples


async def measure_idle(process: BenchProcess, repeats: int) -> list[float]:
    """Measures the share of a core that a process takes without load."""
    shares = []
    for _ in range(repeats):
        before = read_cpu_seconds(process.process.pid)
        started = time.monotonic()
        await asyncio.sleep(WINDOW_SECONDS)
        spent = read_cpu_seconds(process.process.pid) - before
        shares.append(spent / (time.monotonic() - started))
    return shares


async def measure_idle_entries(repeats: int) -> Samples:
    """Measures the lease's holder, another entry, and both with a long VM list."""
    with Deployment() as deployment:
        entries = [
            await asyncio.to_thread(deployment.add_entry, name, "domain-0")
            for name in ("e1", "e2")
        ]
        await asyncio.sleep(LEASE_SECONDS)
        shares = await asyncio.gather(*[measure_idle(e, repeats) for e in entries])
        holder, other = sorted(shares, key=statistics.median, reverse=True)
        for number in range(LISTED_VMS):
            vm = {"role": "entry", "failure_domain": "domain-0", "state": "live"}
            vm |= {"address": "127.0.0.1", "port": 7401}
            deployment.platform.call("PUT", f"/control/vms/entry-{number}", vm)
        await asyncio.sleep(SETTLE_SECONDS)
        shares = await asyncio.gather(*[measure_idle(e, repeats) for e in entries])
    return {
        "holder_idle_core_share": holder,
        "entry_idle_core_share": other,
        "entry_core_share_with_920_listed": min(shares, key=statistics.median),
    }


def _append(deployment: Deployment, data: bytes) -> None:
    deployment.platform.call("POST", "/log", json.loads(data))


def fit_slope(windows: Iterable[dict[str, float]], name: str) -> tuple[float, float]:
    """Fits a straight line over the peers.

    Returns:
        The slope for each peer, and the value without peers.
    """
    points = [(window["peers"], window[name]) for window in windows]
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return slope, intercept


def summarize_peers(role: str, windows: list[dict[str, float]]) -> Samples:
    """Works out a role's slopes, one for each repeat, so that a spread shows."""
    samples: Samples = {}
    repeats = len(windows) // len(PEERS)
    for repeat in range(repeats):
        chosen = windows[repeat::repeats]
        cpu, base = fit_slope(chosen, "cpu_share")
        memory, base_memory = fit_slope(chosen, "memory_bytes")
        values = {
            "cpu_us_per_peer_second": cpu * 1e6,
            "base_core_share": base,
            "memory_kb_per_peer": memory / 1024,
            "base_memory_mb": base_memory / 2**20,
            "received_bytes_per_peer_second": fit_slope(chosen, "received")[0],
            "sent_bytes_per_peer_second": fit_slope(chosen, "sent")[0],
        }
        for name, value in values.items():
            samples.setdefault(f"{role}_{name}", []).append(value)
    return samples


async def measure_peers(repeats: int) -> Samples:
    """Measures both roles at several counts of peers."""
    entry_windows: list[dict[str, float]] = []
    agent_windows: list[dict[str, float]] = []
    samples: Samples = {}
    for count in PEERS:
        windows, delays = await measure_entry(count, repeats)
        entry_windows += windows
        samples[f"change_in_force_on_{count}_agents_s"] = delays
        agent_windows += await measure_agent(count, repeats)
    samples |= summarize_peers("entry", entry_windows)
    return samples | summarize_peers("agent", agent_windows)


def print_table(samples: Samples) -> None:
    """Prints each figure's median and spread."""
    print(f"{'figure':44}{'median':>12}{'least':>12}{'greatest':>12}{'runs':>6}")
    for name, values in samples.items():
        median = statistics.median(values)
        print(
            f"{name:44}{median:12.4g}{min(values):12.4g}{max(values):12.4g}"
            f"{len(values):6}"
        )


PARTS: dict[str, Callable[[int], Samples]] = {
    "sizes": measure_sizes,
    "peers": lambda repeats: asyncio.run(measure_peers(repeats)),
    "idle": lambda repeats: asyncio.run(measure_idle_entries(repeats)),
    "log": lambda repeats: asyncio.run(measure_log_reading(repeats)),
    "path": measure_redirect,
}


def write_results(samples: Samples) -> None:
    """Writes what has been measured so far."""
    RESULTS.parent.mkdir(exist_ok=True)
    value = {"load_average": os.getloadavg(), "figures": samples}
    RESULTS.write_text(json.dumps(value, indent=1))


def main() -> None:
    """Measures, prints and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--only", choices=[*PARTS, "all"], default="all")
    options = parser.parse_args()
    samples: Samples = {}
    for name, part in PARTS.items():
        if options.only in (name, "all"):
            samples |= part(options.repeats)
            # Written after each part, so that a run that is cut leaves the others.
            write_results(samples)
    print_table(samples)
    print("load average", *os.getloadavg())
    if options.only == "all":
        fold_costs.main()


if __name__ == "__main__":
    main()
