"""Read the fields of a configuration file and collect all errors with their lines."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

REQUIRED = object()


@dataclass(frozen=True)
class ConfigIssue:
    """Describe one error: its location, the given value and the allowed values."""

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Format the error as one line of text."""
        return f"line {self.line}: {self.path or 'file'}: {self.message}"


class IssueCollector:
    """Collect errors while values are read."""

    def __init__(self, lines: Mapping[str, int]) -> None:
        self._lines = lines
        self.issues: list[ConfigIssue] = []

    def report(self, path: str, message: str) -> None:
        """Record an error at a path."""
        self.issues.append(ConfigIssue(self._line_of(path), path, message))

    def _line_of(self, path: str) -> int:
        while path not in self._lines and path:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self._lines.get(path, 1)


class Fields:
    """Read the fields of one object and report unknown, missing and invalid ones."""

    def __init__(self, collector: IssueCollector, path: str, raw: Any) -> None:
        self.path = path
        self.collector = collector
        self._raw: dict[str, Any] = raw if isinstance(raw, dict) else {}
        self._seen: set[str] = set()
        if not isinstance(raw, dict):
            collector.report(path, f"is {raw!r}, must be an object")

    def report(self, name: str, message: str) -> None:
        """Record an error at a field."""
        self.collector.report(f"{self.path}.{name}" if self.path else name, message)

    def read_raw(self, name: str, default: Any = REQUIRED) -> Any:
        """Return the raw value of a field, or its default."""
        self._seen.add(name)
        if name in self._raw:
            return self._raw[name]
        if default is REQUIRED:
            self.report(name, "is missing")
            return None
        return default

    def read_number(self, name: str, low: float, high: float, default: Any = REQUIRED) -> Any:
        """Return a number within bounds."""
        value = self.read_raw(name, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if value is not None and not (is_number and low <= value <= high):
            self.report(name, f"is {value!r}, must be a number from {low} to {high}")
            return low
        return low if value is None else value

    def read_int(self, name: str, low: int, high: int, default: Any = REQUIRED) -> int:
        """Return an integer within bounds."""
        value = self.read_number(name, low, high, default)
        if isinstance(value, float):
            self.report(name, f"is {value!r}, must be an integer")
        return int(value)

    def read_choice(self, name: str, choices: Sequence[str], default: Any = REQUIRED) -> str:
        """Return one of the choices."""
        value = self.read_raw(name, default)
        if value is not None and value not in choices:
            self.report(name, f"is {value!r}, must be one of {', '.join(choices)}")
            return choices[0]
        return value or choices[0]

    def read_text(self, name: str, pattern: re.Pattern[str], meaning: str) -> str:
        """Return text that matches a pattern; `meaning` describes the pattern in words."""
        value = self.read_raw(name)
        if value is not None and not (isinstance(value, str) and pattern.fullmatch(value)):
            self.report(name, f"is {value!r}, must be {meaning}")
            return ""
        return value or ""

    def read_names(
        self, name: str, known: Mapping[str, Any] | None, default: Any = REQUIRED
    ) -> Any:
        """Return a list of distinct names, all in `known` if it is given."""
        value = self.read_raw(name, default)
        if value is None:
            return ()
        if not isinstance(value, list | tuple) or not all(isinstance(v, str) for v in value):
            self.report(name, f"is {value!r}, must be a list of names")
            return ()
        for idx, item in enumerate(value):
            if known is not None and item not in known:
                self.report(f"{name}[{idx}]", f"is {item!r}, must be one of {list_names(known)}")
        if len(set(value)) != len(value):
            self.report(name, "contains duplicate names")
        return tuple(value)

    def report_unknown(self) -> None:
        """Report the fields that were not read."""
        for name in self._raw:
            if name not in self._seen:
                self.report(name, f"is unknown; choices: {', '.join(sorted(self._seen))}")


def list_names(known: Mapping[str, Any], limit: int = 12) -> str:
    """Return the first names in sorted order and, if shortened, their number."""
    read_names = sorted(known)
    return ", ".join(read_names[:limit]) + (
        f" … ({len(read_names)} in all)" if len(read_names) > limit else ""
    )
