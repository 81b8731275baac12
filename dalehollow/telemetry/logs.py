"""Write one line of key=value pairs for each event, to standard output.

Lines are bounded in number and written without ever waiting for a reader: what finds no room is
left out and counted in a line of its own. Warnings and errors have room of their own, so that
ordinary lines never displace them.
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
"""Room for a busy process's decisions; a line costs some 30 microseconds to write."""
_BURST_S = 2.0
_WARNING_SHARE = 0.5
_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")


def setup_logs(
    name: str, level: str = "info", lines_per_s: int = DEFAULT_LINES_PER_S, fd: int | None = None
) -> LineWriter:
    """Send all log lines to standard output, each begun with the time and the process's name."""
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
class _Room:
    """Hold how many lines may be written now."""

    lines_per_s: float
    lines: float = 0.0
    filled_at_s: float = float("-inf")

    def take(self, now_s: float) -> bool:
        most = max(1.0, self.lines_per_s * _BURST_S)
        self.lines = min(most, self.lines + (now_s - self.filled_at_s) * self.lines_per_s)
        self.filled_at_s = now_s
        if self.lines < 1:
            return False
        self.lines -= 1
        return True


class LineWriter(logging.Handler):
    """Write lines to a descriptor, as many as there is room for."""

    def __init__(self, name: str, fd: int, lines_per_s: float) -> None:
        """Prepare; a pipe or socket is set so that a full one does not hold the process up."""
        super().__init__()
        self.setFormatter(_KeyValueFormatter(name))
        self._fd = fd
        self._rest = b""
        self.left_out = 0
        self._untold = 0
        self.resize(lines_per_s)
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            fcntl.fcntl(fd, fcntl.F_SETFL, fcntl.fcntl(fd, fcntl.F_GETFL) | os.O_NONBLOCK)

    def resize(self, lines_per_s: float) -> None:
        """Change how many lines a second are written."""
        self._ordinary = _Room(lines_per_s)
        self._warnings = _Room(max(1.0, lines_per_s * _WARNING_SHARE))

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as left out."""
        room = self._warnings if record.levelno >= logging.WARNING else self._ordinary
        if not room.take(read_clock()) or not self._write(self.format(record)):
            self.left_out += 1
            self._untold += 1
        elif self._untold:
            untold, self._untold = self._untold, 0
            left_out = logging.makeLogRecord(
                {"levelname": "WARNING", "msg": f"event=log_lines_left_out count={untold}"}
            )
            if not self._write(self.format(left_out)):
                self._untold += untold

    def _write(self, line: str) -> bool:
        """Write a line after the rest of an earlier one; return False if nobody reads."""
        if self._rest and not self._write_bytes(self._rest):
            return False
        return self._write_bytes(f"{line}\n".encode(errors="replace"))

    def _write_bytes(self, data: bytes) -> bool:
        """Write what goes; a line that was begun is ended before the next one."""
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody is there to read any more; the process serves on.
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
