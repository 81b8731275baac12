"""Read settings in JSON with comments and validate the types of value that all roles use."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from dalehollow.errors import SettingsError
from dalehollow.jsonc import JsoncError, parse_jsonc

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")

FindMistakes = Callable[[Mapping[str, Any]], list[str]]


def read_settings_text(path: str) -> str:
    """Return the content of a settings file; raise SettingsError if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"settings file {path!r} cannot be read: {exc.strerror}") from exc


def parse_settings_text(text: str, find_mistakes: FindMistakes) -> dict[str, Any]:
    """Parse settings; raise SettingsError with every error that `find_mistakes` returns."""
    try:
        raw, _ = parse_jsonc(text)
    except JsoncError as exc:
        message = f"settings are not JSON with comments, line {exc.line}: {exc}"
        raise SettingsError(message) from exc
    if not isinstance(raw, dict):
        raise SettingsError(f"settings are {raw!r}, must be an object")
    mistakes = find_mistakes(raw)
    if mistakes:
        raise SettingsError("; ".join(mistakes))
    return raw


def check_choice(name: str, value: Any, choices: tuple[str, ...]) -> list[str]:
    """Return an error message if a value is not one of the choices."""
    return [] if value in choices else [f"{name!r} is {value!r}, choices: {', '.join(choices)}"]


def check_address(name: str, value: Any) -> list[str]:
    """Return an error message if a value is not an IPv4 address and port."""
    return [] if is_address(value) else [f"{name!r} is {value!r}, must be like 127.0.0.1:80"]


def is_address(value: Any) -> bool:
    """Return whether a value is an IPv4 address and port."""
    return isinstance(value, str) and _ADDRESS.fullmatch(value) is not None
