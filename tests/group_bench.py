"""Run a rank group, its sidecars and planners in one process, with faults injected into calls."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from dalehollow.groups import POLICIES, ExpertMap
from dalehollow.groups.host import LoadOrder, RankState
from dalehollow.groups.planner import Planner, RankCalls
from dalehollow.groups.voter import RankVoter
from dalehollow.groups.votes import Outcome, Proposal, SwitchStep, Vote
from standins.ranks import RankGroupStandIn
from tests.payment_bench import wait_for

RANKS = 3
EXPERTS = 12
SLOTS = 5
STEP_MS = 0.5
Hook = Callable[[SwitchStep, Callable[[], Result[Any, str]]], Result[Any, str]]


def pass_through(step: SwitchStep, call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
    return call()


class InProcessHost:
    """Adapt the stand-in engine to the interface that a sidecar uses."""

    def __init__(self, group: RankGroupStandIn, hook: Hook) -> None:
        self._group = group
        self._hook = hook

    def read(self, rank: int) -> Result[RankState, str]:
        return Ok(self._group.read(rank))

    def vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        return Ok(self._group.vote(rank, proposal))

    def settle(self, rank: int, proposal: Proposal, outcome: Outcome) -> Result[None, str]:
        def report_outcome() -> Result[None, str]:
            self._group.settle(rank, proposal, outcome)
            return Ok(None)

        return self._hook(SwitchStep.TELL_ENGINE, report_outcome)

    def read_map(self, rank: int) -> Result[ExpertMap, str]:
        return Ok(self._group.read_map(rank))

    def load(self, rank: int, order: LoadOrder) -> Result[str, str]:
        return Ok(self._group.load(rank, order))


def make_demand(seed: int) -> list[list[float]]:
    rng = random.Random(seed)
    return [[rng.expovariate(1.0) * 50_000 + 1_000 for _ in range(EXPERTS)]]


@dataclass
class GroupBench:
    """Hold the group, a voter for each rank and the hooks that inject faults."""

    planner_hook: Hook = pass_through
    sidecar_hook: Hook = pass_through
    group: RankGroupStandIn = field(init=False)
    voters: list[RankVoter] = field(init=False)

    def __post_init__(self) -> None:
        self.group = RankGroupStandIn(
            make_demand(1), RANKS, SLOTS, step_ms=STEP_MS, load_ms_per_weight=0.1
        )
        self.voters = [self._make_voter(rank) for rank in range(RANKS)]
        self.group.start()

    def close(self) -> None:
        for voter in self.voters:
            voter.stop()
        self.group.stop()

    def restart_sidecar(self, rank: int) -> None:
        """Replace a sidecar's voter by a new one without state, which resumes from the engine."""
        self.voters[rank].stop()
        self.voters[rank] = self._make_voter(rank)
        self.voters[rank].resume()

    def make_planner(self, hook: Hook = pass_through) -> Planner:
        rank_calls = RankCalls(
            read=lambda rank: hook(
                SwitchStep.READ, lambda: InProcessHost(self.group, pass_through).read(rank)
            ),
            load=lambda rank, order: hook(
                SwitchStep.LOAD, lambda: InProcessHost(self.group, pass_through).load(rank, order)
            ),
            vote=lambda rank, proposal: hook(SwitchStep.PROPOSE, lambda: self._ask(rank, proposal)),
            read_map=lambda: Ok(self.group.read_map(0)),
            wait=lambda: wait_for(lambda: True, "next poll"),
        )
        return Planner("wide", RANKS, POLICIES["skew"], rank_calls, max_moves=100)

    def run_planner(self, fence: int, hook: Hook = pass_through) -> Planner:
        """Run a planner twice, since it needs two reads for a window of counts, and return it."""
        planner = self.make_planner(hook)
        planner.run_once(fence)
        self.wait_steps(20)
        planner.run_once(fence)
        return planner

    def wait_steps(self, count: int) -> None:
        """Wait until the group has run `count` more steps."""
        wanted = self.group.steps() + count
        wait_for(lambda: self.group.steps() >= wanted, f"{count} more steps")

    def is_settled(self) -> bool:
        return all(self.group.read(rank).ledger.armed is None for rank in range(RANKS))

    def versions(self) -> set[int]:
        return {self.group.read(rank).ledger.version for rank in range(RANKS)}

    def _make_voter(self, rank: int) -> RankVoter:
        def ask_peer(peer: int, proposal: Proposal) -> Result[Vote, str]:
            return self.sidecar_hook(SwitchStep.ASK_PEERS, lambda: self._ask(peer, proposal))

        def hook(step: SwitchStep, call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
            return self.sidecar_hook(step, call)

        return RankVoter("wide", rank, RANKS, InProcessHost(self.group, hook), ask_peer)

    def _ask(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        return Ok(self.voters[rank].vote(proposal))


class Killed(Exception):
    """Kill a planner at one of its calls."""


@dataclass
class FaultAt:
    """Inject a fault at the first call of a step, and let all other calls pass."""

    step: SwitchStep
    inject: Callable[[Callable[[], Result[Any, str]]], Result[Any, str]]
    was_injected: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __call__(self, step: SwitchStep, call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
        with self._lock:
            is_first = step is self.step and not self.was_injected.is_set()
            if is_first:
                self.was_injected.set()
        return self.inject(call) if is_first else call()


def lose(call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
    return Err("lost")


def duplicate(call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
    call()
    return call()


def lose_answer(call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
    call()
    return Err("answer lost")


def kill(call: Callable[[], Result[Any, str]]) -> Result[Any, str]:
    raise Killed
