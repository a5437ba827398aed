"""Client library for callers and trainers."""

from buckthornstile.client._caller import Answer, CallerClient
from buckthornstile.client._errors import get_worst_verdict, parse_error
from buckthornstile.client._event_stream import EventStreamParser
from buckthornstile.client._retry import Attempt, RetryPolicy, RetryState
from buckthornstile.client._session import (
    AttachAttempt,
    LotSession,
    SessionAction,
    SessionPolicy,
)
from buckthornstile.client._trainer import ReceivedSample, TrainerClient

__all__ = [
    "Answer",
    "AttachAttempt",
    "Attempt",
    "RetryState",
    "CallerClient",
    "EventStreamParser",
    "LotSession",
    "ReceivedSample",
    "RetryPolicy",
    "SessionPolicy",
    "SessionAction",
    "TrainerClient",
    "get_worst_verdict",
    "parse_error",
]
