"""Test how standstills of a process are detected, and when requests after one were sent."""

from __future__ import annotations

import pytest

from dalehollow.gateway.standstill import CHECK_INTERVAL_S, MIN_STANDSTILL_S, StandstillWatch
from tests.manual_clock import ManualClock

STANDSTILL_S = 9.0


class _Process:
    """Provide a watch that is checked while the process runs."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.watch = StandstillWatch(self.clock)
        self.watch.start()

    def run_for(self, duration_s: float) -> None:
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            self.clock.now_s += CHECK_INTERVAL_S
            self.watch.check()

    def stand_still(self, duration_s: float = STANDSTILL_S) -> float:
        """Let time pass without a check; return when the process stood still."""
        began_at_s = self.clock.now_s
        self.clock.now_s += duration_s
        return began_at_s


def test_requests_of_a_running_process_did_not_wait() -> None:
    """Guards against dating requests back while nothing delays them."""
    process = _Process()
    process.run_for(3.0)
    process.stand_still(MIN_STANDSTILL_S - 0.01)
    assert process.watch.waiting_since_s() == process.clock.now_s
    assert process.watch.estimate_arrival_s(60.0) == process.clock.now_s


@pytest.mark.parametrize("is_checked", [False, True])
def test_requests_accepted_after_a_standstill_may_have_waited_for_all_of_it(
    is_checked: bool,
) -> None:
    """Guards against a request that is accepted before the first check after a standstill."""
    process = _Process()
    process.run_for(1.0)
    began_at_s = process.stand_still()
    if is_checked:
        process.watch.check()
    assert process.watch.waiting_since_s() == began_at_s


def test_later_requests_did_not_wait() -> None:
    """Guards against dating requests back after the backlog of a standstill is accepted."""
    process = _Process()
    process.stand_still()
    process.watch.check()
    process.run_for(CHECK_INTERVAL_S)
    assert process.watch.waiting_since_s() == process.clock.now_s


def test_a_backlog_that_delays_checks_belongs_to_the_standstill_before() -> None:
    """Guards against taking the rest of a large backlog for requests sent after the standstill."""
    process = _Process()
    began_at_s = process.stand_still()
    for _ in range(5):
        process.watch.check()
        process.stand_still(0.7)
        assert process.watch.waiting_since_s() == began_at_s


def test_a_process_that_is_always_late_does_not_remember_its_first_standstill() -> None:
    """Guards against a backlog that never ends on a VM without enough processor time."""
    process = _Process()
    for _ in range(20):
        began_at_s = process.stand_still(0.7)
        process.watch.check()
    assert process.watch.waiting_since_s() >= began_at_s - 0.7


def test_estimated_arrivals_are_spread_over_the_standstill_or_the_callers_timeout() -> None:
    """Guards against estimates that gather in one part of a standstill."""
    for timeout_s in (4.0, 60.0):
        process = _Process()
        process.stand_still()
        waited_s = min(timeout_s, STANDSTILL_S)
        ages_s = [
            process.clock.now_s - process.watch.estimate_arrival_s(timeout_s) for _ in range(40)
        ]
        for tenth in range(10):
            begin_s, end_s = tenth * waited_s / 10, (tenth + 1) * waited_s / 10
            assert sum(begin_s <= age_s < end_s for age_s in ages_s) in (3, 4, 5)
