"""A stand-in for a worker: a plain service or a model engine."""

from standins.worker._application import WorkerState, make_application

__all__ = ["WorkerState", "make_application"]
