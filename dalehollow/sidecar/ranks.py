"""Serve the ranks of this sidecar's engine and compete for their group's planner lease."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass, field
from typing import Literal

from result import Err, Ok, Result

from dalehollow.config.model import Config, Group
from dalehollow.groups import POLICIES, ExpertMap, Ledger, Proposal, Vote
from dalehollow.groups.duty import RENEW_MS, PlannerLease
from dalehollow.groups.host import LoadOrder, LoadState, RankHost, RankState
from dalehollow.groups.planner import Planner, RankCalls
from dalehollow.groups.voter import RankVoter, count_outcomes
from dalehollow.groups.votes import ProposalId, is_switching
from dalehollow.protocol import (
    Prepare,
    PrepareReply,
    RankQuery,
    RankReply,
    Refused,
    Reply,
    Request,
    VoteQuery,
    VoteReply,
)
from dalehollow.protocol.link import PeerLink
from dalehollow.telemetry.logs import log_event

PEER_REQUEST_TIMEOUT_MS = 500
LOAD_POLL_INTERVAL_S = 0.05
_MS_PER_S = 1000
_log = logging.getLogger(__name__)


@dataclass
class _Peer:
    """Hold the link to another rank's sidecar; sends one request at a time."""

    link: PeerLink
    lock: threading.Lock = field(default_factory=threading.Lock)

    def ask(self, request: Request) -> Result[Reply, str]:
        with self.lock:
            return self.link.ask(request, timeout_ms=PEER_REQUEST_TIMEOUT_MS)


@dataclass
class GroupRanks:
    """Serve this sidecar's ranks of one group; `duty` is the group's planner lease."""

    group: Group
    upstream: str
    host: RankHost
    duty: PlannerLease | None
    plan_interval_ms: int
    plan_max_moves: int
    voters: dict[int, RankVoter] = field(default_factory=dict)
    planner: Planner = field(init=False)
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _stopping: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        """Create a voter for each local rank, and a planner that runs while the lease is held."""
        for rank, name in enumerate(self.group.ranks):
            if name == self.upstream:
                self.voters[rank] = RankVoter(
                    self.group.name, rank, len(self.group.ranks), self.host, self._request_vote
                )
        rank_calls = RankCalls(
            self._read_rank_state,
            self._request_load,
            self._request_vote,
            self._read_map,
            lambda: _wait(self._stopping),
        )
        self.planner = Planner(
            self.group.name,
            len(self.group.ranks),
            POLICIES[self.group.policy],
            rank_calls,
            self.plan_max_moves,
        )

    def update_peers(self, cfg: Config) -> None:
        """Connect to the group's other sidecars at their configured addresses."""
        for name in set(self.group.ranks) - {self.upstream}:
            address = cfg.upstreams[name].control
            known = self._peers.get(name)
            if address is not None and (known is None or known.link.address != address):
                self._peers[name] = _Peer(PeerLink(address))

    def start(self) -> None:
        """Resume any switch the engine is armed for and start competing for the planner lease."""
        for voter in self.voters.values():
            voter.resume()
        if self.duty is not None:
            threading.Thread(target=self._run_duty_loop, name="duty", daemon=True).start()
            threading.Thread(target=self._run_planner_loop, name="planner", daemon=True).start()

    def stop(self) -> None:
        """Release the planner lease; a switch that is armed stays armed in the engine."""
        self._stopping.set()
        for voter in self.voters.values():
            voter.stop()
        if self.duty is not None:
            self.duty.release()

    def answer(self, request: VoteQuery | Prepare | RankQuery) -> Reply:
        """Handle a message from a planner or from another rank's sidecar."""
        if request.rank not in self.voters:
            return Refused(f"rank {request.rank} is not at upstream {self.upstream!r}")
        match request:
            case VoteQuery():
                return self._answer_vote(request)
            case Prepare():
                return self._answer_prepare(request)
            case RankQuery():
                return self._answer_rank(request)

    def dump(self) -> dict[str, object]:
        """Return the group's state and the reason for the planner's last decision."""
        fence = self.duty.fence() if self.duty is not None else None
        return {
            "group": self.group.name,
            "policy": self.group.policy,
            "ranks_here": sorted(self.voters),
            "has_duty": fence is not None,
            "fence": fence,
            "duty_calls": self.duty.calls if self.duty is not None else 0,
            "last_decision": self.planner.last_reason,
            "settled": count_outcomes(self.voters),
        }

    def _run_duty_loop(self) -> None:
        assert self.duty is not None
        # Staggered by rank: lower ranks try first, so that a takeover is seldom contested.
        offset_ms = 50 * min(self.voters, default=0)
        _wait(self._stopping, offset_ms / _MS_PER_S)
        while not self._stopping.is_set():
            previous_fence = self.duty.fence()
            current_fence = self.duty.advance()
            if current_fence != previous_fence:
                log_event(_log, "duty", group=self.group.name, fence=current_fence)
            _wait(self._stopping, RENEW_MS / _MS_PER_S)

    def _run_planner_loop(self) -> None:
        while not self._stopping.is_set():
            _wait(self._stopping, self.plan_interval_ms / _MS_PER_S)
            fence = self.duty.fence() if self.duty is not None else None
            if fence is not None:
                self.planner.run_once(fence)

    def _answer_vote(self, request: VoteQuery) -> Reply:
        vote = self.voters[request.rank].vote(_make_proposal(request))
        return VoteReply(request.rank, _VOTE_VALUES[vote])

    def _answer_prepare(self, request: Prepare) -> Reply:
        order = LoadOrder(request.fence, request.base_digest, request.map_digest, request.changes)
        loaded = self.host.load(request.rank, order)
        if isinstance(loaded, Err):
            return Refused(loaded.err_value)
        return PrepareReply(request.rank, loaded.ok_value)

    def _answer_rank(self, request: RankQuery) -> Reply:
        read = self.host.read(request.rank)
        if isinstance(read, Err):
            return Refused(read.err_value)
        state = read.ok_value
        ledger = state.ledger
        return RankReply(
            rank=request.rank,
            step=ledger.step,
            version=ledger.version,
            map_digest=ledger.map_digest,
            is_undecided=ledger.armed is not None or is_switching(ledger),
            step_ms=state.step_ms,
            counts=state.counts,
        )

    def _send_to_rank(
        self, rank: int, request: VoteQuery | Prepare | RankQuery
    ) -> Result[Reply, str]:
        if rank in self.voters:
            return Ok(self.answer(request))
        peer = self._peers.get(self.group.ranks[rank])
        return Err("peer address unknown") if peer is None else peer.ask(request)

    def _request_vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        query = VoteQuery(
            self.group.name,
            rank,
            proposal.id.fence,
            proposal.id.sequence,
            proposal.base_version,
            proposal.switch_step,
            proposal.map_digest,
        )
        asked = self._send_to_rank(rank, query)
        if isinstance(asked, Ok) and isinstance(asked.ok_value, VoteReply):
            return Ok(Vote(asked.ok_value.vote))
        return Err(f"rank {rank} returned no vote")

    def _read_rank_state(self, rank: int) -> Result[RankState, str]:
        asked = self._send_to_rank(rank, RankQuery(self.group.name, rank))
        if not (isinstance(asked, Ok) and isinstance(asked.ok_value, RankReply)):
            return Err(f"rank {rank} returned no state")
        reply = asked.ok_value
        armed = _UNDECIDED_PROPOSAL if reply.is_undecided else None
        ledger = Ledger(reply.step, reply.version, reply.map_digest, armed=armed)
        return Ok(RankState(ledger, reply.step_ms, reply.counts))

    def _request_load(self, rank: int, order: LoadOrder) -> Result[LoadState, str]:
        request = Prepare(
            self.group.name, rank, order.fence, order.base_digest, order.map_digest, order.changes
        )
        asked = self._send_to_rank(rank, request)
        if isinstance(asked, Ok) and isinstance(asked.ok_value, PrepareReply):
            return Ok(asked.ok_value.state)
        return Err(f"rank {rank} did not accept the load order")

    def _read_map(self) -> Result[ExpertMap, str]:
        return self.host.read_map(min(self.voters))


_VOTE_VALUES: dict[Vote, Literal["yes", "no", "pending"]] = {
    Vote.YES: "yes",
    Vote.NO: "no",
    Vote.PENDING: "pending",
}
_UNDECIDED_PROPOSAL = Proposal(ProposalId(0, 0), 0, 0, "")


def _make_proposal(query: VoteQuery) -> Proposal:
    return Proposal(
        ProposalId(query.fence, query.sequence),
        query.base_version,
        query.switch_step,
        query.map_digest,
    )


def _wait(stopping: threading.Event, seconds: float = LOAD_POLL_INTERVAL_S) -> None:
    stopping.wait(seconds)
