"""Tell whether the body of an upstream's answer is an event stream, and whether it is whole."""

from __future__ import annotations

from http import HTTPStatus

from dalehollow.aio import (
    ClientConnection,
    MemoryBudget,
    ResponseDroppedError,
    ResponseError,
    ResponseHead,
)
from dalehollow.aio.client import check_body_size
from dalehollow.events import EVENT_STREAM, EventSizeError, EventSplitter, is_event_stream
from dalehollow.framing import BodyFraming
from dalehollow.gateway.table import RequestKind, Route
from dalehollow.memory import BODY_COPIES


def is_relayed_as_stream(route: Route, head: ResponseHead) -> bool:
    """Return whether an answer is relayed event by event; others are buffered."""
    if route.kind is not RequestKind.STREAM or head.status != HTTPStatus.OK:
        return False
    return _has_events(head, head.get(b"content-type") or EVENT_STREAM)


def split_events(splitter: EventSplitter, piece: bytes) -> bytes:
    """Return the events that a piece of a stream completes; raise ResponseError if one is large."""
    try:
        return splitter.feed(piece)
    except EventSizeError as exc:
        raise ResponseError(str(exc)) from exc


class _BodyReader:
    """Read a body; it is broken off if the memory for it is needed."""

    def __init__(self, connection: ClientConnection, memory: MemoryBudget) -> None:
        self._connection = connection
        self._memory = memory

    async def read(self) -> bytes:
        body = bytearray()
        try:
            while (piece := await self._connection.read_piece()) is not None:
                body += piece
                check_body_size(body)
                self._memory.update(self, 0, len(body) * BODY_COPIES)
            return bytes(body)
        finally:
            self._memory.update(self, 0, 0)

    def drop(self) -> None:
        self._connection.fail(ResponseDroppedError("body dropped: the memory is used up"))


async def read_buffered(connection: ClientConnection, memory: MemoryBudget) -> bytes:
    """Return a body that is relayed as a whole; raise ResponseError if it cannot be held."""
    return await _BodyReader(connection, memory).read()


def check_buffered(head: ResponseHead, body: bytes) -> None:
    """Raise ResponseError if a buffered body is a truncated event stream."""
    if _has_events(head, head.get(b"content-type") or b""):
        splitter = EventSplitter()
        split_events(splitter, body)
        check_stream_end(head, splitter)


def check_stream_end(head: ResponseHead, splitter: EventSplitter) -> None:
    """Raise ResponseError if a stream whose body has ended is truncated."""
    ends_with_connection = head.framing is BodyFraming.CONNECTION
    truncation = splitter.find_truncation(ends_with_connection=ends_with_connection)
    if truncation is not None:
        raise ResponseError(truncation)


def _has_events(head: ResponseHead, content_type: bytes) -> bool:
    return is_event_stream(content_type, head.get(b"content-encoding"))
