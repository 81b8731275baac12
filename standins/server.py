"""Simulate the users' servers: plain responses and event streams, with fault injection.

Each request takes the first of the remaining `next_modes`; without one, the server responds
normally. Implements the published protocol on the running event loop and records the requests it
executed.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dalehollow.aio import CallerConnection, CallerRequest
from dalehollow.framing import BodyFraming

EVENT_COUNT = 6
_CUT_EVENT_COUNT = 2
_CUT_EVENT_BYTES = 9
_EVENT_STREAM = (b"content-type", b"text/event-stream")
_CHUNKED = (b"transfer-encoding", b"chunked")


class ResponseMode(enum.StrEnum):
    """List how a server can respond to a request."""

    NORMAL = "well"
    ERROR = "error"
    REFUSE = "refuse"
    REFUSE_BROKEN = "refuse_broken"
    OTHER_SERVER = "other_server"
    CUT_UNANSWERED = "cut_unanswered"
    CUT_IN_EVENT = "cut_in_event"
    CUT_BODY = "cut_body"
    # A plain answer on a streaming route, and a stream that ends inside an event on a plain one.
    NO_STREAM = "no_stream"
    STREAM_ENDS_IN_EVENT = "stream_ends_in_event"
    # Whole answers with a length, or with neither a length nor chunks.
    LENGTH = "length"
    UNFRAMED = "unframed"
    # Unframed answers whose connection is closed or reset too early.
    UNFRAMED_CLOSED_IN_EVENT = "unframed_closed_in_event"
    UNFRAMED_CLOSED_EMPTY = "unframed_closed_empty"
    UNFRAMED_RESET = "unframed_reset"
    # A connection closed before the length of its answer is reached.
    LENGTH_CUT_IN_EVENT = "length_cut_in_event"
    # Answers that are complete by their framing, though their last event is not.
    CHUNKED_ENDS_IN_EVENT = "chunked_ends_in_event"
    LENGTH_ENDS_IN_EVENT = "length_ends_in_event"
    OTHERS_ANSWER_FIRST = "others_answer_first"
    OTHERS_REFUSAL_FIRST = "others_refusal_first"
    SURPLUS = "surplus"
    HANG = "hang"


def make_prompt_header(parts: Iterable[str]) -> str:
    """Return the header that lists the parts of a prompt."""
    return ",".join(f"{part}:40" for part in parts)


def list_shared_parts(request: CallerRequest) -> list[bytes]:
    """Return the parts of a request's prompt that other requests may share: all but the last."""
    return [part.partition(b":")[0] for part in request.list_values(b"x-prompt-prefix")][:-1]


class CrashPoint(enum.StrEnum):
    """List how far a server comes with an answer that crashes it."""

    BEFORE_HEAD = "before_head"
    AFTER_HEAD = "after_head"
    # An unframed stream of one whole event, whose connection is closed in order.
    AFTER_EVENT_IN_ORDER = "after_event_in_order"


def make_event(number: int) -> bytes:
    """Return one event of a stream; every server returns the same events."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def make_stream_body() -> bytes:
    """Return the complete body of a stream."""
    return b"".join(make_event(number) for number in range(1, EVENT_COUNT + 1))


@dataclass(frozen=True)
class _StreamShape:
    """Describe how a stream is framed, where its data stops and how its connection ends.

    `whole_events` is the number of events that are sent whole, None for all of them. With
    `has_partial_event`, the beginning of one more event follows.
    """

    framing: BodyFraming = BodyFraming.CHUNKED
    whole_events: int | None = None
    has_partial_event: bool = False
    end: Callable[[CallerConnection], None] = CallerConnection.end_stream

    def cut(self, events: list[bytes]) -> list[bytes]:
        """Return the data to send; a stream of fewer events is sent whole."""
        if self.whole_events is None or len(events) <= self.whole_events:
            return events
        sent = events[: self.whole_events]
        return [*sent, events[len(sent)][:_CUT_EVENT_BYTES]] if self.has_partial_event else sent


def _cut_in_event(framing: BodyFraming, end: Callable[[CallerConnection], None]) -> _StreamShape:
    return _StreamShape(framing, _CUT_EVENT_COUNT, True, end)


_STREAM_SHAPES = {
    ResponseMode.CUT_IN_EVENT: _cut_in_event(BodyFraming.CHUNKED, CallerConnection.abort),
    ResponseMode.LENGTH: _StreamShape(BodyFraming.LENGTH),
    ResponseMode.UNFRAMED: _StreamShape(BodyFraming.CONNECTION),
    ResponseMode.UNFRAMED_CLOSED_IN_EVENT: _cut_in_event(
        BodyFraming.CONNECTION, CallerConnection.end_stream
    ),
    ResponseMode.UNFRAMED_CLOSED_EMPTY: _StreamShape(BodyFraming.CONNECTION, whole_events=0),
    ResponseMode.UNFRAMED_RESET: _StreamShape(
        BodyFraming.CONNECTION, _CUT_EVENT_COUNT, end=CallerConnection.abort
    ),
    ResponseMode.CHUNKED_ENDS_IN_EVENT: _cut_in_event(
        BodyFraming.CHUNKED, CallerConnection.end_stream
    ),
    ResponseMode.LENGTH_ENDS_IN_EVENT: _cut_in_event(
        BodyFraming.LENGTH, CallerConnection.end_stream
    ),
    ResponseMode.LENGTH_CUT_IN_EVENT: _cut_in_event(BodyFraming.LENGTH, CallerConnection.abort),
}


@dataclass
class ServerStandIn:
    """Hold the requests a server received and executed, and its next responses."""

    incarnation: str
    next_modes: list[ResponseMode] = field(default_factory=list)
    # Additional headers of every response, such as the load and limit that a server reports.
    extra_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    # A request with this body crashes the server when execution begins, and calls `on_crash`.
    crash_body: bytes = b""
    # A request crashes the server as its answer begins if its prompt shares a part that begins so.
    crash_part: bytes = b""
    crash_point: CrashPoint = CrashPoint.BEFORE_HEAD
    on_crash: Callable[[], None] = lambda: None
    # ID of the request that caused the last crash, if one did.
    crashed_by: str = ""
    # Additional lines of each event, such as the version of a model's weights.
    event_prefix: bytes = b""
    # Delay before each event of a stream and before a plain response.
    response_delay_s: float = 0.0
    received: list[CallerRequest] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    request_received: asyncio.Event = field(default_factory=asyncio.Event)
    handler_cancelled: asyncio.Event = field(default_factory=asyncio.Event)
    _open_connections: set[CallerConnection] = field(default_factory=set)

    async def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        self._open_connections.add(caller)
        try:
            await self._answer(caller, request)
        finally:
            self._open_connections.discard(caller)

    def cut_answers(self) -> None:
        """Abort every open connection."""
        for caller in list(self._open_connections):
            caller.abort()

    def crash(self, *, closed_in_order: CallerConnection | None = None) -> None:
        """Abort every open connection, except one closed in order, and call `on_crash`."""
        for caller in list(self._open_connections):
            if caller is not closed_in_order:
                caller.abort()
        self.on_crash()

    async def _crash_at_answer(
        self,
        caller: CallerConnection,
        response_headers: list[tuple[bytes, bytes]],
        request_id: str,
    ) -> None:
        """Begin an answer as far as `crash_point` says, then crash."""
        if self.crash_point is CrashPoint.AFTER_EVENT_IN_ORDER:
            caller.begin_body(200, [*response_headers, _EVENT_STREAM])
            await caller.send_piece(make_event(1))
            caller.end_stream()
            self.crashed_by = request_id
            self.crash(closed_in_order=caller)
            return
        if self.crash_point is CrashPoint.AFTER_HEAD:
            caller.begin_body(200, [*response_headers, _EVENT_STREAM, _CHUNKED])
            # The head leaves the server before its connections are reset.
            await asyncio.sleep(0)
        self.crashed_by = request_id
        self.crash()

    async def _answer(self, caller: CallerConnection, request: CallerRequest) -> None:
        self.received.append(request)
        self.request_received.set()
        mode = self.next_modes.pop(0) if self.next_modes else ResponseMode.NORMAL
        request_id = (request.get(b"x-request-id") or b"").decode()
        if request.get(b"x-expect-instance") != self.incarnation.encode():
            mode = ResponseMode.OTHER_SERVER
        response_headers = [
            (b"x-request-id", request_id.encode()),
            (b"x-response-seal", b"seal"),
            *self.extra_headers,
        ]
        if mode is ResponseMode.OTHER_SERVER:
            instance_header = (b"x-instance-id", self.incarnation.encode())
            caller.send_response(421, [instance_header, *self.extra_headers], b"")
            return
        if mode in (ResponseMode.REFUSE, ResponseMode.REFUSE_BROKEN):
            refusal_headers = [(b"x-not-executed", b"1"), *self.extra_headers]
            if mode is ResponseMode.REFUSE_BROKEN:
                refusal_headers.append((b"at-server", b"another"))
            caller.send_response(503, refusal_headers, b"")
            return
        self.runs.append(request_id)
        if self.crash_body and request.body == self.crash_body:
            self.crashed_by = request_id
            self.crash()
            return
        if self.crash_part and any(
            part.startswith(self.crash_part) for part in list_shared_parts(request)
        ):
            await self._crash_at_answer(caller, response_headers, request_id)
            return
        if mode is ResponseMode.HANG:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.append(request_id)
                self.handler_cancelled.set()
        if mode is ResponseMode.CUT_UNANSWERED:
            caller.abort()
        elif mode is ResponseMode.ERROR:
            caller.send_response(500, response_headers, b"failed")
        elif b"stream" in request.target and mode is not ResponseMode.NO_STREAM:
            await self._stream(caller, request, response_headers, mode)
        else:
            await self._answer_plain(caller, response_headers, mode)

    async def _answer_plain(
        self,
        caller: CallerConnection,
        response_headers: list[tuple[bytes, bytes]],
        mode: ResponseMode,
    ) -> None:
        await asyncio.sleep(self.response_delay_s)
        if mode is ResponseMode.OTHERS_ANSWER_FIRST:
            other = [(b"x-request-id", b"other"), (b"x-response-seal", b"other")]
            caller.send_response(200, other, b"another caller's")
        if mode is ResponseMode.OTHERS_REFUSAL_FIRST:
            refusal_headers = [
                (b"x-request-id", b"other"),
                (b"x-not-executed", b"1"),
                *self.extra_headers,
            ]
            caller.send_response(503, refusal_headers, b"")
            response_headers = response_headers[:2]
        if mode is ResponseMode.CUT_BODY:
            caller.begin_body(200, [*response_headers, (b"content-length", b"100")])
            await caller.send_piece(b"half")
            caller.abort()
            return
        if mode in (ResponseMode.UNFRAMED, ResponseMode.UNFRAMED_RESET):
            caller.begin_body(200, response_headers)
            await caller.send_piece(b"whole answer" if mode is ResponseMode.UNFRAMED else b"half")
            if mode is ResponseMode.UNFRAMED:
                caller.end_stream()
            else:
                caller.abort()
            return
        if mode is ResponseMode.STREAM_ENDS_IN_EVENT:
            caller.send_response(200, [*response_headers, _EVENT_STREAM], make_event(1)[:-1])
            return
        if mode is ResponseMode.NO_STREAM:
            response_headers = [*response_headers, (b"content-type", b"application/json")]
        caller.send_response(200, response_headers, b"whole answer")
        if mode is ResponseMode.SURPLUS:
            caller.send_response(200, response_headers, b"once more")

    async def _stream(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        response_headers: list[tuple[bytes, bytes]],
        mode: ResponseMode,
    ) -> None:
        first_number = int(request.get(b"last-event-id") or b"0") + 1
        response_headers = [*response_headers, _EVENT_STREAM]
        numbers = range(first_number, EVENT_COUNT + 1)
        events = [self.event_prefix + make_event(number) for number in numbers]
        shape = _STREAM_SHAPES.get(mode, _StreamShape())
        sent = shape.cut(events)
        if shape.framing is BodyFraming.CHUNKED:
            response_headers.append(_CHUNKED)
        elif shape.framing is BodyFraming.LENGTH:
            is_length_reached = shape.end is CallerConnection.end_stream
            length = sum(map(len, sent if is_length_reached else events))
            response_headers.append((b"content-length", str(length).encode()))
        caller.begin_body(200, response_headers)
        for piece in sent:
            await asyncio.sleep(self.response_delay_s)
            await caller.send_piece(piece)
        if sent == events:
            caller.end_stream()
        else:
            shape.end(caller)
