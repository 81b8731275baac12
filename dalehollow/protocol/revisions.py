"""Order what the store tells by one number that also holds how often the store was restored.

A store that is restored from a copy gives revisions out again, so they say nothing alone. Each
answer tells its era, which rises with each restore; the era goes in front of the revision, and
what is known of a later era is newer than all of earlier ones.
"""

from __future__ import annotations

_NUMBER_BITS = 32
"""Room for 4 billion changes between two restores: 136 years at one a second. A planner's versions
hold the number a million times; so they stay below 64 bits up to 2,000 restores."""
MAX_ERA = (1 << 20) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision that stands for a number of the store's counter in an era."""
    return (era << _NUMBER_BITS) + number


def read_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _NUMBER_BITS


def read_number(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & ((1 << _NUMBER_BITS) - 1)


def show_revision(revision: int) -> str:
    """Return a revision for log lines: era and number, the number alone before any era."""
    era = read_era(revision)
    return f"{era}.{read_number(revision)}" if era else str(revision)
