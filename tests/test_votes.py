"""Check every order of votes, outcomes and steps for small groups: never two maps in one step."""

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
    digest_in_step,
    may_enter,
    tally_votes,
)

LAST_STEP = 4
PROPOSALS = (
    Proposal(ProposalId(1, 1), 0, 2, "a"),
    Proposal(ProposalId(2, 1), 0, 3, "b"),
    Proposal(ProposalId(2, 2), 1, 4, "c"),
)

TWO_MAPS = PROPOSALS[:2]
"""Two maps by two planners, neither of which knows of the other."""


@dataclass(frozen=True)
class World:
    """Hold all ranks' ledgers, every vote ever told and the map each rank used in each step.

    Votes told stay to be heard by anyone at any time, or never: so late, doubled and lost
    messages, and gates and planners that die, pause and come back, are all among the orders.
    """

    ledgers: tuple[Ledger, ...]
    told: frozenset[tuple[ProposalId, int, Vote]] = frozenset()
    used: frozenset[tuple[int, str]] = frozenset()


class Mixed(AssertionError):
    """Two maps were used in one step."""


def _put(world: World, rank: int, ledger: Ledger) -> World:
    ledgers = list(world.ledgers)
    ledgers[rank] = ledger
    return replace(world, ledgers=tuple(ledgers))


def next_worlds(world: World, fault: str, proposals: tuple[Proposal, ...]) -> Iterator[World]:
    """Yield every world that one event can lead to."""
    slowest = min(ledger.step for ledger in world.ledgers)
    for rank, ledger in enumerate(world.ledgers):
        # Whether the weights are there may change between two questions.
        for proposal, is_loaded in itertools.product(proposals, (True, False)):
            after, vote = decide_vote(ledger, proposal, is_loaded=is_loaded)
            if fault == "vote_not_kept" and vote is Vote.NO:
                after = ledger
            if vote is not Vote.PENDING:
                told = world.told | {(proposal.id, rank, vote)}
                yield replace(_put(world, rank, after), told=told)
        if ledger.armed is not None:
            yield from _settle(world, rank, ledger, ledger.armed, fault)
        may = may_enter(ledger) or fault == "no_stop"
        # Lock-step: a rank begins its next step when all have begun the one before.
        if may and ledger.step == slowest and ledger.step < LAST_STEP:
            used = (ledger.step, digest_in_step(ledger))
            entered = replace(ledger, step=ledger.step + 1)
            yield replace(_put(world, rank, entered), used=world.used | {used})


def _settle(
    world: World, rank: int, ledger: Ledger, proposal: Proposal, fault: str
) -> Iterator[World]:
    """Settle by any votes told; of a rank that told both, either may be the one heard."""
    told = {(voter, vote) for told_id, voter, vote in world.told if told_id == proposal.id}
    if any(vote is Vote.NO for _, vote in told):
        yield _put(world, rank, apply_outcome(ledger, proposal, Outcome.ABORT))
    yes = {voter: vote for voter, vote in told if vote is Vote.YES}
    if tally_votes(yes, len(world.ledgers)) is Outcome.COMMIT or (fault == "no_vote" and yes):
        yield _put(world, rank, apply_outcome(ledger, proposal, Outcome.COMMIT))


def check_all(ranks: int, proposals: tuple[Proposal, ...], fault: str = "") -> int:
    """Visit every world that can be reached and return how many there are."""
    first = World(tuple(Ledger() for _ in range(ranks)))
    seen = {first}
    frontier = deque([first])
    while frontier:
        world = frontier.popleft()
        for following in next_worlds(world, fault, proposals):
            if following in seen:
                continue
            _check(following)
            seen.add(following)
            frontier.append(following)
    return len(seen)


def _check(world: World) -> None:
    maps: dict[int, set[str]] = {}
    for step, digest in world.used:
        maps.setdefault(step, set()).add(digest)
    for step, digests in maps.items():
        if len(digests) > 1:
            raise Mixed(f"step {step} used {sorted(digests)}")


def test_two_ranks_every_order() -> None:
    assert check_all(2, PROPOSALS) > 1_000


def test_three_ranks_every_order() -> None:
    assert check_all(3, TWO_MAPS) > 10_000


@pytest.mark.parametrize("fault", ["no_vote", "vote_not_kept", "no_stop"])
def test_seeded_fault_is_found(fault: str) -> None:
    with pytest.raises(Mixed):
        check_all(2, TWO_MAPS, fault)


def test_a_silent_rank_leaves_it_open() -> None:
    assert tally_votes({0: Vote.YES, 1: Vote.YES}, 3) is Outcome.OPEN


def test_vote_never_changes() -> None:
    late = replace(Ledger(), step=5)
    late, first = decide_vote(late, PROPOSALS[0])
    early_again = replace(late, step=0)
    assert (first, decide_vote(early_again, PROPOSALS[0])[1]) == (Vote.NO, Vote.NO)


def test_map_that_is_not_loaded_is_refused() -> None:
    assert decide_vote(Ledger(), PROPOSALS[0], is_loaded=False)[1] is Vote.NO
