"""Check that what is written to a store that went back is taken in like anything else.

What was seen: requests went to an upstream 3.1 s after it had said that it leaves, and a
configuration that took a key away was in force at no gateway for 1.1 s and at one for 2.5 s. The
store had been away for 2.6 s before, and had come back from a copy that was some seconds old. Its
revisions went on from the copy's, below those that gateways had seen, and gateways took every
change below what they had seen for known. A reading of all items as of revision 185 at a gateway
that knew 188, and duties with lower fences than before, proved it.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld, WorldGateway, use_world
from tests.late_chains import BOUND_S
from tests.virtual_time import run_virtual

SETTLE_S = 5.0
LOST_S = 4.0
"""What was written in so long before the store went away is lost."""
LOST_WRITES = 8
AWAY_S = 2.6
NAMES = "abc"
LEAVING = "upstream-1"


async def _restore(world: HallWorld) -> None:
    """Write for a while, and have the store go away and come back without what was written."""
    world.store.back_up()
    for number in range(LOST_WRITES):
        world.store.put("dalehollow/plans/desk", b'{"demand": [[%d]]}' % number)
        await asyncio.sleep(LOST_S / LOST_WRITES)
    world.apply()
    await asyncio.sleep(0.1)
    world.store.fault = "busy"
    await asyncio.sleep(AWAY_S)
    world.restore_store()
    world.store.fault = "none"


def _play_restored(monkeypatch: pytest.MonkeyPatch, calm_s: float) -> dict[str, WorldGateway]:
    """Restore the store, wait, then change the configuration and have an upstream leave."""
    world = HallWorld()
    use_world(world, monkeypatch)

    async def main() -> dict[str, WorldGateway]:
        world.apply()
        world.write_upstream(LEAVING, "ready")
        for name in NAMES:
            world.start(name)
        await asyncio.sleep(SETTLE_S)
        await _restore(world)
        await asyncio.sleep(calm_s)
        world.apply()
        world.write_upstream(LEAVING, "draining")
        await asyncio.sleep(BOUND_S)
        gateways = dict(world.gateways)
        await world.close()
        return gateways

    return run_virtual(main())


CALM_S = (0.0, 0.5, 3.0)
"""Changes come as the store is back, before all have read it anew, and after."""


def test_a_configuration_after_a_restore_is_in_force_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for calm_s in CALM_S:
        gateways = _play_restored(monkeypatch, calm_s)
        assert [gateways[name].version for name in NAMES] == [3, 3, 3], calm_s


def test_an_upstream_that_leaves_after_a_restore_is_known_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for calm_s in CALM_S:
        gateways = _play_restored(monkeypatch, calm_s)
        assert [LEAVING in gateways[name].leaving_at_s for name in NAMES] == [True] * 3, calm_s
