"""Test that log lines are rate-limited, never block, and can be combined into a trace."""

from __future__ import annotations

import logging
import os

import pytest

from dalehollow.telemetry import logs
from dalehollow.telemetry.logs import LineWriter, log_event
from dalehollow.telemetry.trace import collect_trace, explain_end, parse_line


def _record(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("x", level, "", 0, text, None, None)


@pytest.fixture
def pipe() -> tuple[int, int]:
    return os.pipe()


def test_full_pipe_does_not_block(pipe: tuple[int, int]) -> None:
    reader, writer_fd = pipe
    writer = LineWriter("gw", writer_fd, lines_per_s=1e9)
    for _ in range(5000):
        writer.emit(_record("event=filler text=" + "x" * 100))
    assert writer.left_out > 0
    left_out = writer.left_out
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        writer.emit(_record("event=after"))
        if b"event=after" in data:
            break
    lines = data.decode().splitlines()
    assert all(line.startswith("time=") for line in lines)
    assert any(f"event=log_lines_left_out count={left_out}" in line for line in lines)


def test_lines_are_limited_and_warnings_have_their_own_limit(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    reader, writer_fd = pipe
    monkeypatch.setattr(logs.time, "monotonic", lambda: 5.0)
    writer = LineWriter("gw", writer_fd, lines_per_s=10)
    for _ in range(100):
        writer.emit(_record("event=usual"))
    writer.emit(_record("event=alarm", logging.WARNING))
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert sum("event=usual" in line for line in lines) == 20
    assert sum("event=alarm" in line for line in lines) == 1
    assert any("event=log_lines_left_out count=80" in line for line in lines)


def test_closed_reader_is_ignored(pipe: tuple[int, int]) -> None:
    reader, writer_fd = pipe
    os.close(reader)
    LineWriter("gw", writer_fd, lines_per_s=10).emit(_record("event=unread"))


def test_quoted_values_can_be_parsed(pipe: tuple[int, int]) -> None:
    reader, writer_fd = pipe
    logger = logging.Logger("test")
    logger.addHandler(LineWriter("gw", writer_fd, lines_per_s=10))
    log_event(logger, "request_failed", request="r1", reason='a "b"\nc=d', tried="")
    line = parse_line(os.read(reader, 1 << 16).decode())
    assert line is not None
    assert line.pairs["reason"] == 'a "b"\\nc=d'
    assert line.pairs["process"] == "gw"


LINES = [
    "time=2026-01-01T00:00:02.000Z level=info process=gw-2 event=request_failed request=r1 "
    "status=503 reason=no_place_in_time",
    "time=2026-01-01T00:00:01.000Z level=info process=gw-1 event=request_refused request=r1 "
    "status=503 reason=group_broken",
    "time=2026-01-01T00:00:01.500Z level=info process=gw-1 event=request_done request=r11 "
    "status=200",
    "no log line at all r1",
]


def test_trace_combines_lines_of_several_processes() -> None:
    trace = collect_trace("r1", LINES)
    assert [line.pairs["process"] for line in trace] == ["gw-1", "gw-2"]
    assert "status 503" in explain_end(trace)
    assert "expected wait was too long" in explain_end(trace)


def test_trace_without_lines_is_explained() -> None:
    assert "no line" in explain_end(collect_trace("r9", LINES))
