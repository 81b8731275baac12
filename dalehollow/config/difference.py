"""List the differences between two configurations by table and name."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from dalehollow.config.model import Config

_TABLES = {
    "halls": "halls",
    "accounts": "client_accounts",
    "upstreams": "upstreams",
    "services": "services",
    "groups": "groups",
}


@dataclass(frozen=True)
class Difference:
    """Describe one entry; `kind` is added, changed or removed."""

    kind: str
    table: str
    name: str


def list_differences(before: Config | None, after: Config) -> list[Difference]:
    """List the differences in the order of the tables of a configuration file."""
    found: list[Difference] = []
    for field, table in _TABLES.items():
        old = getattr(before, field) if before is not None else {}
        found += _compare(table, old, getattr(after, field))
    return found


def _compare(
    table: str, old: Mapping[str, object], new: Mapping[str, object]
) -> Iterator[Difference]:
    for name in sorted({*old, *new}):
        if name not in old:
            yield Difference("added", table, name)
        elif name not in new:
            yield Difference("removed", table, name)
        elif old[name] != new[name]:
            yield Difference("changed", table, name)
