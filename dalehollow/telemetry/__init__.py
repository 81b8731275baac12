"""Provide logs, metrics and traces; import none of them here, so that logs alone load fast."""

from __future__ import annotations
