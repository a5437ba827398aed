"""Decodes and encodes the requests of clients and the responses to them."""

from dataclasses import replace
from enum import Enum
from urllib.parse import quote, unquote

from tornado.httputil import HTTPHeaders

from buckthornstile.base import AccountId, ProcessName, parse_integer
from buckthornstile.http_client import HTTPRequest, HTTPResponse
from buckthornstile.messages import (
    ClientRequest,
    Headers,
    KeyDecision,
    Response,
    StreamingResponse,
)
from buckthornstile.platform._protocol_names import (
    API_KEY_HEADER,
    CHECKED_ACCOUNT_HEADER,
    CHECKED_VERSION_HEADER,
    CONNECTION_HEADERS,
    DEADLINE_HEADER,
    INTERNAL_HEADERS,
    ITEM_PATH,
    JOB_PATH,
    READY_PATH,
    REQUEST_ID_HEADER,
    RESUME_AFTER_HEADER,
    RESUMED_REQUEST_HEADER,
    RETRY_AFTER_HEADER,
    UPSTREAM_ID_HEADER,
    WAIT_HEADER,
)

MAX_WAIT = 1.0
"""Longest wait, in seconds, that a client may request for a long poll of results."""


class ResourceKind(Enum):
    """Kind of resource that a request's path names."""

    READY = "ready"
    JOB = "job"
    ITEM = "item"
    ROUTE = "route"


def parse_path(path: str) -> tuple[ResourceKind, str]:
    """Returns the kind of resource that a path names, and its id or an empty string."""
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
    """Decodes a client's request, without the headers that are not forwarded."""
    connection_options = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    dropped = CONNECTION_HEADERS | INTERNAL_HEADERS | connection_options
    dropped |= {"host", RESUME_AFTER_HEADER.lower()}
    path, _, query = target.partition("?")
    return ClientRequest(
        id=headers.get(REQUEST_ID_HEADER, ""),
        method=method,
        host=headers.get("Host", "").partition(":")[0].lower(),
        path=path,
        query=query,
        headers=tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in dropped
        ),
        body=body,
        key=headers.get(API_KEY_HEADER),
        remaining_time=_parse_milliseconds(headers.get(DEADLINE_HEADER)),
        wait=min(MAX_WAIT, _parse_milliseconds(headers.get(WAIT_HEADER)) or 0.0),
        last_event_id=parse_integer(headers.get(RESUME_AFTER_HEADER)),
        resumed_request=headers.get(RESUMED_REQUEST_HEADER, ""),
    )


def encode_forwarded_request(
    request: ClientRequest, decision: KeyDecision
) -> HTTPRequest:
    """Encodes a client's request for another entry, which repeats all checks."""
    headers = [("Host", request.host), (REQUEST_ID_HEADER, request.id)]
    headers += encode_key_decision(decision)
    if request.key is not None:
        headers.append((API_KEY_HEADER, request.key))
    if request.wait:
        headers.append((WAIT_HEADER, str(int(request.wait * 1000))))
    return HTTPRequest(request.method, request.target, headers, request.body or None)


def encode_key_decision(decision: KeyDecision) -> Headers:
    """Encodes what an entry has decided about a key, for another entry.

    Names of accounts may hold any characters, also lone surrogates.

    Example:
        >>> decision = KeyDecision(AccountId("mill/7"), 7)
        >>> decode_key_decision(encode_key_decision(decision)) == decision
        True
    """
    version = (CHECKED_VERSION_HEADER, str(decision.version))
    if decision.account is None:
        return (version,)
    account = quote(decision.account, safe="", errors="surrogatepass")
    return (version, (CHECKED_ACCOUNT_HEADER, account))


def decode_key_decision(headers: Headers) -> KeyDecision | None:
    """Decodes what another entry has decided about a key.

    Returns:
        The decision, or None if there is none: entries of earlier releases state none.
    """
    values = {name.lower(): value for name, value in headers}
    version = parse_integer(values.get(CHECKED_VERSION_HEADER.lower()))
    if version is None:
        return None
    account = values.get(CHECKED_ACCOUNT_HEADER.lower())
    if account is None:
        return KeyDecision(None, version)
    return KeyDecision(AccountId(unquote(account, errors="surrogatepass")), version)


def identify_responder(
    response: Response | StreamingResponse, name: ProcessName
) -> Response | StreamingResponse:
    """Adds the name of the entry that responds to another entry."""
    return replace(response, headers=(*response.headers, (UPSTREAM_ID_HEADER, name)))


def decode_responder(response: HTTPResponse) -> ProcessName:
    """Decodes the name of the entry that responded, or empty if there is none."""
    return ProcessName(response.headers.get(UPSTREAM_ID_HEADER, ""))


def decode_forwarded_response(response: HTTPResponse) -> Response:
    """Decodes the response of another entry to a forwarded request."""
    kept = ("content-type", RETRY_AFTER_HEADER.lower())
    headers = tuple(
        (name, value)
        for name, value in response.headers.get_all()
        if name.lower() in kept
    )
    return Response(response.status, bytes(response.body), headers)


def encode_response(
    request: ClientRequest, response: Response | StreamingResponse
) -> Headers:
    """Returns a response's headers, with the request's id and the retry delay."""
    headers = list(response.headers)
    names = {name.lower() for name, _ in headers}
    if request.id and REQUEST_ID_HEADER.lower() not in names:
        headers.append((REQUEST_ID_HEADER, request.id))
    if response.retry_after is not None:
        headers.append((RETRY_AFTER_HEADER, f"{response.retry_after:.3f}"))
    return tuple(headers)


def _parse_milliseconds(value: str | None) -> float | None:
    try:
        return max(0.0, float(value) / 1000) if value else None
    except ValueError:
        return None
