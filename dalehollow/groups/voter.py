"""Exchange votes between the sidecars of a group's ranks until each proposal is decided.

A sidecar whose engine voted yes polls every other rank until all have voted yes or one has voted
no, and passes the outcome to its engine. This needs no planner: if the planner fails after the
first vote, the sidecars decide the proposal among themselves.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from result import Ok, Result

from dalehollow.groups.host import RankHost
from dalehollow.groups.votes import Outcome, Proposal, Vote, tally_votes
from dalehollow.telemetry.logs import log_event

RETRY_INTERVAL_S = 0.02
_log = logging.getLogger(__name__)

AskPeer = Callable[[int, Proposal], Result[Vote, str]]
"""Request another rank's vote from its sidecar; returns Err with the cause if unreachable."""


@dataclass
class RankVoter:
    """Take part in the votes of a group on behalf of one rank."""

    group: str
    rank: int
    ranks: int
    host: RankHost
    ask_peer: AskPeer
    outcome_counts: dict[str, int] = field(default_factory=lambda: {"commit": 0, "abort": 0})
    _undecided: dict[Proposal, threading.Thread] = field(default_factory=dict)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def resume(self) -> None:
        """Resume the proposal that the engine is armed for after a restart of this process."""
        state = self.host.read(self.rank)
        if isinstance(state, Ok) and state.ok_value.ledger.armed is not None:
            self._start_polling(state.ok_value.ledger.armed)

    def vote(self, proposal: Proposal) -> Vote:
        """Let the engine vote, and poll the other ranks for the outcome if it votes yes."""
        answer = self.host.vote(self.rank, proposal)
        if not isinstance(answer, Ok):
            return Vote.PENDING
        if answer.ok_value is Vote.YES:
            self._start_polling(proposal)
        return answer.ok_value

    def stop(self) -> None:
        """Stop polling; the engine keeps undecided proposals."""
        self._stopping.set()

    def _start_polling(self, proposal: Proposal) -> None:
        with self._lock:
            if proposal in self._undecided:
                return
            thread = threading.Thread(
                target=self._poll_until_decided,
                args=(proposal,),
                name=f"settle-{self.rank}",
                daemon=True,
            )
            self._undecided[proposal] = thread
            thread.start()

    def _poll_until_decided(self, proposal: Proposal) -> None:
        votes: dict[int, Vote] = {self.rank: Vote.YES}
        while not self._stopping.is_set():
            self._request_missing_votes(proposal, votes)
            outcome = tally_votes(votes, self.ranks)
            if outcome is not Outcome.OPEN and self._report_outcome(proposal, outcome):
                break
            self._stopping.wait(RETRY_INTERVAL_S)
        with self._lock:
            self._undecided.pop(proposal, None)

    def _request_missing_votes(self, proposal: Proposal, votes: dict[int, Vote]) -> None:
        for rank in range(self.ranks):
            if votes.get(rank, Vote.PENDING) is not Vote.PENDING:
                continue
            answer = self.ask_peer(rank, proposal)
            if isinstance(answer, Ok):
                votes[rank] = answer.ok_value
            if votes.get(rank) is Vote.NO:
                return

    def _report_outcome(self, proposal: Proposal, outcome: Outcome) -> bool:
        reported = self.host.settle(self.rank, proposal, outcome)
        if not isinstance(reported, Ok):
            return False
        self.outcome_counts[outcome] += 1
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
    """Sum the outcomes of proposals over these ranks."""
    return {
        outcome: sum(voter.outcome_counts[outcome] for voter in voters.values())
        for outcome in ("commit", "abort")
    }
