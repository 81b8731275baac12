"""Check that a hall's gateways miss no change of the store, whoever relays and whatever is lost."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from dalehollow.gateway import feed as feed_module
from dalehollow.gateway.feed import (
    CATCH_UP_S,
    RELAY_SILENT_S,
    SILENCE_SPREAD_S,
    STALE_S,
    HallFeed,
)
from dalehollow.protocol.reports import Change, RelayState, StoreChanges, pack_changes
from dalehollow.protocol.revisions import join_revision
from tests.manual_clock import ManualClock

LONG_SILENCE_S = RELAY_SILENT_S + SILENCE_SPREAD_S + 0.01


@dataclass
class _Gateway:
    """Hold a feed and what it took in; `inbox` is what the others sent."""

    feed: HallFeed
    taken: list[Change] = field(default_factory=list)
    inbox: list[StoreChanges] = field(default_factory=list)


def _make_hall(names: str, clock: Callable[[], float]) -> dict[str, _Gateway]:
    hall: dict[str, _Gateway] = {}

    def make(name: str) -> _Gateway:
        def send(message: StoreChanges) -> None:
            for other, gateway in hall.items():
                if other != name:
                    gateway.inbox.append(message)

        feed = HallFeed(name, clock, random.Random(name), send)
        gateway = _Gateway(feed)
        feed.on_changes = gateway.taken.extend
        return gateway

    hall.update({name: make(name) for name in names})
    return hall


def _change(revision: int, value: bytes | None = b"v") -> Change:
    return Change(f"key-{revision}", value, revision)


def _hear(gateway: _Gateway, sender: str, revision: int, age_s: float = 0.0) -> None:
    gateway.feed.note_relay(sender, RelayState(revision, age_s))


def _make_fed(clock: ManualClock, revision: int = 10) -> _Gateway:
    """Return a gateway that has read everything and hears of the relay `a`."""
    gateway = _make_hall("b", clock)["b"]
    gateway.feed.note_read(0, (), revision)
    _hear(gateway, "a", revision)
    return gateway


def test_a_gateway_that_has_just_started_listens_before_it_relays() -> None:
    clock = ManualClock()
    gateway = _make_hall("b", clock)["b"]
    gateway.feed.note_read(0, (), 10)
    assert gateway.feed.relay_state() is None
    assert not gateway.feed.is_passive()
    clock.now_s += LONG_SILENCE_S
    gateway.feed.note_read(10, (), 10)
    assert gateway.feed.relay_state() == RelayState(10, 0.0)


def test_of_two_relays_the_first_by_name_stays() -> None:
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    for gateway in hall.values():
        gateway.feed.note_read(0, (), 10)
    _hear(hall["a"], "b", 10)
    _hear(hall["b"], "a", 10)
    assert hall["a"].feed.relay_state() is not None
    assert hall["b"].feed.relay_state() is None
    assert hall["b"].feed.is_passive()


def test_a_relay_that_lost_the_store_leaves_it_to_another() -> None:
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    hall["a"].feed.note_read(0, (), 10)
    hall["a"].feed.note_unreachable()
    assert hall["a"].feed.relay_state() is None
    hall["b"].feed.note_read(0, (), 10)
    _hear(hall["a"], "b", 10)
    assert hall["a"].feed.is_passive()


def test_changes_are_taken_in_once_and_in_order() -> None:
    clock = ManualClock()
    gateway = _make_fed(clock)
    first = StoreChanges(10, 12, pack_changes((_change(11), _change(12))))
    gateway.feed.take_changes(first)
    gateway.feed.take_changes(first)
    gateway.feed.take_changes(StoreChanges(11, 13, pack_changes((_change(12), _change(13)))))
    assert gateway.taken == [_change(11), _change(12), _change(13)]
    assert gateway.feed.revision == 13
    # What an own watch that was under way tells late is known already.
    assert gateway.feed.select_fresh((_change(12), _change(14))) == (_change(14),)


def test_who_misses_a_change_asks_the_store() -> None:
    clock = ManualClock()
    gateway = _make_fed(clock)
    gateway.feed.take_changes(StoreChanges(11, 12, pack_changes((_change(12),))))
    # The change itself stands for itself; what is known whole ends before the gap.
    assert gateway.taken == [_change(12)]
    assert gateway.feed.revision == 10
    assert gateway.feed.is_passive()
    clock.now_s += CATCH_UP_S + 0.01
    assert not gateway.feed.is_passive()
    assert gateway.feed.select_fresh((_change(11), _change(12))) == (_change(11),)
    gateway.feed.note_read(10, (_change(11), _change(12)), 12)
    assert gateway.feed.is_passive()


def test_who_hears_that_the_relay_knows_more_asks_the_store() -> None:
    clock = ManualClock()
    gateway = _make_fed(clock)
    _hear(gateway, "a", 11)
    clock.now_s += CATCH_UP_S + 0.01
    _hear(gateway, "a", 11)
    assert not gateway.feed.is_passive()


@pytest.mark.parametrize(
    ("report_age_s", "pause_s", "is_passive"),
    [
        (0.0, 0.5, True),
        # Nothing is heard any more.
        (0.0, LONG_SILENCE_S, False),
        # The relay is heard, but has not heard of the store itself for long.
        (STALE_S, 0.0, False),
        (STALE_S - 0.2, 0.3, False),
    ],
)
def test_a_relay_is_relied_on_no_longer_than_it_is_fresh(
    report_age_s: float, pause_s: float, is_passive: bool
) -> None:
    clock = ManualClock()
    gateway = _make_hall("b", clock)["b"]
    gateway.feed.note_read(0, (), 10)
    clock.now_s += 10.0
    _hear(gateway, "a", 10, report_age_s)
    clock.now_s += pause_s
    assert gateway.feed.is_passive() is is_passive


def test_what_fits_no_datagram_is_left_to_the_store() -> None:
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    hall["a"].feed.note_read(0, (), 10)
    large = random.Random(1).randbytes(feed_module.MAX_PACKED_BYTES + 1)
    hall["a"].feed.note_read(10, (_change(11), _change(12, large), _change(13)), 13)
    assert [(m.after, m.revision) for m in hall["b"].inbox] == [(10, 11)]


@pytest.mark.parametrize("packed", [b"", b"no zlib", pack_changes(())[:-3] + b"abc"])
def test_a_message_that_cannot_be_unpacked_changes_nothing(packed: bytes) -> None:
    gateway = _make_fed(ManualClock())
    gateway.feed.take_changes(StoreChanges(10, 11, packed))
    assert gateway.feed.revision == 10


@pytest.mark.parametrize("seed", range(40))
def test_whatever_is_lost_every_gateway_ends_with_the_store(seed: int) -> None:
    """Play random changes, lost messages, silent relays and outages against a plain log."""
    rng = random.Random(seed)
    clock = ManualClock()
    hall = _make_hall("abc", clock)
    log: list[Change] = []
    known: dict[str, dict[str, bytes | None]] = {name: {} for name in hall}
    for name, gateway in hall.items():
        gateway.feed.on_changes = lambda changes, name=name: known[name].update(
            (c.key, c.value) for c in changes
        )

    def read(name: str) -> None:
        feed = hall[name].feed
        after = feed.revision
        answer = tuple(c for c in log if c.revision > after)
        known[name].update((c.key, c.value) for c in feed.select_fresh(answer))
        feed.note_read(after, answer, log[-1].revision)

    for step in range(300):
        if rng.random() < 0.3:
            log.append(Change(f"key-{rng.randrange(5)}", b"%d" % step, len(log) + 1))
        clock.now_s += rng.choice([0.02, 0.1, 0.4])
        for name, gateway in hall.items():
            for message in gateway.inbox:
                if rng.random() < 0.8:
                    gateway.feed.take_changes(message)
            gateway.inbox.clear()
            state = gateway.feed.relay_state()
            for other in hall:
                if state is not None and other != name and rng.random() < 0.8:
                    hall[other].feed.note_relay(name, state)
            if log and not gateway.feed.is_passive():
                if rng.random() < 0.8:
                    read(name)
                else:
                    gateway.feed.note_unreachable()
    truth = {c.key: c.value for c in log}
    for name, gateway in hall.items():
        # Whoever relies on a relay lacks nothing that is older than it may be.
        behind = [c for c in log if c.revision > gateway.feed.revision]
        assert known[name] | {c.key: c.value for c in behind} == truth
        read(name)
        assert known[name] == truth


def test_the_first_of_a_hall_is_who_hears_of_none_before_it() -> None:
    clock = ManualClock()
    feed = _make_hall("b", clock)["b"].feed
    feed.note_peer("c")
    assert feed.is_first()
    feed.note_peer("a")
    assert not feed.is_first()
    clock.now_s += RELAY_SILENT_S + 0.01
    assert feed.is_first()


def test_a_relay_that_must_read_everything_anew_vouches_for_what_it_knew() -> None:
    """A gateway that lacks a change must not hear from it that it lacks none."""
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    hall["a"].feed.note_read(0, (), 10)
    hall["b"].feed.note_read(0, (), 12)
    assert hall["a"].feed.relay_state() == RelayState(10, 0.0)
    # From then on it is as silent about the store as the store is to it.
    clock.now_s += STALE_S
    assert hall["a"].feed.relay_state() is None
    hall["a"].feed.note_read(0, (), 12)
    assert hall["a"].feed.relay_state() == RelayState(12, 0.0)


RESTORED = join_revision(1, 5)


def test_what_a_restored_store_gives_out_again_is_newer_than_all_before() -> None:
    gateway = _make_fed(ManualClock(), 10)
    change = Change("key-9", b"after the restore", RESTORED)
    gateway.feed.select_fresh((_change(9), _change(10)))
    gateway.feed.take_changes(StoreChanges(RESTORED - 1, RESTORED, pack_changes((change,))))
    assert gateway.taken == [change]
    # What was there before the change is not known whole: it must be read.
    assert gateway.feed.revision == 10


def test_a_relay_of_an_earlier_era_confirms_nothing_of_a_later_one() -> None:
    clock = ManualClock()
    gateway = _make_fed(clock, 10)
    _hear(gateway, "a", RESTORED)
    clock.now_s += CATCH_UP_S + 0.01
    _hear(gateway, "a", RESTORED)
    assert not gateway.feed.is_passive()
    gateway.feed.note_read(0, (), RESTORED)
    assert gateway.feed.revision == RESTORED
    # A gateway that still is in the earlier era cannot take that back.
    gateway.feed.take_changes(StoreChanges(10, 11, pack_changes((_change(11),))))
    assert gateway.taken == [] and gateway.feed.revision == RESTORED


def test_an_older_reading_that_ends_late_takes_nothing_back() -> None:
    feed = _make_hall("b", ManualClock())["b"].feed
    newer, older, other = Change("k", b"new", 12), Change("k", b"old", 11), Change("other", b"o", 5)
    assert feed.select_fresh((newer,)) == (newer,)
    assert feed.select_fresh((older, other)) == (other,)
    assert feed.newest_revision("k") == 12
    assert feed.newest_revision("unheard of") == 0


def test_a_key_that_is_gone_does_not_come_back_with_an_older_reading() -> None:
    feed = _make_hall("b", ManualClock())["b"].feed
    assert feed.select_fresh((Change("k", None, 12),)) == (Change("k", None, 12),)
    assert feed.select_fresh((Change("k", b"old", 11),)) == ()


def test_the_peers_are_told_when_more_is_known() -> None:
    feed = _make_hall("b", ManualClock())["b"].feed
    told: list[int] = []
    feed.on_moved = lambda: told.append(feed.revision)
    feed.note_read(0, (), 3)
    feed.note_read(3, (), 3)
    feed.take_changes(StoreChanges(3, 5, pack_changes((_change(5),))))
    feed.take_changes(StoreChanges(6, 7, pack_changes((_change(7),))))
    feed.take_changes(StoreChanges(2, 4, pack_changes((_change(4),))))
    assert told == [3, 5]
