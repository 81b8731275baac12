"""Order names by rendezvous hashing, so that all processes compute the same order."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score(subject: str, name: str) -> bytes:
    """Return the rendezvous score of a name for a subject; the highest score ranks first."""
    return hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()


def count_before(names: Iterable[str], own: str, subject: str) -> int:
    """Return how many of the names rank before the own name for a subject."""
    own_score = score(subject, own)
    return sum(1 for name in names if score(subject, name) > own_score)
