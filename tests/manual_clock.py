"""Stand in for a steady clock that goes only where a test sets it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class ManualClock:
    """Hold the time; call it to read it."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s
