"""Join what several processes logged of one request, and say in a sentence how it ended."""

from __future__ import annotations

import shlex
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

_REQUEST_FIELD = "request"

CAUSES: Mapping[str, str] = {
    "no_configuration": "the process had not learned any configuration yet",
    "unknown_route": "no route of the configuration in force matches the host and path",
    "unknown_key": "the key belongs to no client account of the configuration in force",
    "stopping": "the process was stopping and could not have finished it",
    "group_broken": "the rank group was broken: a rank was dead or cut off",
    "no_upstream": "no upstream of the service was listed as staying",
    "no_place": "every slot was taken and none became free while it waited",
    "no_place_in_time": "every slot was taken and the expected wait was too long",
    "too_long_now": "at the pace of that moment its answer would not have ended in its time",
    "no_try_left": "the tries that the route and the retry budget allow were used up",
    "timeout": "the route's time or the caller's was over while an upstream had it",
    "timeout_not_run": "the route's time or the caller's was over before an upstream had it",
}


@dataclass(frozen=True)
class LogLine:
    """Hold one line's pairs, among them `time`, `process` and `event`."""

    pairs: Mapping[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Read one log line; None for a line that is none."""
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
    """Return the lines about one request, in order of time."""
    found = []
    for text in lines:
        # Most lines are about other requests: a plain search is much faster than parsing.
        line = parse_line(text) if request_id in text else None
        if line is not None and line.pairs.get(_REQUEST_FIELD) == request_id:
            found.append(line)
    return sorted(found, key=lambda line: line.pairs["time"])


def explain_end(trace: list[LogLine]) -> str:
    """Say in a sentence how a request ended and why."""
    if not trace:
        return "no line tells of this request: it was ordinary and not sampled, or left out"
    last = trace[-1].pairs
    reason = last.get("reason", "")
    why = CAUSES.get(reason, reason or "no reason is given")
    what = {
        "request_refused": f"it was refused with status {last.get('status')} and has not run",
        "request_failed": f"it ended with status {last.get('status')}",
        "answer_cut": "its answer was cut after it had begun",
        "request_done": f"it was answered with status {last.get('status')}",
        "caller_left": "its caller left before the answer was whole",
    }.get(last["event"], f"the last that is known is {last['event']}")
    return f"{what}: {why}" if last["event"] not in ("request_done", "caller_left") else what
