"""Detect when this process stood still, and since when requests accepted now may have waited.

A process that gets no turn, or whose VM is suspended, accepts at once what callers sent meanwhile.
Anything counted by the time at which it is taken in would then count for a moment instead of the
seconds in which it happened.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dalehollow.telemetry.logs import log_event

CHECK_INTERVAL_S = 0.2
MIN_STANDSTILL_S = 2 * CHECK_INTERVAL_S
"""A busy event loop delays a check as well, but requests do not wait long behind it."""
_GOLDEN_RATIO = 0.6180339887498949
"""Its multiples, modulo 1, are spread evenly however many there are."""

_LOG = logging.getLogger(__name__)


class StandstillWatch:
    """Track standstills of this process by the gaps between its checks."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Detect nothing before `start`."""
        self._clock = clock
        self._checked_at_s: float | None = None
        # The last standstill; the requests that it delayed are accepted after it.
        self._began_at_s = self._ended_at_s = float("-inf")
        self._stood_still_s = 0.0
        self._spread = 0.0

    async def run(self) -> None:
        """Check periodically; never returns."""
        self.start()
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def start(self) -> None:
        """Expect checks from now on."""
        self._checked_at_s = self._clock()

    def check(self) -> None:
        """Record a standstill since the last check if there was one."""
        if self._checked_at_s is None:
            return
        now_s = self._clock()
        began_at_s, self._checked_at_s = self._checked_at_s, now_s
        gap_s = now_s - began_at_s
        if gap_s < MIN_STANDSTILL_S:
            return
        log_event(_LOG, "stood_still", logging.WARNING, for_s=round(gap_s, 3))
        if not self._is_backlog_left(began_at_s, gap_s):
            self._began_at_s = began_at_s
        self._ended_at_s = now_s
        self._stood_still_s += gap_s

    def waiting_since_s(self) -> float:
        """Return since when a request that is accepted now may have waited."""
        self.check()
        now_s = self._clock()
        return self._began_at_s if now_s - self._ended_at_s < CHECK_INTERVAL_S else now_s

    def has_ended_since(self, at_s: float) -> bool:
        """Return whether a standstill has ended since `at_s`."""
        self.check()
        return self._ended_at_s > at_s

    def running_s(self) -> float:
        """Return the time for which the process ran, in seconds from an arbitrary origin.

        What upstreams and callers did during a standstill was not seen, so durations that say how
        fast they are exclude it.
        """
        self.check()
        return self._clock() - self._stood_still_s

    def running_for_s(self) -> float:
        """Return the time since the last standstill, infinite if there was none."""
        self.check()
        return self._clock() - self._ended_at_s

    def estimate_arrival_s(self, timeout_s: float) -> float:
        """Return when the caller probably sent a request that is accepted now.

        Requests that waited are spread evenly over the standstill, as far back as their callers'
        timeouts allow.
        """
        now_s = self._clock()
        waited_s = min(timeout_s, now_s - self.waiting_since_s())
        if waited_s <= 0:
            return now_s
        self._spread = (self._spread + _GOLDEN_RATIO) % 1.0
        return now_s - self._spread * waited_s

    def _is_backlog_left(self, began_at_s: float, gap_s: float) -> bool:
        """Return whether a gap is spent on the requests that a longer standstill before delayed."""
        is_continued = began_at_s - self._ended_at_s < MIN_STANDSTILL_S
        return is_continued and gap_s < self._ended_at_s - self._began_at_s
