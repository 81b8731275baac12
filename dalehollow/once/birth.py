"""Read the creation time of an idempotency key, if the key contains one.

Source: RFC 9562, section 5.7: the first 48 bits of a UUIDv7 are Unix milliseconds.
"""

from __future__ import annotations

import uuid

_VERSION_7 = 7
_BITS_BELOW_TIMESTAMP = 80


def read_key_created_at_ms(key: str) -> int | None:
    """Return a UUIDv7 key's creation time in Unix milliseconds, or None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _VERSION_7 or str(parsed) != key.lower():
        return None
    return parsed.int >> _BITS_BELOW_TIMESTAMP
