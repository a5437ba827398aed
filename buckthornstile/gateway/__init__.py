"""The entry process on the users' platform."""

from buckthornstile.gateway._daemon import Gateway, run_gateway

__all__ = ["Gateway", "run_gateway"]
