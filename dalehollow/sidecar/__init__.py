"""Stand beside one upstream, as the only gate through which the system gives it work."""

from __future__ import annotations

from dalehollow.sidecar.process import Sidecar

__all__ = ["Sidecar"]
