"""Define the data classes of a validated configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

PRIORITIES = ("urgent", "normal", "background")
SERVICE_KINDS = ("model", "plain")
POLICIES = ("calm", "skew")


@dataclass(frozen=True)
class Hall:
    """Describe a hall: upstreams and entry VMs on one network."""

    name: str
    region: str
    entries: int


@dataclass(frozen=True)
class Account:
    """Describe a client account; only the SHA-256 of its key is stored."""

    name: str
    key_sha256: str
    requests_per_s: float
    burst: int
    max_priority: str


@dataclass(frozen=True)
class Upstream:
    """Describe an upstream; `control` is None if it has no sidecar."""

    name: str
    hall: str
    http: str
    control: str | None
    slots: int


@dataclass(frozen=True)
class Operation:
    """Declare whether an operation of a plain service is safe to repeat."""

    method: str
    path: str
    repeatable: bool


@dataclass(frozen=True)
class Service:
    """Describe a service and the queueing and retry rules of its requests."""

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
    """Describe a rank group; `ranks` names the upstream that hosts each rank."""

    name: str
    ranks: tuple[str, ...]
    policy: str


@dataclass(frozen=True)
class Config:
    """Hold a complete configuration."""

    deployment: str
    clock_bound_ms: int
    halls: Mapping[str, Hall]
    accounts: Mapping[str, Account]
    upstreams: Mapping[str, Upstream]
    services: Mapping[str, Service]
    groups: Mapping[str, Group]

    def count_entries(self) -> int:
        """Return the number of entries that share each account's limit, at least 1."""
        return max(1, sum(hall.entries for hall in self.halls.values()))

    def services_of(self, upstream: str) -> tuple[Service, ...]:
        """Return the services that list the upstream."""
        return tuple(s for s in self.services.values() if upstream in s.upstreams)
