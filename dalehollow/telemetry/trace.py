"""Collect the log lines of several processes about one request and explain how it ended."""

from __future__ import annotations

import shlex
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

_REQUEST_FIELD = "request"

CAUSES: Mapping[str, str] = {
    "no_configuration": "the process had not received any configuration yet",
    "unknown_route": "no route of the active configuration matches the host and path",
    "unknown_key": "the key belongs to no client account of the active configuration",
    "stopping": "the process was stopping and could not have finished the request",
    "group_broken": "the rank group was broken: a rank was dead or unreachable",
    "no_upstream": "every listed upstream of the service was leaving, or none was listed",
    "no_place": "every slot was in use and none became free while the request waited",
    "no_place_in_time": "every slot was in use and the expected wait was too long",
    "too_long_now": "at the speed at that time its response would have missed the deadline",
    "no_try_left": "the attempts that the route and the retry budget allow were used up",
    "timeout": "the time-out of the route or the caller expired while an upstream had the request",
    "timeout_not_run": "the time-out of the route or the caller expired before an upstream had it",
}


@dataclass(frozen=True)
class LogLine:
    """Hold the key=value pairs of one line, including `time`, `process` and `event`."""

    pairs: Mapping[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Parse one line; return None if it is not a log line of this system."""
    start = text.find("time=")
    if start < 0:
        return None
    try:
        words = shlex.split(text[start:])
    except ValueError:
        return None
    pairs = dict(word.split("=", 1) for word in words if "=" in word)
    return LogLine(pairs, text[start:].rstrip()) if "event" in pairs else None


def collect_trace(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines about one request, ordered by time."""
    found = []
    for text in lines:
        # Most lines are about other requests, and a substring search is much faster than parsing.
        line = parse_line(text) if request_id in text else None
        if line is not None and line.pairs.get(_REQUEST_FIELD) == request_id:
            found.append(line)
    return sorted(found, key=lambda line: line.pairs["time"])


def explain_end(trace: list[LogLine]) -> str:
    """Return a sentence that says how a request ended and why."""
    if not trace:
        return (
            "no line names this request: it was ordinary and not sampled, or its lines were dropped"
        )
    last = trace[-1].pairs
    reason = last.get("reason", "")
    why = CAUSES.get(reason, reason or "no reason is given")
    what = {
        "request_refused": f"it was refused with status {last.get('status')} and did not run",
        "request_failed": f"it ended with status {last.get('status')}",
        "answer_cut": "its response was cut off after it had begun",
        "request_done": f"it was answered with status {last.get('status')}",
        "caller_left": "its caller disconnected before the response was complete",
    }.get(last["event"], f"its last known event is {last['event']}")
    return f"{what}: {why}" if last["event"] not in ("request_done", "caller_left") else what
