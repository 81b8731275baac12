"""Check that a store outage is distinguished from a broken connection of one gateway to it."""

from __future__ import annotations

import pytest

from dalehollow.gateway.contact import EXPIRY_GRACE_S, StoreContact
from tests.manual_clock import ManualClock

OUTAGE_S = 2.0


def _make_contact(clock: ManualClock) -> StoreContact:
    """Return a contact that the store has answered for 10 s."""
    contact = StoreContact(clock, OUTAGE_S)
    for _ in range(10):
        contact.record_answered()
        clock.now_s += 1.0
    contact.record_answered()
    assert not contact.may_have_expired()
    return contact


@pytest.mark.parametrize(
    ("silence_s", "may_have_expired"), [(OUTAGE_S - 0.01, False), (OUTAGE_S + 0.01, True)]
)
def test_only_a_long_outage_may_let_entries_expire(
    silence_s: float, may_have_expired: bool
) -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    clock.now_s += silence_s
    assert contact.may_have_expired() is may_have_expired
    contact.record_answered()
    assert contact.may_have_expired() is may_have_expired
    # The grace counts from the end of the outage; later answers do not extend it.
    for _ in range(4):
        clock.now_s += EXPIRY_GRACE_S / 4 + 0.001
        contact.record_answered()
    assert not contact.may_have_expired()


def test_peer_with_uninterrupted_contact_refutes_outage() -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    refuted = []
    contact.on_expiry_update = lambda: refuted.append(clock.now_s)
    clock.now_s += 5.0
    contact.record_answered()
    assert contact.may_have_expired()
    clock.now_s += 0.1
    contact.record_peer_contact(0.05, 100.0)
    assert not contact.may_have_expired()
    assert refuted == [clock.now_s]


def test_answers_to_peers_prevent_recording_an_outage() -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    for _ in range(20):
        clock.now_s += 0.25
        contact.record_peer_contact(0.1, 50.0)
        assert not contact.may_have_expired()
    contact.record_answered()
    assert not contact.may_have_expired()


@pytest.mark.parametrize("answer_age_s", [OUTAGE_S + 0.1, float("inf")])
def test_peer_cut_off_from_store_refutes_nothing(
    answer_age_s: float,
) -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    clock.now_s += 5.0
    contact.record_answered()
    contact.record_peer_contact(answer_age_s, 100.0)
    assert contact.may_have_expired()


def test_new_gateway_vouches_for_no_time_before_its_start() -> None:
    clock = ManualClock()
    contact = StoreContact(clock, OUTAGE_S)
    assert contact.unbroken_s() == 0.0
    contact.record_answered()
    assert not contact.may_have_expired()
    clock.now_s += 1.0
    assert contact.unbroken_s() == 1.0
    # A peer must not take the short record of a new gateway as proof that there was no outage.
    other = _make_contact(clock)
    clock.now_s += 5.0
    other.record_answered()
    other.record_peer_contact(0.0, 0.5)
    assert other.may_have_expired()


def test_reported_uptime_does_not_grow_between_gateways() -> None:
    clock = ManualClock()
    first, second = StoreContact(clock, OUTAGE_S), StoreContact(clock, OUTAGE_S)
    first.record_answered()
    begun_s = clock.now_s
    for step in range(1000):
        clock.now_s += 0.0004 + step % 3 * 0.0003
        second.record_peer_contact(first.answer_age_s(), first.unbroken_s())
        first.record_peer_contact(second.answer_age_s(), second.unbroken_s())
    assert first.unbroken_s() <= clock.now_s - begun_s


def test_outage_that_ended_earlier_than_recorded_settles_earlier() -> None:
    """A gateway cut off for longer than the outage counts the grace from the outage's end."""
    clock = ManualClock()
    contact = _make_contact(clock)
    updates = []
    contact.on_expiry_update = lambda: updates.append(contact.settles_in_s())
    clock.now_s += 6.0
    contact.record_answered()
    assert contact.settles_in_s() == EXPIRY_GRACE_S
    contact.record_peer_contact(0.1, 1.5)
    assert updates == [pytest.approx(EXPIRY_GRACE_S - 1.5)]


def test_grace_after_restore_counts_from_first_gateway_to_hear_of_it() -> None:
    clock = ManualClock()
    contact = _make_contact(clock)
    contact.record_era(1)
    assert not contact.may_have_expired()
    contact.record_era(2)
    assert contact.may_have_expired()
    contact.record_era(1, 100.0)
    assert contact.may_have_expired()
    contact.record_era(2, EXPIRY_GRACE_S)
    assert not contact.may_have_expired()
    # A gateway that starts in an era assumes no loss by the restore, and reports its age as 0.
    newcomer = StoreContact(clock, OUTAGE_S)
    newcomer.record_answered()
    newcomer.record_era(3)
    assert not newcomer.may_have_expired()
    assert newcomer.era_heard_s() == 0.0
