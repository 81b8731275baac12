"""Serve metrics and state of a gateway over HTTP: /dump is the state, any other path metrics."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from dalehollow.aio import CallerConnection, CallerRequest, Connections, Handler
from dalehollow.gateway.listed import Member
from dalehollow.gateway.planner import GroupPlanner
from dalehollow.gateway.state import GatewayState

DUMP_PATH = b"/dump"
_TEXT = ((b"content-type", b"text/plain; version=0.0.4"),)
_JSON = ((b"content-type", b"application/json"),)


@dataclass(frozen=True)
class StatusSources:
    """Sources of the metrics and the dump: the shared state and a few callbacks."""

    name: str
    hall: str
    state: GatewayState
    planners: Mapping[str, GroupPlanner]
    members: Mapping[str, Member]
    holders: Mapping[str, str]
    is_ready: Callable[[], bool]
    store_age_s: Callable[[], float]
    store_calls: Callable[[], int]
    lines_left_out: Callable[[], int]
    callers: Connections[CallerConnection]


def watch_gauges(sources: StatusSources) -> None:
    """Register the gauges that are evaluated on each request for metrics."""
    state, metrics = sources.state, sources.state.metrics
    loop = asyncio.get_running_loop()
    metrics.watch_gauge("config_version", lambda: state.table.version if state.table else 0)
    metrics.watch_gauge(
        "config_age_seconds", lambda: round(loop.time() - state.table_applied_at_s, 3)
    )
    metrics.watch_gauge("store_heard_age_seconds", lambda: round(sources.store_age_s(), 3))
    metrics.watch_gauge("store_calls", sources.store_calls)
    metrics.watch_gauge("is_ready", lambda: int(sources.is_ready()))
    metrics.watch_gauge("gateways_listed", lambda: len(sources.members))
    metrics.watch_gauge("upstreams_listed", lambda: sum(1 for _ in state.upstreams))
    metrics.watch_gauge("in_hand", lambda: sum(u.own_in_flight() for u in state.upstreams))
    metrics.watch_gauge("upstreams_resting", lambda: _count_resting(state, loop.time()))
    metrics.watch_gauge("upstreams_limited", lambda: _count_limited(state))
    metrics.watch_gauge("requests_suspected", lambda: len(state.suspects.describe()))
    metrics.watch_gauge("requests_refused_for_crashes", state.suspects.count_culprits)
    metrics.watch_gauge("waiting", lambda: sum(len(a.waiting) for a in state.admissions.values()))
    metrics.watch_gauge("log_lines_left_out", sources.lines_left_out)
    metrics.watch_gauge("caller_connections", lambda: len(sources.callers))
    metrics.watch_gauge("caller_connections_closed_idle", lambda: sources.callers.closed_idle)
    metrics.watch_gauge("caller_connections_turned_away", lambda: sources.callers.turned_away)
    metrics.watch_gauge("request_memory_bytes", lambda: sources.state.memory.used_bytes)
    metrics.watch_gauge("request_memory_dropped", lambda: sources.state.memory.dropped)
    metrics.watch_gauge("map_changes", lambda: sum(p.changes for p in sources.planners.values()))
    metrics.watch_gauge("expert_copies", lambda: sum(p.copies for p in sources.planners.values()))


def make_dump(sources: StatusSources) -> dict[str, object]:
    """Return the state of a gateway as JSON-compatible values, without callers' keys."""
    state = sources.state
    now_s = asyncio.get_running_loop().time()
    return {
        "name": sources.name,
        "hall": sources.hall,
        "is_ready": sources.is_ready(),
        "config_version": state.table.version if state.table is not None else None,
        "store_heard_age_s": age_s if math.isfinite(age_s := sources.store_age_s()) else None,
        "store": state.describe_store(),
        "gateways": {name: member.address for name, member in sources.members.items()},
        "duties": dict(sources.holders),
        "services": {
            service: {
                "is_group_broken": admission.is_broken(),
                "waiting": len(admission.waiting),
                "load": round(state.upstreams.service_load(service, now_s), 3),
            }
            for service, admission in state.admissions.items()
        },
        "retry_budgets": state.describe_retries(),
        "planners": {
            name: {"changes": p.changes, "copies": p.copies} for name, p in sources.planners.items()
        },
        "suspected_requests": state.suspects.describe(),
        "upstreams": {
            u.listed.incarnation: {
                "service": u.listed.service,
                "address": u.listed.address,
                "is_leaving": u.is_leaving(),
                "run": u.run_name,
                "in_hand": u.own_in_flight(),
                "others_in_hand": u.others_in_flight,
                "is_ejected": u.ejected_until_s > now_s,
                "rest_left_s": round(u.backoff_left_s(now_s), 3),
                "limit_per_s": u.limit_per_s(),
            }
            for u in state.upstreams
        },
    }


def _count_resting(state: GatewayState, now_s: float) -> int:
    return sum(1 for u in state.upstreams if u.backoff_left_s(now_s))


def _count_limited(state: GatewayState) -> int:
    return sum(1 for u in state.upstreams if u.limit_per_s() is not None)


def make_status_handler(sources: StatusSources) -> Handler:
    """Return the handler of the metrics address."""

    async def answer(caller: CallerConnection, request: CallerRequest) -> None:
        if request.target.startswith(DUMP_PATH):
            body = json.dumps(make_dump(sources), indent=2).encode()
            caller.send_response(HTTPStatus.OK, _JSON, body)
            return
        caller.send_response(HTTPStatus.OK, _TEXT, sources.state.metrics.expose().encode())

    return answer
