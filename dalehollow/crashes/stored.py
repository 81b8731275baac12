"""Keep culprits in the platform's store, for processes that start when all others do.

Records are written by one gateway after the other until one of them is seen in the store, and end
with the longest lease that the store grants; they are then written again if still needed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from dalehollow.crashes.fingerprints import Fingerprint
from dalehollow.crashes.suspects import Suspects
from dalehollow.protocol.reports import Suspicion

CHECK_INTERVAL_S = 0.1
WRITE_TURN_S = 0.5
"""Time that each gateway leaves to the ones before it: a write and its way back to all gateways."""
_MS_PER_S = 1000


@dataclass(frozen=True)
class StoredCulprit:
    """Hold the crashes of a culprit by wall-clock time, and its companions in hexadecimal.

    `in_flight_s` is as in `Suspicion`. A record without crashes states that requests with the
    culprit have been answered since.
    """

    crashed_at_ms: Mapping[str, int]
    companions: tuple[str, ...] = ()
    in_flight_s: tuple[float, ...] = ()


@dataclass
class CulpritRecords:
    """Write culprits to the store and add those found there to `suspects`.

    `write` stores a record and returns whether that succeeded; `count_before` returns how many
    gateways write before this one.
    """

    suspects: Suspects
    clock: Callable[[], float]
    read_wall_clock_ms: Callable[[], int]
    write: Callable[[str, StoredCulprit], Awaitable[bool]]
    count_before: Callable[[Fingerprint], int]
    _stored: dict[Fingerprint, StoredCulprit] = field(default_factory=dict)
    # When the difference between a culprit and its record was found.
    _differs_since_s: dict[Fingerprint, float] = field(default_factory=dict)

    def record_stored(self, name: str, record: StoredCulprit | None) -> None:
        """Apply a record that was read from the store, None if it is gone."""
        fingerprint = bytes.fromhex(name)
        if record is None:
            self._stored.pop(fingerprint, None)
            return
        self._stored[fingerprint] = record
        if not record.crashed_at_ms:
            return
        now_ms = self.read_wall_clock_ms()
        # Wall clocks differ and may jump: no crash is in the future.
        ages_s = {
            crash: max(0, now_ms - at_ms) / _MS_PER_S
            for crash, at_ms in record.crashed_at_ms.items()
        }
        companions = [bytes.fromhex(companion) for companion in record.companions]
        suspicion = Suspicion(ages_s, companions=companions, in_flight_s=list(record.in_flight_s))
        self.suspects.merge_reported({fingerprint: suspicion})

    async def run(self) -> None:
        """Write what differs from the store; never returns."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.write_differences()

    async def write_differences(self) -> None:
        """Write each record that differs for longer than the gateways before this one need."""
        wanted = self._list_wanted()
        self._differs_since_s = {n: s for n, s in self._differs_since_s.items() if n in wanted}
        for name, record in wanted.items():
            since_s = self._differs_since_s.setdefault(name, self.clock())
            if self.clock() - since_s < self.count_before(name) * WRITE_TURN_S:
                continue
            if await self.write(name.hex(), record):
                # Written again unless it is read back within another turn of all.
                self._differs_since_s[name] = self.clock() + WRITE_TURN_S

    def _list_wanted(self) -> dict[Fingerprint, StoredCulprit]:
        """Return the records that the store lacks, or holds with other crashes."""
        now_ms = self.read_wall_clock_ms()
        wanted = {}
        for name, suspicion in self.suspects.export_culprits().items():
            record = StoredCulprit(
                {c: now_ms - round(s * _MS_PER_S) for c, s in suspicion.crashes.items()},
                tuple(companion.hex() for companion in suspicion.companions),
                tuple(suspicion.in_flight_s),
            )
            if not _has_same_crashes(self._stored.get(name), record):
                wanted[name] = record
        for name, stored in self._stored.items():
            if stored.crashed_at_ms and self.suspects.is_cleared(name):
                wanted[name] = StoredCulprit({})
        return wanted


def _has_same_crashes(stored: StoredCulprit | None, record: StoredCulprit) -> bool:
    return (
        stored is not None
        and stored.crashed_at_ms.keys() == record.crashed_at_ms.keys()
        and set(stored.companions) <= set(record.companions)
    )
