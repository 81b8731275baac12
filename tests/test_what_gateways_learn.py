"""Check that a gateway learns all that the store tells another that it hears, within one bound.

What was seen: a gateway that the store turned away for longer than its entry's lease stood 6 s
behind, for the others had dropped its address with its entry; a hall that the store turned away
learned 7 to 9 s late that upstreams leave, for only configurations were copied; and an upstream
whose entry went was kept for 2 s more by a gateway that had itself been cut off for a moment, for
its own failed call stood for an absence of the store. What should stand in for the store depended
on the store.
"""

from __future__ import annotations

import asyncio
import functools
import itertools

import pytest

from dalehollow.gateway.contact import EXPIRY_GRACE_S
from tests.hall_world import HallWorld, Path, Scenario, play_halls, run_beside
from tests.late_chains import BOUND_S

NEAR, FAR = "abc", "xyz"
UPSTREAM = "upstream-1"


def _play(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> None:
    """Play a scenario of two halls and one upstream."""
    play_halls(monkeypatch, scenario, {"hall": NEAR, "other": FAR}, upstreams=(UPSTREAM,))


async def _refuse(world: HallWorld, names: str, for_s: float) -> None:
    await _break_paths(world, names, Path.REFUSE, for_s)


async def _break_paths(world: HallWorld, names: str, path: Path, for_s: float) -> None:
    """Break the paths of some gateways to the store for a while."""
    for name in names:
        world.set_path(name, path)
    await asyncio.sleep(for_s)
    for name in names:
        world.set_path(name, Path.PASS)


def test_a_gateway_whose_lease_ran_out_goes_on_hearing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: HallWorld, names: str, spans_s: tuple[float, ...]) -> None:
        async def turn_away() -> None:
            for for_s in spans_s:
                await _refuse(world, names, for_s)
                await asyncio.sleep(1.0)

        beside = run_beside(world.keep_applying(0.9), turn_away())
        watching = world.watch_lag(NEAR + FAR, for_s=sum(spans_s))
        longest, _ = await asyncio.gather(watching, beside)
        assert max(longest.values()) < BOUND_S, (names, spans_s, longest)

    for names, spans_s in itertools.product(("b", NEAR), ((25.0,), (8.0, 6.0))):
        _play(monkeypatch, functools.partial(scenario, names=names, spans_s=spans_s))


async def _lose_a_datagram(world: HallWorld) -> None:
    """Turn one gateway away and have it miss what its relay says next."""
    world.set_path("b", Path.REFUSE)
    for other in "ac":
        world.gateways[other].deaf = {"b"}
    world.write_upstream(UPSTREAM, "draining")
    await asyncio.sleep(0.2)
    for other in "ac":
        world.gateways[other].deaf = set()


async def _turn_a_hall_away(world: HallWorld) -> None:
    for name in NEAR:
        world.set_path(name, Path.REFUSE)
    await asyncio.sleep(3.0)
    world.write_upstream(UPSTREAM, "draining")


def test_who_the_store_turns_away_learns_that_an_upstream_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: HallWorld, happen: Scenario) -> None:
        await happen(world)
        await asyncio.sleep(BOUND_S)
        known = [name for name in NEAR + FAR if UPSTREAM in world.gateways[name].leaving_at_s]
        assert known == list(NEAR + FAR), happen.__name__

    for happen in (_lose_a_datagram, _turn_a_hall_away):
        _play(monkeypatch, functools.partial(scenario, happen=happen))


def test_an_entry_that_goes_is_gone_where_the_store_was_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The calls of the relay, of another gateway or of a hall fail before; others' do not."""

    async def scenario(world: HallWorld, names: str, silent_s: float) -> None:
        await _break_paths(world, names, Path.SILENT, silent_s)
        await asyncio.sleep(0.3)
        world.delete_upstream(UPSTREAM)
        await asyncio.sleep(BOUND_S)
        known = [name for name in NEAR + FAR if UPSTREAM in world.gateways[name].gone_at_s]
        assert known == list(NEAR + FAR), (names, silent_s)

    for names, silent_s in itertools.product(("a", "b", NEAR), (0.4, 0.8, 1.2, 2.5)):
        _play(monkeypatch, functools.partial(scenario, names=names, silent_s=silent_s))


def test_entries_that_expire_while_the_store_is_away_have_time_to_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One gateway hears the store again later than the others."""

    async def scenario(world: HallWorld) -> None:
        lost = "upstream-2"
        world.write_upstream(lost, "ready")
        await asyncio.sleep(0.5)
        world.store.fault = "busy"
        world.set_path("c", Path.SILENT)
        await asyncio.sleep(3.0)
        for incarnation in (UPSTREAM, lost):
            world.delete_upstream(incarnation)
        await asyncio.sleep(1.0)
        world.store.fault = "none"
        await asyncio.sleep(1.0)
        world.set_path("c", Path.PASS)
        await asyncio.sleep(EXPIRY_GRACE_S - 1.2)
        world.write_upstream(UPSTREAM, "ready")
        await asyncio.sleep(BOUND_S)
        for name in NEAR + FAR:
            assert set(world.gateways[name].gone_at_s) == {lost}, name

    _play(monkeypatch, scenario)
