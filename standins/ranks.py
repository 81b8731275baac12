"""Simulate a rank group that executes steps in lock-step and accepts fenced orders.

All ranks run in one process. A step takes as long as its slowest rank. An armed rank that has not
received the outcome of the vote blocks the next step of the whole group. The maps that the ranks
used in each step are recorded, to detect steps in which ranks used different maps.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs

import fire
import msgspec

from dalehollow.clock import read_clock
from dalehollow.groups import ExpertMap, Ledger, Outcome, Proposal, decide_vote, rank_loads
from dalehollow.groups.expert_map import make_layer
from dalehollow.groups.host import LoadOrder, RankState
from dalehollow.groups.planner import apply_changes, digest_map
from dalehollow.groups.votes import Vote, apply_outcome, may_start_step, next_step_digest
from dalehollow.web import HttpRequest, HttpResponse, HttpServer
from standins.serving import serve_until_signal


@dataclass
class _Rank:
    ledger: Ledger
    loaded: dict[str, float] = field(default_factory=dict)
    counts: dict[tuple[int, int], int] = field(default_factory=dict)
    fence: int = 0
    is_stalled: bool = False
    step_ms: float = 0.0


class RankGroupStandIn:
    """Hold the ranks, the load time of weights and the history of steps."""

    def __init__(
        self,
        demand: Sequence[Sequence[float]],
        ranks: int,
        slots: int,
        *,
        step_ms: float = 6.0,
        load_ms_per_weight: float = 1.0,
        seed: int = 1,
    ) -> None:
        first = ExpertMap(tuple(make_layer(d, ranks, slots) for d in demand))
        self.first_map = first
        self.demand = [list(d) for d in demand]
        self.maps = {digest_map(first): first}
        self.step_ms = step_ms
        self.load_ms_per_weight = load_ms_per_weight
        self.ranks = [_Rank(Ledger(map_digest=digest_map(first))) for _ in range(ranks)]
        self.history: list[frozenset[str]] = []
        self.step_times_ms: list[float] = []
        self.blocked_ms = 0.0
        self._rng = random.Random(seed)
        self._changed = threading.Condition()
        self._stopping = False

    def start(self) -> None:
        threading.Thread(target=self._run, name="ranks", daemon=True).start()

    def stop(self) -> None:
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def set_demand(self, demand: Sequence[Sequence[float]]) -> None:
        with self._changed:
            self.demand = [list(d) for d in demand]

    def set_stalled(self, rank: int, is_stalled: bool) -> None:
        with self._changed:
            self.ranks[rank].is_stalled = is_stalled
            self._changed.notify_all()

    def steps(self) -> int:
        with self._changed:
            return len(self.history)

    def mixed_steps(self) -> list[int]:
        """Return the steps in which ranks used different maps."""
        with self._changed:
            return [idx for idx, used in enumerate(self.history) if len(used) != 1]

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle rank orders over HTTP."""
        _, _, rank, order = req.path.split("/")
        number = int(rank)
        answer: object
        match order:
            case "state":
                answer = self.read(number)
            case "map":
                answer = self.read_map(number)
            case "vote":
                answer = self.vote(number, msgspec.json.decode(req.body, type=Proposal))
            case "settle":
                outcome = Outcome(parse_qs(req.query)["outcome"][0])
                self.settle(number, msgspec.json.decode(req.body, type=Proposal), outcome)
                answer = True
            case _:
                answer = self.load(number, msgspec.json.decode(req.body, type=LoadOrder))
        return HttpResponse(200, {"content-type": "application/json"}, msgspec.json.encode(answer))

    def read(self, number: int) -> RankState:
        with self._changed:
            rank = self.ranks[number]
            counts = tuple((layer, e, n) for (layer, e), n in sorted(rank.counts.items()))
            return RankState(rank.ledger, rank.step_ms, counts)

    def read_map(self, number: int) -> ExpertMap:
        with self._changed:
            return self.maps[self.ranks[number].ledger.map_digest]

    def vote(self, number: int, proposal: Proposal) -> Vote:
        with self._changed:
            rank = self.ranks[number]
            is_loaded = rank.loaded.get(proposal.map_digest, float("inf")) <= read_clock()
            rank.ledger, vote = decide_vote(rank.ledger, proposal, is_loaded=is_loaded)
            return vote

    def settle(self, number: int, proposal: Proposal, outcome: Outcome) -> None:
        with self._changed:
            rank = self.ranks[number]
            rank.ledger = apply_outcome(rank.ledger, proposal, outcome)
            self._changed.notify_all()

    def load(self, number: int, order: LoadOrder) -> str:
        with self._changed:
            rank = self.ranks[number]
            if order.fence < rank.fence or order.base_digest not in self.maps:
                return "refused"
            rank.fence = order.fence
            planned = apply_changes(self.maps[order.base_digest], order.changes)
            self.maps[order.map_digest] = planned
            loads_on_rank = sum(change[1] == number for change in order.changes)
            ready_at_s = read_clock() + loads_on_rank * self.load_ms_per_weight / 1000
            ready_at_s = rank.loaded.setdefault(order.map_digest, ready_at_s)
            return "loaded" if ready_at_s <= read_clock() else "loading"

    def _run(self) -> None:
        while True:
            with self._changed:
                if not self._can_step():
                    wait_started_at_s = read_clock()
                    self._changed.wait_for(lambda: self._stopping or self._can_step())
                    self.blocked_ms += (read_clock() - wait_started_at_s) * 1000
                if self._stopping:
                    return
                step_s = self._step() / 1000
            time.sleep(step_s)

    def _can_step(self) -> bool:
        return all(may_start_step(r.ledger) and not r.is_stalled for r in self.ranks)

    def _step(self) -> float:
        """Execute one step on every rank and return the duration of the slowest in ms."""
        used = [next_step_digest(rank.ledger) for rank in self.ranks]
        max_load = mean_load = 0.0
        for layer, demand in enumerate(self.demand):
            loads = rank_loads(self.maps[used[0]].layers[layer], demand)
            max_load += max(loads)
            mean_load += sum(loads) / len(loads)
            self._count(layer, demand, used[0])
        self.history.append(frozenset(used))
        step_ms = self.step_ms * max_load / mean_load
        self.step_times_ms.append(step_ms)
        for rank in self.ranks:
            rank.step_ms = step_ms
            rank.ledger = replace(rank.ledger, step=rank.ledger.step + 1)
        return step_ms

    def _count(self, layer: int, demand: Sequence[float], digest: str) -> None:
        """Count the tokens of each expert at the first rank that holds it."""
        first_holders: dict[int, int] = {}
        for number, experts in enumerate(self.maps[digest].layers[layer]):
            for expert in experts:
                first_holders.setdefault(expert, number)
        for expert, tokens in enumerate(demand):
            counts = self.ranks[first_holders[expert]].counts
            sampled_tokens = max(0, round(self._rng.gauss(tokens, tokens**0.5)))
            counts[(layer, expert)] = counts.get((layer, expert), 0) + sampled_tokens


def main(
    ranks: int = 4, experts: int = 16, slots: int = 5, layers: int = 2, step_ms: float = 6.0
) -> None:
    """Serve a group; PUT /demand sets its demand and GET /history returns its history."""
    rng = random.Random(1)
    demand = [[rng.expovariate(1.0) * 20_000 for _ in range(experts)] for _ in range(layers)]
    group = RankGroupStandIn(demand, ranks, slots, step_ms=step_ms)
    group.start()

    def handle(req: HttpRequest) -> HttpResponse:
        if req.path == "/demand":
            group.set_demand(msgspec.json.decode(req.body))
            return HttpResponse(200)
        if req.path == "/history":
            ledgers = [group.read(rank).ledger for rank in range(ranks)]
            group_history = {
                "steps": group.steps(),
                "mixed_steps": group.mixed_steps(),
                "versions": [ledger.version for ledger in ledgers],
                "waited_ms": group.blocked_ms,
                "last_step_ms": group.step_times_ms[-1] if group.step_times_ms else 0.0,
            }
            return HttpResponse(200, {}, msgspec.json.encode(group_history))
        return group.handle(req)

    serve_until_signal(HttpServer("127.0.0.1", 0, handle, name="ranks"))


if __name__ == "__main__":
    fire.Fire(main)
