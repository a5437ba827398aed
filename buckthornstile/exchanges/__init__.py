"""HTTP exchanges with upstreams and with the platform."""

from buckthornstile.exchanges._exchange import (
    Answer,
    ConnectionPool,
    OutgoingRequest,
    is_silent,
)

__all__ = ["Answer", "ConnectionPool", "OutgoingRequest", "is_silent"]
