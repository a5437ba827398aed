"""The library for callers and trainers."""

from buckthornstile.client._attempts import Attempt, CallAttempts, RetryPolicy
from buckthornstile.client._caller import Answer, CallerClient
from buckthornstile.client._errors import get_worst_verdict, parse_error
from buckthornstile.client._events import EventReader
from buckthornstile.client._session import Attach, LotSession, SessionPolicy, Step
from buckthornstile.client._trainer import ReceivedSample, TrainerClient

__all__ = [
    "Answer",
    "Attach",
    "Attempt",
    "CallAttempts",
    "CallerClient",
    "EventReader",
    "LotSession",
    "ReceivedSample",
    "RetryPolicy",
    "SessionPolicy",
    "Step",
    "TrainerClient",
    "get_worst_verdict",
    "parse_error",
]
