"""Accept requests from callers, select an upstream for each and relay the response."""

from __future__ import annotations

from dalehollow.entry.process import EntryProcess

__all__ = ["EntryProcess"]
