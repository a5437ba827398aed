"""Calls and orders to upstreams, and their answers."""

import json

from buckthornstile.base import UpstreamId
from buckthornstile.http_client import HTTPRequest, HTTPResponse
from buckthornstile.messages import (
    EngineReport,
    GenerationHints,
    Headers,
    LoadMode,
    LoadOrder,
    LoadOrderResult,
    ResponseHead,
    StreamEvent,
    UpstreamCall,
    UpstreamLoad,
)
from buckthornstile.platform._protocol_names import (
    ACCOUNT,
    CONNECTION_HEADERS,
    DEADLINE,
    EXPECTED_TOKENS,
    EXPECTED_UPSTREAM,
    EXPECTED_VERSION,
    LOAD,
    MODEL,
    NOT_RUN,
    ORDER_PATH,
    PREFIX,
    REPORT_PATH,
    REQUEST_ID,
    RESUME_AFTER,
    SIGNATURE,
    TOKENS,
    UPSTREAM_ID,
    URGENCY,
    VERSIONS,
    read_integer,
)
from buckthornstile.topology import ModelName

OTHER_UPSTREAM_STATUS = 421
MODES = {LoadMode.FINISH_FIRST: "wait", LoadMode.CONTINUE: "continue"}
ORDER_ANSWERS = {
    202: LoadOrderResult.ACCEPTED,
    200: LoadOrderResult.ALREADY_HOLDS,
    409: LoadOrderResult.CONFLICT,
    421: LoadOrderResult.OTHER_UPSTREAM,
}


def encode_upstream_call(call: UpstreamCall) -> HTTPRequest:
    """Encodes a call; only the upstream it is meant for will run it."""
    headers = [("Host", call.host)]
    left_out = {REQUEST_ID.lower(), RESUME_AFTER.lower()}
    headers += [one for one in call.headers if one[0].lower() not in left_out]
    headers += [
        (REQUEST_ID, call.id),
        (DEADLINE, str(max(1, int(call.remaining_time * 1000)))),
        (EXPECTED_UPSTREAM, call.upstream),
    ]
    if call.account is not None:
        headers.append((ACCOUNT, call.account))
    if call.urgency is not None:
        headers.append((URGENCY, str(call.urgency)))
    if call.last_event_id is not None:
        headers.append((RESUME_AFTER, str(call.last_event_id)))
    if call.version is not None:
        headers.append((EXPECTED_VERSION, str(call.version)))
    body = call.body if call.body or call.method not in ("GET", "HEAD") else None
    return HTTPRequest(
        call.method, call.target, headers, body, echo_header=REQUEST_ID, echo=call.id
    )


def encode_generation(generation: GenerationHints) -> Headers:
    """Encodes what a model engine is told of a request beside its body."""
    parts = ",".join(f"{part.hash}:{part.tokens}" for part in generation.prefix)
    headers = [
        (MODEL, generation.model),
        (TOKENS, f"{generation.prompt_tokens},{generation.max_tokens}"),
        (PREFIX, parts),
    ]
    if generation.expected_tokens:
        headers.append((EXPECTED_TOKENS, str(generation.expected_tokens)))
    return tuple(headers)


def decode_response_head(answer: HTTPResponse) -> ResponseHead:
    """Decodes the head of an upstream's answer."""
    headers = answer.headers
    kept = tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in CONNECTION_HEADERS
    )
    is_other = answer.status == OTHER_UPSTREAM_STATUS
    other = headers.get(UPSTREAM_ID) if is_other else None
    return ResponseHead(
        status=answer.status,
        headers=kept,
        is_refusal=NOT_RUN in headers or is_other,
        has_content_encoding="Content-Encoding" in headers,
        signature=headers.get(SIGNATURE, ""),
        load=_decode_load(headers.get(LOAD)),
        version=read_integer(headers.get(VERSIONS)),
        other_upstream=UpstreamId(other) if other else None,
    )


def encode_order(order: LoadOrder) -> HTTPRequest:
    """Encodes an order to load a version."""
    data = {
        "operation": "version",
        "model": order.model,
        "version": order.version,
        "mode": MODES[order.mode],
        "holder": order.holder,
        "fence": order.term,
        "precondition": order.expected_orders,
    }
    headers = [
        ("Host", "upstream"),
        ("Content-Type", "application/json"),
        (EXPECTED_UPSTREAM, order.upstream),
    ]
    return HTTPRequest("POST", ORDER_PATH, headers, json.dumps(data).encode())


def decode_order_answer(answer: HTTPResponse) -> LoadOrderResult:
    """Decodes what an upstream says to an order."""
    return ORDER_ANSWERS.get(answer.status, LoadOrderResult.INVALID)


def encode_report_request(upstream: UpstreamId) -> HTTPRequest:
    """Encodes the question for an engine's own report."""
    headers = [("Host", "upstream"), (EXPECTED_UPSTREAM, upstream)]
    return HTTPRequest("GET", REPORT_PATH, headers)


def decode_report(answer: HTTPResponse) -> EngineReport:
    """Decodes an engine's report.

    Raises:
        ValueError: It is no report.
    """
    if answer.status != 200:
        raise ValueError(f"the report has status {answer.status}")
    try:
        data = json.loads(bytes(answer.body))
        versions = {
            ModelName(one["name"]): int(one["version"]) for one in data["models"]
        }
        # The name says "sequence"; it counts the orders accepted so far.
        return EngineReport(versions, bool(data["busy"]), int(data["sequence"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"the report lacks {error}") from error


class UpstreamEventParser:
    r"""Splits a stream into events as its bytes arrive.

    Args:
        version: The version that the answer's head names.

    Example:
        >>> reader = UpstreamEventParser(3)
        >>> events = reader.feed(b"id: 1\ndata: a\n\nweight-versions: 4\nid: 2")
        >>> events += reader.feed(b"\ndata: b\n\n")
        >>> [(event.id, event.data, event.version) for event, _ in events]
        [(1, 'a', 3), (2, 'b', 4)]
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self._rest = b""

    def feed(self, chunk: bytes) -> list[tuple[StreamEvent, bytes]]:
        """Reads the next bytes.

        Returns:
            The events that they complete, each with its own bytes.

        Raises:
            ValueError: They are no events.
        """
        blocks = (self._rest + chunk).split(b"\n\n")
        self._rest = blocks.pop()
        events = ((self._read_block(block), block) for block in blocks)
        return [(event, block) for event, block in events if event is not None]

    def is_between_events(self) -> bool:
        """Whether no event is half read."""
        return not self._rest.strip()

    def _read_block(self, block: bytes) -> StreamEvent | None:
        event_id: int | None = None
        data: list[str] = []
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                event_id = int(value)
            elif name == "data":
                data.append(value)
            elif name == VERSIONS.lower():
                self.version = int(value)
        if event_id is None:
            return None
        return StreamEvent(event_id, "\n".join(data), self.version)


def encode_event(block: bytes, version: int | None) -> bytes:
    r"""Encodes an event for a client.

    Args:
        block: The event's bytes, as its upstream sent them.
        version: The version that made it, if it differs from that of the event
            before and the client must be told.

    Example:
        >>> encode_event(b"id: 7\ndata: a", 4)
        b'weight-versions: 4\nid: 7\ndata: a\n\n'
    """
    name = VERSIONS.lower().encode()
    if version is not None and not block.startswith(name + b":"):
        block = b"%s: %d\n%s" % (name, version, block)
    return block + b"\n\n"


def _decode_load(value: str | None) -> UpstreamLoad | None:
    try:
        running, waiting, slots = (int(one) for one in (value or "").split(","))
    except ValueError:
        return None
    return UpstreamLoad(running, waiting, slots)
