"""Write one line of key=value pairs per event to standard output.

Lines are rate-limited and written without blocking on the reader; dropped lines are counted, and a
separate line reports their number. Warnings and errors have their own rate limit, so that lines of
lower levels never displace them.
"""

from __future__ import annotations

import fcntl
import logging
import os
import re
import stat
import sys
import time
from dataclasses import dataclass

from dalehollow.clock import read_clock

LEVELS = ("debug", "info", "warning", "error")
DEFAULT_LINES_PER_S = 200
"""Enough for the decisions of a busy process; writing a line takes about 30 microseconds."""
_BURST_S = 2.0
_WARNING_SHARE = 0.5
_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")


def setup_logs(
    name: str, level: str = "info", lines_per_s: int = DEFAULT_LINES_PER_S, fd: int | None = None
) -> LineWriter:
    """Send all log lines to `fd`, by default standard output; each has the time and `name`."""
    handler = LineWriter(name, sys.stdout.fileno() if fd is None else fd, lines_per_s)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    return handler


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, /, **pairs: object
) -> None:
    """Log one event."""
    if logger.isEnabledFor(level):
        logger.log(
            level, "event=%s%s", event, "".join(f" {k}={_quote(v)}" for k, v in pairs.items())
        )


@dataclass
class _TokenBucket:
    """Limit the rate of lines by a token bucket."""

    lines_per_s: float
    lines: float = 0.0
    filled_at_s: float = float("-inf")

    def take(self, now_s: float) -> bool:
        max_lines = max(1.0, self.lines_per_s * _BURST_S)
        self.lines = min(max_lines, self.lines + (now_s - self.filled_at_s) * self.lines_per_s)
        self.filled_at_s = now_s
        if self.lines < 1:
            return False
        self.lines -= 1
        return True


class LineWriter(logging.Handler):
    """Write lines to a file descriptor, within the rate limits."""

    def __init__(self, name: str, fd: int, lines_per_s: float) -> None:
        """Set a pipe or socket to non-blocking, so that a full one does not block the process."""
        super().__init__()
        self.setFormatter(_KeyValueFormatter(name))
        self._fd = fd
        self._rest = b""
        self.left_out = 0
        self._unreported = 0
        self.set_rate(lines_per_s)
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            fcntl.fcntl(fd, fcntl.F_SETFL, fcntl.fcntl(fd, fcntl.F_GETFL) | os.O_NONBLOCK)

    def set_rate(self, lines_per_s: float) -> None:
        """Change the maximum rate of lines."""
        self._ordinary_bucket = _TokenBucket(lines_per_s)
        self._warning_bucket = _TokenBucket(max(1.0, lines_per_s * _WARNING_SHARE))

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop and count it."""
        bucket = (
            self._warning_bucket if record.levelno >= logging.WARNING else self._ordinary_bucket
        )
        if not bucket.take(read_clock()) or not self._write(self.format(record)):
            self.left_out += 1
            self._unreported += 1
        elif self._unreported:
            unreported, self._unreported = self._unreported, 0
            left_out = logging.makeLogRecord(
                {"levelname": "WARNING", "msg": f"event=log_lines_left_out count={unreported}"}
            )
            if not self._write(self.format(left_out)):
                self._unreported += unreported

    def _write(self, line: str) -> bool:
        """Write a line after the rest of an earlier one; return False if it cannot be written."""
        if self._rest and not self._write_bytes(self._rest):
            return False
        return self._write_bytes(f"{line}\n".encode(errors="replace"))

    def _write_bytes(self, data: bytes) -> bool:
        """Write as much as possible; the rest of a partial line is written before the next one."""
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; the process continues without logs.
            return False
        self._rest = data[written:]
        return True


def _quote(value: object) -> str:
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    escaped = (
        text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    )
    return f'"{escaped}"'


class _KeyValueFormatter(logging.Formatter):
    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        head = f"time={stamp}.{int(record.msecs):03d}Z level={record.levelname.lower()}"
        line = f"{head} process={self._name} {record.getMessage()}"
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            line += f" trace={_quote(trace)}"
        return line
