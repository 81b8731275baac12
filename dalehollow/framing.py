"""Define how a recipient finds the end of a message body (RFC 9112, section 6.3)."""

from __future__ import annotations

import enum
from collections.abc import Collection

_NO_BODY_STATUSES = frozenset({204, 304})


class BodyFraming(enum.StrEnum):
    """List what marks the end of a response body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


def find_framing(status: int, header_names: Collection[bytes]) -> BodyFraming:
    """Return the framing of a final response; header names are in lower case."""
    if status in _NO_BODY_STATUSES:
        return BodyFraming.NONE
    # A body in another transfer coding ends with the connection too, but cannot be decoded.
    if b"transfer-encoding" in header_names:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b"content-length" in header_names else BodyFraming.CONNECTION
