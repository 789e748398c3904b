"""The clock and random numbers, which the reducers receive in events only."""

import random
import time

BOOT_CLOCK = time.CLOCK_BOOTTIME


def now_ms() -> int:
    """Return the milliseconds since the VM's boot, including time in which it was suspended."""
    return int(time.clock_gettime(BOOT_CLOCK) * 1000)


def random_fraction() -> float:
    """Return a random number in [0, 1)."""
    return random.random()
