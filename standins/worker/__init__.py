"""A stand-in for a worker: a plain service or a model engine."""

from standins.worker._application import WorkerState, make_application
from standins.worker._tokens import generate_tokens, make_token

__all__ = ["WorkerState", "make_application", "make_token", "generate_tokens"]
