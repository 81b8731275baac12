"""Test that shares follow demand and stay within the limit under faults and restarts."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result

from dalehollow.config import check_text
from dalehollow.entry import EntryProcess
from dalehollow.entry.shares import ShareManager, held_shares
from dalehollow.limits import Allocator, EntryDemand, fair_shares
from dalehollow.limits.shares import REMOVAL_DELAY_S
from dalehollow.platform.vms import Vm
from dalehollow.protocol import ShareGrant, ShareRequest
from dalehollow.settings import Settings
from tests.config_text import make_raw, make_text

LIMIT = 100.0
ENTRIES = ("e0", "e1", "e2")


@pytest.mark.parametrize(
    ("demands", "shares"),
    [
        ({"a": 0.0, "b": 0.0}, {"a": 50.0, "b": 50.0}),
        ({"a": 10.0, "b": 500.0}, {"a": 10.0, "b": 90.0}),
        ({"a": 500.0, "b": 500.0}, {"a": 50.0, "b": 50.0}),
        ({"a": 20.0, "b": 40.0}, {"a": 40.0, "b": 60.0}),
    ],
)
def test_fair_shares(demands: dict[str, float], shares: dict[str, float]) -> None:
    assert fair_shares(LIMIT, demands) == pytest.approx(shares)


@settings(max_examples=200, deadline=None)
@given(st.dictionaries(st.text(max_size=3), st.floats(0, 1e6), min_size=1, max_size=20))
def test_fair_shares_sum_to_the_limit(demands: dict[str, float]) -> None:
    assert sum(fair_shares(LIMIT, demands).values()) == pytest.approx(LIMIT)


class SharesNeverPassTheLimit(RuleBasedStateMachine):
    """Request shares under lost answers and restarts; entries use the last grant they received."""

    ignores_lost_answers = False

    @initialize()
    def begin(self) -> None:
        self.allocator = Allocator(LIMIT)
        self.held = dict.fromkeys(ENTRIES, 0.0)
        self.demand = dict.fromkeys(ENTRIES, 0.0)

    @rule(entry=st.sampled_from(ENTRIES), demand=st.floats(0, 300))
    def change_demand(self, entry: str, demand: float) -> None:
        self.demand[entry] = demand

    @rule(entry=st.sampled_from(ENTRIES), is_lost=st.booleans())
    def request(self, entry: str, is_lost: bool) -> None:
        request = EntryDemand(entry, self.held[entry], self.demand[entry])
        granted = self.allocator.answer(request, ENTRIES, 0.0)
        if self.ignores_lost_answers:
            self.allocator._holders[entry].held_per_s = granted
        if not is_lost:
            self.held[entry] = granted

    @rule(entry=st.sampled_from(ENTRIES))
    def restart(self, entry: str) -> None:
        self.held[entry] = 0.0

    @rule()
    def replace_allocator(self) -> None:
        """Start a new allocator without state, as after the loss of the previous one."""
        self.allocator = Allocator(LIMIT)

    @invariant()
    def within_limit(self) -> None:
        assert sum(getattr(self, "held", {}).values()) <= LIMIT * 1.000001


SharesNeverPassTheLimit.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestSharesNeverPassTheLimit = SharesNeverPassTheLimit.TestCase


@pytest.mark.parametrize(("ignores_lost_answers", "total"), [(False, 100.0), (True, 150.0)])
def test_lost_answer_of_a_smaller_share(ignores_lost_answers: bool, total: float) -> None:
    """Lose the answer that reduces a share.

    The injected fault assumes that the answer arrived, and the sum of shares exceeds the limit.
    """
    machine = SharesNeverPassTheLimit()
    machine.ignores_lost_answers = ignores_lost_answers
    machine.begin()
    for entry in ENTRIES:
        machine.request(entry, is_lost=False)
    machine.change_demand("e0", 300.0)
    for entry in (*ENTRIES, *ENTRIES, "e0"):
        machine.request(entry, is_lost=False)
    assert machine.held["e0"] == pytest.approx(LIMIT)
    machine.change_demand("e1", 300.0)
    machine.request("e1", is_lost=False)
    machine.request("e0", is_lost=True)
    machine.request("e1", is_lost=False)
    assert sum(machine.held.values()) == pytest.approx(total)


def test_share_of_a_removed_entry_is_released_after_a_delay() -> None:
    allocator = Allocator(LIMIT)
    for entry in ("a", "b"):
        allocator.answer(EntryDemand(entry, 0.0, 500.0), ("a", "b"), 0.0)
    held = allocator.answer(EntryDemand("a", 0.0, 500.0), ("a", "b"), 0.0)
    assert allocator.answer(EntryDemand("b", 0.0, 500.0), ("a", "b"), 0.0) == pytest.approx(50.0)
    assert allocator.answer(EntryDemand("a", held, 500.0), ("a",), 1.0) == pytest.approx(50.0)
    later_s = 1.0 + REMOVAL_DELAY_S
    assert allocator.answer(EntryDemand("a", held, 500.0), ("a",), later_s) == pytest.approx(100.0)


class Fleet:
    """Connect share managers by direct calls, some of which can be partitioned."""

    def __init__(self, count: int) -> None:
        self.partitioned: set[str] = set()
        self.managers: dict[str, ShareManager] = {}
        vms = tuple(Vm(f"e{i}", "live", "cmb-a", f"e{i}") for i in range(count))
        halls = {
            "cmb-a": {"region": "lk-west", "entries": count},
            "ngb": {"region": "lk-west", "entries": 0},
        }
        cfg = check_text(make_text(halls=halls)).unwrap()
        for vm in vms:
            manager = ShareManager(vm.name, "cmb-a", self._make_ask(vm.name), clock=lambda: 0.0)
            manager.update_vm_list(vms)
            manager.apply(cfg)
            self.managers[vm.name] = manager

    def _make_ask(self, sender: str):  # type: ignore[no-untyped-def]
        def request(address: str, message: ShareRequest) -> Result[ShareGrant, str]:
            if sender in self.partitioned or address in self.partitioned:
                return Err("partitioned")
            return Ok(self.managers[address].answer(message))

        return request

    def run(self, rounds: int, demand: dict[str, int]) -> None:
        for _ in range(rounds):
            for name, manager in self.managers.items():
                for _ in range(demand.get(name, 0)):
                    manager.take("colombo-city")
                manager.run_round(1.0)

    def total(self) -> float:
        return sum(held_shares(k)["colombo-city"] for k in self.managers.values())


@pytest.mark.parametrize("count", [2, 8, 24])
def test_share_moves_to_where_the_demand_is(count: int) -> None:
    fleet = Fleet(count)
    limit = make_raw()["client_accounts"]["colombo-city"]["requests_per_s"]
    fleet.run(30, {"e0": 50})
    assert held_shares(fleet.managers["e0"])["colombo-city"] > 0.75 * limit
    assert fleet.total() <= limit * 1.05
    fleet.run(30, {"e1": 50})
    assert held_shares(fleet.managers["e1"])["colombo-city"] > 0.75 * limit
    assert fleet.total() <= limit * 1.05


def test_partitioned_entry_keeps_its_share_and_the_sum_holds() -> None:
    fleet = Fleet(8)
    fleet.run(30, {"e0": 50})
    before = held_shares(fleet.managers["e0"])["colombo-city"]
    fleet.partitioned.add("e0")
    fleet.run(30, {"e0": 500, "e1": 50})
    assert held_shares(fleet.managers["e0"])["colombo-city"] <= before + 1e-9
    assert fleet.total() <= 5 * 1.05


def test_without_listed_entries_the_limit_is_split_evenly() -> None:
    cfg = check_text(make_text()).unwrap()
    manager = ShareManager("e0", "cmb-a", lambda address, request: Err("nobody"))
    manager.apply(cfg)
    manager.update_vm_list(())
    assert held_shares(manager)["colombo-city"] == pytest.approx(5 / cfg.count_entries())


@pytest.mark.parametrize(("platform", "share"), [(None, 2.5), ("127.0.0.1:1", 0.5)])
def test_entry_without_a_platform_splits_evenly_and_with_one_that_is_down_has_the_floor(
    platform: str | None, share: float
) -> None:
    entry = EntryProcess(Settings(role="entry", name="e0", hall="cmb-a", platform=platform))
    entry.shares.apply(check_text(make_text()).unwrap())
    assert held_shares(entry.shares)["colombo-city"] == pytest.approx(share)
    entry.control.stop()
