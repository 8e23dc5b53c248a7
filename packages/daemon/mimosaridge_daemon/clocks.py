"""Clocks."""

import time


def since_boot_s() -> float:
    """Returns the time since the machine's boot, seconds.

    Unlike the monotonic clock it goes on while the machine is suspended, so it
    measures what other machines may have done meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
