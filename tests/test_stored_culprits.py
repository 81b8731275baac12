"""Test that culprits are kept in the store by one gateway, and read by those that start later."""

from __future__ import annotations

import asyncio

from dalehollow.crashes import CrashEvidence, CulpritRecords, StoredCulprit, Suspects
from dalehollow.crashes import stored as stored_module
from dalehollow.crashes.suspect import INCIDENT_REFUSAL_S
from tests.manual_clock import ManualClock

CRASHING = b"crashing"
WALL_CLOCK_MS = 1_700_000_000_000


class _Gateway:
    """Provide the records of one gateway; `store` is shared by all of them."""

    def __init__(self, clock: ManualClock, store: dict[str, StoredCulprit], turn: int = 0) -> None:
        self.clock, self.store, self.writes = clock, store, 0
        self.is_store_up = True
        self.suspects = Suspects(clock)
        self.records = CulpritRecords(
            self.suspects, clock, self._read_wall_clock_ms, self._write, lambda name: turn
        )

    def _read_wall_clock_ms(self) -> int:
        return WALL_CLOCK_MS + round(self.clock.now_s * 1000)

    async def _write(self, name: str, record: StoredCulprit) -> bool:
        self.writes += 1
        if self.is_store_up:
            self.store[name] = record
        return self.is_store_up

    def read_store(self) -> None:
        for name, record in self.store.items():
            self.records.record_stored(name, record)

    def find_culprit(self) -> None:
        for number in range(3):
            evidence = CrashEvidence((b"request-%d" % number, CRASHING), self.clock.now_s)
            self.suspects.record_crash(f"s{number}", [evidence])

    def check(self) -> None:
        asyncio.run(self.records.write_differences())

    def refused_s(self) -> float:
        return self.suspects.refused_s((b"new", CRASHING))


def test_one_gateway_writes_a_culprit_and_one_that_starts_refuses_it() -> None:
    clock, store = ManualClock(), dict[str, StoredCulprit]()
    gateways = [_Gateway(clock, store, turn) for turn in range(3)]
    for gateway in gateways:
        gateway.find_culprit()
        gateway.check()
        gateway.read_store()
    clock.now_s += 10.0
    for gateway in gateways:
        gateway.check()
    assert [gateway.writes for gateway in gateways] == [1, 0, 0]
    started = _Gateway(clock, store)
    started.read_store()
    assert 0 < started.refused_s() <= gateways[0].refused_s()


def test_a_gateway_that_starts_knows_of_a_single_incident() -> None:
    """Guards against a long refusal after one incident by gateways that read it from the store."""
    clock, store = ManualClock(), dict[str, StoredCulprit]()
    first = _Gateway(clock, store)
    for number in range(3):
        evidence = CrashEvidence((CRASHING,), clock.now_s, in_flight_s=0.5)
        first.suspects.record_crash(f"s{number}", [evidence])
    first.check()
    started = _Gateway(clock, store)
    started.read_store()
    assert started.refused_s() == INCIDENT_REFUSAL_S


def test_the_next_gateway_writes_if_the_first_cannot() -> None:
    clock, store = ManualClock(), dict[str, StoredCulprit]()
    first, second = _Gateway(clock, store), _Gateway(clock, store, turn=1)
    first.is_store_up = False
    for gateway in (first, second):
        gateway.find_culprit()
        gateway.check()
    assert not store
    clock.now_s += 2 * stored_module.WRITE_TURN_S
    second.check()
    assert store


def test_an_answer_replaces_the_record_of_a_culprit() -> None:
    """Guards against refusing what was cleared, at a gateway that starts after the answer."""
    clock, store = ManualClock(), dict[str, StoredCulprit]()
    gateway = _Gateway(clock, store)
    gateway.find_culprit()
    gateway.check()
    gateway.read_store()
    clock.now_s += 100.0
    gateway.suspects.record_answered((CRASHING,))
    gateway.check()
    started = _Gateway(clock, store)
    started.read_store()
    assert started.refused_s() == 0.0


def test_a_clock_that_is_ahead_puts_no_crash_into_the_future() -> None:
    clock, store = ManualClock(), dict[str, StoredCulprit]()
    gateway = _Gateway(clock, store)
    gateway.find_culprit()
    gateway.check()
    behind = _Gateway(clock, store)
    behind._read_wall_clock_ms = lambda: WALL_CLOCK_MS - 5_000  # type: ignore[method-assign]
    behind.records.read_wall_clock_ms = behind._read_wall_clock_ms
    behind.read_store()
    assert 0 < behind.refused_s() <= gateway.refused_s()
