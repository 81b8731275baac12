"""Identify what requests may have in common by hashes of equal length."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

Fingerprint = bytes

MAX_SHARED_PARTS = 32
"""Bounds the work per request; callers choose the number of parts."""
_DIGEST_BYTES = 8
_REQUEST, _PART = b"request", b"part"
"""Distinguish the kinds of fingerprints, so that a body cannot imitate a part."""


def make_fingerprints(
    path: bytes, account: str, body: bytes, shared_parts: Iterable[bytes]
) -> tuple[Fingerprint, ...]:
    """Return the fingerprint of a whole request and those of its prompt's shared parts.

    The first is the same for all repetitions of a request, the others for all requests whose
    prompts share the part.
    """
    whole = _hash(_REQUEST, path, account.encode(), body)
    parts = list(dict.fromkeys(shared_parts))[:MAX_SHARED_PARTS]
    return whole, *(_hash(_PART, part) for part in parts)


def _hash(*fields: bytes) -> Fingerprint:
    sizes = b"".join(len(field).to_bytes(8) for field in fields)
    return hashlib.blake2b(sizes + b"".join(fields), digest_size=_DIGEST_BYTES).digest()
