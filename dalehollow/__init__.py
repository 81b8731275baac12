"""Balance load across expert-parallel model groups and plain services."""

from __future__ import annotations

from dalehollow.errors import Failure, Reason
from dalehollow.verdict import Step, Verdict, assess_failure

__all__ = ["Failure", "Reason", "Step", "Verdict", "__version__", "assess_failure"]

__version__ = "0.1.0"
