"""Limit a rate with a token bucket."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

MS_PER_S = 1000


@dataclass
class TokenBucket:
    """Refill tokens at a constant rate up to a burst; times are monotonic seconds."""

    rate_per_s: float
    burst: float
    _tokens: float = -1.0
    _filled_at_s: float = 0.0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def take(self, now_s: float) -> int:
        """Take one token and return 0, or return the milliseconds until one is available."""
        with self._lock:
            self._refill(now_s)
            if self._tokens >= 1:
                self._tokens -= 1
                return 0
            return max(1, round((1 - self._tokens) / self.rate_per_s * MS_PER_S))

    def resize(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the limit; accumulated tokens are kept, up to the new burst."""
        with self._lock:
            self._refill(now_s)
            self.rate_per_s = rate_per_s
            self.burst = burst
            self._tokens = min(self._tokens, burst)

    def _refill(self, now_s: float) -> None:
        if self._tokens < 0:
            self._tokens = self.burst
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.rate_per_s)
        self._filled_at_s = now_s
