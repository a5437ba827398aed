"""The messages between the system's own processes.

Times that cross a connection are durations in seconds, never clock readings,
since the clocks of two VMs do not agree.
"""

from buckthornstile.wire._call_messages import (
    Answer,
    Cancel,
    Chunk,
    Dispatch,
    End,
    Seal,
    Sealed,
    Started,
)
from buckthornstile.wire._order_messages import (
    Order,
    OrderResult,
    WeightChunk,
    WeightRequest,
)
from buckthornstile.wire._peer_messages import (
    Challenge,
    Goodbye,
    Heartbeat,
    Hello,
    Relay,
    RelayRequest,
    Welcome,
)
from buckthornstile.wire._sample_messages import (
    AcknowledgeSamples,
    ConfirmUsage,
    FinishedList,
    FinishedRequest,
    FinishedSample,
)
from buckthornstile.wire._values import (
    RelayedRecord,
    Slot,
    TokenRange,
)

Message = (
    Challenge
    | Hello
    | Welcome
    | Dispatch
    | Started
    | Chunk
    | End
    | Answer
    | Cancel
    | Seal
    | Sealed
    | Heartbeat
    | Relay
    | RelayRequest
    | FinishedRequest
    | FinishedList
    | AcknowledgeSamples
    | ConfirmUsage
    | Order
    | OrderResult
    | WeightRequest
    | WeightChunk
    | Goodbye
)

__all__ = [
    "AcknowledgeSamples",
    "Answer",
    "Cancel",
    "Challenge",
    "Chunk",
    "ConfirmUsage",
    "Dispatch",
    "End",
    "FinishedList",
    "FinishedRequest",
    "FinishedSample",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "Message",
    "Order",
    "OrderResult",
    "Relay",
    "RelayRequest",
    "RelayedRecord",
    "Seal",
    "Sealed",
    "Slot",
    "Started",
    "TokenRange",
    "WeightChunk",
    "WeightRequest",
    "Welcome",
]
