"""Plan one group's expert map while this process holds the group's planner lease."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec
from result import Ok, Result

from dalehollow.groups.demand import DemandAverage
from dalehollow.groups.expert_map import ExpertMap
from dalehollow.groups.host import Change, LoadOrder, LoadState, RankState
from dalehollow.groups.plan import Plan, Policy, plan_map
from dalehollow.groups.votes import Proposal, ProposalId, Vote, is_switching
from dalehollow.telemetry.logs import log_event

SWITCH_LEAD_STEPS = 50
MAX_LOAD_POLLS = 400

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class RankCalls:
    """Bundle the calls to a group's ranks; a failed call returns Err with the cause."""

    read: Callable[[int], Result[RankState, str]]
    load: Callable[[int, LoadOrder], Result[LoadState, str]]
    vote: Callable[[int, Proposal], Result[Vote, str]]
    read_map: Callable[[], Result[ExpertMap, str]]
    wait: Callable[[], None]


def digest_map(expert_map: ExpertMap) -> str:
    """Return the first 16 hex digits of the SHA-256 digest of a map's JSON encoding."""
    return hashlib.sha256(msgspec.json.encode(expert_map)).hexdigest()[:16]


def list_changes(before: ExpertMap, after: ExpertMap) -> tuple[Change, ...]:
    """List the slots that differ between two maps.

    Removed and added experts are paired within a rank, whose slot count must be equal in both maps.
    """
    changes: list[Change] = []
    for layer, (old_layer, new_layer) in enumerate(zip(before.layers, after.layers, strict=True)):
        for rank, (old, new) in enumerate(zip(old_layer, new_layer, strict=True)):
            leaving = sorted(set(old) - set(new))
            arriving = sorted(set(new) - set(old))
            changes += [
                (layer, rank, removed, added)
                for removed, added in zip(leaving, arriving, strict=True)
            ]
    return tuple(changes)


def apply_changes(before: ExpertMap, changes: tuple[Change, ...]) -> ExpertMap:
    """Return the map that results from applying the changes."""
    layers = [[list(experts) for experts in layer] for layer in before.layers]
    for layer, rank, removed, added in changes:
        experts = layers[layer][rank]
        experts[experts.index(removed)] = added
    return ExpertMap(tuple(tuple(tuple(sorted(e)) for e in layer) for layer in layers))


@dataclass
class Planner:
    """Plan map changes for one group; all state can be read again from the ranks."""

    group: str
    ranks: int
    policy: Policy
    rank_calls: RankCalls
    max_moves: int
    average: DemandAverage = field(default_factory=DemandAverage)
    last_reason: str = "no planning run yet"
    maps: dict[str, ExpertMap] = field(default_factory=dict)
    _sequence: int = 0
    _last_counts: dict[tuple[int, int], int] = field(default_factory=dict)

    def cache_map(self, expert_map: ExpertMap) -> None:
        """Cache a map under its digest."""
        self.maps[digest_map(expert_map)] = expert_map

    def run_once(self, fence: int) -> str:
        """Read the ranks, plan a map, load its weights and propose it; return the reason text."""
        states = self._read_ranks()
        if states is None:
            self.last_reason = "a rank state could not be read; planning skipped"
            return self.last_reason
        current = self._active_map(states)
        if current is None:
            self.last_reason = "ranks are switching maps or their map is unknown; planning skipped"
            return self.last_reason
        if not self._add_counts(states, current):
            self.last_reason = "no new token counts"
            return self.last_reason
        plan = plan_map(
            current,
            self.average.demand,
            self.policy,
            tokens_counted=self.average.tokens_counted,
            changed=self.average.changed_layers(),
            max_moves=self.max_moves,
        )
        self.last_reason = plan.reason
        if plan.moves and self._load_weights(fence, current, plan):
            self._propose(fence, states, plan)
        return self.last_reason

    def _read_ranks(self) -> dict[int, RankState] | None:
        states = {}
        for rank in range(self.ranks):
            reply = self.rank_calls.read(rank)
            if not isinstance(reply, Ok):
                return None
            states[rank] = reply.ok_value
        return states

    def _active_map(self, states: Mapping[int, RankState]) -> ExpertMap | None:
        """Return the map of all ranks, or None while maps differ or a proposal is undecided."""
        ledgers = [state.ledger for state in states.values()]
        digests = {ledger.map_digest for ledger in ledgers}
        is_open = any(ledger.armed is not None or is_switching(ledger) for ledger in ledgers)
        if is_open or len(digests) != 1:
            return None
        digest = digests.pop()
        if digest not in self.maps:
            reply = self.rank_calls.read_map()
            if isinstance(reply, Ok):
                self.cache_map(reply.ok_value)
        return self.maps.get(digest)

    def _add_counts(self, states: Mapping[int, RankState], current: ExpertMap) -> bool:
        """Add the counts since the previous read to the average; return False if there are none."""
        totals: dict[tuple[int, int], int] = {}
        for state in states.values():
            for layer, expert, tokens in state.counts:
                totals[(layer, expert)] = totals.get((layer, expert), 0) + tokens
        before, self._last_counts = self._last_counts, totals
        experts = 1 + max(e for layer in current.layers for held in layer for e in held)
        window = [
            [
                max(0.0, totals.get((layer, e), 0) - before.get((layer, e), 0))
                for e in range(experts)
            ]
            for layer in range(len(current.layers))
        ]
        if not before or not all(sum(layer) > 0 for layer in window):
            return False
        self.average.add(window)
        return True

    def _load_weights(self, fence: int, current: ExpertMap, plan: Plan) -> bool:
        """Load the new weights on all ranks while they keep serving with the active map."""
        order = LoadOrder(
            fence,
            digest_map(current),
            digest_map(plan.expert_map),
            list_changes(current, plan.expert_map),
        )
        # Older maps are no longer needed; dropping them bounds the cache.
        self.maps = {digest_map(m): m for m in (current, plan.expert_map)}
        pending = set(range(self.ranks))
        for _ in range(MAX_LOAD_POLLS):
            for rank in sorted(pending):
                state = self.rank_calls.load(rank, order)
                if isinstance(state, Ok) and state.ok_value == "refused":
                    self.last_reason = (
                        f"rank {rank} refused to load: it has seen a newer planner's fence"
                    )
                    return False
                if isinstance(state, Ok) and state.ok_value == "loaded":
                    pending.discard(rank)
            if not pending:
                return True
            self.rank_calls.wait()
        self.last_reason = (
            f"ranks {sorted(pending)} did not load the weights in time; map unchanged"
        )
        return False

    def _propose(self, fence: int, states: Mapping[int, RankState], plan: Plan) -> None:
        latest_states = self._read_ranks() or states
        self._sequence += 1
        proposal = Proposal(
            ProposalId(fence, self._sequence),
            base_version=latest_states[0].ledger.version,
            switch_step=max(s.ledger.step for s in latest_states.values()) + SWITCH_LEAD_STEPS,
            map_digest=digest_map(plan.expert_map),
        )
        votes = [self.rank_calls.vote(rank, proposal) for rank in range(self.ranks)]
        yes = sum(isinstance(v, Ok) and v.ok_value is Vote.YES for v in votes)
        log_event(
            _log,
            "map_proposed",
            group=self.group,
            fence=fence,
            sequence=self._sequence,
            moves=plan.moves,
            yes=yes,
            ranks=self.ranks,
            skew_before=round(plan.skew_before, 4),
            skew_after=round(plan.skew_after, 4),
        )
