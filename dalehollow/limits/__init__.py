"""Limit the requests to an upstream and the request rate of a client account."""

from __future__ import annotations

from dalehollow.limits.bucket import TokenBucket
from dalehollow.limits.budget import RetryBudget
from dalehollow.limits.gate import Gate, GateLimits, GateLoad
from dalehollow.limits.shares import (
    Allocator,
    ShareAsk,
    choose_allocator,
    fair_shares,
    floor_of,
)

__all__ = [
    "Allocator",
    "Gate",
    "GateLimits",
    "GateLoad",
    "RetryBudget",
    "ShareAsk",
    "TokenBucket",
    "choose_allocator",
    "fair_shares",
    "floor_of",
]
