"""Requests of clients, calls to upstreams and their answers."""

from buckthornstile.calls._types import (
    ClientRequest,
    EngineReport,
    Headers,
    LoadMode,
    OrderAnswer,
    PlannedCall,
    Reply,
    StreamEvent,
    UpstreamCall,
    UpstreamHead,
    UpstreamLoad,
    VersionOrder,
)

__all__ = [
    "ClientRequest",
    "EngineReport",
    "Headers",
    "LoadMode",
    "OrderAnswer",
    "PlannedCall",
    "Reply",
    "StreamEvent",
    "UpstreamCall",
    "UpstreamHead",
    "UpstreamLoad",
    "VersionOrder",
]
