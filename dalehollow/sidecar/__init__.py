"""Run beside one upstream, as the only path by which the system sends it requests."""

from __future__ import annotations

from dalehollow.sidecar.process import Sidecar

__all__ = ["Sidecar"]
