"""Hold a checked configuration as frozen data."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

PRIORITIES = ("urgent", "normal", "background")
SERVICE_KINDS = ("model", "plain")
POLICIES = ("calm", "skew")


@dataclass(frozen=True)
class Hall:
    """Describe a hall: upstreams and entry VMs that share a network."""

    name: str
    region: str
    entries: int


@dataclass(frozen=True)
class Account:
    """Describe a client account; the key itself is never kept, only its SHA-256."""

    name: str
    key_sha256: str
    requests_per_s: float
    burst: int
    max_priority: str


@dataclass(frozen=True)
class Upstream:
    """Describe one upstream; `control` is absent where no sidecar stands before it."""

    name: str
    hall: str
    http: str
    control: str | None
    slots: int


@dataclass(frozen=True)
class Operation:
    """Mark one call of a plain service as repeatable or not."""

    method: str
    path: str
    repeatable: bool


@dataclass(frozen=True)
class Service:
    """Describe a service and the rules under which its requests wait and repeat."""

    name: str
    kind: str
    upstreams: tuple[str, ...]
    models: tuple[str, ...]
    path_prefix: str | None
    operations: tuple[Operation, ...]
    queue_limit: int
    urgent_extra_slots: int
    deadline_ms: int
    key_window_ms: int
    ownership_horizon_ms: int
    key_capacity: int


@dataclass(frozen=True)
class Group:
    """Describe a rank group; ranks are listed by the upstream that hosts each."""

    name: str
    ranks: tuple[str, ...]
    policy: str


@dataclass(frozen=True)
class Config:
    """Hold one whole configuration."""

    deployment: str
    clock_bound_ms: int
    halls: Mapping[str, Hall]
    accounts: Mapping[str, Account]
    upstreams: Mapping[str, Upstream]
    services: Mapping[str, Service]
    groups: Mapping[str, Group]

    def count_entries(self) -> int:
        """Return how many entries share each account's limit."""
        return max(1, sum(hall.entries for hall in self.halls.values()))

    def services_of(self, upstream: str) -> tuple[Service, ...]:
        """Return the services that list the upstream."""
        return tuple(s for s in self.services.values() if upstream in s.upstreams)
