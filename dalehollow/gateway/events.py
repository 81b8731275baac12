"""Split a stream into whole events, so that a broken one can go on elsewhere."""

from __future__ import annotations

from dataclasses import dataclass, field

_ID_FIELD = b"id:"


def _find_boundary(data: bytes, start: int) -> int:
    """Return the index after the first blank line from `start` on, or -1."""
    ends = [
        idx + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if (idx := data.find(mark, start)) >= 0
    ]
    return min(ends, default=-1)


def read_event_id(event: bytes) -> bytes | None:
    """Return the id that an event carries."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return None


@dataclass
class EventSplitter:
    """Hold the part of an event that has come, and the number and last id of the whole ones."""

    last_id: bytes | None = None
    count: int = 0
    _partial: bytes = field(default=b"")

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are now complete, as they were sent."""
        pending = self._partial + data
        done = 0
        while (end := _find_boundary(pending, done)) >= 0:
            event_id = read_event_id(pending[done:end])
            if event_id is not None:
                self.last_id = event_id
                self.count += 1
            done = end
        self._partial = pending[done:]
        return pending[:done]

    def take_rest(self) -> bytes:
        """Return what follows the last whole event."""
        rest, self._partial = self._partial, b""
        return rest

    def drop_rest(self) -> None:
        """Forget a part of an event whose source broke off."""
        self._partial = b""
