"""Read settings in JSON with comments and validate the types of value that all roles use."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from dalehollow.errors import SettingsError
from dalehollow.jsonc import JsoncError, parse_jsonc

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_MS_PER_S = 1000
MAX_NUMBER = 2**53
"""Largest number in settings: up to it, JSON numbers hold every whole number exactly."""

Fields = Mapping[str, dataclasses.Field[Any]]
FindMistakes = Callable[[Mapping[str, Any]], list[str]]


def read_settings_text(path: str) -> str:
    """Return the content of a settings file; raise SettingsError if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"settings file {path!r} cannot be read: {exc.strerror}") from exc


def parse_settings_text(text: str, fields: Fields, find_mistakes: FindMistakes) -> dict[str, Any]:
    """Parse settings and convert their numbers to the units and types of the fields.

    A duration in milliseconds may be given in seconds instead, which need not be whole:
    `stop_grace_s` for `stop_grace_ms`. Raises SettingsError with every mistake, also those that
    `find_mistakes` returns.
    """
    try:
        raw, _ = parse_jsonc(text)
    except JsoncError as exc:
        message = f"settings are not JSON with comments, line {exc.line}: {exc}"
        raise SettingsError(message) from exc
    if not isinstance(raw, dict):
        raise SettingsError(f"settings are {raw!r}, must be an object")
    values, mistakes = _convert_seconds(raw, fields)
    mistakes += find_mistakes(values)
    if mistakes:
        raise SettingsError("; ".join(mistakes))
    return {name: _convert_whole(value, fields.get(name)) for name, value in values.items()}


def _convert_seconds(raw: Mapping[str, Any], fields: Fields) -> tuple[dict[str, Any], list[str]]:
    """Return the settings with all durations in milliseconds, and error messages."""
    values = dict(raw)
    mistakes: list[str] = []
    for name in fields:
        name_in_s = name.removesuffix("_ms") + "_s"
        if not name.endswith("_ms") or name_in_s not in raw:
            continue
        value_s = values.pop(name_in_s)
        if name in raw:
            mistakes.append(f"{name_in_s!r} and {name!r} are both given")
        elif wrong := check_number(name_in_s, value_s):
            mistakes += wrong
        else:
            values[name] = round(value_s * _MS_PER_S)
    return values, mistakes


def _convert_whole(value: Any, field: dataclasses.Field[Any] | None) -> Any:
    """Return a whole number that is written with a fraction, such as 8.0, as an integer."""
    is_whole = field is not None and field.type == "int"
    return int(value) if is_whole else value


def check_number(name: str, value: Any, *, is_whole: bool = False) -> list[str]:
    """Return an error message if a value is not a number from 0, or not whole where it must be."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if is_number and 0 <= value <= MAX_NUMBER and (not is_whole or value == int(value)):
        return []
    kind = "whole number" if is_whole else "number"
    return [f"{name!r} is {value!r}, must be a {kind} from 0 to {MAX_NUMBER}"]


def check_choice(name: str, value: Any, choices: tuple[str, ...]) -> list[str]:
    """Return an error message if a value is not one of the choices."""
    return [] if value in choices else [f"{name!r} is {value!r}, choices: {', '.join(choices)}"]


def check_address(name: str, value: Any) -> list[str]:
    """Return an error message if a value is not an IPv4 address and port."""
    return [] if is_address(value) else [f"{name!r} is {value!r}, must be like 127.0.0.1:80"]


def is_address(value: Any) -> bool:
    """Return whether a value is an IPv4 address and port."""
    return isinstance(value, str) and _ADDRESS.fullmatch(value) is not None
