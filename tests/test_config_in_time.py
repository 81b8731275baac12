"""Check how late a confirmed configuration can come into force at a gateway.

What was seen: a gateway refused requests as a configuration said that had been replaced 3.6 s
before. It had been cut off for 4 s. After the cut its calls to the store were answered for 17 s,
and none of the answers was read to its end: a call had 0.4 s in all, and the answer, every
configuration since the cut, took longer on the VM's link. What had come was thrown away and asked
for again while more was written. Bytes received, the store's own count of answers, and the end when
the store had dropped the history showed it.
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
from tests.hall_world import SETTLE_S, HallWorld, Path, Scenario, play_halls, run_beside
from tests.late_chains import BOUND_S, CHAINS, PHASES_S, Chain, play_chain
from tests.late_schedules import play_schedule

CONTACT_S = 3.0
"""The bound holds for a gateway that was left alone for so long."""


def _play(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario, names: str = "abc", padding_bytes: int = 0
) -> None:
    """Play a scenario of one hall."""
    play_halls(monkeypatch, scenario, {"hall": names}, padding_bytes=padding_bytes)


def test_after_a_cut_a_gateway_catches_up_while_configurations_go_on_coming(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: HallWorld) -> None:
        world.cut_off("c")
        await asyncio.sleep(4.0)
        world.heal("c")
        await asyncio.sleep(CONTACT_S)
        longest = await world.watch_lag("abc", for_s=15.0)
        assert max(longest.values()) < BOUND_S, longest

    async def beside(world: HallWorld) -> None:
        await run_beside(world.keep_applying(0.3), scenario(world))

    _play(monkeypatch, beside, padding_bytes=100_000)


def test_a_gateway_that_the_store_turns_away_hears_from_its_hall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lacked one change, so all that its relay passed on later was dropped."""

    async def scenario(world: HallWorld) -> None:
        world.gateways["a"].deaf = {"b"}
        await asyncio.sleep(0.35)
        world.gateways["a"].deaf = set()
        world.set_path("b", Path.REFUSE)
        longest = await world.watch_lag("abc", for_s=8.0)
        assert max(longest.values()) < BOUND_S, longest

    async def beside(world: HallWorld) -> None:
        await run_beside(world.keep_applying(0.3), scenario(world))

    _play(monkeypatch, beside)


def test_the_last_change_before_a_refusal_is_copied_from_the_hall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing comes after it that would carry it along."""

    async def scenario(world: HallWorld) -> None:
        world.gateways["a"].deaf = {"b"}
        world.set_path("b", Path.REFUSE)
        world.apply()
        await asyncio.sleep(0.3)
        world.gateways["a"].deaf = set()
        longest = await world.watch_lag("abc", for_s=8.0)
        assert max(longest.values()) < BOUND_S, longest

    _play(monkeypatch, scenario)


def test_a_hall_that_the_store_does_not_answer_hears_from_another_hall(
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

    async def beside(world: HallWorld) -> None:
        await run_beside(world.keep_applying(0.8), scenario(world))

    _play(monkeypatch, beside)


def test_a_silent_relay_and_rested_connections_do_not_add_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Stale knowledge, a call on a connection that is dead and a pause were 3.5 s together."""

    async def scenario(world: HallWorld) -> None:
        world.set_path("a", Path.SILENT)
        for name in "bc":
            world.set_path(name, Path.OLD_SILENT)
        world.apply()
        longest = await world.watch_lag("bc", for_s=6.0)
        assert max(longest.values()) < BOUND_S, longest

    _play(monkeypatch, scenario)


def test_the_waits_of_the_longest_chain_add_up_to_less_than_the_bound() -> None:
    """A silent relay is noticed, another gateway asks, tells of it, and is asked for a copy."""
    noticed_s = feed.STALE_S + follow.PASSIVE_INTERVAL_S
    told_s = reports.IDLE_INTERVAL_S
    assert noticed_s + told_s + copies.COPY_AFTER_S < BOUND_S
    # A single gateway of a hall that fails once before it is answered.
    failed_s = follow.RECOVERY_WAIT_S + follow.ANSWER_WAIT_S + follow.RETRY_PAUSE_S
    assert noticed_s + failed_s < BOUND_S


@pytest.mark.parametrize("chain", CHAINS, ids=Chain.describe)
def test_no_chain_of_failures_makes_a_gateway_learn_late(
    chain: Chain, monkeypatch: pytest.MonkeyPatch
) -> None:
    lags = [play_chain(chain, phase_s, monkeypatch) for phase_s in PHASES_S]
    assert max(max(lag.config_s, lag.leaving_s, lag.gone_s) for lag in lags) < BOUND_S, lags


@pytest.mark.parametrize("seed", range(1, 41))
def test_no_random_schedule_makes_a_configuration_late(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert play_schedule(seed, BOUND_S, monkeypatch) == []


def _fetch_no_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StoreCopies, "record_peer_revision", lambda *args: None)


def _rely_on_old_knowledge(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "WATCH_WAIT_S", 3.0)
    monkeypatch.setattr("dalehollow.gateway.feed.STALE_S", 4.0)


def _drop_what_follows_a_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    take = HallFeed.apply_changes

    def take_in_order(taking: HallFeed, message: Any) -> None:
        if message.after <= taking.revision:
            take(taking, message)

    monkeypatch.setattr(HallFeed, "apply_changes", take_in_order)
    # Alone, the copies would make up for it.
    _fetch_no_copies(monkeypatch)


def _pause_long_after_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "RETRY_PAUSE_S", 2.0)
    monkeypatch.setattr(follow, "OTHERS_RETRY_PAUSE_S", 2.0)


@pytest.mark.parametrize(
    "defect",
    [
        _fetch_no_copies,
        _rely_on_old_knowledge,
        _drop_what_follows_a_gap,
        _pause_long_after_failures,
    ],
)
def test_the_random_schedules_find_a_defect(
    defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defect(monkeypatch)
    assert any(play_schedule(seed, BOUND_S, monkeypatch) for seed in range(1, 41))
