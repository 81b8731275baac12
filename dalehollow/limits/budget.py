"""Bound retries to a share of first tries, so that a failing pool is not flooded."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

DEFAULT_RETRY_SHARE = 0.1
DEFAULT_RESERVE = 3.0


@dataclass
class RetryBudget:
    """Hold one account's budget: each first try adds a share, each retry takes one."""

    share: float = DEFAULT_RETRY_SHARE
    reserve: float = DEFAULT_RESERVE
    _balance: float = -1.0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_first_try(self) -> None:
        """Add the share that one first try earns."""
        with self._lock:
            self._balance = min(self.reserve, self._current() + self.share)

    def take_retry(self) -> bool:
        """Take one retry if the budget has it."""
        with self._lock:
            balance = self._current()
            if balance < 1:
                return False
            self._balance = balance - 1
            return True

    def _current(self) -> float:
        return self.reserve if self._balance < 0 else self._balance
