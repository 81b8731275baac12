"""Order names for a subject by hash, so that every process finds the same order by itself."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score(subject: str, name: str) -> bytes:
    """Return what orders a name among others for a subject; the highest comes first."""
    return hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()


def count_before(names: Iterable[str], own: str, subject: str) -> int:
    """Return how many of the names come before the own one for a subject."""
    own_score = score(subject, own)
    return sum(1 for name in names if score(subject, name) > own_score)
