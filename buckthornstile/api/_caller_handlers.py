"""Calls of client accounts, whole and streamed."""

import asyncio
import contextlib
import hashlib
import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass

from buckthornstile.api._deduplication import make_call_name
from buckthornstile.api._dependencies import (
    ApiDependencies,
    Authorization,
    authorize,
    check_fresh,
)
from buckthornstile.api._generation import (
    GENERATION_PATH,
    ParsedGeneration,
    find_model,
    parse_generation,
)
from buckthornstile.api._requests import (
    JSON_TYPE,
    VERDICT_HEADER,
    ApiRequest,
    check_idempotency_key,
    describe_error,
)
from buckthornstile.base import BuckthornstileError, RequestId, Verdict
from buckthornstile.logs import log_event
from buckthornstile.messages import (
    ClientRequest,
    Headers,
    Response,
    RoutedCall,
    StreamingResponse,
)
from buckthornstile.platform import UpstreamEventParser, encode_generation
from buckthornstile.topology import RouteKind

DIGEST_BYTES = 16
STREAM_TYPE = ("Content-Type", "text/event-stream")
SHOWN_HEADERS = frozenset({"content-type"})


@dataclass(frozen=True, slots=True)
class _Call:
    request: ApiRequest
    authorization: Authorization
    planned: RoutedCall
    generation: ParsedGeneration | None

    @property
    def cost(self) -> float:
        """Its expected work, in tokens."""
        return self.generation.body.max_tokens if self.generation else 1.0


class CallerHandlers:
    """Answers callers."""

    def __init__(self, dependencies: ApiDependencies) -> None:
        self.dependencies = dependencies

    async def handle(self, request: ApiRequest) -> Response | StreamingResponse:
        """Answers a call on a path of a rule or open route.

        Raises:
            BuckthornstileError: There is no answer of an upstream.
        """
        check_idempotency_key(request.idempotency_key)
        call = self._plan(request)
        if call.generation is not None and call.generation.body.stream:
            return await self._open_stream(call)
        is_once = call.authorization.route.kind is RouteKind.AT_MOST_ONCE
        if is_once and request.idempotency_key:
            return await self.dependencies.deduplicator.run(
                call.authorization.account.name,
                request.idempotency_key,
                lambda: self._run(call),
            )
        return await self._run(call)

    def _plan(self, request: ApiRequest) -> _Call:
        loop = asyncio.get_running_loop()
        settings = self.dependencies.settings
        timeout = request.read_timeout(settings.default_timeout, settings.max_timeout)
        authorization = authorize(self.dependencies, request)
        headers, generation = request.headers, None
        if request.path == GENERATION_PATH:
            value = request.read_json()
            service = authorization.route.services[0][0]
            model = find_model(self.dependencies.view, service)
            generation = parse_generation(value, model)
            headers += encode_generation(generation.generation)
        client_request = ClientRequest(
            id=request.id,
            method=request.method,
            host=request.host,
            path=request.path,
            query=request.query,
            headers=headers,
            body=request.body,
        )
        planned = RoutedCall(
            client_request,
            authorization.route,
            authorization.account.name,
            loop.time() + timeout,
            # The process may have been paused since the call was authorized.
            before_send=lambda: check_fresh(self.dependencies),
        )
        return _Call(request, authorization, planned, generation)

    # Whole answers

    async def _run(self, call: _Call) -> Response:
        return await self.dependencies.revocation.run(
            call.authorization.key, self._run_admitted(call)
        )

    async def _run_admitted(self, call: _Call) -> Response:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._enter(call)
        try:
            if call.generation is None:
                reply = await self._send(call)
            else:
                reply = await self._generate(call)
        finally:
            self._leave(call)
        seconds = loop.time() - started_at
        self.dependencies.metrics.record_call(call.authorization.account.name, seconds)
        log_event(
            "call.answered",
            request=call.request.id,
            route=call.authorization.route.name,
            status=reply.status,
            seconds=seconds,
        )
        return reply

    async def _send(self, call: _Call) -> Response:
        answer = await self.dependencies.sender.send(call.planned)
        headers = _keep_shown(answer.head.headers)
        return Response(answer.head.status, answer.body, _mark_ran(headers))

    async def _generate(self, call: _Call) -> Response:
        """Gathers an engine's events into one JSON answer."""
        opened = await self.dependencies.stream_proxy.open(call.planned)
        if isinstance(opened, Response):
            headers = _mark_ran(_keep_shown(opened.headers))
            return Response(opened.status, opened.body, headers)
        reader = UpstreamEventParser(0)
        texts: list[str] = []
        async with contextlib.aclosing(opened.chunks) as chunks:
            async for chunk in chunks:
                texts += [event.data for event, _ in reader.feed(chunk)]
        body = json.dumps({"text": "\n".join(texts), "events": texts}).encode()
        return Response(200, body, _mark_ran((JSON_TYPE,)))

    # Streams

    async def _open_stream(self, call: _Call) -> Response | StreamingResponse:
        name = await self._claim(call)
        try:
            await self._enter(call)
            try:
                opened = await self.dependencies.revocation.run(
                    call.authorization.key,
                    self.dependencies.stream_proxy.open(call.planned),
                )
            except BaseException:
                self._leave(call)
                raise
        except BuckthornstileError as error:
            if name is not None and error.verdict is Verdict.NOT_RUN:
                await self.dependencies.deduplicator.release(*name)
            raise
        if isinstance(opened, Response):
            self._leave(call)
            headers = _mark_ran(_keep_shown(opened.headers))
            return Response(opened.status, opened.body, headers)
        chunks = self._relay(call, opened)
        await anext(chunks)
        return StreamingResponse(200, (STREAM_TYPE,), chunks)

    async def _claim(self, call: _Call) -> tuple[str, int] | None:
        """Claims a stream that may run once only and that its caller has named."""
        key = call.request.idempotency_key
        if call.authorization.route.kind is not RouteKind.AT_MOST_ONCE or not key:
            return None
        name = make_call_name(call.authorization.account.name, key)
        return name, await self.dependencies.deduplicator.claim(name)

    async def _relay(
        self, call: _Call, opened: StreamingResponse
    ) -> AsyncGenerator[bytes, None]:
        """Passes events on, and ends them with one that proves them whole."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        length = 0
        chunks = opened.chunks
        try:
            # A generator that has not begun runs no clean-up when it is closed.
            yield b""
            while True:
                chunk = await self.dependencies.revocation.run(
                    call.authorization.key, _read_next(chunks)
                )
                if chunk is None:
                    break
                digest.update(chunk)
                length += len(chunk)
                yield chunk
            end = {
                "length": length,
                "digest": digest.hexdigest(),
                "verdict": Verdict.RAN.value,
            }
            yield _encode_event("end", end)
        except BuckthornstileError as error:
            log_event(
                "stream.failed",
                request=call.request.id,
                error=error.code.value,
                reason=error.message,
            )
            yield _encode_event("error", {"error": describe_error(error)})
        finally:
            self._leave(call)
            await chunks.aclose()

    # Places

    async def _enter(self, call: _Call) -> None:
        if self.dependencies.is_stopping():
            # The balancer still sends what it sent before it knew.
            log_event("call.while_stopping", request=call.request.id)
        deadline = self.dependencies.clock() + (
            call.planned.deadline - asyncio.get_running_loop().time()
        )
        await self.dependencies.admission.enter(
            call.authorization.route.services[0][0],
            call.authorization.account,
            call.authorization.request_class,
            RequestId(call.request.id),
            cost=call.cost,
            deadline=deadline,
        )

    def _leave(self, call: _Call) -> None:
        service = call.authorization.route.services[0][0]
        self.dependencies.admission.leave(service, call.authorization.account.name)


async def _read_next(chunks: AsyncGenerator[bytes, None]) -> bytes | None:
    return await anext(chunks, None)


def _keep_shown(headers: Headers) -> Headers:
    return tuple(one for one in headers if one[0].lower() in SHOWN_HEADERS)


def _mark_ran(headers: Headers) -> Headers:
    return (*headers, (VERDICT_HEADER, Verdict.RAN.value))


def _encode_event(name: str, data: object) -> bytes:
    r"""Encodes an event of the system's own.

    Example:
        >>> _encode_event("end", {"length": 0})
        b'event: end\ndata: {"length": 0}\n\n'
    """
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()
