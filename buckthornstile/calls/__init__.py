"""Requests of clients, calls to upstreams and their answers."""

from buckthornstile.calls._types import (
    ClientRequest,
    EngineReport,
    Generation,
    Headers,
    LoadMode,
    OrderAnswer,
    PlannedCall,
    PromptPart,
    Reply,
    StreamEvent,
    StreamReply,
    UpstreamCall,
    UpstreamHead,
    UpstreamLoad,
    VersionOrder,
)

__all__ = [
    "ClientRequest",
    "EngineReport",
    "Generation",
    "Headers",
    "LoadMode",
    "OrderAnswer",
    "PlannedCall",
    "PromptPart",
    "Reply",
    "StreamEvent",
    "StreamReply",
    "UpstreamCall",
    "UpstreamHead",
    "UpstreamLoad",
    "VersionOrder",
]
