"""Find the line of each value in JSON with comments, for messages that point at it."""

from __future__ import annotations

import re

_TOKEN = re.compile(
    r"(?P<skip>\s+|//[^\n]*|/\*.*?\*/)"
    r"|(?P<string>\"(?:\\.|[^\"\\])*\"|'(?:\\.|[^'\\])*')"
    r"|(?P<mark>[{}\[\]:,])"
    r"|(?P<word>[^\s{}\[\]:,\"'/]+|/)",
    re.DOTALL,
)


def find_lines(text: str) -> dict[str, int]:
    """Map each value's path, such as `services.gate.upstreams[0]`, to its line."""
    lines: dict[str, int] = {"": 1}
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
                lines.setdefault(_join(stack), line)
        elif kind in ("string", "word"):
            key = token.strip("\"'")
            if stack and not in_object[-1]:
                lines.setdefault(_join(stack), line)
        line += token.count("\n")
    return lines


def _join(stack: list[str | int]) -> str:
    path = ""
    for part in stack:
        if isinstance(part, int):
            path += f"[{part}]"
        elif part:
            path += f".{part}" if path else part
    return path
