"""Decide, rank by rank, whether a proposed expert map comes into force at a step.

A map is in force from its step on if and only if every rank voted yes. A vote, once given, is
kept by the rank's engine and never changes, so it does not matter who asks, how often, or how
late an answer comes. An engine that voted yes stops before the step until the outcome is known;
as ranks advance in lock-step, a missing rank would stop the group at that point anyway.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace


class Vote(enum.StrEnum):
    """Name a rank's answer; PENDING is no vote: an earlier proposal must be settled first."""

    YES = "yes"
    NO = "no"
    PENDING = "pending"


class SwitchStep(enum.StrEnum):
    """Name the steps of a switch at which something can go wrong, in their order."""

    READ = "read"
    LOAD = "load"
    PROPOSE = "propose"
    ASK_PEERS = "ask_peers"
    TELL_ENGINE = "tell_engine"
    RUN_ON = "run_on"


class Outcome(enum.StrEnum):
    """Name what a set of votes comes to."""

    COMMIT = "commit"
    ABORT = "abort"
    OPEN = "open"


@dataclass(frozen=True, order=True)
class ProposalId:
    """Order proposals: the planner's fence first, then its own count."""

    fence: int
    sequence: int


@dataclass(frozen=True)
class Proposal:
    """Propose a map that follows `base_version`, to be in force from `switch_step` on."""

    id: ProposalId
    base_version: int
    switch_step: int
    map_digest: str


NO_ID = ProposalId(0, 0)


@dataclass(frozen=True)
class Ledger:
    """Hold what a rank's engine keeps: its maps, the next step and its votes.

    `armed` is the proposal voted yes and not yet settled; `committed` the last one settled so,
    whose map is `map_digest`; until its step comes, `previous_digest` is in force.
    """

    step: int = 0
    version: int = 0
    map_digest: str = ""
    previous_digest: str = ""
    highest: ProposalId = NO_ID
    armed: Proposal | None = None
    committed: Proposal | None = None


def decide_vote(
    ledger: Ledger, proposal: Proposal, *, is_loaded: bool = True
) -> tuple[Ledger, Vote]:
    """Vote on a proposal; the ledger returned must be kept before the vote is told."""
    if ledger.armed is not None and proposal.id == ledger.armed.id:
        return ledger, Vote.YES
    if ledger.committed is not None and proposal.id == ledger.committed.id:
        return ledger, Vote.YES
    if proposal.id <= ledger.highest:
        return ledger, Vote.NO
    if ledger.armed is not None:
        return ledger, Vote.PENDING
    refused = replace(ledger, highest=proposal.id)
    follows = proposal.base_version == ledger.version
    is_early = ledger.step < proposal.switch_step and not is_switching(ledger)
    if not (follows and is_early and is_loaded):
        return refused, Vote.NO
    return replace(refused, armed=proposal), Vote.YES


def is_switching(ledger: Ledger) -> bool:
    """Return whether a committed map is still to come into force."""
    return ledger.committed is not None and ledger.step < ledger.committed.switch_step


def settle(votes: Mapping[int, Vote], ranks: int) -> Outcome:
    """Return what the votes known so far come to."""
    known = votes.values()
    if any(vote is Vote.NO for vote in known):
        return Outcome.ABORT
    if sum(vote is Vote.YES for vote in known) == ranks:
        return Outcome.COMMIT
    return Outcome.OPEN


def apply_outcome(ledger: Ledger, proposal: Proposal, outcome: Outcome) -> Ledger:
    """Settle the armed proposal; any other proposal leaves the ledger as it is."""
    if ledger.armed is None or ledger.armed.id != proposal.id or outcome is Outcome.OPEN:
        return ledger
    if outcome is Outcome.ABORT:
        return replace(ledger, armed=None)
    return replace(
        ledger,
        armed=None,
        committed=proposal,
        version=ledger.version + 1,
        map_digest=proposal.map_digest,
        previous_digest=ledger.map_digest,
    )


def may_enter(ledger: Ledger) -> bool:
    """Return whether the engine may begin its next step: not with its map undecided."""
    return ledger.armed is None or ledger.step < ledger.armed.switch_step


def digest_in_step(ledger: Ledger) -> str:
    """Return the digest of the map that the next step uses."""
    return ledger.previous_digest if is_switching(ledger) else ledger.map_digest
