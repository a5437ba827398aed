"""Clock readings for the daemons' shells; the decision core takes them as arguments."""

from buckthornstile.clock._clock import read_boottime, read_wall_time

__all__ = ["read_boottime", "read_wall_time"]
