"""A planned stop cuts requests that were read shortly before its end."""

import asyncio
import signal

from review.harness import Answer, Case, Connection, Request, Worker, run_case
from review.harness._case import BOUNDS, HOST, KEY, ZONES

DESK = "shop-desk"
LONG_SECONDS = 9.0
"""Work of the request that is still open when the grace period ends."""
SHORT_SECONDS = 0.3
WARM_UP_SECONDS = 1.0
SEND_INTERVAL = 0.1
FIRST_SEND, LAST_SEND = 2.0, 6.9
"""Seconds after SIGTERM of the first and the last short request."""
GRACE = float(BOUNDS["graceS"])
EXCUSED_SENT_BEFORE = 3.0

ROUTES = [
    {
        "name": "orders",
        "pathPrefix": "/lohu930/",
        "kind": "unsafe",
        "service": DESK,
        "timeoutMs": 15000,
        "targetLatencyMs": 400,
        "maxAttempts": 3,
        "priority": 2,
    }
]


async def run_desk(worker: Worker, request: Request) -> None:
    """Works as long as the request's path says, and answers."""
    await asyncio.sleep(LONG_SECONDS if "long" in request.target else SHORT_SECONDS)
    if request.writer.is_closing():
        worker.record("client_gone", worker=worker.name, request=request.id)
        return
    stamp = {"Server-Stamp": f"{worker.name}.{request.id}"}
    await worker.answer(request, 200, b"answer to " + request.body, stamp)


async def play(case: Case) -> list[str]:
    """Sends requests on kept connections while the entry stops."""
    await case.start_store()
    await case.put_configuration(ROUTES)
    for n in range(4):
        await case.start_worker(f"d-{n}", DESK, ZONES[n], run_desk, slots=6)
    await case.start_entry("front-bench-a-1", "bench-a")
    entry = case.entries["front-bench-a-1"]
    address = case.addresses["front-bench-a-1"]
    reached: set[str] = set()
    record = case.record

    def record_run(event: str, **fields: object) -> None:
        record(event, **fields)
        if event == "run":
            reached.add(str(fields["request"]))

    for worker in case.workers.values():
        worker.record = record_run

    async def send(connection: Connection, name: str, path: str) -> Answer:
        headers = {
            "Host": HOST,
            "Request-Id": name,
            "Deadline-Ms": "12000",
            "Credential": KEY,
        }
        record("sent", request=name)
        answer = await connection.send("POST", path, headers, b"blade", timeout=13.0)
        record(
            "client",
            request=name,
            outcome=answer.outcome,
            status=answer.status,
            close=answer.headers.get("connection", ""),
        )
        return answer

    count = int((LAST_SEND - FIRST_SEND) / SEND_INTERVAL) + 1
    connections = []
    for _ in range(count):
        connection = Connection(address)
        await connection.open()
        connections.append(connection)
    # Each client has used its connection before.
    warm = await asyncio.gather(
        *(
            send(connection, f"warm{number}", "/lohu930/short")
            for number, connection in enumerate(connections[:20])
        )
    )
    for batch in range(20, count, 20):
        warm += await asyncio.gather(
            *(
                send(connection, f"warm{batch + number}", "/lohu930/short")
                for number, connection in enumerate(connections[batch : batch + 20])
            )
        )
    record("warm", answered=sum(answer.status == 200 for answer in warm))
    long_connection = Connection(address)
    await long_connection.open()
    long_task = asyncio.create_task(send(long_connection, "long", "/lohu930/long"))
    await asyncio.sleep(WARM_UP_SECONDS)

    stopped_at = case.now()
    if case.has_trouble:
        entry.send_signal(signal.SIGTERM)
        record("sigterm")

    async def send_late(number: int, connection: Connection) -> tuple[float, Answer]:
        await asyncio.sleep(
            stopped_at + FIRST_SEND + number * SEND_INTERVAL - case.now()
        )
        sent_at = case.now() - stopped_at
        return sent_at, await send(connection, f"r{number}", "/lohu930/short")

    outcomes = await asyncio.gather(
        *(send_late(number, item) for number, item in enumerate(connections))
    )
    while case.has_trouble and entry.poll() is None:
        if case.now() - stopped_at > GRACE:
            entry.kill()
        await asyncio.sleep(0.05)
    record("entry_ended", after=round(case.now() - stopped_at, 2))
    await long_task
    violations = []
    for number, (sent_at, answer) in enumerate(outcomes):
        name = f"r{number}"
        # Requests sent within 3 s of SIGTERM may be excused; none is counted.
        if answer.outcome == "answered" or name not in reached:
            continue
        if sent_at <= EXCUSED_SENT_BEFORE:
            continue
        violations.append(
            f"LOST: request {name}, sent {sent_at:.2f} s after SIGTERM on a kept "
            f"connection, was passed on to a worker; the connection ended without an "
            f"answer ({answer.outcome})"
        )
    return violations


if __name__ == "__main__":
    run_case(__file__, play)
