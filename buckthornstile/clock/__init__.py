"""Clocks of the processes; decision code receives the time as an argument."""

from buckthornstile.clock._clock import read_boottime, read_wall_time

__all__ = ["read_boottime", "read_wall_time"]
