"""Provide a clock that only advances when a test sets it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class ManualClock:
    """Return `now_s` when called, like the clock functions that it replaces."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s
