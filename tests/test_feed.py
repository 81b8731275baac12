"""Check that gateways of a hall miss no store change when messages are lost or relays change."""

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
    """A feed with the changes that it applied; `inbox` holds messages from the other gateways."""

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
    gateway.feed.record_relay(sender, RelayState(revision, age_s))


def _make_synced(clock: ManualClock, revision: int = 10) -> _Gateway:
    """Return a gateway that has read the store and hears the relay `a`."""
    gateway = _make_hall("b", clock)["b"]
    gateway.feed.record_read(0, (), revision)
    _hear(gateway, "a", revision)
    return gateway


def test_new_gateway_listens_before_relaying() -> None:
    clock = ManualClock()
    gateway = _make_hall("b", clock)["b"]
    gateway.feed.record_read(0, (), 10)
    assert gateway.feed.relay_state() is None
    assert not gateway.feed.is_passive()
    clock.now_s += LONG_SILENCE_S
    gateway.feed.record_read(10, (), 10)
    assert gateway.feed.relay_state() == RelayState(10, 0.0)


def test_first_of_two_relays_by_name_remains() -> None:
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    for gateway in hall.values():
        gateway.feed.record_read(0, (), 10)
    _hear(hall["a"], "b", 10)
    _hear(hall["b"], "a", 10)
    assert hall["a"].feed.relay_state() is not None
    assert hall["b"].feed.relay_state() is None
    assert hall["b"].feed.is_passive()


def test_relay_that_cannot_reach_store_is_replaced() -> None:
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    hall["a"].feed.record_read(0, (), 10)
    hall["a"].feed.record_unreachable()
    assert hall["a"].feed.relay_state() is None
    hall["b"].feed.record_read(0, (), 10)
    _hear(hall["a"], "b", 10)
    assert hall["a"].feed.is_passive()


def test_changes_are_applied_once_and_in_order() -> None:
    clock = ManualClock()
    gateway = _make_synced(clock)
    first = StoreChanges(10, 12, pack_changes((_change(11), _change(12))))
    gateway.feed.apply_changes(first)
    gateway.feed.apply_changes(first)
    gateway.feed.apply_changes(StoreChanges(11, 13, pack_changes((_change(12), _change(13)))))
    assert gateway.taken == [_change(11), _change(12), _change(13)]
    assert gateway.feed.revision == 13
    # A late response of the gateway's own watch repeats a change that is already known.
    assert gateway.feed.select_fresh((_change(12), _change(14))) == (_change(14),)


def test_gateway_with_a_gap_reads_store() -> None:
    clock = ManualClock()
    gateway = _make_synced(clock)
    gateway.feed.apply_changes(StoreChanges(11, 12, pack_changes((_change(12),))))
    # The change is applied, but the revision does not advance past the gap.
    assert gateway.taken == [_change(12)]
    assert gateway.feed.revision == 10
    assert gateway.feed.is_passive()
    clock.now_s += CATCH_UP_S + 0.01
    assert not gateway.feed.is_passive()
    assert gateway.feed.select_fresh((_change(11), _change(12))) == (_change(11),)
    gateway.feed.record_read(10, (_change(11), _change(12)), 12)
    assert gateway.feed.is_passive()


def test_gateway_behind_relay_reads_store() -> None:
    clock = ManualClock()
    gateway = _make_synced(clock)
    _hear(gateway, "a", 11)
    clock.now_s += CATCH_UP_S + 0.01
    _hear(gateway, "a", 11)
    assert not gateway.feed.is_passive()


@pytest.mark.parametrize(
    ("report_age_s", "pause_s", "is_passive"),
    [
        (0.0, 0.5, True),
        # The relay is silent.
        (0.0, LONG_SILENCE_S, False),
        # The relay is heard, but its own state of the store is stale.
        (STALE_S, 0.0, False),
        (STALE_S - 0.2, 0.3, False),
    ],
)
def test_stale_relay_is_not_relied_on(
    report_age_s: float, pause_s: float, is_passive: bool
) -> None:
    clock = ManualClock()
    gateway = _make_hall("b", clock)["b"]
    gateway.feed.record_read(0, (), 10)
    clock.now_s += 10.0
    _hear(gateway, "a", 10, report_age_s)
    clock.now_s += pause_s
    assert gateway.feed.is_passive() is is_passive


def test_changes_too_large_for_a_datagram_are_not_sent() -> None:
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    hall["a"].feed.record_read(0, (), 10)
    large = random.Random(1).randbytes(feed_module.MAX_PACKED_BYTES + 1)
    hall["a"].feed.record_read(10, (_change(11), _change(12, large), _change(13)), 13)
    assert [(m.after, m.revision) for m in hall["b"].inbox] == [(10, 11)]


@pytest.mark.parametrize("packed", [b"", b"no zlib", pack_changes(())[:-3] + b"abc"])
def test_unreadable_changes_are_ignored(packed: bytes) -> None:
    gateway = _make_synced(ManualClock())
    gateway.feed.apply_changes(StoreChanges(10, 11, packed))
    assert gateway.feed.revision == 10


@pytest.mark.parametrize("seed", range(40))
def test_gateways_converge_to_store_despite_losses(seed: int) -> None:
    """Compare with a plain log under random changes, lost messages, silent relays and outages."""
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
        feed.record_read(after, answer, log[-1].revision)

    for step in range(300):
        if rng.random() < 0.3:
            log.append(Change(f"key-{rng.randrange(5)}", b"%d" % step, len(log) + 1))
        clock.now_s += rng.choice([0.02, 0.1, 0.4])
        for name, gateway in hall.items():
            for message in gateway.inbox:
                if rng.random() < 0.8:
                    gateway.feed.apply_changes(message)
            gateway.inbox.clear()
            state = gateway.feed.relay_state()
            for other in hall:
                if state is not None and other != name and rng.random() < 0.8:
                    hall[other].feed.record_relay(name, state)
            if log and not gateway.feed.is_passive():
                if rng.random() < 0.8:
                    read(name)
                else:
                    gateway.feed.record_unreachable()
    truth = {c.key: c.value for c in log}
    for name, gateway in hall.items():
        # Every change up to the gateway's revision has been applied.
        behind = [c for c in log if c.revision > gateway.feed.revision]
        assert known[name] | {c.key: c.value for c in behind} == truth
        read(name)
        assert known[name] == truth


def test_gateway_is_first_if_no_smaller_name_is_heard() -> None:
    clock = ManualClock()
    feed = _make_hall("b", clock)["b"].feed
    feed.record_peer("c")
    assert feed.is_first()
    feed.record_peer("a")
    assert not feed.is_first()
    clock.now_s += RELAY_SILENT_S + 0.01
    assert feed.is_first()


def test_relay_that_reads_everything_again_reports_its_old_revision() -> None:
    """A relay must not report a revision that it has not read, or peers would miss changes."""
    clock = ManualClock()
    hall = _make_hall("ab", clock)
    clock.now_s += LONG_SILENCE_S
    hall["a"].feed.record_read(0, (), 10)
    hall["b"].feed.record_read(0, (), 12)
    assert hall["a"].feed.relay_state() == RelayState(10, 0.0)
    # Without an answer from the store, it stops reporting as the relay.
    clock.now_s += STALE_S
    assert hall["a"].feed.relay_state() is None
    hall["a"].feed.record_read(0, (), 12)
    assert hall["a"].feed.relay_state() == RelayState(12, 0.0)


RESTORED = join_revision(1, 5)


def test_changes_after_a_restore_are_newer_than_all_before() -> None:
    gateway = _make_synced(ManualClock(), 10)
    change = Change("key-9", b"after the restore", RESTORED)
    gateway.feed.select_fresh((_change(9), _change(10)))
    gateway.feed.apply_changes(StoreChanges(RESTORED - 1, RESTORED, pack_changes((change,))))
    assert gateway.taken == [change]
    # Changes before this one may be missing, so the store must be read.
    assert gateway.feed.revision == 10


def test_relay_of_earlier_era_does_not_confirm_later_era() -> None:
    clock = ManualClock()
    gateway = _make_synced(clock, 10)
    _hear(gateway, "a", RESTORED)
    clock.now_s += CATCH_UP_S + 0.01
    _hear(gateway, "a", RESTORED)
    assert not gateway.feed.is_passive()
    gateway.feed.record_read(0, (), RESTORED)
    assert gateway.feed.revision == RESTORED
    # Changes from a gateway that is still in the earlier era are ignored.
    gateway.feed.apply_changes(StoreChanges(10, 11, pack_changes((_change(11),))))
    assert gateway.taken == [] and gateway.feed.revision == RESTORED


def test_late_stale_read_overwrites_nothing() -> None:
    feed = _make_hall("b", ManualClock())["b"].feed
    newer, older, other = Change("k", b"new", 12), Change("k", b"old", 11), Change("other", b"o", 5)
    assert feed.select_fresh((newer,)) == (newer,)
    assert feed.select_fresh((older, other)) == (other,)
    assert feed.newest_revision("k") == 12
    assert feed.newest_revision("unheard of") == 0


def test_stale_read_does_not_restore_deleted_key() -> None:
    feed = _make_hall("b", ManualClock())["b"].feed
    assert feed.select_fresh((Change("k", None, 12),)) == (Change("k", None, 12),)
    assert feed.select_fresh((Change("k", b"old", 11),)) == ()


def test_advance_of_revision_is_signalled() -> None:
    feed = _make_hall("b", ManualClock())["b"].feed
    signalled: list[int] = []
    feed.on_revision_advanced = lambda: signalled.append(feed.revision)
    feed.record_read(0, (), 3)
    feed.record_read(3, (), 3)
    feed.apply_changes(StoreChanges(3, 5, pack_changes((_change(5),))))
    feed.apply_changes(StoreChanges(6, 7, pack_changes((_change(7),))))
    feed.apply_changes(StoreChanges(2, 4, pack_changes((_change(4),))))
    assert signalled == [3, 5]
