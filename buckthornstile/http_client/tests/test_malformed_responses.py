"""Responses with malformed bytes hurt one request, with an error and a verdict."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.http_client import ConnectionPool, HTTPRequest, HTTPResponse
from buckthornstile.platform import decode_response_head

REQUEST = HTTPRequest("POST", "/x", [("Host", "h")], b"hi", "Request-Id", "r1")
ODD_VALUES = [b"\xb2", b"9" * 5000, b"-1", b"", b"1e9", b"0x1f", b"\xff\xfe", b"1,2,3"]
STATUS_LINES_WITHOUT_AN_ANSWER = [
    b"HTTP/1.1 000 ",
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 999 Odd",
]
SOUND_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"
HEADER_NAMES = [
    b"Keep-Alive",
    b"Content-Length",
    b"Transfer-Encoding",
    b"Connection",
    b"Server-Load",
    b"Weight-Versions",
    b"Instance-Id",
    b"Not-Run",
]
MALFORMED_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(HEADER_NAMES),
        st.one_of(
            st.sampled_from(ODD_VALUES),
            st.sampled_from(ODD_VALUES).map(lambda value: b"timeout=" + value),
            st.binary(max_size=20),
        ),
    ),
    max_size=4,
)


def send_to_server(*responses: bytes, closes: bool = True) -> list[object]:
    """Sends a request for each response and returns the outcomes.

    Args:
        *responses: The responses.
        closes: Whether the server closes each connection after its response.
    """

    async def run() -> list[object]:
        pending = list(responses)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(pending.pop(0))
                await writer.drain()
                if not closes:
                    await reader.read()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool()
        outcomes: list[object] = []
        for _ in responses:
            async with asyncio.timeout(5):
                results = await asyncio.gather(
                    pool.send(address, REQUEST, on_headers=decode_response_head),
                    return_exceptions=True,
                )
            outcomes += results
        pool.close()
        server.close()
        return outcomes

    return asyncio.run(run())


def make_response(headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Request-Id: r1"]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join([*lines, b"", body])


def check_outcome(outcome: object) -> None:
    if isinstance(outcome, BaseException):
        assert isinstance(outcome, BuckthornstileError), repr(outcome)
        assert outcome.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("name", HEADER_NAMES)
def test_odd_header_is_read_or_reported_with_a_verdict(
    name: bytes, value: bytes
) -> None:
    headers = [(name, value), (name, b"timeout=" + value)]
    for outcome in send_to_server(
        *(make_response([header], b"ok") for header in headers),
        *(
            make_response([(b"Content-Length", b"2"), header], b"ok")
            for header in headers
        ),
    ):
        check_outcome(outcome)


@pytest.mark.parametrize("line", STATUS_LINES_WITHOUT_AN_ANSWER)
@pytest.mark.parametrize("next_response", [b"", SOUND_RESPONSE], ids=["", "sound"])
@pytest.mark.parametrize(
    "body", [b"", b"Content-Length: 4\r\n\r\nodd\n"], ids=["", "body"]
)
def test_status_that_is_no_final_answer_fails_at_once(
    line: bytes, next_response: bytes, body: bytes
) -> None:
    """Callers got odd statuses as answers, or the response behind one."""
    head = line + b"\r\nRequest-Id: r1\r\nServer-Stamp: s1\r\n"
    (outcome,) = send_to_server(head + (body or b"\r\n") + next_response, closes=False)
    assert isinstance(outcome, BuckthornstileError), outcome
    assert outcome.code is ErrorCode.UPSTREAM_FAILED
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "line", [b"HTTP/1.1 100 Continue", b"HTTP/1.1 103 Early Hints"]
)
def test_interim_responses_are_skipped(line: bytes) -> None:
    (outcome,) = send_to_server(2 * (line + b"\r\n\r\n") + SOUND_RESPONSE)
    assert isinstance(outcome, HTTPResponse)
    assert (outcome.status, outcome.body) == (200, b"ok")


@settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=list(HealthCheck),
)
@given(MALFORMED_HEADERS, st.binary(max_size=40), st.binary(max_size=30))
def test_malformed_response_is_read_or_reported_with_a_verdict(
    headers: list[tuple[bytes, bytes]], body: bytes, first_line: bytes
) -> None:
    for outcome in send_to_server(
        make_response(headers, body), first_line + b"\r\n\r\n"
    ):
        check_outcome(outcome)
