"""Define the headers of a message, in the order in which they were received."""

from __future__ import annotations

Headers = tuple[tuple[bytes, bytes], ...]
"""Pairs of a name in lower case and a value."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def list_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header, including those of comma-separated lists."""
    lines = (value for key, value in headers if key == name)
    return [part.strip() for line in lines for part in line.split(b",")]
