"""The callers' client: one idempotency key, several attempts, one deadline."""

import asyncio
import random
import ssl
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from tornado.httputil import HTTPHeaders

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    Verdict,
)
from buckthornstile.client._errors import make_truncated, parse_error
from buckthornstile.client._event_stream import EventStreamParser
from buckthornstile.client._exchange import Exchange, HttpRequest, open_exchange
from buckthornstile.client._retry import Attempt, RetryPolicy, RetryState

MAX_WHOLE_BYTES = 64 << 20
GENERATED_KEY_PREFIX = "auto-"
"""Begins the keys of calls that no other process will send again."""
_ERROR_STATUS = 400
_Result = TypeVar("_Result")


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Args:
        status: The HTTP status, as the upstream gave it.
        content_type: The body's media type.
        body: The body.
        attempts: How many attempts it took.
    """

    status: int
    content_type: str
    body: bytes
    attempts: int


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str


class CallerClient:
    """Calls services through any of several entries.

    Args:
        entries: The entries' or the balancer's URLs, with IP numbers.
        key: The client account's key.
        policy: How often a call is tried again.
        generator: The source of jitter.
        ssl_options: TLS options for ``https`` URLs.

    Example:
        >>> client = CallerClient(["http://127.0.0.1:1"], "key",
        ...     policy=RetryPolicy(maximum_attempts=1))
        >>> asyncio.run(client.call("/v1/lookup", b"{}", timeout=5.0))
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: no connection to ...
    """

    def __init__(
        self,
        entries: Sequence[str],
        key: str,
        *,
        policy: RetryPolicy | None = None,
        generator: random.Random | None = None,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        self.entries = tuple(entries)
        self.key = key
        self.policy = policy or RetryPolicy()
        self.generator = generator or random.Random()
        self.ssl_options = ssl_options

    async def call(
        self,
        path: str,
        body: bytes = b"",
        *,
        method: str = "POST",
        content_type: str = "application/json",
        idempotency_key: str | None = None,
        idempotent: bool = False,
        timeout: float = 60.0,
    ) -> Answer:
        """Makes a call and returns its whole answer.

        Args:
            path: The path, from its first slash.
            body: The body.
            method: The HTTP method.
            content_type: The body's media type.
            idempotency_key: The call's name; pass the same one to go on with a
                call of an earlier process. A fresh one by default.
            idempotent: Whether it may run more than once.
            timeout: Seconds for all attempts together.

        Returns:
            The answer, whatever its status, if it is the upstream's own.

        Raises:
            BuckthornstileError: With a code, and a verdict over all attempts.
        """
        key = _choose_key(idempotency_key)
        call = _Call(method, path, body, content_type, key)
        attempts = self._make_attempts(idempotent, timeout)
        while True:
            attempt = attempts.begin(time.monotonic())
            try:
                return await self._try_whole(call, attempt)
            except BuckthornstileError as error:
                await _wait_or_give_up(attempts, error)

    async def stream(
        self,
        path: str,
        body: bytes = b"",
        *,
        content_type: str = "application/json",
        idempotency_key: str | None = None,
        idempotent: bool = False,
        timeout: float = 600.0,
    ) -> AsyncIterator[bytes]:
        """Makes a call and yields the data of its events.

        A call is tried again only until its first event has come.

        Args:
            path: The path, from its first slash.
            body: The body, which asks for a stream.
            content_type: The body's media type.
            idempotency_key: The call's name; a fresh one by default.
            idempotent: Whether it may run more than once.
            timeout: Seconds for all attempts and the whole stream.

        Raises:
            BuckthornstileError: Also when the stream ends without its end
                event, after the events that came.
        """
        key = _choose_key(idempotency_key)
        call = _Call("POST", path, body, content_type, key)
        attempts = self._make_attempts(idempotent, timeout)
        begun = False
        while True:
            attempt = attempts.begin(time.monotonic())
            try:
                async for payload in self._try_stream(call, attempt):
                    begun = True
                    yield payload
                return
            except BuckthornstileError as error:
                if begun:
                    raise attempts.give_up(error) from error
                await _wait_or_give_up(attempts, error)

    def _make_attempts(self, idempotent: bool, timeout: float) -> RetryState:
        return RetryState(
            len(self.entries),
            idempotent=idempotent,
            deadline=time.monotonic() + timeout,
            generator=self.generator,
            policy=self.policy,
        )

    async def _try_whole(self, call: _Call, attempt: Attempt) -> Answer:
        deadline = time.monotonic() + attempt.timeout
        exchange = await self._open(call, attempt)
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                status, headers = await exchange.read_head()
                body = await _read_whole(exchange, headers)
        except TimeoutError as error:
            raise _make_late() from error
        finally:
            exchange.close()
        _raise_for_error(status, body)
        content_type = headers.get("Content-Type", "")
        return Answer(status, content_type, body, attempt.number)

    async def _try_stream(self, call: _Call, attempt: Attempt) -> AsyncIterator[bytes]:
        deadline = time.monotonic() + attempt.timeout
        exchange = await self._open(call, attempt)
        reader = EventStreamParser()
        chunks = exchange.iterate()
        try:
            status, headers = await _wait_until(deadline, exchange.read_head())
            if status >= _ERROR_STATUS:
                body = await _wait_until(deadline, _read_whole(exchange, headers))
                _raise_for_error(status, body)
                raise make_truncated(f"the upstream answered {status}, not a stream")
            while (chunk := await _wait_until(deadline, anext(chunks, b""))) != b"":
                for payload in reader.feed(chunk):
                    yield payload
            reader.finish()
        finally:
            exchange.close()

    async def _open(self, call: _Call, attempt: Attempt) -> Exchange:
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": call.content_type,
            "Idempotency-Key": call.idempotency_key,
            "X-Attempt": str(attempt.number),
            "X-First-Attempt-Age": f"{attempt.age:.3f}",
            "X-Timeout": f"{attempt.timeout:.3f}",
        }
        url = self.entries[attempt.entry]
        request = HttpRequest(url, call.method, call.path, headers, call.body)
        return await open_exchange(request, ssl_options=self.ssl_options)


def _choose_key(given: str | None) -> IdempotencyKey:
    return IdempotencyKey(given or f"{GENERATED_KEY_PREFIX}{uuid.uuid4().hex}")


async def _wait_or_give_up(attempts: RetryState, error: BuckthornstileError) -> None:
    delay = attempts.get_delay(error, time.monotonic())
    if delay is None:
        raise attempts.give_up(error) from error
    await asyncio.sleep(delay)


async def _read_whole(exchange: Exchange, headers: HTTPHeaders) -> bytes:
    parts = []
    length = 0
    async for chunk in exchange.iterate():
        parts.append(chunk)
        length += len(chunk)
        if length > MAX_WHOLE_BYTES:
            raise make_truncated("the answer is too large to be taken whole")
    declared = headers.get("Content-Length")
    if declared is not None and declared != str(length):
        raise make_truncated(f"{length} bytes came of {declared}")
    chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
    if declared is None and not chunked:
        raise make_truncated("the answer declares no length")
    return b"".join(parts)


async def _wait_until(deadline: float, awaitable: Awaitable[_Result]) -> _Result:
    try:
        async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
            return await awaitable
    except TimeoutError as error:
        raise _make_late() from error


def _raise_for_error(status: int, body: bytes) -> None:
    if status >= _ERROR_STATUS:
        error = parse_error(body)
        if error is not None:
            raise error


def _make_late() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.DEADLINE_PASSED,
        "no whole answer came within the timeout",
        verdict=Verdict.MAY_HAVE_RUN,
    )
