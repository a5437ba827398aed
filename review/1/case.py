"""A group that is listed again after a change of version never gets its results."""

import asyncio

from review.harness import Case, Request, Worker, run_case
from review.harness._case import ZONES
from review.harness._trainer import (
    MODEL,
    PLAIN_ROUTE,
    PLAIN_SERVICE,
    ROLLOUT_ROUTE,
    STEP_SECONDS,
    Trainer,
    make_item,
    run_desk,
)

ENGINES = "geometry-models"
EVENT_SECONDS = 0.06
SHORT_EVENTS = 10
LONG_EVENTS = 60
STEP_INTERVAL = 4.0
"""Seconds between two steps of the trainer."""
UNSENT_SECONDS = 5.0
"""Seconds without a worker after which LOST counts an item."""
VERSION_QUIET_SECONDS = 6.0
LONG_ITEM = "long-item"

ROUTES = [{**ROLLOUT_ROUTE, "service": ENGINES, "singleVersion": True}, PLAIN_ROUTE]


async def run_engine(worker: Worker, request: Request) -> None:
    """Streams the events of an item."""
    count = LONG_EVENTS if request.id == LONG_ITEM else SHORT_EVENTS
    await worker.stream(
        request, count, EVENT_SECONDS, lambda number: f"{request.id}-{number}"
    )


def make_groups(step: int, numbers: range) -> list[dict[str, object]]:
    """Makes groups of four short items."""
    return [
        make_item(f"s{step}g{number}i{index}", f"s{step}g{number}", SHORT_EVENTS)
        for number in numbers
        for index in range(4)
    ]


async def play(case: Case) -> list[str]:
    """Plays two steps; the second lists a group of the first one again."""
    await case.start_store()
    await case.put_configuration(ROUTES, {ENGINES: (MODEL,)})
    engines = [
        await case.start_worker(
            f"e-{n}", ENGINES, ZONES[n], run_engine, models=(MODEL,)
        )
        for n in range(4)
    ]
    await case.start_worker("d-0", PLAIN_SERVICE, ZONES[0], run_desk, slots=6)
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
        lambda: all(engine.versions[MODEL] == 2 for engine in engines), "version 2"
    )

    carried = [make_item(LONG_ITEM, "carried", LONG_EVENTS)]
    carried += [
        make_item(f"carried{index}", "carried", SHORT_EVENTS) for index in range(3)
    ]
    first = make_groups(1, range(4))
    start = await trainer.submit("lot-1", 2, 1, 4, first + carried)
    results = await trainer.read(
        "lot-1",
        start + STEP_SECONDS,
        lambda results: all(item["id"] in results for item in first),
    )
    await trainer.end("lot-1")
    case.require(LONG_ITEM not in results, "a step with an unfinished item")
    await asyncio.sleep(1.0)
    if case.has_trouble:
        await case.name_version(MODEL, 3)
    named_at = case.now()
    await asyncio.sleep(max(0.0, start + STEP_INTERVAL - case.now()))
    # The step is asked at its time, when its version has been named and loaded.
    await asyncio.sleep(max(0.0, named_at + 3.5 - case.now()))
    versions = [engine.versions[MODEL] for engine in engines]
    record("versions_held", versions=versions)

    second = carried + make_groups(2, range(4))
    accepted_at = await trainer.submit("lot-2", 3, 2, 4, second)
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
