"""HTTP client with a connection pool, for upstreams and the platform."""

from buckthornstile.http_client._connection_pool import (
    ConnectionPool,
    HTTPRequest,
    HTTPResponse,
    is_reusable,
)

__all__ = ["HTTPResponse", "ConnectionPool", "HTTPRequest", "is_reusable"]
