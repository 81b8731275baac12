"""Split a stream into complete events, and tell a truncated stream from a whole one."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event."""
EVENT_STREAM = b"text/event-stream"
_ID_FIELD = b"id:"
# Lines end with CRLF, LF or CR. A final CR after CRLF or LF may be the first half of a CRLF.
_BLANK_LINE = re.compile(rb"(?>\r\n|\n)(?>\r\n|\n|\r(?!\Z))|\r(?!\n)(?>\r\n|\r)")
# Blank lines and comments, which belong to no event.
_NO_FIELDS = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")
_BLANK_LINE_BYTES = 4
# At the end of a body, a final CR is a line end of its own.
_FINAL_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)\Z")


class EventSizeError(ValueError):
    """Report an event that exceeds `MAX_EVENT_BYTES`."""


def is_event_stream(content_type: bytes, content_encoding: bytes | None) -> bool:
    """Return whether a body is an event stream without a content encoding."""
    media_type = content_type.partition(b";")[0].strip().lower()
    return media_type == EVENT_STREAM and content_encoding in (None, b"identity")


def read_event_id(event: bytes) -> bytes | None:
    """Return the ID of an event, if it has one."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return None


@dataclass
class EventSplitter:
    """Buffer an incomplete event; count complete events with IDs and keep the last ID.

    A stream may be resumed in further bodies; each begins with `begin_body`.
    """

    last_id: bytes | None = None
    count: int = 0
    _partial: bytearray = field(default_factory=bytearray)
    _body_has_event: bool = False

    def begin_body(self) -> None:
        """Discard the incomplete event of an earlier body."""
        self._partial, self._body_has_event = bytearray(), False

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by `data`, unmodified.

        Raises EventSizeError if the next event is too large.
        """
        pending = self._partial
        # Data that was searched before completes an event only together with new data.
        searched = max(0, len(pending) - _BLANK_LINE_BYTES)
        pending += data
        done = 0
        for blank_line in _BLANK_LINE.finditer(pending, searched):
            end = blank_line.end()
            event_id = read_event_id(bytes(pending[done:end]))
            if event_id is not None:
                self.last_id = event_id
                self.count += 1
            if not self._body_has_event:
                self._body_has_event = _NO_FIELDS.fullmatch(pending, done, end) is None
            done = end
        if len(pending) - done > MAX_EVENT_BYTES:
            raise EventSizeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        complete = bytes(pending[:done])
        self._partial = pending[done:] if done else pending
        return complete

    def find_truncation(self, *, ends_with_connection: bool) -> str | None:
        """Return why the stream is truncated if its body ends now, None if it is whole.

        `ends_with_connection` says that only the end of the connection marks the end of the body.
        """
        has_partial = _NO_FIELDS.fullmatch(self._partial) is None
        if has_partial and not _FINAL_BLANK_LINE.search(self._partial):
            return "the stream ended inside an event"
        # Without framing, an upstream that failed looks like one that had nothing to send.
        if ends_with_connection and not self._body_has_event and not has_partial:
            return "the connection was closed before the first event"
        return None

    @property
    def partial_bytes(self) -> int:
        """Return the size of the data after the last complete event."""
        return len(self._partial)

    def flush(self) -> bytes:
        """Return and clear the data after the last complete event."""
        remainder, self._partial = bytes(self._partial), bytearray()
        return remainder
