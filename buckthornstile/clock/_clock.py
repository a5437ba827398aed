"""The two clocks that a process reads."""

import time


def read_boottime() -> float:
    """Returns the time of a monotonic clock that advances while the VM is suspended.

    The lease requires this clock. CLOCK_MONOTONIC stops while a VM is suspended, so a
    process suspended beyond the end of its lease would still act as its holder.

    Returns:
        Seconds since boot.

    Example:
        >>> read_boottime() <= read_boottime()
        True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time() -> float:
    """Returns the wall clock time, which may jump and differ between VMs.

    Returns:
        Seconds since the epoch.

    Example:
        >>> read_wall_time() > 0
        True
    """
    return time.time()
