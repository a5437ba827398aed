"""A trainer, its items and the routes that the cases with batch jobs share."""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any

from review.harness._case import HOST, KEY, Case
from review.harness._client import Answer, call
from review.harness._worker import Request, Worker

MODEL = "daka510000"
PLAIN_SERVICE = "shop-desk"
STEP_SECONDS = 12.0
"""Seconds after which the trainer gives a step up."""

ROLLOUT_ROUTE: dict[str, Any] = {
    "name": "rip",
    "pathPrefix": "/pule252/",
    "kind": "rollout",
    "timeoutMs": 10000,
    "targetLatencyMs": 400,
    "maxAttempts": 3,
    "priority": 1,
    "streaming": True,
    "resumable": True,
    "stickySessions": True,
    "resultDeadlineMs": 7500,
    "retentionS": 40,
}
PLAIN_ROUTE: dict[str, Any] = {
    "name": "ledger",
    "pathPrefix": "/pufi791/",
    "kind": "safe",
    "service": PLAIN_SERVICE,
    "timeoutMs": 2000,
    "targetLatencyMs": 400,
    "maxAttempts": 3,
    "priority": 2,
    "allowAnonymous": True,
}


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


class Trainer:
    """The trainer: submits batch jobs, reads their results and ends them."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.address = next(iter(case.addresses.values()))

    async def _call(
        self, method: str, target: str, job: str, body: bytes = b""
    ) -> Answer:
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

    async def read(
        self, job: str, until: float, is_done: Callable[[dict[str, dict]], bool]
    ) -> dict[str, dict]:
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
