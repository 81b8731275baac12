"""Bound what reaches an upstream and what one client account may use."""

from __future__ import annotations

from dalehollow.limits.bucket import TokenBucket
from dalehollow.limits.budget import RetryBudget
from dalehollow.limits.gate import Gate, GateLimits, GateLoad

__all__ = ["Gate", "GateLimits", "GateLoad", "RetryBudget", "TokenBucket"]
