"""Decide by an atomic commit among the ranks whether a proposed expert map becomes active.

A map is active from its step on if and only if every rank voted yes. The rank's engine persists a
vote, which never changes, so requests may come from anyone, any number of times, and answers may
arrive late. An engine that voted yes blocks before the step until the outcome is known. Ranks
advance in lock-step, so a missing rank would block the group at that point in any case.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace


class Vote(enum.StrEnum):
    """Name a rank's answer; PENDING is no vote: an earlier proposal must be decided first."""

    YES = "yes"
    NO = "no"
    PENDING = "pending"


class SwitchStep(enum.StrEnum):
    """Name the steps of a switch at which faults can be injected, in their order."""

    READ = "read"
    LOAD = "load"
    PROPOSE = "propose"
    ASK_PEERS = "ask_peers"
    TELL_ENGINE = "tell_engine"
    RUN_ON = "run_on"


class Outcome(enum.StrEnum):
    """Name the outcome of a set of votes; OPEN is undecided."""

    COMMIT = "commit"
    ABORT = "abort"
    OPEN = "open"


@dataclass(frozen=True, order=True)
class ProposalId:
    """Order proposals by the planner's fencing token, then by its sequence number."""

    fence: int
    sequence: int


@dataclass(frozen=True)
class Proposal:
    """Propose a map to succeed `base_version` and to be active from `switch_step` on."""

    id: ProposalId
    base_version: int
    switch_step: int
    map_digest: str


NO_ID = ProposalId(0, 0)


@dataclass(frozen=True)
class Ledger:
    """Hold the state that a rank's engine persists: its maps, the next step and its votes.

    `armed` is a proposal with a yes vote and no outcome yet. `committed` is the last committed
    proposal, whose map is `map_digest`; until its step, the map of `previous_digest` is active.
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
    """Vote on a proposal; the returned ledger must be persisted before the vote is sent."""
    if ledger.armed is not None and proposal.id == ledger.armed.id:
        return ledger, Vote.YES
    if ledger.committed is not None and proposal.id == ledger.committed.id:
        return ledger, Vote.YES
    if proposal.id <= ledger.highest:
        return ledger, Vote.NO
    if ledger.armed is not None:
        return ledger, Vote.PENDING
    refused = replace(ledger, highest=proposal.id)
    has_current_base = proposal.base_version == ledger.version
    is_before_switch = ledger.step < proposal.switch_step and not is_switching(ledger)
    if not (has_current_base and is_before_switch and is_loaded):
        return refused, Vote.NO
    return replace(refused, armed=proposal), Vote.YES


def is_switching(ledger: Ledger) -> bool:
    """Return whether a committed map is not active yet."""
    return ledger.committed is not None and ledger.step < ledger.committed.switch_step


def tally_votes(votes: Mapping[int, Vote], ranks: int) -> Outcome:
    """Return the outcome of the votes known so far."""
    known = votes.values()
    if any(vote is Vote.NO for vote in known):
        return Outcome.ABORT
    if sum(vote is Vote.YES for vote in known) == ranks:
        return Outcome.COMMIT
    return Outcome.OPEN


def apply_outcome(ledger: Ledger, proposal: Proposal, outcome: Outcome) -> Ledger:
    """Apply the outcome of the armed proposal; any other proposal leaves the ledger unchanged."""
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


def may_start_step(ledger: Ledger) -> bool:
    """Return whether the engine may start its next step, whose map must be decided."""
    return ledger.armed is None or ledger.step < ledger.armed.switch_step


def next_step_digest(ledger: Ledger) -> str:
    """Return the digest of the map that the next step uses."""
    return ledger.previous_digest if is_switching(ledger) else ledger.map_digest
