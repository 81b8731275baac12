"""Write logs and metrics."""

from __future__ import annotations

from dalehollow.telemetry.logs import log_event, setup_logs
from dalehollow.telemetry.metrics import Metrics

__all__ = ["Metrics", "log_event", "setup_logs"]
