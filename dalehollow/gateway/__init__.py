"""Serve callers straight from upstreams that have no sidecar, on one event loop."""

from __future__ import annotations
