"""Decode entries of the store that other programs may write, too."""

from __future__ import annotations

import ipaddress
from typing import TypeVar

import msgspec

MAX_NUMBER = 2**53
"""Numbers of entries are below this: JSON represents larger integers inexactly."""
_LAST_PORT = 65_535

_T = TypeVar("_T")


def decode_entry(value: bytes, kind: type[_T]) -> _T:
    """Decode a value; raise ValueError if it is invalid, nested too deeply, or a number too large.

    Numbers of fields that `kind` does not have are not checked.
    """
    entry = decode_json(value, kind)
    _check_numbers(msgspec.to_builtins(entry))
    return entry


def decode_json(value: bytes, kind: type[_T]) -> _T:
    """Decode a value; raise ValueError if it is invalid or nested too deeply."""
    try:
        return msgspec.json.decode(value, type=kind)
    except RecursionError as exc:
        raise ValueError("entry is nested too deeply") from exc


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        number = int(port)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < number <= _LAST_PORT


def _check_numbers(value: object) -> None:
    if isinstance(value, int | float):
        if not abs(value) < MAX_NUMBER:
            raise ValueError(f"number has {len(str(value))} characters, must be below 2^53")
    elif isinstance(value, dict):
        _check_numbers(list(value))
        _check_numbers(list(value.values()))
    elif isinstance(value, list | tuple):
        for item in value:
            _check_numbers(item)
