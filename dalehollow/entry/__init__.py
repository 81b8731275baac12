"""Take callers' requests, choose an upstream for each and relay its answer."""

from __future__ import annotations

from dalehollow.entry.process import EntryProcess

__all__ = ["EntryProcess"]
