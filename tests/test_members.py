"""Check who counts as there: who is listed, and who is heard."""

from __future__ import annotations

from dalehollow.gateway.listed import Member
from dalehollow.gateway.members import HEARD_LIFE_S, Members
from tests.manual_clock import ManualClock

LISTED, HEARD = Member("10.0.0.1:1", "hall"), Member("10.0.0.2:2", "hall")


def _make_members() -> tuple[Members, ManualClock, list[tuple[str, Member | None]]]:
    clock, told = ManualClock(), []
    return Members(clock, lambda name, member: told.append((name, member))), clock, told


def test_each_change_is_told_once() -> None:
    members, _, told = _make_members()
    for _ in range(2):
        members.note_listed("a", LISTED)
    for _ in range(2):
        members.note_listed("a", None)
    assert told == [("a", LISTED), ("a", None)]
    assert members.there == {}


def test_who_is_heard_stays_without_an_entry_until_it_is_silent() -> None:
    members, clock, told = _make_members()
    members.note_listed("a", LISTED)
    members.note_heard("a", HEARD)
    assert members.there == {"a": LISTED}
    members.note_listed("a", None)
    assert members.there == {"a": HEARD}
    for _ in range(10):
        clock.now_s += HEARD_LIFE_S / 2
        members.note_heard("a", HEARD)
        members.forget_silent()
    assert members.there == {"a": HEARD}
    clock.now_s += HEARD_LIFE_S + 0.1
    members.forget_silent()
    assert members.there == {}
    assert told == [("a", LISTED), ("a", HEARD), ("a", None)]


def test_who_is_listed_stays_though_it_is_silent() -> None:
    members, clock, _ = _make_members()
    members.note_heard("a", HEARD)
    members.note_listed("a", LISTED)
    clock.now_s += HEARD_LIFE_S + 0.1
    members.forget_silent()
    assert members.there == {"a": LISTED}
