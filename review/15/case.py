"""An entry forwards a request with a new key to one that was frozen for a second."""

import asyncio
import base64
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness3"))

from deployment import BOUNDS, ROOT, CannotRun, request, run_case  # noqa: E402

ENTRIES = 13  # from 13 on, only six of them read the batch jobs of a tenant
TENANT = "mill"
FROZEN_SECONDS = 1.35
JOB = "7c41e09b52d6a3f8"
HOST = {"Host": "mill.example"}


def make_configuration(version, keys):
    """Returns a configuration whose only tenant has these keys."""
    return {
        "version": version,
        "services": [
            {"name": "lm", "healthPath": "/healthz", "maxConnections": 200,
             "engine": {"models": [{"name": "m0"}]}},
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 200},
        ],
        "routes": [
            {"name": "r-lot", "hostname": "mill.example", "pathPrefix": "/lot/",
             "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400,
             "priority": 1, "service": "lm", "maxAttempts": 3, "streaming": True,
             "resumable": True, "resultDeadlineMs": 7500, "retentionS": 40},
            {"name": "r-look", "hostname": "mill.example", "pathPrefix": "/look/",
             "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 200, "priority": 0,
             "service": "desk", "maxAttempts": 3},
        ],
        "tenants": [{"name": TENANT, "apiKeys": keys}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }  # fmt: skip


async def play(site, record, trouble):
    """Plays the case; returns the exit code."""
    await site.start_store()
    await site.append("keyed.op", "config", make_configuration(3, ["old-key"]))
    for number in range(4):
        address = site.take_address()
        zone, is_engine = "ab"[number % 2], number < 2
        service = "lm" if is_engine else "desk"
        flags = ("--models", "m0") if is_engine else ()
        await site.start_worker(f"i-{number}", address, service, zone, *flags)
    entries = await asyncio.gather(
        *(
            site.start_entry(f"front-{number:02d}", "abc"[number % 3])
            for number in range(ENTRIES)
        )
    )
    await asyncio.sleep(4)
    owners = find_owners(site, entries)
    frozen = owners[0]
    taker = next(entry for entry in entries if entry not in owners)
    record.say(f"{taker.name} forwards calls about the job to {frozen.name}")
    status = await call(record, taker, "POST", "/lot/", "old-key", make_job(), JOB)
    if status != 202:
        raise CannotRun(f"the job was answered {status}")
    await asyncio.sleep(2)
    if await call(record, taker, "GET", f"/-/lots/{JOB}?after=0", "old-key") != 200:
        raise CannotRun("the job cannot be read in calm")
    broken = 0
    for number in range(4):
        broken += await play_change(site, record, taker, frozen, number, trouble)
        await asyncio.sleep(4.5)
    record.say(f"{broken} of 4 times {taker.name} refused a key that it had accepted")
    return int(broken > 0)


async def play_change(site, record, taker, frozen, number, trouble):
    """Adds a key while an entry is frozen; returns whether another one regresses."""
    key = f"new-key-{number}"
    if trouble:
        frozen.process.send_signal(signal.SIGSTOP)
        record.add(frozen.name, "is frozen")
    thaw_at = time.monotonic() + FROZEN_SECONDS
    await asyncio.sleep(0.45)
    keys = ["old-key", *(f"new-key-{index}" for index in range(number + 1))]
    await site.append("keyed.op", "config", make_configuration(4 + number, keys))
    seen_at = None
    for attempt in range(10):
        status = await call(
            record, taker, "POST", "/look/1", key, b"{}", f"l{number}-{attempt}"
        )
        if status == 200:
            seen_at = time.monotonic()
            break
        await asyncio.sleep(0.02)
    if seen_at is None:
        raise CannotRun("the new key was not accepted in time")
    record.add("a worker has run a request with", key, "through", taker.name)
    await asyncio.sleep(BOUNDS["rollbackSlackMs"] / 1000 + 0.05)
    sent_at = time.monotonic()
    reading = asyncio.create_task(
        call(record, taker, "GET", f"/-/lots/{JOB}?after=0", key, wait=True)
    )
    await asyncio.sleep(max(0.0, thaw_at - time.monotonic()))
    frozen.process.send_signal(signal.SIGCONT)
    if trouble:
        record.add(frozen.name, "goes on")
    status = await reading
    record.say(
        f"{taker.name} answered {status} to {key}, "
        f"{(sent_at - seen_at) * 1000:.0f} ms after a worker saw the new version"
    )
    return status in (401, 403, 404)


def make_job():
    """Returns the body of a batch job with four items."""
    items = [
        {"id": f"e5b2907c14da6f3{index}", "path": f"/lot/{index}",
         "headers": {"Model": "m0", "Token-Counts": "64,16"},
         "body": base64.b64encode(b"set a tooth").decode(), "tokens": 80, "group": "g"}
        for index in range(4)
    ]  # fmt: skip
    return json.dumps(
        {"step": 1, "model": "m0", "minVersion": 0, "desiredCount": 1, "items": items}
    ).encode()


async def call(record, entry, method, target, key, body=b"", name="", wait=False):
    """Sends a call; returns its status or the name of the error."""
    headers = {**HOST, "Credential": key, "Deadline-Ms": "3000"}
    if name:
        headers["Request-Id"] = name
    if wait:
        headers["Wait-Ms"] = "1000"
    try:
        status, _, data = await request(
            entry.front, method, target, headers, body, timeout=4
        )
    except (OSError, EOFError, TimeoutError) as error:
        status, data = type(error).__name__, b""
    record.add(method, target, key, "at", entry.name, "answered", status, data[:60])
    return status


def find_owners(site, entries):
    """Returns the entries that read the tenant's jobs, the preferred one first.

    Only the choice of the entry to freeze depends on it, not the judgement.
    """
    sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT)]
    from buckthornstile.gateway._partition_assignment import (
        ASSIGNED_PER_PARTITION,
        assign_partition,
    )
    from buckthornstile.routing import compute_rendezvous_score

    by_name, zones = {}, {}
    for number, entry in enumerate(entries):
        for line in (site.folder / f"{entry.name}.log").read_text().splitlines():
            if line.startswith("{") and json.loads(line)["event"] == "process.start":
                name = json.loads(line)["name"]
                by_name[name], zones[name] = entry, "abc"[number % 3]
    part = compute_rendezvous_score("jobs", TENANT) % 4
    chosen = assign_partition(part, list(by_name), zones.get, ASSIGNED_PER_PARTITION)
    return [by_name[name] for name in chosen]


if __name__ == "__main__":
    # TROUBLE=0 plays the case without its disruption.
    run_case(play, FOLDER, trouble=os.environ.get("TROUBLE", "1") != "0")
