"""Test that gateways apply what is written to a store after its restore from an older copy.

Guards against requests to an upstream 3.1 s after it announced that it was leaving, and a revoked
key that stayed valid at all gateways for 1.1 s and at one for 2.5 s. The store had been down for
2.6 s and was restored from a copy some seconds old. Its revisions continued from those of the copy,
below revisions that gateways had seen, and gateways ignored every change below the newest revision
they had seen. A read of all items as of revision 185 at a gateway that knew 188, and duties with
lower fences than before, showed the cause.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld, SimulatedGateway, connect_through
from tests.late_chains import BOUND_S
from tests.virtual_time import run_virtual

STARTUP_S = 5.0
LOST_WRITES_S = 4.0
"""Writes during this time before the outage are lost."""
LOST_WRITE_COUNT = 8
OUTAGE_S = 2.6
GATEWAYS = "abc"
UPSTREAM = "upstream-1"


async def _restore_store(world: HallWorld) -> None:
    """Write for a time, then stop the store and restore it without these writes."""
    world.store.back_up()
    for number in range(LOST_WRITE_COUNT):
        world.store.put("dalehollow/plans/desk", b'{"demand": [[%d]]}' % number)
        await asyncio.sleep(LOST_WRITES_S / LOST_WRITE_COUNT)
    world.apply()
    await asyncio.sleep(0.1)
    world.store.fault = "busy"
    await asyncio.sleep(OUTAGE_S)
    world.restore_store()
    world.store.fault = "none"


def _run_with_restore(
    monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> dict[str, SimulatedGateway]:
    """Restore the store, wait, then change the configuration and announce a leaving upstream."""
    world = HallWorld()
    connect_through(world, monkeypatch)

    async def main() -> dict[str, SimulatedGateway]:
        world.apply()
        world.write_upstream(UPSTREAM, "ready")
        for name in GATEWAYS:
            world.start(name)
        await asyncio.sleep(STARTUP_S)
        await _restore_store(world)
        await asyncio.sleep(delay_s)
        world.apply()
        world.write_upstream(UPSTREAM, "draining")
        await asyncio.sleep(BOUND_S)
        gateways = dict(world.gateways)
        await world.close()
        return gateways

    return run_virtual(main())


DELAYS_S = (0.0, 0.5, 3.0)
"""Delays: as soon as the store is back, before all gateways have reread it, and afterwards."""


def test_configuration_written_after_a_restore_is_in_force_within_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for delay_s in DELAYS_S:
        gateways = _run_with_restore(monkeypatch, delay_s)
        assert [gateways[name].version for name in GATEWAYS] == [3, 3, 3], delay_s


def test_upstream_leaving_after_a_restore_is_known_within_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for delay_s in DELAYS_S:
        gateways = _run_with_restore(monkeypatch, delay_s)
        assert [UPSTREAM in gateways[name].leaving_at_s for name in GATEWAYS] == [True] * 3, delay_s
