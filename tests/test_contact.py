"""Check that an absence of the store is told from that of a gateway's own way to it."""

from __future__ import annotations

import pytest

from dalehollow.gateway.contact import LAPSE_GRACE_S, StoreContact
from tests.manual_clock import ManualClock

ABSENCE_S = 2.0


def _make_contact(clock: ManualClock) -> StoreContact:
    """Return one that has heard the store for a long time."""
    contact = StoreContact(clock, ABSENCE_S)
    for _ in range(10):
        contact.note_answered()
        clock.now_s += 1.0
    contact.note_answered()
    assert not contact.may_have_lapsed()
    return contact


@pytest.mark.parametrize(
    ("silence_s", "may_have_lapsed"), [(ABSENCE_S - 0.01, False), (ABSENCE_S + 0.01, True)]
)
def test_only_a_long_silence_may_let_entries_lapse(silence_s: float, may_have_lapsed: bool) -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    clock.now_s += silence_s
    assert contact.may_have_lapsed() is may_have_lapsed
    contact.note_answered()
    assert contact.may_have_lapsed() is may_have_lapsed
    # The grace counts from the store's return, and each answer since is no new one.
    for _ in range(4):
        clock.now_s += LAPSE_GRACE_S / 4 + 0.001
        contact.note_answered()
    assert not contact.may_have_lapsed()


def test_another_gateway_that_heard_the_store_all_the_time_refutes_an_absence() -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    refuted = []
    contact.on_news = lambda: refuted.append(clock.now_s)
    clock.now_s += 5.0
    contact.note_answered()
    assert contact.may_have_lapsed()
    clock.now_s += 0.1
    contact.note_told(0.05, 100.0)
    assert not contact.may_have_lapsed()
    assert refuted == [clock.now_s]


def test_who_hears_of_answers_to_others_notes_no_absence_at_all() -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    for _ in range(20):
        clock.now_s += 0.25
        contact.note_told(0.1, 50.0)
        assert not contact.may_have_lapsed()
    contact.note_answered()
    assert not contact.may_have_lapsed()


@pytest.mark.parametrize("answer_age_s", [ABSENCE_S + 0.1, float("inf")])
def test_a_gateway_that_has_not_heard_the_store_for_long_refutes_nothing(
    answer_age_s: float,
) -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    clock.now_s += 5.0
    contact.note_answered()
    contact.note_told(answer_age_s, 100.0)
    assert contact.may_have_lapsed()


def test_a_gateway_that_has_just_started_knows_of_no_time_before() -> None:
    clock = ManualClock()
    contact = StoreContact(clock, ABSENCE_S)
    assert contact.unbroken_s() == 0.0
    contact.note_answered()
    assert not contact.may_have_lapsed()
    clock.now_s += 1.0
    assert contact.unbroken_s() == 1.0
    # Another one that has just been cut off must not take it for a proof of what was before.
    other = _make_contact(clock)
    clock.now_s += 5.0
    other.note_answered()
    other.note_told(0.0, 0.5)
    assert other.may_have_lapsed()


def test_what_gateways_tell_each_other_does_not_grow() -> None:
    clock = ManualClock()
    first, second = StoreContact(clock, ABSENCE_S), StoreContact(clock, ABSENCE_S)
    first.note_answered()
    begun_s = clock.now_s
    for step in range(1000):
        clock.now_s += 0.0004 + step % 3 * 0.0003
        second.note_told(first.answer_age_s(), first.unbroken_s())
        first.note_told(second.answer_age_s(), second.unbroken_s())
    assert first.unbroken_s() <= clock.now_s - begun_s


def test_an_absence_that_ended_earlier_than_it_was_noted_settles_earlier() -> None:
    """A gateway was cut off beyond the absence: what it may keep is counted from the return."""
    clock = ManualClock()
    contact = _make_contact(clock)
    news = []
    contact.on_news = lambda: news.append(contact.settles_in_s())
    clock.now_s += 6.0
    contact.note_answered()
    assert contact.settles_in_s() == LAPSE_GRACE_S
    contact.note_told(0.1, 1.5)
    assert news == [pytest.approx(LAPSE_GRACE_S - 1.5)]


def test_what_a_restore_lost_has_its_grace_from_when_any_gateway_heard_of_it() -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    contact.note_era(1)
    assert not contact.may_have_lapsed()
    contact.note_era(2)
    assert contact.may_have_lapsed()
    contact.note_era(1, 100.0)
    assert contact.may_have_lapsed()
    contact.note_era(2, LAPSE_GRACE_S)
    assert not contact.may_have_lapsed()
    # Who starts in an era takes nothing for lost by it, and tells no other that it is old.
    newcomer = StoreContact(clock, ABSENCE_S)
    newcomer.note_answered()
    newcomer.note_era(3)
    assert not newcomer.may_have_lapsed()
    assert newcomer.era_heard_s() == 0.0
