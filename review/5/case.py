"""Items that need the newest version wait for ever after one engine is lost."""

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
MODELS = (MODEL, "daka510001", "daka510002")
EVENTS = 20
EVENT_SECONDS = 0.06
ITEMS = 24
QUIET_SECONDS = 6.5
"""Seconds between the naming of the version and the step; LOST wants 6."""
LOST_AFTER = 0.9
"""Seconds after the 202 at which the engine is lost."""
EXPIRY_SECONDS = 3.6
"""Three heartbeat intervals of silence, after which the store removes an entry."""
CONTACT_SECONDS = 3.0
UNSENT_SECONDS = 5.0


async def run_engine(worker: Worker, request: Request) -> None:
    """Streams the events of an item."""
    await worker.stream(
        request, EVENTS, EVENT_SECONDS, lambda number: f"{request.id}-{number}"
    )


async def play(case: Case) -> list[str]:
    """Plays one step; the engine that holds its version is lost for good."""
    await case.start_store()
    await case.put_configuration(
        [{**ROLLOUT_ROUTE, "service": ENGINES}, PLAIN_ROUTE], {ENGINES: MODELS}
    )
    engines = [
        await case.start_worker(f"e-{n}", ENGINES, ZONES[n], run_engine, models=MODELS)
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
        lambda: any(engine.versions[MODEL] == 2 for engine in engines), "version 2"
    )
    await asyncio.sleep(QUIET_SECONDS)
    record("versions_held", versions=[engine.versions[MODEL] for engine in engines])

    items = [make_item(f"i{n}", f"g{n // 4}", EVENTS) for n in range(ITEMS)]
    accepted_at = await trainer.submit("lot-1", 2, 2, ITEMS // 4, items)

    async def lose_engine() -> None:
        await asyncio.sleep(LOST_AFTER)
        holders = [engine for engine in engines if engine.versions[MODEL] == 2]
        case.require(bool(holders), "an engine with the named version")
        if not case.has_trouble:
            return
        holders[0].stop()
        record("lost", worker=holders[0].name)
        await asyncio.sleep(EXPIRY_SECONDS)
        await case.append("keyed.servers", [(holders[0].name, b"")])
        record("expired", worker=holders[0].name)

    lose_task = asyncio.create_task(lose_engine())
    results = await trainer.read(
        "lot-1", accepted_at + STEP_SECONDS, lambda results: len(results) == ITEMS
    )
    over_at = case.now()
    await lose_task
    record("versions_held", versions=[engine.versions[MODEL] for engine in engines])
    begun = {request for _, request in runs}
    steady_from = accepted_at + LOST_AFTER + CONTACT_SECONDS
    missing = [str(item["id"]) for item in items if item["id"] not in results]
    unsent = []
    for item in missing:
        last = max((at for at, request in runs if request == item), default=0.0)
        if over_at - max(last, steady_from) >= UNSENT_SECONDS:
            unsent.append(item)
    record("step_over", missing=len(missing), unsent=len(unsent), begun=len(begun))
    if not unsent or not begun:
        return []
    return [
        f"LOST: {len(unsent)} of {ITEMS} items have no result after {STEP_SECONDS} s "
        f"and were at no worker for {UNSENT_SECONDS} s of steady state; "
        f"{sum(f'i{n}' in begun for n in range(ITEMS))} of the step had begun"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
