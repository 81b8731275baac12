"""Test how long a confirmed configuration can take to come into force at a gateway.

Guards against a gateway that refuses requests under a configuration replaced 3.6 s before. After
the gateway had been cut off for 4 s, the store answered its calls for 17 s, but no answer was read
to its end: a call was limited to 0.4 s in total, and the answer, which held every configuration
since the cut, took longer on the VM's link. Partial answers were discarded and requested again
while more was written, until the store had dropped its history. The received bytes and the number
of answers that the store counted showed the cause.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from dalehollow.gateway import copies, feed, reports
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.feed import HallFeed
from dalehollow.platform import follow
from tests.hall_world import SETTLE_S, HallWorld, Path, Scenario, run_halls, run_with_background
from tests.late_chains import BOUND_S, CHAINS, PHASES_S, Chain, run_chain
from tests.late_schedules import run_schedule

RECOVERY_S = 3.0
"""The bound applies to a gateway that has been free of failures for this long."""


def _run_one_hall(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario, names: str = "abc", padding_bytes: int = 0
) -> None:
    """Run a scenario with one hall."""
    run_halls(monkeypatch, scenario, {"hall": names}, padding_bytes=padding_bytes)


def test_after_a_cut_a_gateway_catches_up_while_configurations_go_on_coming(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: HallWorld) -> None:
        world.cut_off("c")
        await asyncio.sleep(4.0)
        world.heal("c")
        await asyncio.sleep(RECOVERY_S)
        longest = await world.watch_lag("abc", for_s=15.0)
        assert max(longest.values()) < BOUND_S, longest

    async def run_scenario(world: HallWorld) -> None:
        await run_with_background(world.keep_applying(0.3), scenario(world))

    _run_one_hall(monkeypatch, run_scenario, padding_bytes=100_000)


def test_gateway_refused_by_the_store_learns_from_its_hall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dropping all that the relay forwards after one missed change."""

    async def scenario(world: HallWorld) -> None:
        world.gateways["a"].unreachable = {"b"}
        await asyncio.sleep(0.35)
        world.gateways["a"].unreachable = set()
        world.set_path("b", Path.REFUSE)
        longest = await world.watch_lag("abc", for_s=8.0)
        assert max(longest.values()) < BOUND_S, longest

    async def run_scenario(world: HallWorld) -> None:
        await run_with_background(world.keep_applying(0.3), scenario(world))

    _run_one_hall(monkeypatch, run_scenario)


def test_last_change_before_a_refusal_is_copied_from_the_hall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No later change follows that would reveal or deliver the missed one."""

    async def scenario(world: HallWorld) -> None:
        world.gateways["a"].unreachable = {"b"}
        world.set_path("b", Path.REFUSE)
        world.apply()
        await asyncio.sleep(0.3)
        world.gateways["a"].unreachable = set()
        longest = await world.watch_lag("abc", for_s=8.0)
        assert max(longest.values()) < BOUND_S, longest

    _run_one_hall(monkeypatch, scenario)


def test_hall_without_answers_from_the_store_learns_from_another_hall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: HallWorld) -> None:
        for name in "xyz":
            world.start(name, hall="other")
        await asyncio.sleep(SETTLE_S)
        for name in "abc":
            world.set_path(name, Path.SILENT)
        longest = await world.watch_lag("abcxyz", for_s=10.0)
        assert max(longest.values()) < BOUND_S, longest

    async def run_scenario(world: HallWorld) -> None:
        await run_with_background(world.keep_applying(0.8), scenario(world))

    _run_one_hall(monkeypatch, run_scenario)


def test_delays_of_a_silent_relay_and_dead_connections_stay_within_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against delays that add up to 3.5 s: stale state, a dead connection and a pause."""

    async def scenario(world: HallWorld) -> None:
        world.set_path("a", Path.SILENT)
        for name in "bc":
            world.set_path(name, Path.OLD_SILENT)
        world.apply()
        longest = await world.watch_lag("bc", for_s=6.0)
        assert max(longest.values()) < BOUND_S, longest

    _run_one_hall(monkeypatch, scenario)


def test_sum_of_the_delays_of_the_longest_chain_is_below_the_bound() -> None:
    """Detecting a silent relay, reading the store, reporting that, and copying from the reader."""
    detected_s = feed.STALE_S + follow.PASSIVE_CHECK_INTERVAL_S
    reported_s = reports.IDLE_INTERVAL_S
    assert detected_s + reported_s + copies.COPY_AFTER_S < BOUND_S
    # A hall with a single gateway whose first call fails and whose second one is answered.
    retried_s = follow.RECOVERY_WAIT_S + follow.RESPONSE_TIMEOUT_S + follow.RETRY_DELAY_S
    assert detected_s + retried_s < BOUND_S


@pytest.mark.parametrize("chain", CHAINS, ids=Chain.describe)
def test_no_chain_of_failures_makes_a_gateway_learn_late(
    chain: Chain, monkeypatch: pytest.MonkeyPatch
) -> None:
    lags = [run_chain(chain, phase_s, monkeypatch) for phase_s in PHASES_S]
    assert max(max(lag.config_s, lag.leaving_s, lag.gone_s) for lag in lags) < BOUND_S, lags


@pytest.mark.parametrize("seed", range(1, 41))
def test_random_schedules_of_failures_stay_within_the_bound(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_schedule(seed, BOUND_S, monkeypatch) == []


def _disable_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StoreCopies, "record_peer_revision", lambda *args: None)


def _rely_on_stale_state(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "WATCH_WAIT_S", 3.0)
    monkeypatch.setattr("dalehollow.gateway.feed.STALE_S", 4.0)


def _drop_changes_after_a_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    original_apply = HallFeed.apply_changes

    def apply_without_gap(target_feed: HallFeed, message: Any) -> None:
        if message.after <= target_feed.revision:
            original_apply(target_feed, message)

    monkeypatch.setattr(HallFeed, "apply_changes", apply_without_gap)
    # Copies would otherwise hide this defect.
    _disable_copies(monkeypatch)


def _retry_late_after_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "RETRY_DELAY_S", 2.0)
    monkeypatch.setattr(follow, "BACKUP_RETRY_DELAY_S", 2.0)


@pytest.mark.parametrize(
    "defect",
    [
        _disable_copies,
        _rely_on_stale_state,
        _drop_changes_after_a_gap,
        _retry_late_after_failures,
    ],
)
def test_random_schedules_detect_defects(
    defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defect(monkeypatch)
    assert any(run_schedule(seed, BOUND_S, monkeypatch) for seed in range(1, 41))
