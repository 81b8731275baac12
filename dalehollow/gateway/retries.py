"""Limit retries to a share of the requests received in a sliding window."""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass, field

STARTUP_SHARE = 1 / 3
"""Share of its budget that a process may use until it has run for a full window. A restarted
process does not know how many retries its predecessor sent within the window."""


@dataclass
class RetryWindow:
    """Count first attempts and retries to one service; times are monotonic seconds.

    A retry is allowed while the retries in the window stay below a share of its first attempts
    plus a fixed extra. Until a window has passed since `started_at_s`, the extra accrues linearly
    and only `STARTUP_SHARE` of the sum is allowed. `rounding_offset`, drawn uniformly from
    [0, 1), is added before the limit is truncated to an integer, so that the limits of many
    windows add up to the same total on average as without truncation.
    """

    window_s: float
    share: float
    extra: float
    started_at_s: float = float("-inf")
    rounding_offset: float = 0.0
    _first_attempts: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def count_first_attempt(self, arrived_at_s: float, now_s: float | None = None) -> None:
        """Count a first attempt at the time its request arrived, by default now."""
        bisect.insort(self._first_attempts, arrived_at_s)
        self._expire(arrived_at_s if now_s is None else now_s)

    def try_take(self, now_s: float) -> bool:
        """Count a retry if the budget allows one."""
        if self.count_available(now_s) < 1:
            return False
        self._retries.append(now_s)
        return True

    def mark_sent(self, taken_at_s: float, now_s: float) -> bool:
        """Count a retry from the time it is sent; return False if it may not be sent any more.

        A retry that waited for longer than the window must be taken again: another one may have
        used its place in the budget.
        """
        if taken_at_s not in self._retries:
            return self.try_take(now_s)
        self.release(taken_at_s)
        self._retries.append(now_s)
        self._expire(now_s)
        return True

    def release(self, taken_at_s: float) -> None:
        """Stop counting a retry that was taken at `taken_at_s`, if it is still in the window."""
        if taken_at_s in self._retries:
            self._retries.remove(taken_at_s)

    def count_available(self, now_s: float) -> int:
        """Return how many more retries the budget allows."""
        self._expire(now_s)
        return int(self._count_allowed(now_s) + self.rounding_offset) - len(self._retries)

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the counts and limits that decide whether the next retry is allowed."""
        room = self.count_available(now_s)
        return {
            "first_tries": len(self._first_attempts),
            "retries": len(self._retries),
            "room": room,
            "extra": round(self.extra, 2),
        }

    def _count_allowed(self, now_s: float) -> float:
        proportional = self.share * len(self._first_attempts)
        age_s = now_s - self.started_at_s
        if age_s >= self.window_s:
            return proportional + self.extra
        return STARTUP_SHARE * (proportional + self.extra * age_s / self.window_s)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= oldest_s:
                times.popleft()
