"""Choose the one upstream that may run a key, from the configuration alone.

Each change of a service's upstreams opens a generation that owns the keys born from a stated
time on. Births are labels inside the keys, so the split holds however long a process sleeps:
an old owner admits only births before the time at which its own configuration could have been
replaced, a new owner only births after it. See docs/DECISIONS.md, "Owners by birth".
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from dalehollow.rendezvous import score


@dataclass(frozen=True)
class Generation:
    """Hold the upstreams (as name@address) that own the keys born from `from_ms` on."""

    from_ms: int
    members: tuple[str, ...]


@dataclass(frozen=True)
class Owner:
    """Name the owner of a key; `settled` says that no other generation could hold the key."""

    member: str
    from_ms: int
    settled: bool


def make_scope(service: str, account: str, key: str | None) -> str:
    """Return the name under which a key is owned and remembered, the same in every process."""
    return f"{service}\0{account}\0{key}"


def choose_member(members: Iterable[str], scope: str) -> str:
    """Choose one member by rendezvous hashing (highest score wins)."""
    return max(members, key=lambda member: score(member, scope))


def find_owner(
    generations: tuple[Generation, ...],
    scope: str,
    birth_ms: int | None,
    *,
    now_ms: int,
    memory_ms: int,
) -> Owner | None:
    """Find the owner of a key; an undated key counts as born now.

    `memory_ms` is how long an owner remembers a key: for that long after a change, an undated
    key whose owner changed may be in the old owner's table, and is not settled.
    """
    time_ms = now_ms if birth_ms is None else birth_ms
    eligible = [g for g in generations if g.from_ms <= time_ms and g.members]
    if not eligible:
        return None
    newest = max(eligible, key=lambda g: g.from_ms)
    member = choose_member(newest.members, scope)
    if birth_ms is not None:
        return Owner(member, newest.from_ms, settled=True)
    remembered = [
        earlier
        for earlier, later in itertools.pairwise(generations)
        if earlier.members and later.from_ms <= now_ms < later.from_ms + memory_ms
    ]
    settled = all(choose_member(g.members, scope) == member for g in remembered)
    return Owner(member, newest.from_ms, settled)


def extend_generations(
    generations: tuple[Generation, ...],
    members: tuple[str, ...],
    *,
    applied_at_ms: int,
    horizon_ms: int,
    clock_bound_ms: int,
    window_ms: int,
) -> tuple[Generation, ...]:
    """Add a generation where the members changed and drop those whose keys have all expired."""
    if not generations:
        return (Generation(0, members),)
    if set(generations[-1].members) != set(members):
        from_ms = max(applied_at_ms + horizon_ms, generations[-1].from_ms) + 2 * clock_bound_ms
        generations = (*generations, Generation(from_ms, members))
    oldest_birth_ms = applied_at_ms - window_ms - 2 * clock_bound_ms
    return tuple(
        g
        for idx, g in enumerate(generations)
        if idx + 1 == len(generations) or generations[idx + 1].from_ms > oldest_birth_ms
    )
