"""Hold the headers of a message, in the order in which they came."""

from __future__ import annotations

Headers = tuple[tuple[bytes, bytes], ...]
"""Names in lower case, and values."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header."""
    for key, value in headers:
        if key == name:
            return value
    return None
