"""Combine store era and revision into one number that orders changes across restores.

A store restored from a backup assigns revisions again, so a revision alone does not order changes.
Each response carries the era, which increases with every restore. Stored in the high bits, it makes
every revision of a later era newer than all revisions of earlier ones.
"""

from __future__ import annotations

_NUMBER_BITS = 32
"""Allows 4 billion changes between two restores: 136 years at one per second. Planner versions are
the combined number times a million, which stays below 64 bits for up to 2,000 restores."""
MAX_ERA = (1 << 20) - 1


def join_revision(era: int, number: int) -> int:
    """Return the combined revision of an era and a value of the store's counter."""
    return (era << _NUMBER_BITS) + number


def read_era(revision: int) -> int:
    """Return the era of a combined revision."""
    return revision >> _NUMBER_BITS


def read_number(revision: int) -> int:
    """Return the store's counter value of a combined revision."""
    return revision & ((1 << _NUMBER_BITS) - 1)


def format_revision(revision: int) -> str:
    """Format a revision for log lines as `era.number`, or as the number alone in era 0."""
    era = read_era(revision)
    return f"{era}.{read_number(revision)}" if era else str(revision)
