"""Combinations of failures that can delay what a gateway learns from the store.

The hall consists of `a`, the relay, `b`, whose lag is measured, and `c`, which has no failure. Each
chain combines failures of the relay, of the store calls of `b` and of datagrams to `b`, injected
when a configuration is confirmed. It is run at several phases of the relay's watch.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
from dataclasses import dataclass

import pytest

from tests.hall_world import HallWorld, Path, connect_through
from tests.virtual_time import run_virtual

BOUND_S = 1.8
"""Documented bound; deployments allow at least 2 s until a confirmed configuration is active."""
RELAY_START_S = 2.0
SETTLE_S = 5.0
WATCHED_S = 4.0
PHASES_S = (0.0, 0.17, 0.34, 0.51)
"""Delays that spread the failures over the length of a watch."""
DATAGRAM_LOSS_S = 0.35
"""Longer than the interval between two reports of an idle gateway."""
SLOW_DELAY_S = 0.3
_LEAVING_UPSTREAM, _DELETED_UPSTREAM = "upstream-1", "upstream-2"


class RelayFault(enum.StrEnum):
    """Failure of the relay."""

    NONE = "well"
    KILLED = "killed"
    CUT_OFF = "cut off or frozen"
    SILENT = "its way to the store silent"
    OLD_SILENT = "its connection dead"
    REFUSED = "turned away by the store"
    SLOW = "slow VM"


class OwnCallsFault(enum.StrEnum):
    """Failure of the store calls that the gateway makes itself."""

    NONE = "well"
    OLD_SILENT = "connection dead"
    SILENT = "silent"
    REFUSED = "turned away"
    SLOW = "slow answers"


class DatagramFault(enum.StrEnum):
    """Failure of the datagrams to the gateway."""

    ARRIVE = "arrive"
    LOST = "lost for a moment"


@dataclass(frozen=True)
class Chain:
    """A combination of failures; `gap_s` is the interval of changes, 0 for a single change."""

    relay: RelayFault
    own_calls: OwnCallsFault
    datagrams: DatagramFault
    gap_s: float

    def describe(self) -> str:
        """Return a one-line description of the chain."""
        changes = f"a change each {self.gap_s} s" if self.gap_s else "one change"
        return (
            f"relay {self.relay.value}; own calls {self.own_calls.value};"
            f" datagrams {self.datagrams.value}; {changes}"
        )


@dataclass(frozen=True)
class Lags:
    """Delays until b had a configuration, a leaving upstream and a deleted upstream."""

    config_s: float
    leaving_s: float
    gone_s: float


CHAINS = tuple(
    itertools.starmap(
        Chain, itertools.product(RelayFault, OwnCallsFault, DatagramFault, (0.0, 0.3))
    )
)

_OWN_CALLS_PATHS = {
    OwnCallsFault.OLD_SILENT: Path.OLD_SILENT,
    OwnCallsFault.SILENT: Path.SILENT,
    OwnCallsFault.REFUSED: Path.REFUSE,
}
_RELAY_PATHS = {
    RelayFault.SILENT: Path.SILENT,
    RelayFault.OLD_SILENT: Path.OLD_SILENT,
    RelayFault.REFUSED: Path.REFUSE,
}


def run_chain(chain: Chain, phase_s: float, monkeypatch: pytest.MonkeyPatch) -> Lags:
    """Run a chain and return the longest lags of b."""
    world = HallWorld(seed=round(phase_s * 100))
    connect_through(world, monkeypatch)

    async def main() -> Lags:
        world.apply()
        for incarnation in (_LEAVING_UPSTREAM, _DELETED_UPSTREAM):
            world.write_upstream(incarnation, "ready")
        for name in "abc":
            world.start(name)
            # The first gateway becomes the relay before the others start.
            await asyncio.sleep(RELAY_START_S if name == "a" else 0.05)
        await asyncio.sleep(SETTLE_S + phase_s)
        assert world.gateways["a"].feed.relay_state() is not None
        try:
            await _inject_faults(world, chain)
            return await _measure_lags(world, chain)
        finally:
            await world.close()

    lags = run_virtual(main())
    assert isinstance(lags, Lags)
    return lags


async def _inject_faults(world: HallWorld, chain: Chain) -> None:
    relay, learner = world.gateways["a"], world.gateways["b"]
    if chain.relay in _RELAY_PATHS:
        world.set_path("a", _RELAY_PATHS[chain.relay])
    elif chain.relay is RelayFault.KILLED:
        await world.kill("a")
    elif chain.relay is RelayFault.CUT_OFF:
        world.cut_off("a")
    elif chain.relay is RelayFault.SLOW:
        relay.store_delay_s = relay.send_delay_s = SLOW_DELAY_S
    if chain.own_calls in _OWN_CALLS_PATHS:
        world.set_path("b", _OWN_CALLS_PATHS[chain.own_calls])
    elif chain.own_calls is OwnCallsFault.SLOW:
        learner.store_delay_s = SLOW_DELAY_S
    if chain.datagrams is DatagramFault.LOST:
        learner.loss = 1.0
        asyncio.get_running_loop().call_later(DATAGRAM_LOSS_S, setattr, learner, "loss", 0.0)


async def _measure_lags(world: HallWorld, chain: Chain) -> Lags:
    began_at_s = world.now_s()
    world.apply()
    world.write_upstream(_LEAVING_UPSTREAM, "draining")
    world.delete_upstream(_DELETED_UPSTREAM)
    apply_task = asyncio.ensure_future(_apply_later(world, chain.gap_s))
    longest = await world.watch_lag("b", WATCHED_S)
    apply_task.cancel()
    b, end_s = world.gateways["b"], began_at_s + WATCHED_S
    leaving_s = b.leaving_at_s.get(_LEAVING_UPSTREAM, end_s) - began_at_s
    return Lags(longest["b"], leaving_s, b.gone_at_s.get(_DELETED_UPSTREAM, end_s) - began_at_s)


async def _apply_later(world: HallWorld, gap_s: float) -> None:
    if gap_s:
        await asyncio.sleep(gap_s)
        await world.keep_applying(gap_s)
