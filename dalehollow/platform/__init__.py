"""Meet the platform: its key-value service and its VM list."""

from __future__ import annotations

from dalehollow.platform.keyvalue import Entry, HttpKeyValue, KeyValue, Swap

__all__ = ["Entry", "HttpKeyValue", "KeyValue", "Swap"]
