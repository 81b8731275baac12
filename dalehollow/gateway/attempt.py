"""Send a request to one upstream and read the head of the answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from dalehollow.aio import ClientConnection, ConnectError, ResponseError, ResponseHead, connect
from dalehollow.gateway.admit import Job
from dalehollow.gateway.headers import HOP_HEADERS, HeaderNames
from dalehollow.gateway.signals import Signals, read_signals
from dalehollow.gateway.upstream import Move, Upstream

_MS_PER_S = 1000
_MISDIRECTED_STATUS = 421


@dataclass(frozen=True)
class Answered:
    """Hold the answer of an upstream that executed the request, with its body yet unread."""

    connection: ClientConnection
    head: ResponseHead
    signals: Signals


@dataclass(frozen=True)
class NotRun:
    """Describe why a request is known not to have been executed.

    `is_port_closed` is set if nothing listened on the upstream's port, `is_group_broken` if the
    upstream refused because of a failed rank of its group, `is_own_failure` if this process could
    not open a connection to any upstream. `signals` is None unless the upstream itself answered.
    """

    reason: str
    is_unreachable: bool = False
    is_port_closed: bool = False
    is_other_upstream: bool = False
    is_group_broken: bool = False
    is_own_failure: bool = False
    signals: Signals | None = None


@dataclass(frozen=True)
class MayHaveRun:
    """Describe why it is unknown whether a request was executed."""

    reason: str
    signals: None = None


AttemptResult = Answered | NotRun | MayHaveRun


def make_request_head(
    job: Job, upstream: Upstream, names: HeaderNames, resume_after: bytes | None, now_s: float
) -> bytes:
    """Return the caller's request head with hop-by-hop and gateway headers replaced."""
    request = job.request
    dropped = (
        HOP_HEADERS | names.list_overridden() | _named_in_connection(request.get(b"connection"))
    )
    if resume_after is not None:
        dropped |= {names.last_event_id}
    left_ms = max(1, round((job.deadline_s - now_s) * _MS_PER_S))
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [k + b": " + v for k, v in request.headers if k not in dropped]
    lines.append(names.time_left_ms + b": %d" % left_ms)
    lines.append(names.expected_incarnation + b": " + upstream.listed.incarnation.encode())
    lines.append(names.priority + b": %d" % job.priority)
    if job.account:
        lines.append(names.account + b": " + job.account.encode())
    if resume_after is not None:
        lines.append(names.last_event_id + b": " + resume_after)
    if request.body or request.get(b"content-length") or request.get(b"transfer-encoding"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def send_attempt(
    job: Job,
    upstream: Upstream,
    names: HeaderNames,
    *,
    resume_after: bytes | None,
    connect_timeout_s: float,
    move: Move,
) -> AttemptResult:
    """Send a request on a new connection and wait for the head of the answer.

    The connection is stored in `move` so that other tasks can abort the attempt.
    """
    try:
        connection = await connect(upstream.listed.address, connect_timeout_s)
    except ConnectError as exc:
        return NotRun(
            str(exc),
            is_unreachable=not exc.is_own_failure,
            is_port_closed=exc.is_refused,
            is_own_failure=exc.is_own_failure,
        )
    move.connection = connection
    loop = asyncio.get_running_loop()
    upstream.record_reached(loop.time())
    is_handed_over = False
    try:
        head_bytes = make_request_head(job, upstream, names, resume_after, loop.time())
        connection.send([head_bytes, job.request.body])
        head = await _read_own_head(connection, job, names)
        _record_load(upstream, head, names, loop.time())
        not_run = _read_not_run(head, names)
        if not_run is not None:
            return not_run
        is_handed_over = True
        return Answered(connection, head, read_signals(head, names))
    except ResponseError as exc:
        return MayHaveRun(str(exc))
    finally:
        if not is_handed_over:
            connection.abort()


async def _read_own_head(
    connection: ClientConnection, job: Job, names: HeaderNames
) -> ResponseHead:
    """Return the head of the answer to this request, skipping answers with another request ID."""
    while True:
        head = await connection.read_head()
        answered_id = head.get(names.request_id)
        if answered_id is None or answered_id == job.request_id:
            return head


def _read_not_run(head: ResponseHead, names: HeaderNames) -> NotRun | None:
    if head.status == _MISDIRECTED_STATUS:
        return NotRun("another_upstream", is_other_upstream=True)
    if head.get(names.not_run) is None:
        return None
    is_broken = head.get(names.faulty_upstream) is not None
    signals = read_signals(head, names)
    return NotRun(f"refused_{head.status}", is_group_broken=is_broken, signals=signals)


def _record_load(upstream: Upstream, head: ResponseHead, names: HeaderNames, now_s: float) -> None:
    value = head.get(names.load)
    parts = value.split(b",") if value else []
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        upstream.record_reported_load(int(parts[0]) + int(parts[1]), now_s)


def _named_in_connection(value: bytes | None) -> frozenset[bytes]:
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))
