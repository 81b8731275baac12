"""Read and validate the settings of an entry or sidecar, written in JSON with comments."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from dalehollow.settings_text import (
    check_address,
    check_choice,
    check_number,
    is_address,
    parse_settings_text,
    read_settings_text,
)
from dalehollow.telemetry.logs import LEVELS

ROLES = ("entry", "sidecar")


@dataclass(frozen=True)
class Settings:
    """Hold the settings of one process; addresses are IPv4:port, and port 0 selects a free one."""

    role: str
    name: str
    hall: str
    http: str = "127.0.0.1:0"
    control: str = "127.0.0.1:0"
    advertise_http: str | None = None
    platform: str | None = None
    peers: tuple[str, ...] = ()
    upstream: str | None = None
    upstream_http: str | None = None
    inner_key: str = ""
    log_level: str = "info"
    beat_interval_ms: int = 500
    vm_list_interval_ms: int = 2_000
    share_interval_ms: int = 1_000
    plan_interval_ms: int = 60_000
    plan_max_moves: int = 1_000
    poll_min_ms: int = 1_000
    poll_max_ms: int = 3_000
    control_bytes_per_s: int = 3_200
    subset_size: int = 8
    peer_limit: int = 30
    leave_ms: int = 1_000
    drain_timeout_ms: int = 60_000
    answer_timeout_ms: int = 120_000
    connect_timeout_ms: int = 500
    # Memory that the process may use, 0 if it is not known.
    memory_mb: int = 0


def read_settings(path: str) -> Settings:
    """Read a settings file; raise SettingsError with every error in it."""
    return parse_settings(read_settings_text(path))


def parse_settings(text: str) -> Settings:
    """Parse and validate settings; raise SettingsError with every error in them."""
    raw = parse_settings_text(text, _fields(), _find_mistakes)
    values: dict[str, Any] = {k: tuple(v) if isinstance(v, list) else v for k, v in raw.items()}
    return Settings(**values)


def _fields() -> dict[str, dataclasses.Field[Any]]:
    return {f.name: f for f in dataclasses.fields(Settings)}


def _find_mistakes(raw: Mapping[str, Any]) -> list[str]:
    fields = _fields()
    mistakes = [
        f"{name!r} is unknown; choices: {', '.join(fields)}" for name in raw if name not in fields
    ]
    for name, field in fields.items():
        if name not in raw and field.default is dataclasses.MISSING:
            mistakes.append(f"{name!r} is missing")
        elif name in raw:
            mistakes += _check_value(name, raw[name], str(field.type))
    if raw.get("role") == "sidecar":
        mistakes += [f"{n!r} is missing" for n in ("upstream", "upstream_http") if n not in raw]
    return mistakes


def _check_value(name: str, value: Any, kind: str) -> list[str]:
    choices = {"role": ROLES, "log_level": LEVELS}.get(name)
    if choices is not None:
        return check_choice(name, value, choices)
    if kind == "int":
        return check_number(name, value, is_whole=True)
    if name == "peers":
        is_list = isinstance(value, list) and all(is_address(v) for v in value)
        return [] if is_list else [f"{name!r} is {value!r}, must be a list of addresses"]
    if name in ("http", "control", "platform", "upstream_http", "advertise_http"):
        return check_address(name, value)
    return [] if isinstance(value, str) else [f"{name!r} is {value!r}, must be text"]


def split_address(address: str) -> tuple[str, int]:
    """Split host:port into the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
