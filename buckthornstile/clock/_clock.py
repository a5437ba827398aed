"""The two clocks that a daemon reads."""

import time


def read_boottime() -> float:
    """Reads a monotonic clock that goes on while the VM is suspended.

    The lease needs it: with CLOCK_MONOTONIC a VM that was suspended past the
    end of its lease would believe that no time has passed.

    Returns:
        Seconds since boot.

    Example:
        >>> read_boottime() <= read_boottime()
        True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time() -> float:
    """Reads the wall clock, for usage windows and for people only.

    Returns:
        Seconds since the epoch.

    Example:
        >>> read_wall_time() > 0
        True
    """
    return time.time()
