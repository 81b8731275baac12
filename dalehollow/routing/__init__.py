"""Choose an upstream for each request."""

from __future__ import annotations

from dalehollow.routing.choice import Candidate, LoadReport, choose, expected_wait_ms

__all__ = ["Candidate", "LoadReport", "choose", "expected_wait_ms"]
