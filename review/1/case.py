"""A group that is listed again after a change of version never gets its results."""

import asyncio
import base64
import json

from review.harness import Case, Request, Worker, call, run_case
from review.harness._case import HOST, KEY, ZONES

MODEL = "daka510000"
ENGINES = "geometry-models"
DESK = "shop-desk"
EVENT_SECONDS = 0.06
SHORT_EVENTS = 10
LONG_EVENTS = 60
STEP_INTERVAL = 4.0
"""Seconds between two steps of the trainer."""
STEP_SECONDS = 12.0
"""Seconds after which the trainer gives a step up."""
UNSENT_SECONDS = 5.0
"""Seconds without a worker after which LOST counts an item."""
VERSION_QUIET_SECONDS = 6.0
LONG_ITEM = "long-item"

ROUTES = [
    {
        "name": "rip",
        "pathPrefix": "/pule252/",
        "kind": "rollout",
        "service": ENGINES,
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "maxAttempts": 3,
        "priority": 1,
        "streaming": True,
        "resumable": True,
        "stickySessions": True,
        "singleVersion": True,
        "resultDeadlineMs": 7500,
        "retentionS": 40,
    },
    {
        "name": "ledger",
        "pathPrefix": "/pufi791/",
        "kind": "safe",
        "service": DESK,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "maxAttempts": 3,
        "priority": 2,
        "allowAnonymous": True,
    },
]


async def run_engine(worker: Worker, request: Request) -> None:
    """Streams the events of an item."""
    count = LONG_EVENTS if request.id == LONG_ITEM else SHORT_EVENTS
    await worker.stream(
        request, count, EVENT_SECONDS, lambda number: f"{request.id}-{number}"
    )


async def run_desk(worker: Worker, request: Request) -> None:
    """Answers a reward call."""
    await asyncio.sleep(0.03)
    stamp = {"Server-Stamp": f"{worker.name}.{request.id}"}
    await worker.answer(request, 200, b"ok", stamp)


def make_item(name: str, group: str, tokens: int) -> dict[str, object]:
    """Makes an item as a trainer lists it."""
    return {
        "id": name,
        "path": f"/pule252/3/{name}",
        "headers": {
            "Model": MODEL,
            "Token-Counts": f"271,{tokens}",
            "Prompt-Prefix": f"{group}:255,{name}:16",
        },
        "body": base64.b64encode(name.encode()).decode(),
        "tokens": 271 + tokens,
        "group": group,
        "scorer": {
            "id": f"score-{name}",
            "hostname": HOST,
            "path": "/pufi791/5e07",
            "body": base64.b64encode(name.encode()).decode(),
        },
    }


def make_groups(step: int, numbers: range) -> list[dict[str, object]]:
    """Makes groups of four short items."""
    return [
        make_item(f"s{step}g{number}i{index}", f"s{step}g{number}", SHORT_EVENTS)
        for number in numbers
        for index in range(4)
    ]


class Trainer:
    """The trainer: submits batch jobs, reads their results and ends them."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.address = next(iter(case.addresses.values()))

    async def _call(self, method: str, target: str, job: str, body: bytes = b""):
        headers = {"Host": HOST, "Credential": KEY}
        if method == "POST":
            headers |= {"Request-Id": job, "Content-Type": "application/json"}
        if method == "GET":
            headers["Wait-Ms"] = "500"
        return await call(self.address, method, target, headers, body, timeout=2.5)

    async def submit(
        self, job: str, step: int, minimum: int, wanted: int, items: list
    ) -> float:
        """Submits a batch job and returns the time of its 202."""
        data = {
            "step": step,
            "model": MODEL,
            "minVersion": minimum,
            "desiredCount": wanted,
            "items": items,
        }
        while True:
            answer = await self._call(
                "POST", "/pule252/lot", job, json.dumps(data).encode()
            )
            self.case.record("submitted", job=job, status=answer.status)
            if answer.status == 202:
                return self.case.now()
            await asyncio.sleep(0.2)

    async def read(self, job: str, until: float, is_done) -> dict[str, dict]:
        """Reads results until a condition holds or the time is up."""
        results: dict[str, dict] = {}
        position = 0
        while self.case.now() < until and not is_done(results):
            answer = await self._call("GET", f"/-/lots/{job}?after={position}", job)
            if answer.status == 200:
                data = json.loads(answer.body)
                position = data["nextToken"]
                for result in data["results"]:
                    results[result["id"]] = result
                    self.case.record(
                        "result",
                        job=job,
                        item=result["id"],
                        state=result["state"],
                        versions=result.get("versions"),
                    )
            await asyncio.sleep(0.2)
        return results

    async def end(self, job: str) -> None:
        """Ends a batch job."""
        answer = await self._call("DELETE", f"/-/lots/{job}", job)
        self.case.record("ended", job=job, status=answer.status)


async def play(case: Case) -> list[str]:
    """Plays two steps; the second lists a group of the first one again."""
    await case.start_store()
    await case.put_configuration(ROUTES, {ENGINES: MODEL})
    engines = [
        await case.start_worker(f"e-{n}", ENGINES, ZONES[n], run_engine, model=MODEL)
        for n in range(4)
    ]
    await case.start_worker("d-0", DESK, ZONES[0], run_desk, slots=6)
    runs: list[tuple[float, str]] = []
    record = case.record

    def record_run(event: str, **fields: object) -> None:
        record(event, **fields)
        if event == "run":
            runs.append((case.now(), str(fields["request"])))

    for worker in case.workers.values():
        worker.record = record_run
    await case.start_entry("front-bench-a-1", "bench-a")
    await case.start_entry("front-bench-b-1", "bench-b")
    trainer = Trainer(case)
    await case.name_version(MODEL, 2)
    await case.wait_until(
        lambda: all(engine.version == 2 for engine in engines), "version 2"
    )

    carried = [make_item(LONG_ITEM, "carried", LONG_EVENTS)]
    carried += [
        make_item(f"carried{index}", "carried", SHORT_EVENTS) for index in range(3)
    ]
    first = make_groups(1, range(4))
    start = await trainer.submit("lot-1", 1, 1, 4, first + carried)
    await trainer.read(
        "lot-1",
        start + STEP_SECONDS,
        lambda results: all(item["id"] in results for item in first),
    )
    await trainer.end("lot-1")
    await asyncio.sleep(1.0)
    if case.has_trouble:
        await case.name_version(MODEL, 3)
    named_at = case.now()
    await asyncio.sleep(max(0.0, start + STEP_INTERVAL - case.now()))
    # The step is asked at its time, when its version has been named and loaded.
    await asyncio.sleep(max(0.0, named_at + 3.5 - case.now()))
    versions = [engine.version for engine in engines]
    record("versions_held", versions=versions)

    second = carried + make_groups(2, range(4))
    minimum = 2 if case.has_trouble else 1
    accepted_at = await trainer.submit("lot-2", 2, minimum, 4, second)
    results = await trainer.read(
        "lot-2",
        accepted_at + STEP_SECONDS,
        lambda results: len(results) == len(second),
    )
    out_of_time_at = case.now()
    missing = [item["id"] for item in second if item["id"] not in results]
    record("step_over", missing=missing)
    await trainer.end("lot-2")
    violations = []
    for item in missing:
        sent = [at for at, request in runs if request == item and at >= accepted_at]
        last = max(sent, default=accepted_at)
        quiet_from = max(last, named_at + VERSION_QUIET_SECONDS)
        if out_of_time_at - quiet_from >= UNSENT_SECONDS:
            violations.append(
                f"LOST: item {item} has no result after {STEP_SECONDS} s and was at no "
                f"worker for {out_of_time_at - last:.1f} s; other items of the step: "
                f"{len(results)} of {len(second) - len(missing)} complete"
            )
    return violations


if __name__ == "__main__":
    run_case(__file__, play)
