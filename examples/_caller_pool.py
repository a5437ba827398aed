"""Callers of two client accounts, who check every answer that they get."""

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
READY_INTERVAL = 0.1  # seconds
READY_TIMEOUT = 1.0  # seconds
STREAM_TOKENS = 60


class ReadinessBalancer:
    """Knows which entries are ready, as the platform's balancer does.

    Args:
        urls: The entries' URLs.
    """

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.ready = list(urls)

    async def run(self) -> None:
        """Asks each entry for its readiness again and again."""
        while True:
            answers = await asyncio.gather(*(_is_ready(url) for url in self.urls))
            pairs = zip(self.urls, answers, strict=True)
            self.ready = [url for url, ready in pairs if ready]
            await asyncio.sleep(READY_INTERVAL)


async def _is_ready(url: str) -> bool:
    try:
        await AsyncHTTPClient().fetch(f"{url}/readyz", request_timeout=READY_TIMEOUT)
    except (HTTPClientError, OSError):
        return False
    return True


@dataclass(slots=True)
class CallStatistics:
    """What the callers saw.

    Args:
        whole: Whole and right answers, by kind of call.
        refused: Calls that were refused for good as not run, by code.
        cut: Calls that may have run and gave no whole answer, by code.
        short: Answers that came as whole and were not the right ones.
        answered_orders: Names of the orders that were answered.
        refused_names: Names of the calls that were refused as not run.
        repeated_orders: Orders that were sent again under the same key.
        untrue_refusals: Repeated orders that were said not to have run.
    """

    whole: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    cut: Counter[str] = field(default_factory=Counter)
    short: int = 0
    answered_orders: set[str] = field(default_factory=set)
    refused_names: set[str] = field(default_factory=set)
    repeated_orders: int = 0
    untrue_refusals: int = 0

    def count(self, kind: str, *, right: bool) -> None:
        """Counts an answer that came as a whole one."""
        if right:
            self.whole[kind] += 1
        else:
            self.short += 1

    def count_error(self, error: BuckthornstileError, name: str) -> None:
        """Counts a call that failed after all its attempts."""
        if error.verdict is Verdict.NOT_RUN:
            self.refused[error.code.value] += 1
            self.refused_names.add(name)
        else:
            self.cut[error.code.value] += 1

    @property
    def total(self) -> int:
        """All calls that have ended."""
        ended = self.whole.total() + self.refused.total() + self.cut.total()
        return ended + self.short


class CallerPool:
    """Sends calls of all kinds until told to stop.

    Args:
        balancer: Knows the ready entries.
        keys: Each client account's key in clear.
        tally: Counts what the callers see.
        pause: Seconds between two calls of one caller.
    """

    def __init__(
        self,
        balancer: ReadinessBalancer,
        keys: dict[str, str],
        tally: CallStatistics,
        *,
        pause: float,
    ) -> None:
        self.balancer = balancer
        self.keys = keys
        self.tally = tally
        self.pause = pause
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts one caller for each account and kind of call."""
        makers = [
            ("mill-7", self._send_order),
            ("mill-7", self._look_up),
            ("mill-7", self._stream),
            ("mill-7", self._stream),
            ("tooth-geometry", self._look_up),
            ("tooth-geometry", self._stream),
            ("public", self._read_hours),
        ]
        for account, send in makers:
            name = f"{account}-{len(self._tasks)}"
            self._tasks.append(asyncio.create_task(self._repeat(send, account, name)))

    async def stop(self) -> None:
        """Lets each caller finish its last call."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def cancel(self) -> None:
        """Breaks off whatever is still open."""
        for task in self._tasks:
            task.cancel()

    async def _repeat(self, send, account: str, name: str) -> None:
        number = 0
        while not self._stopping:
            number += 1
            try:
                await send(self._make_client(account), f"{name}-{number}")
            except BuckthornstileError as error:
                self.tally.count_error(error, name)
            await asyncio.sleep(self.pause)

    def _make_client(self, account: str) -> CallerClient:
        urls = self.balancer.ready or self.balancer.urls
        policy = RetryPolicy(maximum_attempts=10)
        return CallerClient(urls, self.keys.get(account, ""), policy=policy)

    # Every call below is sent as one that may not be repeated, so that the
    # library tries again only what was not run, and hides no cut request.

    async def _send_order(self, client: CallerClient, name: str) -> None:
        body = json.dumps({"order": name, "blades": 3}).encode()
        answer = await client.call(
            "/v1/orders", body, idempotency_key=name, timeout=CALL_TIMEOUT
        )
        if answer.status == 200:
            self.tally.answered_orders.add(name)
        right = _is_echo(answer.status, answer.body, body)
        self.tally.count("non_idempotent", right=right)
        await self._repeat_order(client, name, body)

    async def _repeat_order(self, client: CallerClient, name: str, body: bytes) -> None:
        """Sends an order again, as a caller does that lost the answer."""
        self.tally.repeated_orders += 1
        try:
            answer = await client.call("/v1/orders", body, idempotency_key=name)
        except BuckthornstileError as error:
            # Any verdict but this one is true of an order that has run.
            self.tally.untrue_refusals += error.verdict is Verdict.NOT_RUN
        else:
            self.tally.short += not _is_echo(answer.status, answer.body, body)

    async def _look_up(self, client: CallerClient, name: str) -> None:
        body = json.dumps({"look_up": name}).encode()
        answer = await client.call("/v1/orders/lookup", body, timeout=CALL_TIMEOUT)
        right = _is_echo(answer.status, answer.body, body)
        self.tally.count("idempotent", right=right)

    async def _read_hours(self, client: CallerClient, name: str) -> None:
        answer = await client.call("/v1/hours", method="GET", timeout=CALL_TIMEOUT)
        right = _is_echo(answer.status, answer.body, b"")
        self.tally.count("open_route", right=right)

    async def _stream(self, client: CallerClient, name: str) -> None:
        body = {"prompt": name, "max_tokens": STREAM_TOKENS, "stream": True}
        tokens = [
            payload.decode()
            async for payload in client.stream(
                "/v1/completions", json.dumps(body).encode(), timeout=CALL_TIMEOUT
            )
        ]
        wanted = generate_tokens(name, 0, STREAM_TOKENS)
        self.tally.count("streamed", right=tokens == wanted)


def _is_echo(status: int, answer: bytes, body: bytes) -> bool:
    return status == 200 and answer == b"answer to " + body
