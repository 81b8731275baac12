"""Estimate the step length of a group from its counters, and predict future steps."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from dalehollow.gateway.pass_times import PassTimes

FALLBACK_STEP_S = 0.1
SWITCH_MARGIN_S = 0.06
SWITCH_MARGIN_STEPS = 1
"""Margins of a switch's step beyond the step expected to run: for the round trips of hold, arm and
release, and for passes that are shorter than expected."""
LOST_ORDER_MARGIN_S = 0.3
"""Extra margin while orders go unanswered: two repeats of an order."""
SUSPECT_LENGTH_RATIO = 3.0
"""Ratio of step length to the published one for the batch, above which each rank is checked. The
initial map of a group, on which one rank has 2.8 times the mean load, makes it 2.5."""
_MS_PER_S = 1000


@dataclass
class StepClock:
    """Track the last step read, and the step length between reads."""

    pass_times: PassTimes
    is_standing_still: bool = False
    _last: tuple[float, int] | None = None
    _measured_s: float | None = None

    @property
    def step_s(self) -> float:
        """Return the step length between the last two reads, a default before that."""
        return FALLBACK_STEP_S if self._measured_s is None else self._measured_s

    def record(self, step: int) -> None:
        """Record the number of the last step that began."""
        now_s = asyncio.get_running_loop().time()
        self.is_standing_still = self._last is not None and step == self._last[1]
        if self._last is not None and step > self._last[1]:
            self._measured_s = (now_s - self._last[0]) / (step - self._last[1])
        self._last = (now_s, step)

    def longest_s(self) -> float | None:
        """Return the longest recent pass by this gateway's streams, else by the step counter.

        None if neither is available. With less than one request per rank the group may have been
        idle between steps, so the counter is not used.
        """
        streams_s = self.pass_times.longest_s()
        if streams_s is None and self.pass_times.mean_batch() >= 1:
            return self._measured_s
        return streams_s

    def is_suspect(self) -> bool:
        """Return whether steps take longer than any map explains.

        Uses the step counter, since this gateway's own streams may be too few. With less than one
        request per rank the group may have been idle between steps, so the result is False.
        """
        batch = self.pass_times.mean_batch()
        usual_s = self.pass_times.pass_ms(batch) / _MS_PER_S
        return batch >= 1 and self.step_s > SUSPECT_LENGTH_RATIO * usual_s

    def has_begun(self, step: int) -> bool:
        """Return whether a step had begun at the last read."""
        return self._last is not None and self._last[1] >= step

    def wait_s(self, step: int) -> float:
        """Return the expected time until a step begins."""
        if self._last is None:
            return 0.0
        read_at_s, last = self._last
        since_s = asyncio.get_running_loop().time() - read_at_s
        return max(0.0, (step - last) * self._expected_s() - since_s)

    def choose_step(self, lost_orders: bool) -> int:
        """Return an upcoming step, far enough ahead for the orders of a switch."""
        assert self._last is not None
        read_at_s, step = self._last
        margin_s = SWITCH_MARGIN_S + (LOST_ORDER_MARGIN_S if lost_orders else 0.0)
        since_s = asyncio.get_running_loop().time() - read_at_s
        return step + math.ceil((since_s + margin_s) / self._expected_s()) + SWITCH_MARGIN_STEPS

    def _expected_s(self) -> float:
        """Return the expected step length, by this gateway's streams if they give one."""
        return self.pass_times.pass_s() or self.step_s
