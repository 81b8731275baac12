"""Play the chains of failures that can make a gateway learn late.

A hall of `a`, the relay, `b`, whose lag is looked at, and `c`, which nothing happens to. Each
chain is what happens to the relay, to b's calls to the store and to b's datagrams, at the moment
a configuration is confirmed; it is played at several phases of the relay's watch.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
from dataclasses import dataclass

import pytest

from tests.hall_world import HallWorld, Path, use_world
from tests.virtual_time import run_virtual

BOUND_S = 1.8
"""The stated bound; the shortest time that a deployment gives a confirmed configuration is 2 s."""
RELAY_S = 2.0
SETTLE_S = 5.0
PLAYED_S = 4.0
PHASES_S = (0.0, 0.17, 0.34, 0.51)
"""Spread over the length of a watch."""
LOST_S = 0.35
"""Longer than two reports of a gateway that has nothing to do are apart."""
SLOW_S = 0.3
_LEAVING, _GONE = "upstream-1", "upstream-2"


class Relay(enum.StrEnum):
    """Name what happens to the relay."""

    WELL = "well"
    KILLED = "killed"
    CUT_OFF = "cut off or frozen"
    SILENT = "its way to the store silent"
    OLD_SILENT = "its connection dead"
    REFUSED = "turned away by the store"
    SLOW = "slow VM"


class Own(enum.StrEnum):
    """Name what happens to the gateway's own calls to the store."""

    WELL = "well"
    OLD_SILENT = "connection dead"
    SILENT = "silent"
    REFUSED = "turned away"
    SLOW = "slow answers"


class Datagrams(enum.StrEnum):
    """Name what happens to the datagrams to the gateway."""

    ARRIVE = "arrive"
    LOST = "lost for a moment"


@dataclass(frozen=True)
class Chain:
    """Hold one chain; `gap_s` is the time between changes, 0 for a single one."""

    relay: Relay
    own: Own
    datagrams: Datagrams
    gap_s: float

    def describe(self) -> str:
        """Return the chain in a line."""
        changes = f"a change each {self.gap_s} s" if self.gap_s else "one change"
        return (
            f"relay {self.relay.value}; own calls {self.own.value};"
            f" datagrams {self.datagrams.value}; {changes}"
        )


@dataclass(frozen=True)
class Lags:
    """Hold how late b learned of a configuration, that an upstream leaves, and that one is gone."""

    config_s: float
    leaving_s: float
    gone_s: float


CHAINS = tuple(itertools.starmap(Chain, itertools.product(Relay, Own, Datagrams, (0.0, 0.3))))

_OWN_PATHS = {
    Own.OLD_SILENT: Path.OLD_SILENT,
    Own.SILENT: Path.SILENT,
    Own.REFUSED: Path.REFUSE,
}
_RELAY_PATHS = {
    Relay.SILENT: Path.SILENT,
    Relay.OLD_SILENT: Path.OLD_SILENT,
    Relay.REFUSED: Path.REFUSE,
}


def play_chain(chain: Chain, phase_s: float, monkeypatch: pytest.MonkeyPatch) -> Lags:
    """Play a chain and return the longest lags of b."""
    world = HallWorld(seed=round(phase_s * 100))
    use_world(world, monkeypatch)

    async def main() -> Lags:
        world.apply()
        for incarnation in (_LEAVING, _GONE):
            world.write_upstream(incarnation, "ready")
        for name in "abc":
            world.start(name)
            # The first relays before the others come.
            await asyncio.sleep(RELAY_S if name == "a" else 0.05)
        await asyncio.sleep(SETTLE_S + phase_s)
        assert world.gateways["a"].feed.relay_state() is not None
        try:
            await _break(world, chain)
            return await _measure(world, chain)
        finally:
            await world.close()

    lags = run_virtual(main())
    assert isinstance(lags, Lags)
    return lags


async def _break(world: HallWorld, chain: Chain) -> None:
    relay, own = world.gateways["a"], world.gateways["b"]
    if chain.relay in _RELAY_PATHS:
        world.set_path("a", _RELAY_PATHS[chain.relay])
    elif chain.relay is Relay.KILLED:
        await world.end("a")
    elif chain.relay is Relay.CUT_OFF:
        world.cut_off("a")
    elif chain.relay is Relay.SLOW:
        relay.slowness_s = relay.send_delay_s = SLOW_S
    if chain.own in _OWN_PATHS:
        world.set_path("b", _OWN_PATHS[chain.own])
    elif chain.own is Own.SLOW:
        own.slowness_s = SLOW_S
    if chain.datagrams is Datagrams.LOST:
        own.loss = 1.0
        asyncio.get_running_loop().call_later(LOST_S, setattr, own, "loss", 0.0)


async def _measure(world: HallWorld, chain: Chain) -> Lags:
    begun_s = world.now_s()
    world.apply()
    world.write_upstream(_LEAVING, "draining")
    world.delete_upstream(_GONE)
    applying = asyncio.ensure_future(_apply_later(world, chain.gap_s))
    longest = await world.watch_lag("b", PLAYED_S)
    applying.cancel()
    b, never_s = world.gateways["b"], begun_s + PLAYED_S
    leaving_s = b.leaving_at_s.get(_LEAVING, never_s) - begun_s
    return Lags(longest["b"], leaving_s, b.gone_at_s.get(_GONE, never_s) - begun_s)


async def _apply_later(world: HallWorld, gap_s: float) -> None:
    if gap_s:
        await asyncio.sleep(gap_s)
        await world.keep_applying(gap_s)
