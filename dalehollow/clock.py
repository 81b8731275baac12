"""Read the one clock of the product, which goes on while the VM is suspended.

The steady clock of the system does not count a suspension: a lease would seem to hold, and old
knowledge to be fresh, though others have gone on for seconds.
"""

from __future__ import annotations

import asyncio
import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return seconds that never go back, from a moment of no meaning."""
    return time.clock_gettime(_CLOCK)


class ClockLoop(asyncio.SelectorEventLoop):
    """Run an event loop by the product's clock: what fell due in a suspension is due at its end."""

    def time(self) -> float:
        """Return the time by which everything in the loop is scheduled."""
        return read_clock()
