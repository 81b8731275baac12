"""Follow the steps of a group by its counters: how long they last, and which is to come."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from dalehollow.gateway.pass_times import PassTimes

FALLBACK_STEP_S = 0.1
SWITCH_MARGIN_S = 0.06
SWITCH_MARGIN_STEPS = 1
"""A switch is set so far ahead of the step that is expected to run: the round trips of hold, arms
and release, and passes that are shorter than expected."""
LOST_ORDER_MARGIN_S = 0.3
"""So much further ahead while orders go unanswered: two repeats of an order."""
SUSPECT_LENGTH = 3.0
"""Steps so many times longer than published for their batch call for a look at each rank: the
first map of a group, on which one rank has 2.8 times the mean load, makes them 2.5 times longer."""
_MS_PER_S = 1000


@dataclass
class StepClock:
    """Hold the last step that was read, and how long steps took between readings."""

    pass_times: PassTimes
    is_standing_still: bool = False
    _last: tuple[float, int] | None = None
    _measured_s: float | None = None

    @property
    def step_s(self) -> float:
        """Return how long steps took between the last readings, or a guess before that."""
        return FALLBACK_STEP_S if self._measured_s is None else self._measured_s

    def note(self, step: int) -> None:
        """Take the number of the last step that began."""
        now_s = asyncio.get_running_loop().time()
        self.is_standing_still = self._last is not None and step == self._last[1]
        if self._last is not None and step > self._last[1]:
            self._measured_s = (now_s - self._last[0]) / (step - self._last[1])
        self._last = (now_s, step)

    def longest_s(self) -> float | None:
        """Return the longest recent pass, as own streams or else the steps tell, if either does.

        With less than a request a rank the group may have rested between steps.
        """
        told_s = self.pass_times.longest_s()
        if told_s is None and self.pass_times.mean_batch() >= 1:
            return self._measured_s
        return told_s

    def is_suspect(self) -> bool:
        """Return whether steps take too long for any map.

        The pieces of this gateway's own streams may be too few to tell. With less than a request
        a rank the group may have rested between steps.
        """
        batch = self.pass_times.mean_batch()
        usual_s = self.pass_times.pass_ms(batch) / _MS_PER_S
        return batch >= 1 and self.step_s > SUSPECT_LENGTH * usual_s

    def has_begun(self, step: int) -> bool:
        """Return whether a step had begun when the steps were last read."""
        return self._last is not None and self._last[1] >= step

    def wait_s(self, step: int) -> float:
        """Return how long it is expected to take until a step begins."""
        if self._last is None:
            return 0.0
        read_at_s, last = self._last
        since_s = asyncio.get_running_loop().time() - read_at_s
        return max(0.0, (step - last) * self._expected_s() - since_s)

    def choose_step(self, lost_orders: bool) -> int:
        """Return a step that is about to come, far enough ahead for the orders of a switch."""
        assert self._last is not None
        read_at_s, step = self._last
        margin_s = SWITCH_MARGIN_S + (LOST_ORDER_MARGIN_S if lost_orders else 0.0)
        since_s = asyncio.get_running_loop().time() - read_at_s
        return step + math.ceil((since_s + margin_s) / self._expected_s()) + SWITCH_MARGIN_STEPS

    def _expected_s(self) -> float:
        """Return how long the next steps will take, by own streams rather than by readings."""
        return self.pass_times.pass_s() or self.step_s
