"""Hold the routes, services and client accounts that a gateway serves, and look them up."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RequestKind(enum.StrEnum):
    """Name what a request allows: a repeatable one may run again, a stream sends events."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """Hold a service that a route leads to, and its share of the route's requests."""

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
    timeout_ms: int
    objective_ms: int
    pause_objective_ms: int
    max_tries: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run a second time, from its start or resumed."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.REPEATABLE


@dataclass(frozen=True)
class ExpertFigures:
    """Hold what is published of a rank group's experts, which stand at ranks layer by layer."""

    layers: int
    experts: int
    places: int
    spare: int
    expert_mb: float
    link_mbps: float

    @property
    def copy_s(self) -> float:
        """Return how long a rank takes to copy one expert's weights."""
        return self.expert_mb * 8 / self.link_mbps


@dataclass(frozen=True)
class EngineFigures:
    """Hold what is published of a service's model engines; times in ms, rates in tokens."""

    slots: int
    step_ms: float
    per_request_ms: float
    per_1k_context_ms: float
    read_tokens_per_s: float
    steps_per_pass: int
    usual_prompt_tokens: int
    usual_answer_tokens: int
    form_ms: float
    experts: ExpertFigures | None = None

    def pass_ms(self, batch: float) -> float:
        """Return how long a pass lasts with so many requests a rank, evenly loaded."""
        context_k = (self.usual_prompt_tokens + self.usual_answer_tokens / 2) / 1000
        per_request_ms = self.per_request_ms + self.per_1k_context_ms * context_k
        return self.steps_per_pass * (self.step_ms + per_request_ms * batch)


@dataclass(frozen=True)
class Service:
    """Hold one service; `engine` is None for a plain one."""

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
    """Bound what a caller may send, and how long it may take or rest."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RoutingTable:
    """Hold one whole configuration; a higher version replaces a lower one, never the reverse."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    keys: Mapping[str, KeyHolder]
    limits: CallerLimits
    requires_key: bool
    _by_host: Mapping[str, Mapping[str, Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes, so that a look-up costs a few dictionary reads at any size."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix of the path."""
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
