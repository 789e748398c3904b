"""The process's clock and random numbers, which the reducers get as events."""

import random
import time

CLOCK = time.CLOCK_BOOTTIME


def now_ms() -> int:
    """Return milliseconds that also count while the VM is suspended."""
    return int(time.clock_gettime(CLOCK) * 1000)


def draw() -> float:
    """Return a random number from [0, 1)."""
    return random.random()
