"""Check, apply and distribute the operators' configuration."""

from __future__ import annotations

from dalehollow.config.check import check_text
from dalehollow.config.fields import ConfigIssue
from dalehollow.config.model import (
    PRIORITIES,
    Account,
    Config,
    Group,
    Hall,
    Operation,
    Service,
    Upstream,
)
from dalehollow.config.store import Applied, Conflict, Manifest, apply_text, read_manifest

__all__ = [
    "PRIORITIES",
    "Account",
    "Applied",
    "Config",
    "ConfigIssue",
    "Conflict",
    "Group",
    "Hall",
    "Manifest",
    "Operation",
    "Service",
    "Upstream",
    "apply_text",
    "check_text",
    "read_manifest",
]
