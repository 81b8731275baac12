"""Test that a gateway learns within the bound whatever the store told any gateway it hears.

Guards against three failures in which the fallback for the store depended on the store:

- A gateway refused by the store for longer than its entry's lease lagged 6 s behind, because the
  other gateways dropped its address together with its entry.
- A hall refused by the store learned 7 to 9 s late that upstreams were leaving, because gateways
  copied only configurations from each other.
- A gateway that was itself cut off for a moment kept an upstream for 2 s after its entry was
  deleted, because it took its own failed call for an outage of the store.
"""

from __future__ import annotations

import asyncio
import functools
import itertools

import pytest

from dalehollow.gateway.contact import EXPIRY_GRACE_S
from tests.hall_world import HallWorld, Path, Scenario, run_halls, run_with_background
from tests.late_chains import BOUND_S

GATEWAYS, REMOTE_GATEWAYS = "abc", "xyz"
UPSTREAM = "upstream-1"


def _run_two_halls(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> None:
    """Run a scenario with two halls and one upstream."""
    run_halls(
        monkeypatch,
        scenario,
        {"hall": GATEWAYS, "other": REMOTE_GATEWAYS},
        upstreams=(UPSTREAM,),
    )


async def _refuse_calls(world: HallWorld, names: str, for_s: float) -> None:
    await _break_paths(world, names, Path.REFUSE, for_s)


async def _break_paths(world: HallWorld, names: str, path: Path, for_s: float) -> None:
    """Break the paths of some gateways to the store for a time."""
    for name in names:
        world.set_path(name, path)
    await asyncio.sleep(for_s)
    for name in names:
        world.set_path(name, Path.PASS)


def test_gateway_with_expired_lease_still_learns_configurations(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: HallWorld, names: str, refusals_s: tuple[float, ...]) -> None:
        async def refuse_repeatedly() -> None:
            for for_s in refusals_s:
                await _refuse_calls(world, names, for_s)
                await asyncio.sleep(1.0)

        refusals = run_with_background(world.keep_applying(0.9), refuse_repeatedly())
        lag_watch = world.watch_lag(GATEWAYS + REMOTE_GATEWAYS, for_s=sum(refusals_s))
        longest, _ = await asyncio.gather(lag_watch, refusals)
        assert max(longest.values()) < BOUND_S, (names, refusals_s, longest)

    for names, refusals_s in itertools.product(("b", GATEWAYS), ((25.0,), (8.0, 6.0))):
        _run_two_halls(monkeypatch, functools.partial(scenario, names=names, refusals_s=refusals_s))


async def _lose_datagrams_to_a_refused_gateway(world: HallWorld) -> None:
    """Refuse the store calls of one gateway, and drop datagrams to it while an upstream leaves."""
    world.set_path("b", Path.REFUSE)
    for other in "ac":
        world.gateways[other].unreachable = {"b"}
    world.write_upstream(UPSTREAM, "draining")
    await asyncio.sleep(0.2)
    for other in "ac":
        world.gateways[other].unreachable = set()


async def _refuse_calls_of_a_hall(world: HallWorld) -> None:
    for name in GATEWAYS:
        world.set_path(name, Path.REFUSE)
    await asyncio.sleep(3.0)
    world.write_upstream(UPSTREAM, "draining")


def test_gateways_refused_by_the_store_learn_that_an_upstream_is_leaving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: HallWorld, cause: Scenario) -> None:
        await cause(world)
        await asyncio.sleep(BOUND_S)
        known = [
            name
            for name in GATEWAYS + REMOTE_GATEWAYS
            if UPSTREAM in world.gateways[name].leaving_at_s
        ]
        assert known == list(GATEWAYS + REMOTE_GATEWAYS), cause.__name__

    for cause in (_lose_datagrams_to_a_refused_gateway, _refuse_calls_of_a_hall):
        _run_two_halls(monkeypatch, functools.partial(scenario, cause=cause))


def test_deleted_entry_is_removed_after_an_outage_of_only_some_gateways(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Calls of the relay, another gateway or a whole hall fail shortly before; others' do not."""

    async def scenario(world: HallWorld, names: str, silent_s: float) -> None:
        await _break_paths(world, names, Path.SILENT, silent_s)
        await asyncio.sleep(0.3)
        world.delete_upstream(UPSTREAM)
        await asyncio.sleep(BOUND_S)
        known = [
            name
            for name in GATEWAYS + REMOTE_GATEWAYS
            if UPSTREAM in world.gateways[name].gone_at_s
        ]
        assert known == list(GATEWAYS + REMOTE_GATEWAYS), (names, silent_s)

    for names, silent_s in itertools.product(("a", "b", GATEWAYS), (0.4, 0.8, 1.2, 2.5)):
        _run_two_halls(monkeypatch, functools.partial(scenario, names=names, silent_s=silent_s))


def test_entries_that_expire_in_a_store_outage_have_a_grace_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One gateway reaches the store again later than the others."""

    async def scenario(world: HallWorld) -> None:
        expired = "upstream-2"
        world.write_upstream(expired, "ready")
        await asyncio.sleep(0.5)
        world.store.fault = "busy"
        world.set_path("c", Path.SILENT)
        await asyncio.sleep(3.0)
        for incarnation in (UPSTREAM, expired):
            world.delete_upstream(incarnation)
        await asyncio.sleep(1.0)
        world.store.fault = "none"
        await asyncio.sleep(1.0)
        world.set_path("c", Path.PASS)
        await asyncio.sleep(EXPIRY_GRACE_S - 1.2)
        world.write_upstream(UPSTREAM, "ready")
        await asyncio.sleep(BOUND_S)
        for name in GATEWAYS + REMOTE_GATEWAYS:
            assert set(world.gateways[name].gone_at_s) == {expired}, name

    _run_two_halls(monkeypatch, scenario)
