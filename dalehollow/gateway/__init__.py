"""Gateway: serves callers directly from upstreams without a sidecar, on one event loop."""

from __future__ import annotations
