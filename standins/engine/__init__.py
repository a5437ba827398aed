"""A stand-in for a model engine."""

from standins.engine._application import make_application
from standins.engine._scheduler import EngineOptions, make_token

__all__ = ["EngineOptions", "make_application", "make_token"]
