"""Decode the operator's configuration into a routing table."""

from __future__ import annotations

import msgspec

from dalehollow.gateway.table import (
    CallerLimits,
    EngineFigures,
    ExpertFigures,
    KeyHolder,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    Target,
)
from dalehollow.platform.entries import decode_json

_KINDS = {
    "safe": RequestKind.REPEATABLE,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}
_DEFAULT_PRIORITY = 5


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = _DEFAULT_PRIORITY
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    service: str = ""
    traffic_split: list[_Split] = msgspec.field(default_factory=list)


class _Usual(msgspec.Struct):
    # Mean numbers of tokens.
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    step_ms: float
    per_seq_ms: float
    # ms per 1,000 context tokens for each request in the batch.
    context_per_k: float
    read_per_s: float
    stride: int = 1
    usual: _Usual = msgspec.field(default_factory=_Usual)
    form_ms: float = 0.0
    link_mbps: float = msgspec.field(name="linkMbps", default=0.0)
    # Number of layer sets that share a map; each is planned as one layer.
    sets: int = 0
    experts: int = 0
    # Experts of a set that one rank can hold, and how many new ones a map change may give it.
    places: int = 0
    spare: int = 0
    expert_mb: float = msgspec.field(name="expertMb", default=0.0)


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Account(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str]
    priority: int = _DEFAULT_PRIORITY


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Account] | None = None


def decode_config(value: bytes) -> RoutingTable:
    """Return the routing table of a configuration; raise ValueError if it is invalid."""
    config = decode_json(value, _Config)
    accounts = config.tenants or []
    return RoutingTable(
        version=config.version,
        routes=tuple(map(_convert_route, config.routes)),
        services={s.name: _convert_service(s) for s in config.services},
        keys={key: KeyHolder(a.name, a.priority) for a in accounts for key in a.api_keys},
        limits=CallerLimits(
            max_header_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
        requires_key=config.tenants is not None,
    )


def _convert_route(route: _Route) -> Route:
    if route.kind not in _KINDS:
        raise ValueError(f"route {route.name!r}: kind {route.kind!r} is not one of {list(_KINDS)}")
    splits = [Target(s.service, s.weight) for s in route.traffic_split]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        targets=tuple(splits) or (Target(route.service, 1.0),),
        timeout_ms=route.timeout_ms,
        objective_ms=route.target_latency_ms,
        pause_objective_ms=route.gap_aim_ms,
        max_attempts=route.max_attempts,
        priority=route.priority,
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _convert_service(service: _Service) -> Service:
    engine = service.engine
    if engine is None:
        return Service(service.name, service.max_connections)
    figures = EngineFigures(
        slots=engine.slots,
        step_ms=engine.step_ms,
        per_request_ms=engine.per_seq_ms,
        per_1k_context_ms=engine.context_per_k,
        prefill_tokens_per_s=engine.read_per_s,
        steps_per_pass=engine.stride,
        typical_prompt_tokens=engine.usual.prompt,
        typical_answer_tokens=engine.usual.answer,
        form_ms=engine.form_ms,
        experts=_convert_experts(engine),
    )
    return Service(service.name, service.max_connections, figures)


def _convert_experts(engine: _Engine) -> ExpertFigures | None:
    if not engine.sets:
        return None
    return ExpertFigures(
        layers=engine.sets,
        experts=engine.experts,
        places=engine.places,
        spare=engine.spare,
        expert_mb=engine.expert_mb,
        link_mbps=engine.link_mbps,
    )
