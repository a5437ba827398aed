"""A stand-in for a worker, which is a plain service or a model engine."""

from standins.worker._application import ERROR_BODY, WorkerState, make_application
from standins.worker._tokens import generate_token, generate_tokens

__all__ = [
    "ERROR_BODY",
    "WorkerState",
    "generate_token",
    "generate_tokens",
    "make_application",
]
