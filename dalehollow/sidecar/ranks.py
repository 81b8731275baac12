"""Serve the ranks whose engine stands behind this sidecar, and take the planning duty in turn."""

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

ASK_TIMEOUT_MS = 500
LOAD_POLL_S = 0.05
_MS_PER_S = 1000
_log = logging.getLogger(__name__)


@dataclass
class _Peer:
    """Hold the link to another rank's sidecar, for one question at a time."""

    link: PeerLink
    lock: threading.Lock = field(default_factory=threading.Lock)

    def ask(self, request: Request) -> Result[Reply, str]:
        with self.lock:
            return self.link.ask(request, timeout_ms=ASK_TIMEOUT_MS)


@dataclass
class GroupRanks:
    """Hold this sidecar's ranks of one group and its part in the duty."""

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
        """Prepare a voter for each of our ranks and a planner that waits for the duty."""
        for rank, name in enumerate(self.group.ranks):
            if name == self.upstream:
                self.voters[rank] = RankVoter(
                    self.group.name, rank, len(self.group.ranks), self.host, self._vote
                )
        rank_calls = RankCalls(
            self._read, self._load, self._vote, self._read_map, lambda: _wait(self._stopping)
        )
        self.planner = Planner(
            self.group.name,
            len(self.group.ranks),
            POLICIES[self.group.policy],
            rank_calls,
            self.plan_max_moves,
        )

    def follow(self, cfg: Config) -> None:
        """Link to the group's other sidecars at their addresses in the configuration."""
        for name in set(self.group.ranks) - {self.upstream}:
            address = cfg.upstreams[name].control
            known = self._peers.get(name)
            if address is not None and (known is None or known.link.address != address):
                self._peers[name] = _Peer(PeerLink(address))

    def start(self) -> None:
        """Take up what the engine is armed for, and begin to seek the duty."""
        for voter in self.voters.values():
            voter.resume()
        if self.duty is not None:
            threading.Thread(target=self._keep_duty, name="duty", daemon=True).start()
            threading.Thread(target=self._plan, name="planner", daemon=True).start()

    def stop(self) -> None:
        """Give the duty up; what is armed stays with the engine."""
        self._stopping.set()
        for voter in self.voters.values():
            voter.stop()
        if self.duty is not None:
            self.duty.release()

    def answer(self, request: VoteQuery | Prepare | RankQuery) -> Reply:
        """Answer a planner or another rank's gate."""
        if request.rank not in self.voters:
            return Refused(f"rank {request.rank} is not behind {self.upstream!r}")
        match request:
            case VoteQuery():
                return self._answer_vote(request)
            case Prepare():
                return self._answer_prepare(request)
            case RankQuery():
                return self._answer_rank(request)

    def dump(self) -> dict[str, object]:
        """Return this group's state and the planner's last decision with its reason."""
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

    def _keep_duty(self) -> None:
        assert self.duty is not None
        # The lower ranks' sidecars ask first, so that a take-over is seldom contested.
        offset_ms = 50 * min(self.voters, default=0)
        _wait(self._stopping, offset_ms / _MS_PER_S)
        while not self._stopping.is_set():
            had = self.duty.fence()
            has = self.duty.advance()
            if has != had:
                log_event(_log, "duty", group=self.group.name, fence=has)
            _wait(self._stopping, RENEW_MS / _MS_PER_S)

    def _plan(self) -> None:
        while not self._stopping.is_set():
            _wait(self._stopping, self.plan_interval_ms / _MS_PER_S)
            fence = self.duty.fence() if self.duty is not None else None
            if fence is not None:
                self.planner.run_once(fence)

    def _answer_vote(self, request: VoteQuery) -> Reply:
        vote = self.voters[request.rank].vote(_proposal_of(request))
        return VoteReply(request.rank, _VOTE_WORDS[vote])

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

    def _ask(self, rank: int, request: VoteQuery | Prepare | RankQuery) -> Result[Reply, str]:
        if rank in self.voters:
            return Ok(self.answer(request))
        peer = self._peers.get(self.group.ranks[rank])
        return Err("no address") if peer is None else peer.ask(request)

    def _vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        query = VoteQuery(
            self.group.name,
            rank,
            proposal.id.fence,
            proposal.id.sequence,
            proposal.base_version,
            proposal.switch_step,
            proposal.map_digest,
        )
        asked = self._ask(rank, query)
        if isinstance(asked, Ok) and isinstance(asked.ok_value, VoteReply):
            return Ok(Vote(asked.ok_value.vote))
        return Err(f"no vote of rank {rank}")

    def _read(self, rank: int) -> Result[RankState, str]:
        asked = self._ask(rank, RankQuery(self.group.name, rank))
        if not (isinstance(asked, Ok) and isinstance(asked.ok_value, RankReply)):
            return Err(f"no word of rank {rank}")
        reply = asked.ok_value
        armed = _UNDECIDED if reply.is_undecided else None
        ledger = Ledger(reply.step, reply.version, reply.map_digest, armed=armed)
        return Ok(RankState(ledger, reply.step_ms, reply.counts))

    def _load(self, rank: int, order: LoadOrder) -> Result[LoadState, str]:
        request = Prepare(
            self.group.name, rank, order.fence, order.base_digest, order.map_digest, order.changes
        )
        asked = self._ask(rank, request)
        if isinstance(asked, Ok) and isinstance(asked.ok_value, PrepareReply):
            return Ok(asked.ok_value.state)
        return Err(f"rank {rank} did not take the order")

    def _read_map(self) -> Result[ExpertMap, str]:
        return self.host.read_map(min(self.voters))


_VOTE_WORDS: dict[Vote, Literal["yes", "no", "pending"]] = {
    Vote.YES: "yes",
    Vote.NO: "no",
    Vote.PENDING: "pending",
}
_UNDECIDED = Proposal(ProposalId(0, 0), 0, 0, "")


def _proposal_of(query: VoteQuery) -> Proposal:
    return Proposal(
        ProposalId(query.fence, query.sequence),
        query.base_version,
        query.switch_step,
        query.map_digest,
    )


def _wait(stopping: threading.Event, seconds: float = LOAD_POLL_S) -> None:
    stopping.wait(seconds)
