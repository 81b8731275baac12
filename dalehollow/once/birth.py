"""Read when an idempotency key was born, where the key says so.

Source: RFC 9562, section 5.7: the first 48 bits of a UUIDv7 are Unix milliseconds.
"""

from __future__ import annotations

import uuid

_VERSION_7 = 7
_BITS_BELOW_TIME = 80


def read_birth_ms(key: str) -> int | None:
    """Return the birth time in Unix milliseconds of a UUIDv7 key, or None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _VERSION_7 or str(parsed) != key.lower():
        return None
    return parsed.int >> _BITS_BELOW_TIME
