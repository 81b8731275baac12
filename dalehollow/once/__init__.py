"""Run a request with an idempotency key at most once, whichever entry its retries reach."""

from __future__ import annotations

from dalehollow.once.birth import read_key_created_at_ms
from dalehollow.once.owners import Generation, Owner, extend_generations, find_owner, make_scope
from dalehollow.once.table import (
    NEVER_MS,
    KeptAnswer,
    KeyRecord,
    KeyState,
    KeyTable,
    KeyTableLimits,
)

__all__ = [
    "NEVER_MS",
    "Generation",
    "KeptAnswer",
    "KeyRecord",
    "KeyState",
    "KeyTable",
    "KeyTableLimits",
    "Owner",
    "extend_generations",
    "find_owner",
    "make_scope",
    "read_key_created_at_ms",
]
