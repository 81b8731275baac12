"""Read the clock used for all intervals, which continues while the VM is suspended.

The monotonic clock of the system stops during a suspension: after one, leases would seem valid and
outdated state fresh, although seconds have passed for all other processes.
"""

from __future__ import annotations

import asyncio
import time

_MS_PER_S = 1000
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return monotonic seconds from an arbitrary origin, including time spent suspended."""
    return time.clock_gettime(_CLOCK)


def read_wall_clock_ms() -> int:
    """Return the wall-clock time in Unix milliseconds."""
    return int(time.time() * _MS_PER_S)


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """Schedule by `read_clock`: timers that expire during a suspension fire at its end."""

    def time(self) -> float:
        """Return the time that callbacks are scheduled by."""
        return read_clock()
