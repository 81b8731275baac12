"""Test that at most one process holds a duty, and that its fence rises, over pauses and faults."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dalehollow.groups.duty import LEASE_MS, Duty
from tests.fake_keyvalue import FakeKeyValue

NAMES = ("a", "b", "c")
FAULTS = ("", "", "", "down", "lose_answer", "lose_call")


class OneHolder(RuleBasedStateMachine):
    """Let processes seek the duty, pause, restart, and meet every fault of the service."""

    @initialize()
    def begin(self) -> None:
        self.now_s = 100.0
        self.kv = FakeKeyValue()
        self.duties = {name: self.make(name) for name in NAMES}
        self.tenures: dict[int, str] = {}

    def make(self, name: str) -> Duty:
        return Duty(self.kv, "duty/g", name, clock=lambda: self.now_s)

    @rule(step_s=st.floats(0.1, 4.0))
    def pass_time(self, step_s: float) -> None:
        self.now_s += step_s

    @rule(name=st.sampled_from(NAMES), fault=st.sampled_from(FAULTS))
    def seek(self, name: str, fault: str) -> None:
        self.kv.fault = fault
        self.duties[name].advance()
        self.kv.fault = ""
        self.note_tenure(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.duties[name] = self.make(name)

    @rule(name=st.sampled_from(NAMES))
    def release(self, name: str) -> None:
        self.duties[name].release()

    def note_tenure(self, name: str) -> None:
        fence = self.duties[name].fence()
        if fence is not None:
            assert self.tenures.setdefault(fence, name) == name, "one fence for two holders"

    @invariant()
    def at_most_one(self) -> None:
        holders = [n for n, d in getattr(self, "duties", {}).items() if d.fence() is not None]
        assert len(holders) <= 1, holders


OneHolder.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestOneHolder = OneHolder.TestCase


def make_pair(margin_ms: int = 1_000) -> tuple[FakeKeyValue, list[float], Duty, Duty]:
    kv, now = FakeKeyValue(), [0.0]
    duties = [Duty(kv, "k", n, clock=lambda: now[0], margin_ms=margin_ms) for n in "ab"]
    return kv, now, duties[0], duties[1]


def test_take_over_after_the_lease_and_a_higher_fence() -> None:
    _, now, a, b = make_pair()
    assert a.advance() == 1
    assert b.advance() is None
    now[0] += LEASE_MS / 1000 - 0.1
    assert b.advance() is None
    now[0] += 0.2
    assert b.advance() == 2
    assert a.fence() is None
    assert a.advance() is None or a.fence() != 1


def test_paused_holder_finds_its_time_over_before_it_acts() -> None:
    _, now, a, b = make_pair()
    a.advance()
    b.advance()
    now[0] += LEASE_MS / 1000
    assert a.fence() is None
    assert b.advance() == 2


def test_released_duty_is_taken_at_once() -> None:
    _, _, a, b = make_pair()
    a.advance()
    a.release()
    assert b.advance() == 2


@pytest.mark.parametrize("fault", ["lose_answer", "lose_call", "down"])
def test_fault_of_the_service_while_seeking(fault: str) -> None:
    kv, _, a, _ = make_pair()
    kv.fault = fault
    fence = a.advance()
    # A lost answer is settled by reading back; a lost call and an outage leave nothing held.
    assert fence == (1 if fault == "lose_answer" else None)


def test_seeded_fault_a_lease_counted_too_long() -> None:
    """Let the holder count its lease beyond its end: two hold the duty at once."""
    _, now, a, b = make_pair(margin_ms=-2_000)
    a.advance()
    b.advance()
    now[0] += LEASE_MS / 1000
    b.advance()
    assert a.fence() is not None and b.fence() is not None
