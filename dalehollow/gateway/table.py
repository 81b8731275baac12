"""Define the routing table of a gateway: routes, services and client accounts."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RequestKind(enum.StrEnum):
    """List the kinds of requests: repeatable, executed at most once, or streamed as events."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """Hold a service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Hold one route; `path_prefix` ends with a slash, priority 0 is the most urgent."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_ms: float
    objective_ms: float
    pause_objective_ms: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed again, from its start or resumed."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.REPEATABLE


@dataclass(frozen=True)
class ExpertFigures:
    """Hold the published figures of a rank group's experts, which are placed per layer."""

    layers: int
    experts: int
    places: int
    spare: int
    expert_mb: float
    link_mbps: float

    @property
    def copy_s(self) -> float:
        """Return the time a rank takes to copy the weights of one expert."""
        return self.expert_mb * 8 / self.link_mbps


@dataclass(frozen=True)
class EngineFigures:
    """Hold the published performance figures of a service's model engines."""

    slots: int
    step_ms: float
    per_request_ms: float
    per_1k_context_ms: float
    prefill_tokens_per_s: float
    steps_per_pass: int
    typical_prompt_tokens: float
    typical_answer_tokens: float
    form_ms: float
    experts: ExpertFigures | None = None

    def pass_ms(self, batch: float) -> float:
        """Return the duration of a forward pass with `batch` requests on each rank."""
        context_k = (self.typical_prompt_tokens + self.typical_answer_tokens / 2) / 1000
        per_request_ms = self.per_request_ms + self.per_1k_context_ms * context_k
        return self.steps_per_pass * (self.step_ms + per_request_ms * batch)


@dataclass(frozen=True)
class Service:
    """Hold one service; `engine` is None unless it runs models."""

    name: str
    max_connections: int
    engine: EngineFigures | None = None


@dataclass(frozen=True)
class KeyHolder:
    """Hold the client account that a key belongs to; priority 0 is the most urgent."""

    account: str
    priority: int


@dataclass(frozen=True)
class CallerLimits:
    """Limit the size of requests and the time for sending one or staying idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


@dataclass(frozen=True)
class RoutingTable:
    """Hold one complete configuration; it is only replaced by one with a higher version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    keys: Mapping[str, KeyHolder]
    limits: CallerLimits
    requires_key: bool
    _by_host: Mapping[str, Mapping[str, Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes so that the cost of a lookup does not depend on their number."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
