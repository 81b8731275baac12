"""Run a request with an idempotency key at most once, whichever entry its retries reach."""

from __future__ import annotations

from dalehollow.once.birth import read_key_created_at_ms
from dalehollow.once.owners import Generation, Owner, extend_generations, find_owner, make_scope
from dalehollow.once.table import (
    COMPLETE_FROM_START_MS,
    KeyRecord,
    KeyState,
    KeyTable,
    KeyTableLimits,
    StoredAnswer,
)

__all__ = [
    "COMPLETE_FROM_START_MS",
    "Generation",
    "KeyRecord",
    "KeyState",
    "KeyTable",
    "KeyTableLimits",
    "Owner",
    "StoredAnswer",
    "extend_generations",
    "find_owner",
    "make_scope",
    "read_key_created_at_ms",
]
