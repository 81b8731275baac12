"""Build configuration files for tests."""

from __future__ import annotations

import json
from typing import Any


def make_raw(**changes: Any) -> dict[str, Any]:
    """Return a valid configuration as a dictionary, with changes to its top-level fields."""
    raw: dict[str, Any] = {
        "deployment": "kelanisoft",
        "halls": {"cmb-a": {"region": "lk-west"}, "ngb": {"region": "lk-west"}},
        "client_accounts": {
            "colombo-city": {"key_sha256": "0" * 64, "requests_per_s": 5, "max_priority": "urgent"}
        },
        "upstreams": {
            "m-1": {"hall": "cmb-a", "http": "127.0.0.1:1000", "control": "127.0.0.1:1001"},
            "m-2": {"hall": "ngb", "http": "127.0.0.1:1002"},
            "g-1": {"hall": "ngb", "http": "127.0.0.1:1003", "control": "127.0.0.1:1004"},
        },
        "services": {
            "assistant": {"kind": "model", "models": ["assist"], "upstreams": ["m-1", "m-2"]},
            "gate": {
                "kind": "plain",
                "path_prefix": "/gate",
                "upstreams": ["g-1"],
                "operations": [{"method": "POST", "path": "/gate/confirm", "repeatable": False}],
            },
        },
        "groups": {"wide": {"ranks": ["m-1", "m-1", "m-2", "m-2"], "policy": "calm"}},
    }
    raw.update(changes)
    return raw


def make_text(**changes: Any) -> str:
    """Return a valid configuration file as text."""
    return json.dumps(make_raw(**changes), indent=1)
