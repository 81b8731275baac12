"""Define how a recipient finds the end of a message body (RFC 9112, section 6.3)."""

from __future__ import annotations

import enum

from dalehollow.aio.headers import Headers

_NO_BODY_STATUSES = frozenset({204, 304})


class BodyFraming(enum.StrEnum):
    """List what marks the end of a response body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


def find_framing(status: int, headers: Headers) -> BodyFraming:
    """Return the framing of a final response; header names are in lower case."""
    if status in _NO_BODY_STATUSES:
        return BodyFraming.NONE
    names = {name for name, _ in headers}
    # A body in another transfer coding ends with the connection too, but cannot be decoded.
    if b"transfer-encoding" in names:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b"content-length" in names else BodyFraming.CONNECTION
