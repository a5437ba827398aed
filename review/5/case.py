"""Requests are sent to a worker that has said in its answers that it leaves."""

import asyncio
from collections import Counter

from review.harness import Answer, Case, Request, Worker, call, run_case
from review.harness._case import BOUNDS, HOST, KEY, ZONES

DESK = "shop-desk"
WORK_SECONDS = 0.3
INTERVAL = 0.05
WARM_UP_SECONDS = 2.0
OUTAGE_SECONDS = 4.4
LEAVES_AFTER = 0.2
"""Seconds after the start of the outage at which the worker starts to leave."""
SERVES_FOR = 4.0
"""Seconds for which the leaving worker still serves: drainMs and a little longer."""
AFTER_SECONDS = 2.0
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000

ROUTES = [
    {
        "name": "orders",
        "pathPrefix": "/lohu930/",
        "kind": "unsafe",
        "service": DESK,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "maxAttempts": 3,
        "priority": 2,
    }
]


async def run_desk(worker: Worker, request: Request) -> None:
    """Works for a moment and answers."""
    await asyncio.sleep(WORK_SECONDS)
    stamp = {"Server-Stamp": f"{worker.name}.{request.id}"}
    await worker.answer(request, 200, b"answer to " + request.body, stamp)


async def play(case: Case) -> list[str]:
    """Lets a worker leave while the store is down."""
    await case.start_store()
    await case.put_configuration(ROUTES)
    run_counts: Counter[str] = Counter()
    worker_of: dict[str, str] = {}
    record = case.record

    def record_run(event: str, **fields: object) -> None:
        record(event, **fields)
        if event == "run":
            run_counts[str(fields["worker"])] += 1
            worker_of[str(fields["request"])] = str(fields["worker"])

    for n in range(4):
        worker = await case.start_worker(f"d-{n}", DESK, ZONES[n], run_desk, slots=6)
        worker.record = record_run
    for n in range(2):
        await case.start_entry(f"front-{ZONES[n]}-1", ZONES[n])
    machines = list(case.addresses.items())
    sent_at: dict[str, float] = {}
    passed_on: dict[str, float] = {}
    leaving: list[str] = []

    async def send(number: int) -> Answer:
        name, (machine, address) = f"r{number}", machines[number % 2]
        headers = {
            "Host": HOST,
            "Request-Id": name,
            "Deadline-Ms": "2000",
            "Credential": KEY,
        }
        sent_at[name] = case.now()
        answer = await call(
            address, "POST", "/lohu930/2f", headers, b"blade", timeout=3.0
        )
        says_leaving = answer.headers.get("server-leaving", "")
        record(
            "client",
            request=name,
            machine=machine,
            outcome=answer.outcome,
            status=answer.status,
            leaving=says_leaving,
        )
        if says_leaving:
            passed_on.setdefault(machine, case.now())
        return answer

    async def leave() -> None:
        await asyncio.sleep(WARM_UP_SECONDS)
        if case.has_trouble:
            case.pause_store()
            record("store_down")
        await asyncio.sleep(LEAVES_AFTER)
        worker = case.workers[run_counts.most_common(1)[0][0]]
        leaving.append(worker.name)
        worker.state = "draining"
        worker.extra_headers["Server-Leaving"] = "1"
        record("leaves", worker=worker.name)
        report = asyncio.create_task(worker.register())
        await asyncio.sleep(SERVES_FOR)
        report.cancel()
        worker.stop()
        record("gone", worker=worker.name)
        await asyncio.sleep(OUTAGE_SECONDS - LEAVES_AFTER - SERVES_FOR)
        if case.has_trouble:
            case.resume_store()
            record("store_back")

    leave_task = asyncio.create_task(leave())
    seconds = WARM_UP_SECONDS + OUTAGE_SECONDS + AFTER_SECONDS
    tasks = []
    for number in range(int(seconds / INTERVAL)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(INTERVAL)
    answers = await asyncio.gather(*tasks)
    await leave_task
    late = []
    for number in range(len(answers)):
        name, machine = f"r{number}", machines[number % 2][0]
        if worker_of.get(name) not in leaving or machine not in passed_on:
            continue
        if sent_at[name] - passed_on[machine] > DRAIN_SECONDS:
            late.append(
                f"{name} ({machine}, {sent_at[name] - passed_on[machine]:.2f} s)"
            )
    record(
        "summary",
        late=len(late),
        passed_on=passed_on,
        statuses=dict(Counter(answer.status for answer in answers)),
    )
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {leaving[0]} though they were sent more "
        f"than {DRAIN_SECONDS} s after their machine had passed on an answer with "
        f"Server-Leaving: {', '.join(late)}"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
