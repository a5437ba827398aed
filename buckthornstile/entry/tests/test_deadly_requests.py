"""Requests that crash each upstream that runs them."""

import asyncio
import itertools

from buckthornstile.entry.tests.in_process import (
    PLAIN_SERVICE,
    InProcessDeployment,
    with_deployment,
)

CONTACT_TIME = 3.0
"""Seconds after the third crash from which retries are counted."""
MAX_RETRIES = 3
"""Number of such retries that may reach upstreams."""
DEADLY_BODY = b"deadly"


async def send_deadly_requests(
    deployment: InProcessDeployment, seconds: float
) -> list[int]:
    """Sends the same request through one entry after another; returns the statuses."""
    statuses = []
    end = asyncio.get_running_loop().time() + seconds
    names = itertools.cycle(deployment.entries)
    for number, name in enumerate(names):
        if asyncio.get_running_loop().time() >= end:
            break
        response = await deployment.send_request(
            name,
            "POST",
            "/orders/7",
            request_id=f"deadly-{number}",
            body=DEADLY_BODY,
            headers=(("Deadline-Ms", "800"),),
        )
        statuses.append(response.status)
        await asyncio.sleep(0.2)
    return statuses


@with_deployment
async def test_request_that_crashes_upstreams_is_not_sent_to_all_of_them(
    deployment: InProcessDeployment,
) -> None:
    for number in range(4):
        deployment.add_worker(f"w{number}", PLAIN_SERVICE, deadly_body=DEADLY_BODY)
    for name in ("e1", "e2", "e3"):
        await deployment.add_entry(name)
    statuses = await send_deadly_requests(deployment, CONTACT_TIME + 4)
    crashed_at = sorted(
        run["at"]
        for worker in deployment.workers.values()
        for run in worker.list_runs()
        if run["body"] == DEADLY_BODY.decode()
    )
    assert len(crashed_at) >= 2
    late = [at for at in crashed_at[3:] if at > crashed_at[2] + CONTACT_TIME]
    assert len(late) <= MAX_RETRIES
    assert set(statuses) <= {502, 503, 504}
    response = await deployment.send_simple_request("e1", "harmless")
    assert response.status == 200
