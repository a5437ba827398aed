"""Callers of two client accounts that check every response."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from buckthornstile import (
    BuckthornstileError,
    CallerClient,
    RetryPolicy,
    Verdict,
)
from standins.worker import generate_tokens

CALL_TIMEOUT = 20.0  # seconds
READY_INTERVAL = 0.1  # seconds between two readiness checks
READY_TIMEOUT = 1.0  # seconds for a readiness check
STREAM_TOKENS = 60


class ReadinessBalancer:
    """Keeps the list of ready entries, as the platform's load balancer does.

    Args:
        urls: URLs of the entries.
    """

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.ready_urls = list(urls)

    async def run(self) -> None:
        """Checks the readiness of all entries periodically until cancelled."""
        while True:
            results = await asyncio.gather(*(_is_ready(url) for url in self.urls))
            pairs = zip(self.urls, results, strict=True)
            self.ready_urls = [url for url, ready in pairs if ready]
            await asyncio.sleep(READY_INTERVAL)


async def _is_ready(url: str) -> bool:
    try:
        await AsyncHTTPClient().fetch(f"{url}/readyz", request_timeout=READY_TIMEOUT)
    except (HTTPClientError, OSError):
        return False
    return True


@dataclass(slots=True)
class CallStatistics:
    """Statistics of the callers' calls.

    Args:
        completed: Number of complete and correct responses, by kind of call.
        refused: Number of calls that failed after all retries with the verdict
            ``not_run``, by error code.
        interrupted: Number of calls that may have run but got no complete response,
            by error code.
        wrong: Number of complete responses with wrong content.
        answered_orders: Names of the orders that got a response.
        refused_names: Names of the calls that failed with the verdict ``not_run``.
        repeated_orders: Number of orders that were sent again with the same
            idempotency key.
        false_refusals: Number of repeated orders that failed with the verdict
            ``not_run`` although they had run.
    """

    completed: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    interrupted: Counter[str] = field(default_factory=Counter)
    wrong: int = 0
    answered_orders: set[str] = field(default_factory=set)
    refused_names: set[str] = field(default_factory=set)
    repeated_orders: int = 0
    false_refusals: int = 0

    def record_response(self, kind: str, *, is_correct: bool) -> None:
        """Counts a complete response."""
        if is_correct:
            self.completed[kind] += 1
        else:
            self.wrong += 1

    def record_error(self, error: BuckthornstileError, name: str) -> None:
        """Counts a call that failed after all its retries."""
        if error.verdict is Verdict.NOT_RUN:
            self.refused[error.code.value] += 1
            self.refused_names.add(name)
        else:
            self.interrupted[error.code.value] += 1

    @property
    def total(self) -> int:
        """Number of calls that have finished."""
        finished = (
            self.completed.total() + self.refused.total() + self.interrupted.total()
        )
        return finished + self.wrong


class CallerPool:
    """Sends calls of all kinds until it is stopped.

    Args:
        balancer: The balancer with the list of ready entries.
        keys: The API key of each client account, in clear text.
        statistics: The statistics in which the calls are counted.
        interval: Seconds between two calls of one caller.
    """

    def __init__(
        self,
        balancer: ReadinessBalancer,
        keys: dict[str, str],
        statistics: CallStatistics,
        *,
        interval: float,
    ) -> None:
        self.balancer = balancer
        self.keys = keys
        self.statistics = statistics
        self.interval = interval
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the callers of each client account."""
        callers = [
            ("mill-7", self._send_order),
            ("mill-7", self._look_up),
            ("mill-7", self._stream),
            ("mill-7", self._stream),
            ("tooth-geometry", self._look_up),
            ("tooth-geometry", self._stream),
            ("public", self._read_hours),
        ]
        for account, send in callers:
            name = f"{account}-{len(self._tasks)}"
            self._tasks.append(asyncio.create_task(self._repeat(send, account, name)))

    async def stop(self) -> None:
        """Stops all callers after their current calls."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def cancel(self) -> None:
        """Cancels all calls that are still open."""
        for task in self._tasks:
            task.cancel()

    async def _repeat(self, send, account: str, name: str) -> None:
        number = 0
        while not self._stopping:
            number += 1
            try:
                await send(self._make_client(account), f"{name}-{number}")
            except BuckthornstileError as error:
                self.statistics.record_error(error, name)
            await asyncio.sleep(self.interval)

    def _make_client(self, account: str) -> CallerClient:
        urls = self.balancer.ready_urls or self.balancer.urls
        policy = RetryPolicy(maximum_attempts=10)
        return CallerClient(urls, self.keys.get(account, ""), policy=policy)

    # All calls below are sent as not idempotent, so that the client library retries
    # only those that did not run and hides no interrupted request.

    async def _send_order(self, client: CallerClient, name: str) -> None:
        body = json.dumps({"order": name, "blades": 3}).encode()
        response = await client.call(
            "/v1/orders", body, idempotency_key=name, timeout=CALL_TIMEOUT
        )
        if response.status == 200:
            self.statistics.answered_orders.add(name)
        is_correct = _is_echo(response.status, response.body, body)
        self.statistics.record_response("non_idempotent", is_correct=is_correct)
        await self._repeat_order(client, name, body)

    async def _repeat_order(self, client: CallerClient, name: str, body: bytes) -> None:
        """Sends an order again, as a caller does that has lost the response."""
        self.statistics.repeated_orders += 1
        try:
            response = await client.call("/v1/orders", body, idempotency_key=name)
        except BuckthornstileError as error:
            # The order has run, so the verdict NOT_RUN is false.
            self.statistics.false_refusals += error.verdict is Verdict.NOT_RUN
        else:
            self.statistics.wrong += not _is_echo(response.status, response.body, body)

    async def _look_up(self, client: CallerClient, name: str) -> None:
        body = json.dumps({"look_up": name}).encode()
        response = await client.call("/v1/orders/lookup", body, timeout=CALL_TIMEOUT)
        is_correct = _is_echo(response.status, response.body, body)
        self.statistics.record_response("idempotent", is_correct=is_correct)

    async def _read_hours(self, client: CallerClient, name: str) -> None:
        response = await client.call("/v1/hours", method="GET", timeout=CALL_TIMEOUT)
        is_correct = _is_echo(response.status, response.body, b"")
        self.statistics.record_response("open_route", is_correct=is_correct)

    async def _stream(self, client: CallerClient, name: str) -> None:
        body = {"prompt": name, "max_tokens": STREAM_TOKENS, "stream": True}
        tokens = [
            payload.decode()
            async for payload in client.stream(
                "/v1/completions", json.dumps(body).encode(), timeout=CALL_TIMEOUT
            )
        ]
        expected = generate_tokens(name, 0, STREAM_TOKENS)
        self.statistics.record_response("streamed", is_correct=tokens == expected)


def _is_echo(status: int, response: bytes, body: bytes) -> bool:
    return status == 200 and response == b"answer to " + body
