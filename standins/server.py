"""Stand in for the users' servers: plain answers and streams of events, with faults on command.

Each request takes the next of the `ways` given, or answers well. It speaks the published protocol
in the caller's event loop, and keeps what it ran.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from dalehollow.aio import CallerConnection, CallerRequest

EVENTS = 6


class Way(enum.StrEnum):
    """Name the ways in which a server may answer."""

    WELL = "well"
    ERROR = "error"
    REFUSE = "refuse"
    REFUSE_BROKEN = "refuse_broken"
    OTHER_SERVER = "other_server"
    CUT_UNANSWERED = "cut_unanswered"
    CUT_IN_EVENT = "cut_in_event"
    CUT_BODY = "cut_body"
    OTHERS_ANSWER_FIRST = "others_answer_first"
    OTHERS_REFUSAL_FIRST = "others_refusal_first"
    SURPLUS = "surplus"
    HANG = "hang"


def make_event(number: int) -> bytes:
    """Return one event of a stream, the same at every server."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def whole_stream() -> bytes:
    """Return what a caller of a stream must get."""
    return b"".join(make_event(number) for number in range(1, EVENTS + 1))


@dataclass
class ServerStandIn:
    """Hold what a server ran and how it answers next."""

    incarnation: str
    ways: list[Way] = field(default_factory=list)
    # Headers of all its answers, for what it says of itself.
    says: list[tuple[bytes, bytes]] = field(default_factory=list)
    # The body of requests that crash whoever begins to run them, and what is called then.
    crashed_by: bytes = b""
    on_crash: Callable[[], None] = lambda: None
    # Pause before each event of a stream, and before a plain answer.
    pace_s: float = 0.0
    seen: list[CallerRequest] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    reached: asyncio.Event = field(default_factory=asyncio.Event)
    left: asyncio.Event = field(default_factory=asyncio.Event)
    _in_hand: set[CallerConnection] = field(default_factory=set)

    async def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        self._in_hand.add(caller)
        try:
            await self._answer(caller, request)
        finally:
            self._in_hand.discard(caller)

    def crash(self) -> None:
        """Cut off all that is in hand; whoever starts it again is told."""
        for caller in list(self._in_hand):
            caller.abort()
        self.on_crash()

    async def _answer(self, caller: CallerConnection, request: CallerRequest) -> None:
        self.seen.append(request)
        self.reached.set()
        way = self.ways.pop(0) if self.ways else Way.WELL
        request_id = (request.get(b"x-request-id") or b"").decode()
        if request.get(b"x-expect-instance") != self.incarnation.encode():
            way = Way.OTHER_SERVER
        head = [(b"x-request-id", request_id.encode()), (b"x-response-seal", b"seal"), *self.says]
        if way is Way.OTHER_SERVER:
            named = (b"x-instance-id", self.incarnation.encode())
            caller.send_response(421, [named, *self.says], b"")
            return
        if way in (Way.REFUSE, Way.REFUSE_BROKEN):
            refused = [(b"x-not-executed", b"1"), *self.says]
            if way is Way.REFUSE_BROKEN:
                refused.append((b"at-server", b"another"))
            caller.send_response(503, refused, b"")
            return
        self.runs.append(request_id)
        if self.crashed_by and request.body == self.crashed_by:
            self.crash()
            return
        if way is Way.HANG:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.append(request_id)
                self.left.set()
        if way is Way.CUT_UNANSWERED:
            caller.abort()
        elif way is Way.ERROR:
            caller.send_response(500, head, b"failed")
        elif b"stream" in request.target:
            await self._stream(caller, request, head, way)
        else:
            await self._answer_plain(caller, head, way)

    async def _answer_plain(
        self, caller: CallerConnection, head: list[tuple[bytes, bytes]], way: Way
    ) -> None:
        await asyncio.sleep(self.pace_s)
        if way is Way.OTHERS_ANSWER_FIRST:
            other = [(b"x-request-id", b"other"), (b"x-response-seal", b"other")]
            caller.send_response(200, other, b"another caller's")
        if way is Way.OTHERS_REFUSAL_FIRST:
            refused = [(b"x-request-id", b"other"), (b"x-not-executed", b"1"), *self.says]
            caller.send_response(503, refused, b"")
            head = head[:2]
        if way is Way.CUT_BODY:
            caller.begin_stream(200, head, length=100)
            await caller.send_piece(b"half")
            caller.abort()
            return
        caller.send_response(200, head, b"whole answer")
        if way is Way.SURPLUS:
            caller.send_response(200, head, b"once more")

    async def _stream(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        head: list[tuple[bytes, bytes]],
        way: Way,
    ) -> None:
        first = int(request.get(b"last-event-id") or b"0") + 1
        head = [*head, (b"content-type", b"text/event-stream")]
        caller.begin_stream(200, head, length=None)
        for number in range(first, EVENTS + 1):
            if way is Way.CUT_IN_EVENT and number == first + 2:
                await caller.send_piece(make_event(number)[:9])
                caller.abort()
                return
            await asyncio.sleep(self.pace_s)
            await caller.send_piece(make_event(number))
        caller.end_stream()
