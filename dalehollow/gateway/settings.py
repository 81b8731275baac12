"""Read and validate the settings of a gateway, given as JSON with comments."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from dalehollow.settings_text import (
    check_address,
    check_choice,
    check_number,
    parse_settings_text,
    read_settings_text,
)
from dalehollow.telemetry.logs import LEVELS

GATEWAY_ROLE = "gateway"
_ADDRESS_FIELDS = ("http", "ready", "metrics", "store", "peer")


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway; addresses are an IP address and a port."""

    role: str
    name: str
    hall: str
    http: str
    ready: str
    store: str
    # Address for reports of other gateways, by datagram.
    peer: str
    metrics: str = "127.0.0.1:0"
    log_level: str = "info"
    log_lines_per_s: int = 40
    # Time that a graceful shutdown may take before the platform kills the process.
    stop_grace_ms: int = 8_000
    # Retry budget: retries that all gateways together may send to one service per window.
    retry_window_ms: int = 10_000
    retry_share: float = 0.2
    retry_extra: float = 90.0
    # Number of gateways that share the extra retries while the actual number is unknown.
    gateways_expected: int = 12
    connect_timeout_ms: int = 150
    # Interval at which upstreams renew their entries in the list.
    heartbeat_ms: float = 1_200
    # File descriptors that the process may use, 0 to rely on its resource limit.
    max_descriptors: int = 0
    # Memory that the process may use, 0 if it is not known.
    memory_mb: float = 0.0
    # Bandwidth of this VM's link, and the byte rate of it for reports to other halls.
    link_mbps: float = 1000.0
    report_bytes_per_s: int = 16_000
    # Planner of expert maps: the interval of rounds, the share of ranks sampled (at least two
    # ranks), the reduction of the longest rank's load per megabyte copied (`PlanTerms`) and by a
    # whole change, and the weight of the previous demand.
    plan_interval_ms: int = 4_000
    plan_sampled_share: float = 0.08
    plan_copy_price_mb: float = 0.00015
    plan_begin_gain: float = 0.3
    plan_memory: float = 0.8
    # Time that a rank may copy weights in one change; further copies follow once it is active.
    plan_copy_ms: int = 450
    # The same for 60 s after a pause of this share of the longest that callers tolerate.
    plan_pressed_share: float = 0.85
    plan_pressed_interval_ms: int = 500
    plan_pressed_copy_price_mb: float = 0.00006
    plan_pressed_begin_gain: float = 0.25


def read_gateway_settings(path: str) -> GatewaySettings:
    """Read a settings file; raise SettingsError that lists every mistake."""
    return parse_gateway_settings(read_settings_text(path))


def parse_gateway_settings(text: str) -> GatewaySettings:
    """Parse and validate settings; fields unknown to this release are ignored."""
    values = parse_settings_text(text, _fields(), _find_mistakes)
    return GatewaySettings(**{name: values[name] for name in _fields() if name in values})


def read_unknown(path: str) -> list[str]:
    """Return the unknown field names of a settings file."""
    return list_unknown(read_settings_text(path))


def list_unknown(text: str) -> list[str]:
    """Return the field names that this release does not know."""
    return sorted(set(parse_settings_text(text, _fields(), _find_mistakes)) - set(_fields()))


def _fields() -> dict[str, dataclasses.Field[Any]]:
    return {f.name: f for f in dataclasses.fields(GatewaySettings)}


def _find_mistakes(raw: Mapping[str, Any]) -> list[str]:
    mistakes = []
    for name, field in _fields().items():
        if name in raw:
            mistakes += _check_value(name, raw[name], str(field.type))
        elif field.default is dataclasses.MISSING:
            mistakes.append(f"{name!r} is missing")
    return mistakes


def _check_value(name: str, value: Any, kind: str) -> list[str]:
    if name == "role":
        return [] if value == GATEWAY_ROLE else [f"'role' is {value!r}, must be {GATEWAY_ROLE!r}"]
    if name == "log_level":
        return check_choice(name, value, LEVELS)
    if name in _ADDRESS_FIELDS:
        return check_address(name, value)
    if kind in ("int", "float"):
        return check_number(name, value, is_whole=kind == "int")
    return [] if isinstance(value, str) else [f"{name!r} is {value!r}, must be text"]
