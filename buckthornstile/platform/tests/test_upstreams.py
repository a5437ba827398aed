"""Decoding of what upstreams state in their responses."""

import pytest
from tornado.httputil import HTTPHeaders

from buckthornstile.http_client import HTTPResponse
from buckthornstile.platform import decode_response_head


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        ("3.2", 3.2),
        ("12", 12.0),
        (" 1.0 ", 1.0),
        ("0", 0.0),
        ("", None),
        ("nan", None),
        ("inf", None),
        ("-1", None),
        ("1e3", None),
        ("1.2.3", None),
        ("\u0663", None),
    ],
)
@pytest.mark.parametrize("status", [200, 500, 503])
def test_rate_limit_is_decoded_from_every_response(
    value: str, limit: float | None, status: int
) -> None:
    headers = HTTPHeaders({"Server-Limit": value})
    assert decode_response_head(HTTPResponse(status, headers)).rate_limit == limit


def test_response_without_rate_limit() -> None:
    head = decode_response_head(HTTPResponse(200, HTTPHeaders()))
    assert head.rate_limit is None
