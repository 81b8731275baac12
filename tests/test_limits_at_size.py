"""Check limits of upstreams on many gateways in several halls, on virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import pytest

from soak.signal_promises import count_allowed, count_most
from tests.limit_world import LimitWorld, Server
from tests.virtual_time import run_virtual

CONTACT_S = 3.0
"""What comes sooner after a limit was first named is not counted, nor what is sent by a gateway
less than `LEARNED_S` after it passed on such an answer."""
LEARNED_S = 0.5
PLAYED_S = 14.0
USED_SHARE = 0.6
"""Of what a limit allows at least this share is used, where more is asked for."""
EIGHT = {"a": 3, "b": 3, "c": 2}
THIRTY_ONE = {"a": 11, "b": 10, "c": 10}


def _play(
    halls: Mapping[str, int],
    servers: Mapping[str, Server],
    *,
    rate_per_s: float,
    names: tuple[str, ...] = (),
    happen: Callable[[LimitWorld], None] = lambda world: None,
    begin: Callable[[LimitWorld], None] = lambda world: None,
    check: Callable[[LimitWorld], None] = lambda world: None,
) -> LimitWorld:
    """Play a world: it begins one way, halfway something happens, at the end it is looked at."""

    async def main() -> LimitWorld:
        world = LimitWorld(7, halls, servers)
        begin(world)
        await asyncio.sleep(2.0)
        world.ask_often(rate_per_s, names)
        await asyncio.sleep(PLAYED_S / 2)
        happen(world)
        await asyncio.sleep(PLAYED_S / 2)
        check(world)
        world.close()
        return world

    played = run_virtual(main())
    assert isinstance(played, LimitWorld)
    return played


def _most(server: Server) -> int:
    assert server.named_at_s is not None
    from_s = server.named_at_s + CONTACT_S
    counted = [a for a in server.arrivals if a.at_s >= a.known_at_s + LEARNED_S]
    return count_most([a.at_s for a in counted if a.at_s >= from_s])


def _used_share(server: Server, for_s: float) -> float:
    """Return the share of a limit that was used in the last seconds."""
    assert server.limit_per_s is not None
    until_s = 2.0 + PLAYED_S
    used = sum(1 for a in server.arrivals if until_s - for_s < a.at_s <= until_s)
    return used / for_s / server.limit_per_s


@pytest.mark.parametrize("halls", [EIGHT, THIRTY_ONE], ids=["8", "31"])
@pytest.mark.parametrize("limit", [0.5, 1.0, 4.0, 20.0])
def test_the_sum_holds_and_is_used(halls: Mapping[str, int], limit: float) -> None:
    """All upstreams are limited, and more is asked for than they take."""
    servers = {f"s{hall}": Server(hall, limit) for hall in halls}
    gateways = sum(halls.values())
    world = _play(halls, servers, rate_per_s=max(0.5, 9 * limit / gateways))
    for server in world.servers.values():
        assert _most(server) <= count_allowed(limit)
        assert _used_share(server, 6.0) >= USED_SHARE


@pytest.mark.parametrize("halls", [EIGHT, THIRTY_ONE], ids=["8", "31"])
def test_the_sum_holds_beside_an_upstream_without_a_limit(halls: Mapping[str, int]) -> None:
    servers = {"s0": Server("a", 1.0), "s1": Server("b")}
    world = _play(halls, servers, rate_per_s=1.0)
    assert _most(world.servers["s0"]) <= count_allowed(1.0)
    assert sum(g.refused for g in world.gateways.values()) == 0


@pytest.mark.parametrize("limit", [0.0, 1.0, 4.0])
def test_the_sum_holds_where_halls_do_not_hear_each_other(limit: float) -> None:
    def cut(world: LimitWorld) -> None:
        world.halls_hear_each_other = False

    for begin, happen in ((cut, lambda world: None), (lambda world: None, cut)):
        servers = {"s0": Server("a", limit)}
        world = _play(THIRTY_ONE, servers, rate_per_s=1.0, begin=begin, happen=happen)
        assert _most(world.servers["s0"]) <= count_allowed(limit)


@pytest.mark.parametrize("limit", [1.0, 4.0])
def test_the_sum_holds_where_the_upstreams_hall_has_no_gateway(limit: float) -> None:
    def cut(world: LimitWorld) -> None:
        world.halls_hear_each_other = False

    world = _play(EIGHT, {"s0": Server("far", limit)}, rate_per_s=2.0, happen=cut)
    assert _most(world.servers["s0"]) <= count_allowed(limit)


@pytest.mark.parametrize("name", ["a-1", "c-0"])
def test_one_gateway_may_use_all_of_a_limit(name: str) -> None:
    """Shares of those who ask for nothing are not lost."""
    world = _play(EIGHT, {"s0": Server("a", 4.0)}, rate_per_s=8.0, names=(name,))
    assert _most(world.servers["s0"]) <= count_allowed(4.0)
    assert _used_share(world.servers["s0"], 6.0) >= USED_SHARE


def test_the_sum_holds_while_datagrams_are_lost() -> None:
    def lose(world: LimitWorld) -> None:
        world.loss = 0.3

    world = _play(THIRTY_ONE, {"s0": Server("a", 2.0)}, rate_per_s=1.0, happen=lose)
    assert _most(world.servers["s0"]) <= count_allowed(2.0)
    assert _used_share(world.servers["s0"], 6.0) >= USED_SHARE / 2


def test_another_gateway_allocates_once_the_allocator_is_gone() -> None:
    def end_allocator(world: LimitWorld) -> None:
        (allocator,) = (g.name for g in world.gateways.values() if g.tokens._allocations)
        world.end(allocator)

    world = _play(EIGHT, {"s0": Server("a", 4.0)}, rate_per_s=2.0, happen=end_allocator)
    assert _most(world.servers["s0"]) <= count_allowed(4.0)
    assert _used_share(world.servers["s0"], 4.0) >= USED_SHARE


def test_a_limit_ends_everywhere_with_the_answer_that_names_none() -> None:
    def end_limit(world: LimitWorld) -> None:
        world.servers["s0"].limit_per_s = None

    def check(world: LimitWorld) -> None:
        said = {u.said.limit_per_s for g in world.gateways.values() for u in g.upstreams}
        assert said == {None}

    servers = {"s0": Server("a", 1.0)}
    world = _play(THIRTY_ONE, servers, rate_per_s=1.0, happen=end_limit, check=check)
    late = [a for a in world.servers["s0"].arrivals if a.at_s > 2.0 + PLAYED_S - 3.0]
    assert len(late) > 31
