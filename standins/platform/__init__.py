"""A stand-in for the platform's service."""

from standins.platform._application import PlatformOptions, make_application

__all__ = ["PlatformOptions", "make_application"]
