"""Write logs and metrics; nothing is imported here, so that logs alone start fast."""

from __future__ import annotations
