"""Parse JSON with comments and locate the line of each value for error messages."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

import pyjson5

_TOKEN = re.compile(
    r"(?P<skip>\s+|//[^\n]*|/\*.*?\*/)"
    r"|(?P<string>\"(?:\\.|[^\"\\])*\"|'(?:\\.|[^'\\])*')"
    r"|(?P<mark>[{}\[\]:,])"
    r"|(?P<word>[^\s{}\[\]:,\"'/]+|/)",
    re.DOTALL,
)


_POSITION = re.compile(r"near (\d+)")


class JsoncError(ValueError):
    """Report invalid JSON with comments and the line of the error, counted from 1."""

    def __init__(self, line: int, message: str) -> None:
        """Store the message and the line."""
        super().__init__(message)
        self.line = line


@dataclass
class LineIndex:
    """Map the path of each value, such as `services.gate.upstreams[0]`, to its line.

    `repeated` holds the path and line of each key that occurs again in the same object.
    """

    by_path: dict[str, int] = field(default_factory=lambda: {"": 1})
    repeated: list[tuple[str, int]] = field(default_factory=list)


def parse_jsonc(text: str) -> tuple[Any, LineIndex]:
    """Parse a text; raise JsoncError if it is invalid or an object has a duplicate key."""
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as exc:
        message = str(exc.args[0]).replace("b'", "'")
        raise JsoncError(_find_line(text, message), message) from exc
    lines = find_lines(text)
    if lines.repeated:
        path, line = lines.repeated[0]
        raise JsoncError(line, f"{path!r} is given twice")
    return value, lines


def _find_line(text: str, message: str) -> int:
    position = _POSITION.search(message)
    return text.count("\n", 0, int(position.group(1))) + 1 if position else 1


def find_lines(text: str) -> LineIndex:
    """Locate the lines of all values and duplicate keys in a valid text."""
    found = LineIndex()
    lines = found.by_path
    stack: list[str | int] = []
    in_object: list[bool] = []
    key: str | None = None
    line = 1
    for match in _TOKEN.finditer(text):
        kind, token = match.lastgroup, match.group()
        if kind == "mark":
            if token in "{[":
                lines.setdefault(_join(stack), line)
                in_object.append(token == "{")
                stack.append("" if token == "{" else 0)
                key = None
            elif token in "}]" and stack:
                stack.pop()
                in_object.pop()
            elif token == "," and stack and not in_object[-1]:
                stack[-1] = int(stack[-1]) + 1
            elif token == ":" and key is not None and stack:
                stack[-1] = key
                path = _join(stack)
                if path in lines:
                    found.repeated.append((path, line))
                lines.setdefault(path, line)
        elif kind in ("string", "word"):
            key = token.strip("\"'")
            if stack and not in_object[-1]:
                lines.setdefault(_join(stack), line)
        line += token.count("\n")
    return found


def _join(stack: list[str | int]) -> str:
    path = ""
    for part in stack:
        if isinstance(part, int):
            path += f"[{part}]"
        elif part:
            path += f".{part}" if path else part
    return path
