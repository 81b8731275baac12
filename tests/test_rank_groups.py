"""Test that the rank groups of a service are read, checked, planned and chosen independently."""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from dalehollow.gateway.admission import Admission, AdmissionRefusal, AdmissionRequest
from dalehollow.gateway.groups import GroupRanks
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.upstream import Upstream
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.groups.ranks import StoredPlan
from dalehollow.rendezvous import count_before
from tests.gateway_bench import GatewayBench, make_config, run_bench

SIZE = 3
GROUPS = ("g0", "g1")
SLOTS = 2


def _make_listed_rank(group: str, rank: int, **changes: object) -> ListedUpstream:
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
            upstreams.put(_make_listed_rank(group, rank))
    return upstreams


class _AdmissionFixture:
    """Hold the admission of one service with two groups, and a manual clock."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.health = GroupHealth()
        self.upstreams = _make_set()
        self.admission = Admission(
            "desk", self.upstreams, self.health, random.Random(7), clock=lambda: self.now_s
        )

    async def acquire(self) -> Upstream | AdmissionRefusal:
        return await self.admission.acquire(AdmissionRequest("talk", 5, 40.0, 8.0, 8.0), ())

    async def acquire_groups(self, count: int) -> list[str]:
        taken = [await self.acquire() for _ in range(count)]
        return [u.listed.group for u in taken if isinstance(u, Upstream)]


def test_interleaved_ranks_are_read_by_group() -> None:
    """Ranks with equal numbers in two groups overwrote each other, so a step mixed two maps."""
    upstreams = _make_set()
    for group in GROUPS:
        ranks = GroupRanks(upstreams, f"desk/{group}")
        assert dict(ranks) == {rank: f"at-{group}-{rank}" for rank in range(SIZE)}


def test_groups_of_the_same_name_in_two_services_are_distinct() -> None:
    upstreams = _make_set()
    for rank in range(SIZE):
        name = f"x{rank}"
        upstreams.put(ListedUpstream(name, "floor", name, "hall", 2, False, "g0", rank, SIZE))
    assert dict(GroupRanks(upstreams, "desk/g0")) != dict(GroupRanks(upstreams, "floor/g0"))
    assert len(GroupRanks(upstreams, "floor/g0")) == SIZE


BAD_ENTRIES = {
    "a rank out of range": [_make_listed_rank("g0", SIZE)],
    "a negative rank": [_make_listed_rank("g0", -1)],
    "two sizes": [_make_listed_rank("g0", 2, group_size=SIZE + 1)],
    "two servers of one rank": [_make_listed_rank("g0", 2, incarnation="twin", address="at-twin")],
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


def test_restarted_rank_is_read_by_its_newer_epoch() -> None:
    """The entry of the previous process stays listed for some heartbeats; the newer one counts."""
    upstreams = _make_set()
    for rank in range(SIZE):
        changes: dict[str, object] = {"incarnation": "g0-2-again", "address": "again"}
        upstreams.put(
            _make_listed_rank("g0", rank, group_epoch=2, **(changes if rank == 2 else {}))
        )
    assert GroupRanks(upstreams, "desk/g0")[2] == "again"


def test_rank_that_changes_its_group_leaves_the_previous_one() -> None:
    upstreams = _make_set()
    upstreams.put(_make_listed_rank("g1", 0, incarnation="g0-0", address="at-g0-0", group_epoch=2))
    assert dict(GroupRanks(upstreams, "desk/g0")) == {}
    assert GroupRanks(upstreams, "desk/g1")[0] == "at-g0-0"
    upstreams.remove("g0-0")
    assert GroupRanks(upstreams, "desk/g1")[0] == "at-g1-0"


def test_broken_group_gets_no_requests_while_the_other_serves() -> None:
    async def scenario() -> None:
        fixture = _AdmissionFixture()
        fixture.health.record_refused("desk/g0", fixture.now_s)
        assert not fixture.admission.is_broken()
        assert await fixture.acquire_groups(SIZE * SLOTS) == ["g1"] * (SIZE * SLOTS)
        fixture.health.record_served("desk/g0", fixture.now_s + 0.1)
        assert await fixture.acquire_groups(SIZE * SLOTS) == ["g0"] * (SIZE * SLOTS)

    asyncio.run(scenario())


def test_broken_group_is_probed_by_one_request_after_a_delay() -> None:
    async def scenario() -> None:
        fixture = _AdmissionFixture()
        fixture.health.record_refused("desk/g0", fixture.now_s)
        fixture.now_s += 5.0
        assert sorted(await fixture.acquire_groups(4)) == ["g0", "g1", "g1", "g1"]

    asyncio.run(scenario())


def test_a_service_is_broken_once_all_its_groups_are() -> None:
    async def scenario() -> None:
        fixture = _AdmissionFixture()
        for group in GROUPS:
            fixture.health.record_refused(f"desk/{group}", fixture.now_s)
        assert fixture.admission.is_broken()
        probe, refused = await fixture.acquire(), await fixture.acquire()
        assert isinstance(probe, Upstream)
        assert isinstance(refused, AdmissionRefusal) and refused.reason == "group_broken"

    asyncio.run(scenario())


def test_slow_ranks_are_those_of_their_group() -> None:
    upstreams = _make_set()
    upstreams.record_slow_ranks("desk/g0", (0, 1, 2))
    chosen = {upstreams.choose("desk", (), 0.0).listed.group for _ in range(20)}  # type: ignore[union-attr]
    assert chosen == {"g1"}


def test_gateways_agree_on_the_order_and_duties_are_spread() -> None:
    names = [f"gw-{number}" for number in range(30)]
    firsts = set()
    for group in range(40):
        turns = {name: count_before(names, name, f"desk/g{group}") for name in names}
        assert sorted(turns.values()) == list(range(len(names)))
        firsts.add(min(turns, key=turns.__getitem__))
    assert len(firsts) > 15


def test_gateways_of_a_groups_hall_try_for_its_duty_first() -> None:
    """A planner in another hall saw no streams of its group and sent each map between halls."""

    async def scenario(bench: GatewayBench) -> None:
        _list_groups(bench)
        await bench.wait_until(lambda: len(bench.gateway.state.upstreams.of_group("desk/g1")) == 2)
        gateway = bench.gateway
        for number in range(4):
            gateway._apply_listed(f"near-{number}", Member("127.0.0.1:9", "hall"))
            gateway._apply_listed(f"far-{number}", Member("127.0.0.1:9", "elsewhere"))
        assert gateway._planners._count_duty_predecessors("desk/g1") <= 4
        for rank in range(2):
            entry = {"name": "g1", "epoch": 1, "rank": rank, "state": "open"}
            bench.list_server(f"g1-{rank}", "127.0.0.1:9", group=entry, size=2, zone="elsewhere")
        await bench.wait_until(lambda: gateway.state.upstreams.home_hall("desk/g1") == "elsewhere")
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


def test_one_gateway_plans_both_groups_and_takes_over_a_single_duty() -> None:
    async def scenario(bench: GatewayBench) -> None:
        bench.store.put("dalehollow/duties/desk/g0", b"another")
        await bench.wait_until(lambda: bench.gateway._planners.holders.get("desk/g0") == "another")
        service = {"name": "desk", "maxConnections": 9, "engine": _ENGINE}
        await bench.apply(make_config(2, services=[service]))
        _list_groups(bench)
        await bench.wait_until(
            lambda: set(bench.gateway._planners.by_group) == {"desk/g0", "desk/g1"}
        )
        session = bench.gateway._session
        await bench.wait_until(lambda: session.fence("desk/g1") is not None)
        assert session.fence("desk/g0") is None
        bench.store.delete("dalehollow/duties/desk/g0")
        await bench.wait_until(lambda: session.fence("desk/g0") is not None)
        assert session.fence("desk/g1") is not None

    run_bench(scenario)


def test_stored_plan_belongs_to_its_group() -> None:
    async def scenario(bench: GatewayBench) -> None:
        service = {"name": "desk", "maxConnections": 9, "engine": _ENGINE}
        await bench.apply(make_config(2, services=[service]))
        _list_groups(bench)
        await bench.wait_until(lambda: len(bench.gateway._planners.by_group) == 2)
        bench.gateway._planners.record_plan("desk/g0", StoredPlan(((9, 0, 0, 0),)))
        planners = bench.gateway._planners.by_group
        assert planners["desk/g0"]._stored_demand and not planners["desk/g1"]._stored_demand

    run_bench(scenario)
