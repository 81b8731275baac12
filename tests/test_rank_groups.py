"""Let one service have several rank groups: each is read, judged, planned and chosen by itself."""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from dalehollow.gateway.admission import Admission, NoPlace, Turn
from dalehollow.gateway.groups import GroupRanks
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.upstream import Upstream
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.groups.ranks import KeptPlan
from dalehollow.rendezvous import count_before
from tests.gateway_bench import GatewayBench, make_config, run_bench

SIZE = 3
GROUPS = ("g0", "g1")
SLOTS = 2


def _list_rank(group: str, rank: int, **changes: object) -> ListedUpstream:
    name = f"{group}-{rank}"
    known = {"group_size": SIZE, "group_epoch": 1, **changes}
    return ListedUpstream(
        str(known.pop("incarnation", name)),
        "desk",
        str(known.pop("address", f"at-{name}")),
        "hall",
        SLOTS,
        False,
        group,
        rank,
        **known,  # type: ignore[arg-type]
    )


def _make_set() -> UpstreamSet:
    upstreams = UpstreamSet(random.Random(5), "hall")
    for rank in range(SIZE):
        for group in GROUPS:
            upstreams.put(_list_rank(group, rank))
    return upstreams


class _Desk:
    """Hold one service of two groups, and a clock that stands still unless told."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.health = GroupHealth()
        self.upstreams = _make_set()
        self.admission = Admission(
            "desk", self.upstreams, self.health, random.Random(7), clock=lambda: self.now_s
        )

    async def take(self) -> Upstream | NoPlace:
        return await self.admission.take(Turn("talk", 5, 40.0, 8.0, 8.0), ())

    async def take_groups(self, count: int) -> list[str]:
        taken = [await self.take() for _ in range(count)]
        return [u.listed.group for u in taken if isinstance(u, Upstream)]


def test_interleaved_ranks_are_read_by_group() -> None:
    """Ranks of the same number overwrote each other, and two maps met in one step."""
    upstreams = _make_set()
    for group in GROUPS:
        ranks = GroupRanks(upstreams, f"desk/{group}")
        assert dict(ranks) == {rank: f"at-{group}-{rank}" for rank in range(SIZE)}


def test_groups_of_the_same_name_in_two_services_are_two() -> None:
    upstreams = _make_set()
    for rank in range(SIZE):
        name = f"x{rank}"
        upstreams.put(ListedUpstream(name, "floor", name, "hall", 2, False, "g0", rank, SIZE))
    assert dict(GroupRanks(upstreams, "desk/g0")) != dict(GroupRanks(upstreams, "floor/g0"))
    assert len(GroupRanks(upstreams, "floor/g0")) == SIZE


BAD_ENTRIES = {
    "a rank out of range": [_list_rank("g0", SIZE)],
    "a negative rank": [_list_rank("g0", -1)],
    "two sizes": [_list_rank("g0", 2, group_size=SIZE + 1)],
    "two servers of one rank": [_list_rank("g0", 2, incarnation="twin", address="at-twin")],
}


@pytest.mark.parametrize("bad", BAD_ENTRIES.values(), ids=BAD_ENTRIES.keys())
def test_a_group_with_contradicting_entries_is_not_planned(
    bad: list[ListedUpstream], caplog: pytest.LogCaptureFixture
) -> None:
    upstreams = _make_set()
    for entry in bad:
        upstreams.put(entry)
    ranks = GroupRanks(upstreams, "desk/g0")
    with caplog.at_level(logging.WARNING):
        assert [dict(ranks) for _ in range(3)] == [{}, {}, {}]
    assert len([r for r in caplog.records if "group_contradicted" in r.getMessage()]) == 1
    assert len(GroupRanks(upstreams, "desk/g1")) == SIZE
    assert upstreams.choose("desk", (), 0.0) is not None


def test_a_restarted_rank_counts_by_its_newer_epoch() -> None:
    """The entry of the life before stays until it lapses, some heartbeats later."""
    upstreams = _make_set()
    for rank in range(SIZE):
        changes: dict[str, object] = {"incarnation": "g0-2-again", "address": "again"}
        upstreams.put(_list_rank("g0", rank, group_epoch=2, **(changes if rank == 2 else {})))
    assert GroupRanks(upstreams, "desk/g0")[2] == "again"


def test_a_rank_that_changes_its_group_leaves_the_other() -> None:
    upstreams = _make_set()
    upstreams.put(_list_rank("g1", 0, incarnation="g0-0", address="at-g0-0", group_epoch=2))
    assert dict(GroupRanks(upstreams, "desk/g0")) == {}
    assert GroupRanks(upstreams, "desk/g1")[0] == "at-g0-0"
    upstreams.remove("g0-0")
    assert GroupRanks(upstreams, "desk/g1")[0] == "at-g1-0"


def test_a_broken_group_gets_nothing_while_the_other_serves() -> None:
    async def scenario() -> None:
        desk = _Desk()
        desk.health.note_refused("desk/g0", desk.now_s)
        assert not desk.admission.is_broken()
        assert await desk.take_groups(SIZE * SLOTS) == ["g1"] * (SIZE * SLOTS)
        desk.health.note_served("desk/g0", desk.now_s + 0.1)
        assert await desk.take_groups(SIZE * SLOTS) == ["g0"] * (SIZE * SLOTS)

    asyncio.run(scenario())


def test_a_broken_group_is_asked_again_by_one_request_after_a_while() -> None:
    async def scenario() -> None:
        desk = _Desk()
        desk.health.note_refused("desk/g0", desk.now_s)
        desk.now_s += 5.0
        assert sorted(await desk.take_groups(4)) == ["g0", "g1", "g1", "g1"]

    asyncio.run(scenario())


def test_a_service_is_broken_once_all_its_groups_are() -> None:
    async def scenario() -> None:
        desk = _Desk()
        for group in GROUPS:
            desk.health.note_refused(f"desk/{group}", desk.now_s)
        assert desk.admission.is_broken()
        probe, refused = await desk.take(), await desk.take()
        assert isinstance(probe, Upstream)
        assert isinstance(refused, NoPlace) and refused.reason == "group_broken"

    asyncio.run(scenario())


def test_slow_ranks_are_those_of_their_group() -> None:
    upstreams = _make_set()
    upstreams.note_slow_ranks("desk/g0", (0, 1, 2))
    chosen = {upstreams.choose("desk", (), 0.0).listed.group for _ in range(20)}  # type: ignore[union-attr]
    assert chosen == {"g1"}


def test_every_gateway_finds_one_order_and_duties_spread() -> None:
    names = [f"gw-{number}" for number in range(30)]
    firsts = set()
    for group in range(40):
        turns = {name: count_before(names, name, f"desk/g{group}") for name in names}
        assert sorted(turns.values()) == list(range(len(names)))
        firsts.add(min(turns, key=turns.__getitem__))
    assert len(firsts) > 15


def test_gateways_of_a_groups_hall_try_for_its_duty_first() -> None:
    """From another hall a planner saw no streams of its group, and sent each map between halls."""

    async def scenario(bench: GatewayBench) -> None:
        _list_groups(bench)
        await bench.until(lambda: len(bench.gateway.state.upstreams.of_group("desk/g1")) == 2)
        gateway = bench.gateway
        for number in range(4):
            gateway._apply_listed(f"near-{number}", Member("127.0.0.1:9", "hall"))
            gateway._apply_listed(f"far-{number}", Member("127.0.0.1:9", "elsewhere"))
        assert gateway._planners._count_duty_predecessors("desk/g1") <= 4
        for rank in range(2):
            entry = {"name": "g1", "epoch": 1, "rank": rank, "state": "open"}
            bench.list_server(f"g1-{rank}", "127.0.0.1:9", group=entry, size=2, zone="elsewhere")
        await bench.until(lambda: gateway.state.upstreams.home_hall("desk/g1") == "elsewhere")
        assert gateway._planners._count_duty_predecessors("desk/g1") >= 4

    run_bench(scenario)


_ENGINE = {
    **{"slots": 2, "step_ms": 5.0, "per_seq_ms": 0, "context_per_k": 0, "read_per_s": 1e6},
    **{"sets": 1, "experts": 4, "places": 4, "spare": 4, "expertMb": 1.0, "linkMbps": 1000.0},
}


def _list_groups(bench: GatewayBench) -> None:
    for group in GROUPS:
        for rank in range(2):
            entry = {"name": group, "epoch": 1, "rank": rank, "state": "open"}
            name = f"{group}-{rank}"
            bench.list_server(name, "127.0.0.1:9", group=entry, size=2)


def test_one_gateway_plans_both_groups_and_takes_one_duty_over_alone() -> None:
    async def scenario(bench: GatewayBench) -> None:
        bench.store.put("dalehollow/duties/desk/g0", b"another")
        await bench.until(lambda: bench.gateway._planners.holders.get("desk/g0") == "another")
        service = {"name": "desk", "maxConnections": 9, "engine": _ENGINE}
        await bench.apply(make_config(2, services=[service]))
        _list_groups(bench)
        await bench.until(lambda: set(bench.gateway._planners.by_group) == {"desk/g0", "desk/g1"})
        session = bench.gateway._session
        await bench.until(lambda: session.fence("desk/g1") is not None)
        assert session.fence("desk/g0") is None
        bench.store.delete("dalehollow/duties/desk/g0")
        await bench.until(lambda: session.fence("desk/g0") is not None)
        assert session.fence("desk/g1") is not None

    run_bench(scenario)


def test_what_is_kept_of_a_plan_is_its_groups() -> None:
    async def scenario(bench: GatewayBench) -> None:
        service = {"name": "desk", "maxConnections": 9, "engine": _ENGINE}
        await bench.apply(make_config(2, services=[service]))
        _list_groups(bench)
        await bench.until(lambda: len(bench.gateway._planners.by_group) == 2)
        bench.gateway._planners.note_plan("desk/g0", KeptPlan(((9, 0, 0, 0),)))
        planners = bench.gateway._planners.by_group
        assert planners["desk/g0"]._stored_demand and not planners["desk/g1"]._stored_demand

    run_bench(scenario)
