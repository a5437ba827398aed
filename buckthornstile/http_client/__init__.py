"""HTTP exchanges with upstreams and with the platform."""

from buckthornstile.http_client._connection_pool import (
    ConnectionPool,
    HTTPRequest,
    HTTPResponse,
    is_reusable,
)

__all__ = ["HTTPResponse", "ConnectionPool", "HTTPRequest", "is_reusable"]
