"""Fill the deploy template with fields like those that the platform gives to a process."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

_TEMPLATE = Path(__file__).parent.parent / "deploy" / "gateway.json5"
_GAP = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")

FIELDS: Mapping[str, Any] = {
    "nodeName": "gw",
    "zone": "h",
    "ip": "10.0.0.1",
    "internalPorts": [7000, 7015],
    "heartbeatMs": 1200,
    "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "limits": {"maxFds": 4200, "linkMbps": 20.5},
    "platform": {"address": "10.0.0.9:3"},
    "bounds": {"graceS": 8, "budgetWindowS": 10, "retryBudgetRatio": 0.2, "budgetExtra": 90},
}


def fill_template(changes: Mapping[str, object]) -> str:
    """Return the filled template; `changes` replaces fields by path, such as `bounds.graceS`."""
    text = _TEMPLATE.read_text()
    return _GAP.sub(lambda gap: _fill_gap(gap[1], gap[2] is not None, changes), text)


def _fill_gap(path: str, is_json: bool, changes: Mapping[str, object]) -> str:
    value: Any = FIELDS
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value[name]
    value = changes.get(path, value)
    return json.dumps(value) if is_json else str(value)
