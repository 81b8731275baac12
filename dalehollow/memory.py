"""Keep the memory of the requests and answers that a process holds within a limit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

DEFAULT_MEMORY_MB = 256
"""Memory of a VM whose platform does not tell it."""
REQUEST_MEMORY_SHARE = 1 / 4
"""Share of the memory for requests and answers. The rest is for the program, its state, connections
without a request, and data in the buffers of the event loop."""
RELIEF_SHARE = 7 / 8
"""Share of the limit down to which data is dropped, so that not each further byte drops more."""
SERVED_SHARE = 3 / 4
"""Share of the limit for requests that are being served. The rest is for small requests, and for
those that are being received."""
BODY_COPIES = 2
"""A body counts twice: it is copied when it is complete, and a request's again when it is sent to
an upstream that reads slowly."""
SMALL_BYTES = 16 * 1024
"""A request that takes no more than this is served regardless of the share: it has a few kilobytes
of header fields and a small body."""


def limit_request_memory(memory_mb: float) -> int:
    """Return how many bytes requests and answers may hold on a VM with so much memory.

    A `memory_mb` of 0 means that it is not known.
    """
    return round((memory_mb or DEFAULT_MEMORY_MB) * 1024 * 1024 * REQUEST_MEMORY_SHARE)


class MemoryConsumer(Protocol):
    """Hold data of requests or of an answer."""

    def drop(self) -> None:
        """Drop the data that may be dropped, and give up what it belongs to."""


@dataclass(frozen=True)
class _Usage:
    """Count the bytes of one consumer; those of a request that is being served are kept."""

    kept_bytes: int = 0
    droppable_bytes: int = 0


_NOTHING = _Usage()


class MemoryBudget:
    """Count what all connections hold; over the limit the largest consumers drop their data.

    Small requests are dropped last, so ordinary callers are served beside connections that hold
    much and complete nothing.
    """

    def __init__(
        self, limit_bytes: int | None = None, on_drop: Callable[[], None] = lambda: None
    ) -> None:
        """Create an empty budget; None is no limit. `on_drop` is called before data is dropped."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.kept_bytes = 0
        # Requests and answers that were refused or broken off.
        self.dropped = 0
        self._on_drop = on_drop
        self._usages: dict[MemoryConsumer, _Usage] = {}
        self._is_dropping = False

    def update(self, consumer: MemoryConsumer, kept_bytes: int, droppable_bytes: int) -> None:
        """Set what a consumer holds, and make room if that is too much."""
        before = self._usages.get(consumer, _NOTHING)
        self.kept_bytes += kept_bytes - before.kept_bytes
        self.used_bytes += kept_bytes + droppable_bytes
        self.used_bytes -= before.kept_bytes + before.droppable_bytes
        if kept_bytes or droppable_bytes:
            self._usages[consumer] = _Usage(kept_bytes, droppable_bytes)
        else:
            self._usages.pop(consumer, None)
        if self.limit_bytes is not None and self.used_bytes > self.limit_bytes:
            self._make_room(self.limit_bytes * RELIEF_SHARE)

    def may_serve(self, request_bytes: int) -> bool:
        """Return whether there is memory to serve a request; one that is alone is always served."""
        if self.limit_bytes is None or request_bytes <= SMALL_BYTES or not self.kept_bytes:
            return True
        if self.kept_bytes + request_bytes <= self.limit_bytes * SERVED_SHARE:
            return True
        self.dropped += 1
        self._on_drop()
        return False

    def _make_room(self, target_bytes: float) -> None:
        if self._is_dropping:
            return
        self._is_dropping = True
        try:
            self._on_drop()
            self._drop_largest(target_bytes)
        finally:
            self._is_dropping = False

    def _drop_largest(self, target_bytes: float) -> None:
        by_size = sorted(self._usages.items(), key=lambda u: u[1].droppable_bytes, reverse=True)
        for consumer, usage in by_size:
            if self.used_bytes <= target_bytes or not usage.droppable_bytes:
                break
            self.dropped += 1
            self.update(consumer, usage.kept_bytes, 0)
            consumer.drop()
