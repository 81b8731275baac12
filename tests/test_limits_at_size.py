"""Test rate limits of upstreams with many gateways in several halls in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import pytest

from soak.signal_promises import count_allowed_in_window, count_max_in_window
from tests.limit_world import LimitWorld, Server
from tests.virtual_time import run_virtual

COUNT_DELAY_S = 3.0
"""Time after the first answer with a limit from which requests are counted; those of a gateway only
from `GATEWAY_COUNT_DELAY_S` after it relayed such an answer."""
GATEWAY_COUNT_DELAY_S = 0.5
DURATION_S = 14.0
MIN_UTILIZATION = 0.6
"""Smallest acceptable utilization of a limit while the demand exceeds it."""
EIGHT = {"a": 3, "b": 3, "c": 2}
THIRTY_ONE = {"a": 11, "b": 10, "c": 10}


def _simulate(
    halls: Mapping[str, int],
    servers: Mapping[str, Server],
    *,
    rate_per_s: float,
    names: tuple[str, ...] = (),
    halfway: Callable[[LimitWorld], None] = lambda world: None,
    begin: Callable[[LimitWorld], None] = lambda world: None,
    check: Callable[[LimitWorld], None] = lambda world: None,
) -> LimitWorld:
    """Run a simulation; call `begin` before it, `halfway` in the middle and `check` at the end."""

    async def main() -> LimitWorld:
        world = LimitWorld(7, halls, servers)
        begin(world)
        await asyncio.sleep(2.0)
        world.send_requests(rate_per_s, names)
        await asyncio.sleep(DURATION_S / 2)
        halfway(world)
        await asyncio.sleep(DURATION_S / 2)
        check(world)
        world.close()
        return world

    played = run_virtual(main())
    assert isinstance(played, LimitWorld)
    return played


def _count_most(server: Server) -> int:
    assert server.limit_sent_at_s is not None
    from_s = server.limit_sent_at_s + COUNT_DELAY_S
    counted = [a for a in server.arrivals if a.at_s >= a.learned_at_s + GATEWAY_COUNT_DELAY_S]
    return count_max_in_window([a.at_s for a in counted if a.at_s >= from_s])


def _utilization(server: Server, for_s: float) -> float:
    """Return the utilization of a limit in the last `for_s` seconds."""
    assert server.limit_per_s is not None
    until_s = 2.0 + DURATION_S
    used = sum(1 for a in server.arrivals if until_s - for_s < a.at_s <= until_s)
    return used / for_s / server.limit_per_s


@pytest.mark.parametrize("halls", [EIGHT, THIRTY_ONE], ids=["8", "31"])
@pytest.mark.parametrize("limit", [0.5, 1.0, 4.0, 20.0])
def test_the_limit_is_respected_and_used(halls: Mapping[str, int], limit: float) -> None:
    """Guards against exceeding or barely using limits while the demand exceeds them."""
    servers = {f"s{hall}": Server(hall, limit) for hall in halls}
    gateways = sum(halls.values())
    world = _simulate(halls, servers, rate_per_s=max(0.5, 9 * limit / gateways))
    for server in world.servers.values():
        assert _count_most(server) <= count_allowed_in_window(limit)
        assert _utilization(server, 6.0) >= MIN_UTILIZATION


@pytest.mark.parametrize("halls", [EIGHT, THIRTY_ONE], ids=["8", "31"])
def test_the_limit_is_respected_beside_an_unlimited_upstream(halls: Mapping[str, int]) -> None:
    servers = {"s0": Server("a", 1.0), "s1": Server("b")}
    world = _simulate(halls, servers, rate_per_s=1.0)
    assert _count_most(world.servers["s0"]) <= count_allowed_in_window(1.0)
    assert sum(g.refused for g in world.gateways.values()) == 0


@pytest.mark.parametrize("limit", [0.0, 1.0, 4.0])
def test_the_limit_is_respected_while_halls_are_disconnected(limit: float) -> None:
    def disconnect(world: LimitWorld) -> None:
        world.are_halls_connected = False

    for begin, halfway in ((disconnect, lambda world: None), (lambda world: None, disconnect)):
        servers = {"s0": Server("a", limit)}
        world = _simulate(THIRTY_ONE, servers, rate_per_s=1.0, begin=begin, halfway=halfway)
        assert _count_most(world.servers["s0"]) <= count_allowed_in_window(limit)


@pytest.mark.parametrize("limit", [1.0, 4.0])
def test_the_limit_is_respected_without_a_gateway_in_the_upstreams_hall(limit: float) -> None:
    def disconnect(world: LimitWorld) -> None:
        world.are_halls_connected = False

    world = _simulate(EIGHT, {"s0": Server("far", limit)}, rate_per_s=2.0, halfway=disconnect)
    assert _count_most(world.servers["s0"]) <= count_allowed_in_window(limit)


@pytest.mark.parametrize("name", ["a-1", "c-0"])
def test_one_gateway_may_use_all_of_a_limit(name: str) -> None:
    """Guards against reserving parts of a limit for gateways without requests."""
    world = _simulate(EIGHT, {"s0": Server("a", 4.0)}, rate_per_s=8.0, names=(name,))
    assert _count_most(world.servers["s0"]) <= count_allowed_in_window(4.0)
    assert _utilization(world.servers["s0"], 6.0) >= MIN_UTILIZATION


def test_the_limit_is_respected_while_datagrams_are_lost() -> None:
    def lose_datagrams(world: LimitWorld) -> None:
        world.loss = 0.3

    world = _simulate(THIRTY_ONE, {"s0": Server("a", 2.0)}, rate_per_s=1.0, halfway=lose_datagrams)
    assert _count_most(world.servers["s0"]) <= count_allowed_in_window(2.0)
    assert _utilization(world.servers["s0"], 6.0) >= MIN_UTILIZATION / 2


def test_another_gateway_allocates_once_the_allocator_is_gone() -> None:
    def end_allocator(world: LimitWorld) -> None:
        (allocator,) = (g.name for g in world.gateways.values() if g.tokens._allocations)
        world.stop(allocator)

    world = _simulate(EIGHT, {"s0": Server("a", 4.0)}, rate_per_s=2.0, halfway=end_allocator)
    assert _count_most(world.servers["s0"]) <= count_allowed_in_window(4.0)
    assert _utilization(world.servers["s0"], 4.0) >= MIN_UTILIZATION


def test_an_answer_without_a_limit_removes_it_at_every_gateway() -> None:
    def end_limit(world: LimitWorld) -> None:
        world.servers["s0"].limit_per_s = None

    def check(world: LimitWorld) -> None:
        limits = {
            u.reported_state.limit_per_s for g in world.gateways.values() for u in g.upstreams
        }
        assert limits == {None}

    servers = {"s0": Server("a", 1.0)}
    world = _simulate(THIRTY_ONE, servers, rate_per_s=1.0, halfway=end_limit, check=check)
    late = [a for a in world.servers["s0"].arrivals if a.at_s > 2.0 + DURATION_S - 3.0]
    assert len(late) > 31
