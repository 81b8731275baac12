"""Carry votes between the gates of a group's ranks until each proposal is settled.

A gate that let its engine vote yes asks every other rank, again and again, until all have said
yes or one has said no, and tells its engine. It needs no planner for that: a planner that dies
after the first vote leaves a proposal that the gates settle among themselves.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from result import Ok, Result

from dalehollow.groups.host import RankHost
from dalehollow.groups.votes import Outcome, Proposal, Vote, settle
from dalehollow.telemetry.logs import log_event

RETRY_INTERVAL_S = 0.02
_log = logging.getLogger(__name__)

AskPeer = Callable[[int, Proposal], Result[Vote, str]]
"""Ask another rank's gate for its vote; fails as Err(why) when it cannot be reached."""


@dataclass
class RankVoter:
    """Hold one rank's part in the votes of its group."""

    group: str
    rank: int
    ranks: int
    host: RankHost
    ask_peer: AskPeer
    settled: dict[str, int] = field(default_factory=lambda: {"commit": 0, "abort": 0})
    _open: dict[Proposal, threading.Thread] = field(default_factory=dict)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def resume(self) -> None:
        """Take up the proposal that the engine is armed for, after a restart."""
        state = self.host.read(self.rank)
        if isinstance(state, Ok) and state.ok_value.ledger.armed is not None:
            self._begin_settling(state.ok_value.ledger.armed)

    def vote(self, proposal: Proposal) -> Vote:
        """Let the engine vote, and see to it that a yes is settled."""
        asked = self.host.vote(self.rank, proposal)
        if not isinstance(asked, Ok):
            return Vote.PENDING
        if asked.ok_value is Vote.YES:
            self._begin_settling(proposal)
        return asked.ok_value

    def stop(self) -> None:
        """Stop settling; the engine keeps what is open."""
        self._stopping.set()

    def _begin_settling(self, proposal: Proposal) -> None:
        with self._lock:
            if proposal in self._open:
                return
            thread = threading.Thread(
                target=self._settle, args=(proposal,), name=f"settle-{self.rank}", daemon=True
            )
            self._open[proposal] = thread
            thread.start()

    def _settle(self, proposal: Proposal) -> None:
        votes: dict[int, Vote] = {self.rank: Vote.YES}
        while not self._stopping.is_set():
            self._ask_missing(proposal, votes)
            outcome = settle(votes, self.ranks)
            if outcome is not Outcome.OPEN and self._tell_engine(proposal, outcome):
                break
            self._stopping.wait(RETRY_INTERVAL_S)
        with self._lock:
            self._open.pop(proposal, None)

    def _ask_missing(self, proposal: Proposal, votes: dict[int, Vote]) -> None:
        for rank in range(self.ranks):
            if votes.get(rank, Vote.PENDING) is not Vote.PENDING:
                continue
            asked = self.ask_peer(rank, proposal)
            if isinstance(asked, Ok):
                votes[rank] = asked.ok_value
            if votes.get(rank) is Vote.NO:
                return

    def _tell_engine(self, proposal: Proposal, outcome: Outcome) -> bool:
        told = self.host.settle(self.rank, proposal, outcome)
        if not isinstance(told, Ok):
            return False
        self.settled[outcome] += 1
        log_event(
            _log,
            "map_settled",
            group=self.group,
            rank=self.rank,
            outcome=outcome,
            fence=proposal.id.fence,
            sequence=proposal.id.sequence,
            switch_step=proposal.switch_step,
        )
        return True


def count_outcomes(voters: Mapping[int, RankVoter]) -> dict[str, int]:
    """Add up what the proposals came to at these ranks."""
    return {
        outcome: sum(voter.settled[outcome] for voter in voters.values())
        for outcome in ("commit", "abort")
    }
