"""Model-check all orders of votes, outcomes and steps in small groups: no step mixes two maps."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from dalehollow.groups.votes import (
    Ledger,
    Outcome,
    Proposal,
    ProposalId,
    Vote,
    apply_outcome,
    decide_vote,
    may_start_step,
    next_step_digest,
    tally_votes,
)

LAST_STEP = 4
PROPOSALS = (
    Proposal(ProposalId(1, 1), 0, 2, "a"),
    Proposal(ProposalId(2, 1), 0, 3, "b"),
    Proposal(ProposalId(2, 2), 1, 4, "c"),
)

TWO_MAPS = PROPOSALS[:2]
"""Two maps proposed by two planners that do not know of each other."""


@dataclass(frozen=True)
class State:
    """Hold all ranks' ledgers, every vote sent so far and the map each rank used in each step.

    A vote sent may be received by anyone at any time, or never. This covers late, duplicated and
    lost messages, and sidecars and planners that crash, pause and return.
    """

    ledgers: tuple[Ledger, ...]
    sent: frozenset[tuple[ProposalId, int, Vote]] = frozenset()
    used: frozenset[tuple[int, str]] = frozenset()


class MixedMapsError(AssertionError):
    """Report that two maps were used in one step."""


def _replace_ledger(state: State, rank: int, ledger: Ledger) -> State:
    ledgers = list(state.ledgers)
    ledgers[rank] = ledger
    return replace(state, ledgers=tuple(ledgers))


def next_states(state: State, fault: str, proposals: tuple[Proposal, ...]) -> Iterator[State]:
    """Yield every state that one event can lead to."""
    slowest = min(ledger.step for ledger in state.ledgers)
    for rank, ledger in enumerate(state.ledgers):
        # The weights may be loaded or dropped between two requests for the same vote.
        for proposal, is_loaded in itertools.product(proposals, (True, False)):
            after, vote = decide_vote(ledger, proposal, is_loaded=is_loaded)
            if fault == "vote_not_persisted" and vote is Vote.NO:
                after = ledger
            if vote is not Vote.PENDING:
                sent = state.sent | {(proposal.id, rank, vote)}
                yield replace(_replace_ledger(state, rank, after), sent=sent)
        if ledger.armed is not None:
            yield from _apply_outcomes(state, rank, ledger, ledger.armed, fault)
        may = may_start_step(ledger) or fault == "no_block_before_step"
        # Lock-step: a rank starts its next step once all have started the previous one.
        if may and ledger.step == slowest and ledger.step < LAST_STEP:
            used = (ledger.step, next_step_digest(ledger))
            advanced = replace(ledger, step=ledger.step + 1)
            yield replace(_replace_ledger(state, rank, advanced), used=state.used | {used})


def _apply_outcomes(
    state: State, rank: int, ledger: Ledger, proposal: Proposal, fault: str
) -> Iterator[State]:
    """Apply the outcome of any votes sent; if a rank sent both, either may have been received."""
    sent = {(voter, vote) for sent_id, voter, vote in state.sent if sent_id == proposal.id}
    if any(vote is Vote.NO for _, vote in sent):
        yield _replace_ledger(state, rank, apply_outcome(ledger, proposal, Outcome.ABORT))
    yes = {voter: vote for voter, vote in sent if vote is Vote.YES}
    if tally_votes(yes, len(state.ledgers)) is Outcome.COMMIT or (
        fault == "commit_on_any_yes" and yes
    ):
        yield _replace_ledger(state, rank, apply_outcome(ledger, proposal, Outcome.COMMIT))


def count_reachable_states(ranks: int, proposals: tuple[Proposal, ...], fault: str = "") -> int:
    """Check every reachable state and return their number."""
    initial = State(tuple(Ledger() for _ in range(ranks)))
    visited = {initial}
    frontier = deque([initial])
    while frontier:
        state = frontier.popleft()
        for successor in next_states(state, fault, proposals):
            if successor in visited:
                continue
            _check(successor)
            visited.add(successor)
            frontier.append(successor)
    return len(visited)


def _check(state: State) -> None:
    maps: dict[int, set[str]] = {}
    for step, digest in state.used:
        maps.setdefault(step, set()).add(digest)
    for step, digests in maps.items():
        if len(digests) > 1:
            raise MixedMapsError(f"step {step} used {sorted(digests)}")


def test_two_ranks_every_order() -> None:
    assert count_reachable_states(2, PROPOSALS) > 1_000


def test_three_ranks_every_order() -> None:
    assert count_reachable_states(3, TWO_MAPS) > 10_000


@pytest.mark.parametrize(
    "fault", ["commit_on_any_yes", "vote_not_persisted", "no_block_before_step"]
)
def test_injected_fault_is_detected(fault: str) -> None:
    with pytest.raises(MixedMapsError):
        count_reachable_states(2, TWO_MAPS, fault)


def test_missing_vote_leaves_the_outcome_open() -> None:
    assert tally_votes({0: Vote.YES, 1: Vote.YES}, 3) is Outcome.OPEN


def test_vote_never_changes() -> None:
    late = replace(Ledger(), step=5)
    late, first_vote = decide_vote(late, PROPOSALS[0])
    early_again = replace(late, step=0)
    assert (first_vote, decide_vote(early_again, PROPOSALS[0])[1]) == (Vote.NO, Vote.NO)


def test_map_that_is_not_loaded_is_refused() -> None:
    assert decide_vote(Ledger(), PROPOSALS[0], is_loaded=False)[1] is Vote.NO
