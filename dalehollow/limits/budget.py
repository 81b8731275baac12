"""Limit retries to a share of first attempts, so that they do not overload a failing pool."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

DEFAULT_RETRY_SHARE = 0.1
DEFAULT_MAX_BALANCE = 3.0


@dataclass
class RetryBudget:
    """Budget an account's retries.

    A first attempt adds `share` to the balance, up to `max_balance`; a retry takes one.
    """

    share: float = DEFAULT_RETRY_SHARE
    max_balance: float = DEFAULT_MAX_BALANCE
    _balance: float = -1.0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_first_attempt(self) -> None:
        """Add the share earned by one first attempt."""
        with self._lock:
            self._balance = min(self.max_balance, self._current_balance() + self.share)

    def take_retry(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        with self._lock:
            balance = self._current_balance()
            if balance < 1:
                return False
            self._balance = balance - 1
            return True

    def _current_balance(self) -> float:
        return self.max_balance if self._balance < 0 else self._balance
