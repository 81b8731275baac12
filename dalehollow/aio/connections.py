"""Track open connections of callers and keep their number within a limit."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar


class Closable(Protocol):
    """Close on request, unless a request is in flight, queued or being received."""

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle; return whether it was."""


_C = TypeVar("_C", bound=Closable)


class Connections(Generic[_C]):
    """Hold the open connections; at the limit the one that was idle longest makes room."""

    def __init__(
        self, max_count: int | None = None, on_limit: Callable[[], None] = lambda: None
    ) -> None:
        """Start empty; `on_limit` is called when a connection finds no room without a close."""
        self.max_count = max_count
        self.closed_idle = 0
        self.turned_away = 0
        self._on_limit = on_limit
        self._open: set[_C] = set()
        # Ordered by the time since when they are idle, the longest first.
        self._idle: dict[_C, None] = {}

    def __iter__(self) -> Iterator[_C]:
        """Iterate over the open connections."""
        return iter(self._open)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def add(self, connection: _C) -> bool:
        """Add a connection; return False if there is no room for it."""
        if self.max_count is not None and len(self._open) >= self.max_count:
            self._on_limit()
            if not self._close_idle():
                self.turned_away += 1
                return False
        self._open.add(connection)
        self._idle[connection] = None
        return True

    def discard(self, connection: _C) -> None:
        """Remove a connection that was lost."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def record_busy(self, connection: _C) -> None:
        """Record that a request of a connection is in flight."""
        self._idle.pop(connection, None)

    def record_idle(self, connection: _C) -> None:
        """Record that a connection waits for its next request."""
        if connection in self._open:
            self._idle.pop(connection, None)
            self._idle[connection] = None

    def _close_idle(self) -> bool:
        """Close the connection that was idle longest; return False if none is idle."""
        for connection in list(self._idle):
            if connection.close_if_idle():
                self.discard(connection)
                self.closed_idle += 1
                return True
            # It receives a request.
            self.record_busy(connection)
        return False
