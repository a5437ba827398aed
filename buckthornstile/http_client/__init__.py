"""HTTP client with a connection pool, for upstreams and the platform."""

from buckthornstile.http_client._connection_pool import ConnectionPool, is_reusable
from buckthornstile.http_client._messages import HTTPRequest, HTTPResponse
from buckthornstile.http_client._response_limit import ResponseLimit
from buckthornstile.http_client._time_limit import limit_time

__all__ = [
    "HTTPResponse",
    "ConnectionPool",
    "HTTPRequest",
    "ResponseLimit",
    "is_reusable",
    "limit_time",
]
