"""Check that gateways are members while they are listed or heard."""

from __future__ import annotations

from dalehollow.gateway.listed import Member
from dalehollow.gateway.members import HEARD_LIFE_S, Members
from tests.manual_clock import ManualClock

LISTED, HEARD = Member("10.0.0.1:1", "hall"), Member("10.0.0.2:2", "hall")


def _make_members() -> tuple[Members, ManualClock, list[tuple[str, Member | None]]]:
    clock, changes = ManualClock(), []
    return Members(clock, lambda name, member: changes.append((name, member))), clock, changes


def test_each_change_is_reported_once() -> None:
    members, _, changes = _make_members()
    for _ in range(2):
        members.record_listed("a", LISTED)
    for _ in range(2):
        members.record_listed("a", None)
    assert changes == [("a", LISTED), ("a", None)]
    assert members.current == {}


def test_unlisted_gateway_remains_until_it_is_silent() -> None:
    members, clock, changes = _make_members()
    members.record_listed("a", LISTED)
    members.record_heard("a", HEARD)
    assert members.current == {"a": LISTED}
    members.record_listed("a", None)
    assert members.current == {"a": HEARD}
    for _ in range(10):
        clock.now_s += HEARD_LIFE_S / 2
        members.record_heard("a", HEARD)
        members.forget_silent()
    assert members.current == {"a": HEARD}
    clock.now_s += HEARD_LIFE_S + 0.1
    members.forget_silent()
    assert members.current == {}
    assert changes == [("a", LISTED), ("a", HEARD), ("a", None)]


def test_listed_gateway_remains_when_silent() -> None:
    members, clock, _ = _make_members()
    members.record_heard("a", HEARD)
    members.record_listed("a", LISTED)
    clock.now_s += HEARD_LIFE_S + 0.1
    members.forget_silent()
    assert members.current == {"a": LISTED}
