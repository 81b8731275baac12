"""Write one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import re
import sys
import time

LEVELS = ("debug", "info", "warning", "error")
_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")


def setup_logs(name: str, level: str = "info") -> None:
    """Send all log lines to standard error, each begun with the time and the process's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_KeyValueFormatter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, /, **pairs: object
) -> None:
    """Log one event."""
    if logger.isEnabledFor(level):
        logger.log(
            level, "event=%s%s", event, "".join(f" {k}={_quote(v)}" for k, v in pairs.items())
        )


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
        return f"{head} process={self._name} {record.getMessage()}"
