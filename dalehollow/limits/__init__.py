"""Limit the requests to an upstream and the request rate of a client account."""

from __future__ import annotations

from dalehollow.limits.bucket import TokenBucket
from dalehollow.limits.budget import RetryBudget
from dalehollow.limits.gate import Gate, GateLimits, GateLoad
from dalehollow.limits.shares import (
    Allocator,
    EntryDemand,
    choose_allocator,
    compute_floor,
    fair_shares,
)

__all__ = [
    "Allocator",
    "EntryDemand",
    "Gate",
    "GateLimits",
    "GateLoad",
    "RetryBudget",
    "TokenBucket",
    "choose_allocator",
    "compute_floor",
    "fair_shares",
]
