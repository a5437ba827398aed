"""Encodes calls and orders to upstreams, and decodes their responses and streams."""

import json
from dataclasses import dataclass

from buckthornstile.base import UpstreamId, parse_integer, parse_json
from buckthornstile.http_client import HTTPRequest, HTTPResponse
from buckthornstile.messages import (
    EngineReport,
    GenerationHints,
    GenerationSizes,
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
    ACCOUNT_HEADER,
    CONNECTION_HEADERS,
    DEADLINE_HEADER,
    EXPECTED_TOKENS_HEADER,
    EXPECTED_UPSTREAM_HEADER,
    EXPECTED_VERSION_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    MODEL_HEADER,
    NOT_RUN_HEADER,
    ORDER_PATH,
    PROMPT_PREFIX_HEADER,
    RATE_LIMIT_HEADER,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    RESUME_AFTER_HEADER,
    SIGNATURE_HEADER,
    TOKEN_COUNTS_HEADER,
    UPSTREAM_ID_HEADER,
    URGENCY_HEADER,
    VERSIONS_HEADER,
)
from buckthornstile.topology import ModelName

OTHER_UPSTREAM_STATUS = 421
"""Status with which an upstream refuses a call that is meant for another one."""
TOO_MANY_STATUS = 429
LOAD_MODES = {LoadMode.FINISH_FIRST: "wait", LoadMode.CONTINUE: "continue"}
"""The protocol's name of each load mode."""
MAX_SLOWDOWN_PERCENT = 1e6
"""Duration of work, where 100 is usual, from which a report counts as malformed."""
MAX_STATED_TOKENS = 10_000_000
"""Number of tokens from which a request's stated size counts as malformed."""
ORDER_RESULTS = {
    202: LoadOrderResult.ACCEPTED,
    200: LoadOrderResult.ALREADY_HOLDS,
    409: LoadOrderResult.CONFLICT,
    421: LoadOrderResult.OTHER_UPSTREAM,
}
"""Result of an order by the status of the response to it."""


def encode_upstream_call(call: UpstreamCall) -> HTTPRequest:
    """Encodes a call, with a header that makes any other upstream refuse it."""
    headers = [("Host", call.host)]
    dropped = {REQUEST_ID_HEADER.lower(), RESUME_AFTER_HEADER.lower()}
    headers += [header for header in call.headers if header[0].lower() not in dropped]
    headers += [
        (REQUEST_ID_HEADER, call.id),
        (DEADLINE_HEADER, str(max(1, int(call.remaining_time * 1000)))),
        (EXPECTED_UPSTREAM_HEADER, call.upstream),
    ]
    if call.account is not None:
        headers.append((ACCOUNT_HEADER, call.account))
    if call.urgency is not None:
        headers.append((URGENCY_HEADER, str(call.urgency)))
    if call.last_event_id is not None:
        headers.append((RESUME_AFTER_HEADER, str(call.last_event_id)))
    if call.version is not None:
        headers.append((EXPECTED_VERSION_HEADER, str(call.version)))
    body = call.body if call.body or call.method not in ("GET", "HEAD") else None
    return HTTPRequest(
        call.method,
        call.target,
        headers,
        body,
        echo_header=REQUEST_ID_HEADER,
        echo=call.id,
    )


def encode_generation(generation: GenerationHints) -> Headers:
    """Encodes hints for the model engine as headers of a generation request."""
    blocks = ",".join(f"{block.hash}:{block.tokens}" for block in generation.prefix)
    headers = [
        (MODEL_HEADER, generation.model),
        (TOKEN_COUNTS_HEADER, f"{generation.prompt_tokens},{generation.max_tokens}"),
        (PROMPT_PREFIX_HEADER, blocks),
    ]
    if generation.expected_tokens:
        headers.append((EXPECTED_TOKENS_HEADER, str(generation.expected_tokens)))
    return tuple(headers)


def decode_generation_sizes(headers: Headers) -> GenerationSizes:
    """Decodes the sizes that a request to a model engine states in its headers.

    Malformed or missing figures count as not stated.
    """
    values = {name.lower(): value for name, value in headers}
    counts = values.get(TOKEN_COUNTS_HEADER.lower(), "").split(",")
    return GenerationSizes(
        prompt_tokens=_parse_size(counts[0]),
        max_tokens=_parse_size(counts[1]) if len(counts) > 1 else 0,
        expected_tokens=_parse_size(values.get(EXPECTED_TOKENS_HEADER.lower(), "")),
    )


def decode_response_head(response: HTTPResponse) -> ResponseHead:
    """Decodes the status and the headers of an upstream's response."""
    headers = response.headers
    kept = tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in CONNECTION_HEADERS
    )
    is_other_upstream = response.status == OTHER_UPSTREAM_STATUS
    other_upstream = headers.get(UPSTREAM_ID_HEADER) if is_other_upstream else None
    return ResponseHead(
        status=response.status,
        headers=kept,
        is_refusal=NOT_RUN_HEADER in headers or is_other_upstream,
        has_content_encoding="Content-Encoding" in headers,
        signature=headers.get(SIGNATURE_HEADER, ""),
        load=_decode_load(headers.get(LOAD_HEADER)),
        rate_limit=decode_rate_limit(response),
        is_leaving=response.headers.get(LEAVING_HEADER, "").strip() == "1",
        version=parse_integer(headers.get(VERSIONS_HEADER)),
        other_upstream=UpstreamId(other_upstream) if other_upstream else None,
    )


def decode_rate_limit(response: HTTPResponse) -> float | None:
    """Decodes the rate limit that an upstream states with a response.

    Returns:
        Requests per second from all processes together, or None if the response states
        no valid limit.
    """
    return _parse_decimal(response.headers.get(RATE_LIMIT_HEADER, ""))


def encode_order(order: LoadOrder) -> HTTPRequest:
    """Encodes an order to load a version of a model's weights."""
    data = {
        "operation": "version",
        "model": order.model,
        "version": order.version,
        "mode": LOAD_MODES[order.mode],
        "holder": order.holder,
        "fence": order.term,
        "precondition": order.expected_orders,
    }
    headers = [
        ("Host", "upstream"),
        ("Content-Type", "application/json"),
        (EXPECTED_UPSTREAM_HEADER, order.upstream),
    ]
    return HTTPRequest("POST", ORDER_PATH, headers, json.dumps(data).encode())


def decode_order_answer(response: HTTPResponse) -> LoadOrderResult:
    """Decodes an upstream's response to an order."""
    return ORDER_RESULTS.get(response.status, LoadOrderResult.INVALID)


def encode_report_request(upstream: UpstreamId) -> HTTPRequest:
    """Encodes a request for an engine's report of its state."""
    headers = [("Host", "upstream"), (EXPECTED_UPSTREAM_HEADER, upstream)]
    return HTTPRequest("GET", REPORT_PATH, headers)


@dataclass(frozen=True, slots=True)
class ReportedStart:
    """What a report says of the incarnation that sent it.

    Attributes:
        started_at_ms: Its start, in milliseconds since the epoch, or None if the report
            does not state it.
        is_other_upstream: Whether another upstream has answered.
    """

    started_at_ms: int | None = None
    is_other_upstream: bool = False


def decode_start(response: HTTPResponse) -> ReportedStart | None:
    """Decodes when the upstream that sent a report started.

    Returns:
        The start, or None if the upstream could not report.
    """
    if response.status == OTHER_UPSTREAM_STATUS:
        return ReportedStart(is_other_upstream=True)
    if response.status == TOO_MANY_STATUS or response.status >= 500:
        return None
    try:
        data = parse_json(response.body)
    except ValueError:
        return ReportedStart()
    started_at_ms = data.get("born") if isinstance(data, dict) else None
    is_integer = isinstance(started_at_ms, int) and not isinstance(started_at_ms, bool)
    return ReportedStart(started_at_ms if is_integer else None)


def decode_report(response: HTTPResponse) -> EngineReport:
    """Decodes an engine's report.

    Raises:
        ValueError: The status is not 200, or the report is malformed.
    """
    if response.status != 200:
        raise ValueError(f"the report has status {response.status}")
    try:
        data = parse_json(response.body)
        versions = {
            ModelName(model["name"]): int(model["version"]) for model in data["models"]
        }
        # Despite its name, "sequence" is the number of orders accepted so far.
        return EngineReport(versions, bool(data["busy"]), int(data["sequence"]))
    except (KeyError, TypeError) as error:
        raise ValueError(
            f"the report lacks a field or has one of another type: {error}"
        ) from error


MAX_EVENT_BYTES = 1 << 20


class UpstreamEventParser:
    r"""Parses a stream of events incrementally, as its bytes arrive.

    Args:
        version: Version of the first events, from the response's headers.

    Example:
        >>> parser = UpstreamEventParser(3)
        >>> events = parser.feed(b"id: 1\ndata: a\n\nweight-versions: 4\nid: 2")
        >>> events += parser.feed(b"\ndata: b\n\n")
        >>> [(event.id, event.data, event.version) for event, _ in events]
        [(1, 'a', 3), (2, 'b', 4)]
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[tuple[StreamEvent, bytes]]:
        """Parses the next bytes.

        Returns:
            The events that the bytes complete, each with its encoded form.

        Raises:
            ValueError: A block of the stream is not a valid event, or is longer than
                ``MAX_EVENT_BYTES``.
        """
        blocks = (self._buffer + chunk).split(b"\n\n")
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        events = ((self._parse_block(block), block) for block in blocks)
        return [(event, block) for event, block in events if event is not None]

    def is_between_events(self) -> bool:
        """Whether the bytes so far end at the end of an event."""
        return not self._buffer.strip()

    def _parse_block(self, block: bytes) -> StreamEvent | None:
        event_id: int | None = None
        data: list[str] = []
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                event_id = int(value)
            elif name == "data":
                data.append(value)
            elif name == VERSIONS_HEADER.lower():
                self.version = int(value)
        if event_id is None:
            return None
        return StreamEvent(event_id, "\n".join(data), self.version)


def encode_event(block: bytes, version: int | None) -> bytes:
    r"""Encodes an event for a client.

    Args:
        block: The event's bytes, as its upstream sent them.
        version: The version that produced the event, if it differs from that of the
            event before and the client must be notified; otherwise None.

    Example:
        >>> encode_event(b"id: 7\ndata: a", 4)
        b'weight-versions: 4\nid: 7\ndata: a\n\n'
    """
    name = VERSIONS_HEADER.lower().encode()
    if version is not None and not block.startswith(name + b":"):
        block = b"%s: %d\n%s" % (name, version, block)
    return block + b"\n\n"


def _parse_size(value: str) -> int:
    """Returns a number of tokens, or 0 if it is malformed or out of range."""
    size = parse_integer(value.strip()) or 0
    return size if 0 < size <= MAX_STATED_TOKENS else 0


def _parse_decimal(value: str) -> float | None:
    """Returns a text as a non-negative number without sign and exponent, or None."""
    value = value.strip()
    is_decimal = value.isascii() and value.replace(".", "", 1).isdigit()
    return float(value) if is_decimal else None


def _decode_load(value: str | None) -> UpstreamLoad | None:
    """Decodes a load; figures after the fourth are ignored."""
    figures = (value or "").split(",")
    counts = [parse_integer(figure.strip()) for figure in figures[:3]]
    if len(counts) < 3 or None in counts:
        return None
    running, waiting, slots = (count or 0 for count in counts)
    percent = _parse_decimal(figures[3]) if len(figures) > 3 else None
    slowdown = percent / 100 if percent and percent < MAX_SLOWDOWN_PERCENT else None
    return UpstreamLoad(running, waiting, slots, slowdown)
