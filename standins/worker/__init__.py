"""A stand-in for a worker: a plain service or a model engine."""

from standins.worker._application import WorkerState, make_application
from standins.worker._texts import make_token, make_tokens

__all__ = ["WorkerState", "make_application", "make_token", "make_tokens"]
