"""Handlers of callers' requests, with complete or streaming responses."""

import asyncio
import contextlib
import hashlib
import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass

from buckthornstile.api._deduplication import make_call_digest
from buckthornstile.api._dependencies import (
    ApiDependencies,
    Authorization,
    authorize,
    check_configuration_age,
)
from buckthornstile.api._generation import (
    GENERATION_PATH,
    ParsedGeneration,
    find_model,
    parse_generation,
)
from buckthornstile.api._requests import (
    JSON_CONTENT_TYPE,
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
EVENT_STREAM_CONTENT_TYPE = ("Content-Type", "text/event-stream")
RETURNED_HEADERS = frozenset({"content-type"})


@dataclass(frozen=True, slots=True)
class _Call:
    """A checked call; ``generation`` is None if a plain service runs it."""

    request: ApiRequest
    authorization: Authorization
    routed_call: RoutedCall
    generation: ParsedGeneration | None

    @property
    def cost(self) -> float:
        """Expected work of the call, in tokens."""
        return self.generation.body.max_tokens if self.generation else 1.0


class CallerHandlers:
    """Handles the requests of callers."""

    def __init__(self, dependencies: ApiDependencies) -> None:
        self.dependencies = dependencies

    async def handle(self, request: ApiRequest) -> Response | StreamingResponse:
        """Handles a call on a path of a rule or open route.

        Raises:
            BuckthornstileError: The call was rejected, or no upstream responded.
        """
        check_idempotency_key(request.idempotency_key)
        call = self._prepare(request)
        if call.generation is not None and call.generation.body.stream:
            return await self._open_stream(call)
        is_at_most_once = call.authorization.route.kind is RouteKind.AT_MOST_ONCE
        if is_at_most_once and request.idempotency_key:
            return await self.dependencies.deduplicator.run(
                call.authorization.account.name,
                request.idempotency_key,
                lambda: self._run(call),
            )
        return await self._run(call)

    def _prepare(self, request: ApiRequest) -> _Call:
        loop = asyncio.get_running_loop()
        settings = self.dependencies.settings
        timeout = request.parse_timeout(settings.default_timeout, settings.max_timeout)
        authorization = authorize(self.dependencies, request)
        headers, generation = request.headers, None
        if request.path == GENERATION_PATH:
            value = request.parse_json()
            service = authorization.route.services[0][0]
            model = find_model(self.dependencies.view, service)
            generation = parse_generation(value, model)
            headers += encode_generation(generation.hints)
        client_request = ClientRequest(
            id=request.id,
            method=request.method,
            host=request.host,
            path=request.path,
            query=request.query,
            headers=headers,
            body=request.body,
        )
        routed_call = RoutedCall(
            client_request,
            authorization.route,
            authorization.account.name,
            loop.time() + timeout,
            # The process may have been suspended since the call was authorized.
            before_send=lambda: check_configuration_age(self.dependencies),
        )
        return _Call(request, authorization, routed_call, generation)

    # Complete responses

    async def _run(self, call: _Call) -> Response:
        return await self.dependencies.revocation.run(
            call.authorization.key, self._run_admitted(call)
        )

    async def _run_admitted(self, call: _Call) -> Response:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._acquire(call)
        try:
            if call.generation is None:
                response = await self._send(call)
            else:
                response = await self._generate(call)
        finally:
            self._release(call)
        seconds = loop.time() - started_at
        self.dependencies.metrics.record_call(call.authorization.account.name, seconds)
        log_event(
            "call.answered",
            request=call.request.id,
            route=call.authorization.route.name,
            status=response.status,
            seconds=seconds,
        )
        return response

    async def _send(self, call: _Call) -> Response:
        upstream_response = await self.dependencies.sender.send(call.routed_call)
        headers = _filter_headers(upstream_response.head.headers)
        return Response(
            upstream_response.head.status,
            upstream_response.body,
            _add_ran_verdict(headers),
        )

    async def _generate(self, call: _Call) -> Response:
        """Returns all events of an engine in one JSON response."""
        opened = await self.dependencies.stream_proxy.open(call.routed_call)
        if isinstance(opened, Response):
            headers = _add_ran_verdict(_filter_headers(opened.headers))
            return Response(opened.status, opened.body, headers)
        parser = UpstreamEventParser(0)
        texts: list[str] = []
        async with contextlib.aclosing(opened.chunks) as chunks:
            async for chunk in chunks:
                texts += [event.data for event, _ in parser.feed(chunk)]
        body = json.dumps({"text": "\n".join(texts), "events": texts}).encode()
        return Response(200, body, _add_ran_verdict((JSON_CONTENT_TYPE,)))

    # Streams

    async def _open_stream(self, call: _Call) -> Response | StreamingResponse:
        claim = await self._claim(call)
        try:
            await self._acquire(call)
            try:
                opened = await self.dependencies.revocation.run(
                    call.authorization.key,
                    self.dependencies.stream_proxy.open(call.routed_call),
                )
            except BaseException:
                self._release(call)
                raise
        except BuckthornstileError as error:
            if claim is not None and error.verdict is Verdict.NOT_RUN:
                await self.dependencies.deduplicator.release(*claim)
            raise
        if isinstance(opened, Response):
            self._release(call)
            headers = _add_ran_verdict(_filter_headers(opened.headers))
            return Response(opened.status, opened.body, headers)
        chunks = self._forward_events(call, opened)
        await anext(chunks)
        return StreamingResponse(200, (EVENT_STREAM_CONTENT_TYPE,), chunks)

    async def _claim(self, call: _Call) -> tuple[str, int] | None:
        """Claims a call that may run at most once and has an idempotency key.

        Returns:
            The digest of the call and the sequence number of its claim, or None if the
            call needs no claim.
        """
        key = call.request.idempotency_key
        if call.authorization.route.kind is not RouteKind.AT_MOST_ONCE or not key:
            return None
        digest = make_call_digest(call.authorization.account.name, key)
        return digest, await self.dependencies.deduplicator.claim(digest)

    async def _forward_events(
        self, call: _Call, opened: StreamingResponse
    ) -> AsyncGenerator[bytes, None]:
        """Forwards the chunks of a stream, then sends an event with length and digest.

        The last event lets the client check that it has received the whole stream.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        length = 0
        chunks = opened.chunks
        try:
            # A generator that has not started skips its cleanup when it is closed, so
            # the caller advances it to this yield first.
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
            end_event = {
                "length": length,
                "digest": digest.hexdigest(),
                "verdict": Verdict.RAN.value,
            }
            yield _encode_event("end", end_event)
        except BuckthornstileError as error:
            log_event(
                "stream.failed",
                request=call.request.id,
                error=error.code.value,
                reason=error.message,
            )
            yield _encode_event("error", {"error": describe_error(error)})
        finally:
            self._release(call)
            await chunks.aclose()

    # Admission

    async def _acquire(self, call: _Call) -> None:
        if self.dependencies.is_stopping():
            # The external load balancer may send calls until it sees that this entry
            # is not ready.
            log_event("call.while_stopping", request=call.request.id)
        deadline = self.dependencies.clock() + (
            call.routed_call.deadline - asyncio.get_running_loop().time()
        )
        await self.dependencies.admission.acquire(
            call.authorization.route.services[0][0],
            call.authorization.account,
            call.authorization.request_class,
            RequestId(call.request.id),
            cost=call.cost,
            deadline=deadline,
        )

    def _release(self, call: _Call) -> None:
        service = call.authorization.route.services[0][0]
        self.dependencies.admission.release(service, call.authorization.account.name)


async def _read_next(chunks: AsyncGenerator[bytes, None]) -> bytes | None:
    return await anext(chunks, None)


def _filter_headers(headers: Headers) -> Headers:
    return tuple(header for header in headers if header[0].lower() in RETURNED_HEADERS)


def _add_ran_verdict(headers: Headers) -> Headers:
    return (*headers, (VERDICT_HEADER, Verdict.RAN.value))


def _encode_event(name: str, data: object) -> bytes:
    r"""Encodes a server-sent event of the entry itself.

    Example:
        >>> _encode_event("end", {"length": 0})
        b'event: end\ndata: {"length": 0}\n\n'
    """
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()
