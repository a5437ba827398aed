"""Requests of clients and the answers that they get."""

from enum import Enum

from tornado.httputil import HTTPHeaders

from buckthornstile.http_client import HTTPRequest, HTTPResponse
from buckthornstile.messages import ClientRequest, Headers, Response, StreamingResponse
from buckthornstile.platform._protocol_names import (
    CONNECTION_HEADERS,
    DEADLINE,
    ITEM_PATH,
    JOB_PATH,
    KEY,
    OWN_HEADERS,
    READY_PATH,
    REQUEST_ID,
    RESUME_AFTER,
    RETRY_AFTER,
    WAIT,
    read_integer,
)

MAX_WAIT = 1.0
"""Seconds that a read of results may ask to be held."""


class ResourceKind(Enum):
    """What a request asks for."""

    READY = "ready"
    JOB = "job"
    ITEM = "item"
    ROUTE = "route"


def parse_path(path: str) -> tuple[ResourceKind, str]:
    """Tells what a path asks for, and the id that it names."""
    if path == READY_PATH:
        return ResourceKind.READY, ""
    if path.startswith(JOB_PATH):
        return ResourceKind.JOB, path[len(JOB_PATH) :]
    if path.startswith(ITEM_PATH):
        return ResourceKind.ITEM, path[len(ITEM_PATH) :]
    return ResourceKind.ROUTE, ""


def decode_request(
    method: str, target: str, headers: HTTPHeaders, body: bytes
) -> ClientRequest:
    """Decodes a client's request; what the system sets itself is left out."""
    named_by_connection = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    left_out = CONNECTION_HEADERS | OWN_HEADERS | named_by_connection
    left_out |= {"host", RESUME_AFTER.lower()}
    path, _, query = target.partition("?")
    return ClientRequest(
        id=headers.get(REQUEST_ID, ""),
        method=method,
        host=headers.get("Host", "").partition(":")[0].lower(),
        path=path,
        query=query,
        headers=tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in left_out
        ),
        body=body,
        key=headers.get(KEY),
        remaining_time=_read_milliseconds(headers.get(DEADLINE)),
        wait=min(MAX_WAIT, _read_milliseconds(headers.get(WAIT)) or 0.0),
        last_event_id=read_integer(headers.get(RESUME_AFTER)),
    )


def encode_forwarded_request(request: ClientRequest) -> HTTPRequest:
    """Encodes a client's request for another entry, which checks it anew."""
    headers = [("Host", request.host), (REQUEST_ID, request.id)]
    if request.key is not None:
        headers.append((KEY, request.key))
    if request.wait:
        headers.append((WAIT, str(int(request.wait * 1000))))
    return HTTPRequest(request.method, request.target, headers, request.body or None)


def decode_forwarded_response(answer: HTTPResponse) -> Response:
    """Decodes what another entry answered a client's request."""
    kept = ("content-type", RETRY_AFTER.lower())
    headers = tuple(
        (name, value)
        for name, value in answer.headers.get_all()
        if name.lower() in kept
    )
    return Response(answer.status, bytes(answer.body), headers)


def encode_response(
    request: ClientRequest, reply: Response | StreamingResponse
) -> Headers:
    """Gives the headers of an answer, without those of the connection."""
    headers = list(reply.headers)
    names = {name.lower() for name, _ in headers}
    if request.id and REQUEST_ID.lower() not in names:
        headers.append((REQUEST_ID, request.id))
    if reply.retry_after is not None:
        headers.append((RETRY_AFTER, f"{reply.retry_after:.3f}"))
    return tuple(headers)


def _read_milliseconds(value: str | None) -> float | None:
    try:
        return max(0.0, float(value) / 1000) if value else None
    except ValueError:
        return None
