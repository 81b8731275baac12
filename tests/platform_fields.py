"""Fill the deploy template with fields like those that the platform gives to a process."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

_TEMPLATE = Path(__file__).parent.parent / "deploy" / "gateway.json5"
_GAP = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

FIELDS: Mapping[str, Any] = {
    "nodeName": "gw",
    "zone": "h",
    "ip": "10.0.0.1",
    "internalPorts": [7000, 7015],
    "heartbeatMs": 1200,
    "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "limits": {"maxFds": 4200, "linkMbps": 20.5, "memoryMb": 300},
    "platform": {"address": "10.0.0.9:3"},
    "bounds": {"graceS": 8, "budgetWindowS": 10, "retryBudgetRatio": 0.2, "budgetExtra": 90},
}


def fill_template(changes: Mapping[str, object]) -> str:
    """Return the filled template; `changes` replaces fields by path, such as `bounds.graceS`.

    A field that is changed to None is absent: its section is left out.
    """
    text = _SECTION.sub(
        lambda section: "" if _find(section[1], changes) is None else section[2],
        _TEMPLATE.read_text(),
    )
    return _GAP.sub(lambda gap: _fill_gap(_find(gap[1], changes), gap[2] is not None), text)


def _find(path: str, changes: Mapping[str, object]) -> object:
    value: Any = FIELDS
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value[name]
    return changes.get(path, value)


def _fill_gap(value: object, is_json: bool) -> str:
    return json.dumps(value) if is_json else str(value)
