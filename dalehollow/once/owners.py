"""Choose the only upstream that may run a key, from the configuration alone.

Each change of a service's upstreams starts a generation that owns the keys created from a given
time on. The creation time is part of the key, so the split holds however long a process is
suspended: an old owner admits only keys created before the time at which its configuration could
have been replaced, a new owner only keys created after it.
See docs/DECISIONS.md, "Owners by birth".
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from dalehollow.rendezvous import score


@dataclass(frozen=True)
class Generation:
    """Hold the upstreams (as name@address) that own the keys created from `from_ms` on."""

    from_ms: int
    members: tuple[str, ...]


@dataclass(frozen=True)
class Owner:
    """Name a key's owner; `is_unambiguous` if no other generation can hold the key."""

    member: str
    from_ms: int
    is_unambiguous: bool


def make_scope(service: str, account: str, key: str | None) -> str:
    """Return the scope under which a key is owned and recorded, identical in all processes."""
    return f"{service}\0{account}\0{key}"


def choose_member(members: Iterable[str], scope: str) -> str:
    """Choose one member by rendezvous hashing (highest score wins)."""
    return max(members, key=lambda member: score(member, scope))


def find_owner(
    generations: tuple[Generation, ...],
    scope: str,
    key_created_at_ms: int | None,
    *,
    now_ms: int,
    retention_ms: int,
) -> Owner | None:
    """Find the owner of a key; a key without a timestamp counts as created now.

    `retention_ms` is how long an owner keeps a key: for that long after a change, a key without
    a timestamp whose owner changed may be in the old owner's table, so its owner is ambiguous.
    """
    effective_ms = now_ms if key_created_at_ms is None else key_created_at_ms
    eligible = [g for g in generations if g.from_ms <= effective_ms and g.members]
    if not eligible:
        return None
    newest = max(eligible, key=lambda g: g.from_ms)
    member = choose_member(newest.members, scope)
    if key_created_at_ms is not None:
        return Owner(member, newest.from_ms, is_unambiguous=True)
    recent_generations = [
        earlier
        for earlier, later in itertools.pairwise(generations)
        if earlier.members and later.from_ms <= now_ms < later.from_ms + retention_ms
    ]
    is_unambiguous = all(choose_member(g.members, scope) == member for g in recent_generations)
    return Owner(member, newest.from_ms, is_unambiguous)


def extend_generations(
    generations: tuple[Generation, ...],
    members: tuple[str, ...],
    *,
    applied_at_ms: int,
    horizon_ms: int,
    clock_bound_ms: int,
    window_ms: int,
) -> tuple[Generation, ...]:
    """Add a generation if the members changed; drop those whose keys have all expired."""
    if not generations:
        return (Generation(0, members),)
    if set(generations[-1].members) != set(members):
        from_ms = max(applied_at_ms + horizon_ms, generations[-1].from_ms) + 2 * clock_bound_ms
        generations = (*generations, Generation(from_ms, members))
    oldest_valid_created_at_ms = applied_at_ms - window_ms - 2 * clock_bound_ms
    return tuple(
        g
        for idx, g in enumerate(generations)
        if idx + 1 == len(generations) or generations[idx + 1].from_ms > oldest_valid_created_at_ms
    )
