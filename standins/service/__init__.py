"""A stand-in for a plain service whose orders must not be repeated."""

from standins.service._application import make_application

__all__ = ["make_application"]
