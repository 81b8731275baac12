"""Validate a configuration file and report all errors at once."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any

from result import Err, Ok, Result

from dalehollow.config.fields import REQUIRED, ConfigIssue, Fields, IssueCollector, list_names
from dalehollow.config.model import (
    POLICIES,
    PRIORITIES,
    SERVICE_KINDS,
    Account,
    Config,
    Group,
    Hall,
    Operation,
    Service,
    Upstream,
)
from dalehollow.jsonc import JsoncError, parse_jsonc

MAX_TEXT_BYTES = 1_000_000
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def check_text(text: str) -> Result[Config, tuple[ConfigIssue, ...]]:
    """Validate a configuration file and return the configuration or all errors."""
    if len(text.encode()) > MAX_TEXT_BYTES:
        return Err((ConfigIssue(1, "", f"is longer than {MAX_TEXT_BYTES} bytes"),))
    try:
        raw, lines = parse_jsonc(text)
    except JsoncError as exc:
        return Err((ConfigIssue(exc.line, "", f"is not valid JSON with comments: {exc}"),))
    collector = IssueCollector(lines.by_path)
    cfg = _read_config(collector, raw)
    return Err(tuple(collector.issues)) if collector.issues else Ok(cfg)


def _read_config(collector: IssueCollector, raw: Any) -> Config:
    top = Fields(collector, "", raw)
    deployment = top.read_text("deployment", _NAME, "a name of a-z, 0-9 and -")
    clock_bound_ms = top.read_int("clock_bound_ms", 1, 60_000, default=2_000)
    halls = _read_table(collector, top, "halls", _read_hall)
    accounts = _read_table(collector, top, "client_accounts", _read_account)
    upstreams = _read_table(collector, top, "upstreams", lambda f, n: _read_upstream(f, n, halls))
    services = _read_table(collector, top, "services", lambda f, n: _read_service(f, n, upstreams))
    groups = _read_table(collector, top, "groups", lambda f, n: _read_group(f, n, upstreams), {})
    top.report_unknown()
    _check_routes(collector, services)
    _check_keys(collector, accounts)
    return Config(deployment, clock_bound_ms, halls, accounts, upstreams, services, groups)


def _read_table(
    collector: IssueCollector,
    top: Fields,
    name: str,
    read: Callable[[Fields, str], Any],
    default: Any = REQUIRED,
) -> dict[str, Any]:
    raw = top.read_raw(name, default)
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        top.report(name, f"is {raw!r}, must be an object")
        return {}
    table = {}
    for key, value in raw.items():
        if not _NAME.fullmatch(key):
            top.report(name, f"has the name {key!r}, must be a name of a-z, 0-9 and -")
        fields = Fields(collector, f"{name}.{key}", value)
        table[key] = read(fields, key)
        fields.report_unknown()
    return table


def _read_hall(fields: Fields, name: str) -> Hall:
    return Hall(
        name=name,
        region=fields.read_text("region", _NAME, "a name of a-z, 0-9 and -"),
        entries=fields.read_int("entries", 0, 10_000, default=1),
    )


def _read_account(fields: Fields, name: str) -> Account:
    return Account(
        name=name,
        key_sha256=fields.read_text("key_sha256", _SHA256, "64 hexadecimal digits"),
        requests_per_s=float(fields.read_number("requests_per_s", 0.01, 1_000_000)),
        burst=fields.read_int("burst", 1, 1_000_000, default=10),
        max_priority=fields.read_choice("max_priority", PRIORITIES, default="normal"),
    )


def _read_upstream(fields: Fields, name: str, halls: Mapping[str, Hall]) -> Upstream:
    control = fields.read_raw("control", None)
    if control is not None and not (isinstance(control, str) and _ADDRESS.fullmatch(control)):
        fields.report("control", f"is {control!r}, must be an IP address and a port")
    return Upstream(
        name=name,
        hall=fields.read_choice("hall", tuple(halls) or ("",)),
        http=fields.read_text("http", _ADDRESS, "an IP address and a port"),
        control=control,
        slots=fields.read_int("slots", 1, 10_000, default=8),
    )


def _read_service(fields: Fields, name: str, upstreams: Mapping[str, Upstream]) -> Service:
    kind = fields.read_choice("kind", SERVICE_KINDS)
    prefix = fields.read_raw("path_prefix") if kind == "plain" else None
    if prefix is not None and not (isinstance(prefix, str) and prefix.startswith("/")):
        fields.report("path_prefix", f"is {prefix!r}, must begin with '/'")
        prefix = None
    return Service(
        name=name,
        kind=kind,
        upstreams=fields.read_names("upstreams", upstreams),
        models=fields.read_names("models", None) if kind == "model" else (),
        path_prefix=prefix,
        operations=_read_operations(fields) if kind == "plain" else (),
        queue_limit=fields.read_int("queue_limit", 0, 100_000, default=64),
        urgent_extra_slots=fields.read_int(
            "urgent_extra_slots", 0, 1_000, default=2 if kind == "model" else 0
        ),
        deadline_ms=fields.read_int("deadline_ms", 10, 3_600_000, default=30_000),
        key_window_ms=fields.read_int("key_window_ms", 1_000, 86_400_000, default=600_000),
        ownership_horizon_ms=fields.read_int(
            "ownership_horizon_ms", 1_000, 86_400_000, default=600_000
        ),
        key_capacity=fields.read_int("key_capacity", 1, 10_000_000, default=20_000),
    )


def _read_operations(fields: Fields) -> tuple[Operation, ...]:
    raw = fields.read_raw("operations", [])
    if not isinstance(raw, list):
        fields.report("operations", f"is {raw!r}, must be a list")
        return ()
    return tuple(_read_operation(fields, idx, item) for idx, item in enumerate(raw))


def _read_operation(parent: Fields, idx: int, raw: Any) -> Operation:
    fields = Fields(parent.collector, f"{parent.path}.operations[{idx}]", raw)
    repeatable = fields.read_raw("repeatable")
    if not isinstance(repeatable, bool):
        fields.report("repeatable", f"is {repeatable!r}, must be true or false")
    path = fields.read_raw("path")
    if not (isinstance(path, str) and path.startswith("/")):
        fields.report("path", f"is {path!r}, must begin with '/'")
    method = fields.read_choice("method", _METHODS)
    fields.report_unknown()
    return Operation(method, str(path), bool(repeatable))


def _read_group(fields: Fields, name: str, upstreams: Mapping[str, Upstream]) -> Group:
    ranks = fields.read_raw("ranks")
    if not isinstance(ranks, list) or not ranks:
        fields.report("ranks", f"is {ranks!r}, must be a list of upstreams, one for each rank")
        ranks = []
    for idx, item in enumerate(ranks):
        if item not in upstreams:
            fields.report(f"ranks[{idx}]", f"is {item!r}, must be one of {list_names(upstreams)}")
    return Group(name, tuple(ranks), fields.read_choice("policy", POLICIES))


def _check_routes(collector: IssueCollector, services: Mapping[str, Service]) -> None:
    """Report services that claim the same model or path prefix."""
    owners: dict[str, str] = {}
    for service in services.values():
        claims = [*service.models, *([service.path_prefix] if service.path_prefix else [])]
        for claim in claims:
            first = owners.setdefault(claim, service.name)
            if first != service.name:
                collector.report(f"services.{service.name}", f"claims {claim!r}, as {first!r} does")


def _check_keys(collector: IssueCollector, accounts: Mapping[str, Account]) -> None:
    """Report accounts that share a key and could not be distinguished."""
    owners: dict[str, str] = {}
    for account in accounts.values():
        first = owners.setdefault(account.key_sha256, account.name)
        if account.key_sha256 and first != account.name:
            collector.report(
                f"client_accounts.{account.name}.key_sha256", f"is also the key of {first!r}"
            )
