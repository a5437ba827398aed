"""Types of client requests, upstream calls and their responses."""

from buckthornstile.messages._types import (
    ClientRequest,
    EngineReport,
    GenerationHints,
    GenerationSizes,
    Headers,
    LoadMode,
    LoadOrder,
    LoadOrderResult,
    PrefixBlock,
    Response,
    ResponseHead,
    RoutedCall,
    StreamEvent,
    StreamingResponse,
    UpstreamCall,
    UpstreamLoad,
)

__all__ = [
    "ClientRequest",
    "EngineReport",
    "GenerationHints",
    "GenerationSizes",
    "Headers",
    "LoadMode",
    "LoadOrderResult",
    "RoutedCall",
    "PrefixBlock",
    "Response",
    "StreamEvent",
    "StreamingResponse",
    "UpstreamCall",
    "ResponseHead",
    "UpstreamLoad",
    "LoadOrder",
]
