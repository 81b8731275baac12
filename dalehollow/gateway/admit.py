"""Validate a request against the routing table."""

from __future__ import annotations

import random
import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from http import HTTPStatus

from dalehollow.aio import CallerRequest
from dalehollow.crashes import Fingerprint, make_fingerprints
from dalehollow.gateway.headers import HeaderNames
from dalehollow.gateway.table import KeyHolder, Route, RoutingTable, Target

_MS_PER_S = 1000
_MAX_PRIORITY = 9
_ROUTE_PRIORITIES = 3
_DEFAULT_PRIORITY = 5
_PART_ID = re.compile(rb"[0-9A-Fa-f]{1,64}")
NOT_READY_RETRY_AFTER_S = 0.5
"""Usual time for a process that has just started to load its configuration."""


@dataclass(frozen=True)
class Job:
    """Describe a valid request; `deadline_s` is on this process's monotonic clock.

    `caller_time_left_s` is the caller's own timeout, not limited by that of the route.
    """

    request: CallerRequest
    request_id: bytes
    route: Route
    service: str
    account: str
    priority: int
    began_at_s: float
    deadline_s: float
    caller_time_left_s: float
    table_version: int
    expected_tokens: int
    # IDs of the prompt's parts that other requests may share.
    shared_parts: tuple[bytes, ...] = ()

    @cached_property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the whole request and of its prompt's shared parts."""
        path = self.request.target.partition(b"?")[0]
        return make_fingerprints(path, self.account, self.request.body, self.shared_parts)


@dataclass(frozen=True)
class Refusal:
    """Describe why a request is refused before it is sent to any upstream."""

    status: int
    reason: str
    retry_after_s: float | None = None


def admit(
    request: CallerRequest,
    table: RoutingTable | None,
    names: HeaderNames,
    rng: random.Random,
) -> Job | Refusal:
    """Validate a request and return its job, or the reason for refusing it."""
    if table is None:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return Refusal(status, "no_configuration", NOT_READY_RETRY_AFTER_S)
    host = (request.get(b"host") or b"").decode("latin-1").partition(":")[0]
    path = request.target.decode("latin-1").partition("?")[0]
    route = table.find_route(host, path)
    if route is None:
        return Refusal(HTTPStatus.NOT_FOUND, "unknown_route")
    holder = _find_holder(request, table, names)
    if holder is None and table.requires_key and not route.is_public:
        return Refusal(HTTPStatus.UNAUTHORIZED, "unknown_key")
    request_id = request.get(names.request_id)
    if request_id is None:
        return Refusal(HTTPStatus.BAD_REQUEST, "no_request_id")
    time_left_ms = _read_time_left_ms(request, names)
    if time_left_ms is None:
        return Refusal(HTTPStatus.BAD_REQUEST, "bad_time_left")
    allowed_ms = min(time_left_ms, route.timeout_ms)
    return Job(
        request=request,
        request_id=request_id,
        route=route,
        service=_choose_target(route.targets, rng),
        account=holder.account if holder is not None else "",
        priority=_combine_priority(holder, route),
        began_at_s=request.began_at_s,
        deadline_s=request.began_at_s + allowed_ms / _MS_PER_S,
        caller_time_left_s=time_left_ms / _MS_PER_S,
        table_version=table.version,
        expected_tokens=_read_expected_tokens(request, names),
        shared_parts=_read_shared_parts(request, names),
    )


def _find_holder(
    request: CallerRequest, table: RoutingTable, names: HeaderNames
) -> KeyHolder | None:
    key = request.get(names.key)
    return table.keys.get(key.decode("latin-1")) if key is not None else None


def _read_time_left_ms(request: CallerRequest, names: HeaderNames) -> float | None:
    """Return the caller's timeout: infinite if not given, None if it cannot be parsed."""
    value = request.get(names.time_left_ms)
    if value is None:
        return float("inf")
    return int(value) if value.isdigit() else None


def _read_expected_tokens(request: CallerRequest, names: HeaderNames) -> int:
    """Return the answer length hint limited to the caller's maximum, 0 if there is no hint."""
    hint = request.get(names.length_hint) or b""
    allowed = (request.get(names.token_counts) or b"").rpartition(b",")[2].strip()
    figures = [int(value) for value in (hint, allowed) if value.isdigit()]
    return min(figures, default=0) if hint.isdigit() else 0


def _read_shared_parts(request: CallerRequest, names: HeaderNames) -> tuple[bytes, ...]:
    """Return the IDs of all parts of the prompt but the last.

    A malformed list is treated like an absent one, because only the caller's other requests depend
    on it.
    """
    parts = [part.strip().partition(b":") for part in request.list_values(names.prompt_parts)]
    if not all(_PART_ID.fullmatch(part_id) and tokens.isdigit() for part_id, _, tokens in parts):
        return ()
    return tuple(part_id.lower() for part_id, _, _ in parts[:-1])


def _combine_priority(holder: KeyHolder | None, route: Route) -> int:
    """Rank by account first and route second, within the range that engines accept."""
    account = holder.priority if holder is not None else _DEFAULT_PRIORITY
    within = min(route.priority, _ROUTE_PRIORITIES - 1)
    return max(0, min(_MAX_PRIORITY, account * _ROUTE_PRIORITIES + within))


def _choose_target(targets: Sequence[Target], rng: random.Random) -> str:
    if len(targets) == 1:
        return targets[0].service
    return rng.choices(targets, [target.weight for target in targets])[0].service
