"""Split a stream into complete events, so that a broken stream can be resumed."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_ID_FIELD = b"id:"
# Lines end with CRLF, LF or CR. A final CR after CRLF or LF may be the first half of a CRLF.
_BLANK_LINE = re.compile(rb"(?>\r\n|\n)(?>\r\n|\n|\r(?!\Z))|\r(?!\n)(?>\r\n|\r)")


def read_event_id(event: bytes) -> bytes | None:
    """Return the ID of an event, if it has one."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return None


@dataclass
class EventSplitter:
    """Buffer an incomplete event; count complete events with IDs and keep the last ID."""

    last_id: bytes | None = None
    count: int = 0
    _partial: bytes = field(default=b"")

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by `data`, unmodified."""
        pending = self._partial + data
        done = 0
        for blank_line in _BLANK_LINE.finditer(pending):
            end = blank_line.end()
            event_id = read_event_id(pending[done:end])
            if event_id is not None:
                self.last_id = event_id
                self.count += 1
            done = end
        self._partial = pending[done:]
        return pending[:done]

    @property
    def partial_bytes(self) -> int:
        """Return the size of the data after the last complete event."""
        return len(self._partial)

    def flush(self) -> bytes:
        """Return and clear the data after the last complete event."""
        remainder, self._partial = self._partial, b""
        return remainder

    def discard_partial(self) -> None:
        """Discard an incomplete event after its connection broke."""
        self._partial = b""
