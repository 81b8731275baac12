"""Test that validation reports every error in a configuration file with its location."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from dalehollow.config import check_text
from tests.config_text import make_raw, make_text


def test_valid_file() -> None:
    cfg = check_text("// a comment\n" + make_text()).unwrap()
    assert cfg.services["gate"].operations[0].repeatable is False
    assert cfg.upstreams["m-2"].control is None
    assert [s.name for s in cfg.services_of("g-1")] == ["gate"]


def _set(path: str, value: Any) -> Callable[[dict[str, Any]], None]:
    def change(raw: dict[str, Any]) -> None:
        *parents, last = path.split(".")
        for parent in parents:
            raw = raw[parent]
        raw[last] = value

    return change


MISTAKES = [
    ("halls.cmb-a.region", 5, "is 5, must be a name"),
    ("client_accounts.colombo-city.requests_per_s", "many", "is 'many', must be a number from"),
    ("client_accounts.colombo-city.requests_per_s", True, "is True, must be a number"),
    (
        "client_accounts.colombo-city.max_priority",
        "high",
        "must be one of urgent, normal, background",
    ),
    ("client_accounts.colombo-city.key_sha256", "abc", "must be 64 hexadecimal digits"),
    ("client_accounts.colombo-city.colour", "red", "is unknown; choices: burst, key_sha256"),
    ("upstreams.m-1.hall", "cmb-z", "is 'cmb-z', must be one of cmb-a, ngb"),
    ("upstreams.m-1.http", "localhost:80", "must be an IP address and a port"),
    ("upstreams.m-1.control", 7, "must be an IP address and a port"),
    ("upstreams.m-1.slots", 1.5, "must be an integer"),
    ("services.gate.kind", "odd", "must be one of model, plain"),
    ("services.gate.path_prefix", "gate", "must begin with '/'"),
    ("services.assistant.upstreams", ["m-1", "m-9"], "is 'm-9', must be one of g-1, m-1, m-2"),
    ("services.assistant.upstreams", ["m-1", "m-1"], "contains duplicate names"),
    ("services.assistant.upstreams", "m-1", "must be a list of names"),
    ("services.gate.operations", [{"method": "POST", "path": "/a"}], "repeatable: is missing"),
    ("services.gate.queue_limit", -1, "must be a number from 0"),
    ("groups.wide.policy", "wild", "must be one of calm, skew"),
    ("groups.wide.ranks", [], "must be a list of upstreams"),
    ("deployment", None, "is missing"),
    ("halls", [], "must be an object"),
]


@pytest.mark.parametrize(("path", "value", "message"), MISTAKES)
def test_invalid_value(path: str, value: Any, message: str) -> None:
    raw = make_raw()
    _set(path, value)(raw)
    if value is None:
        del raw[path]
    issues = check_text(json.dumps(raw, indent=1)).unwrap_err()
    assert any(message in str(issue) for issue in issues), issues


def test_all_issues_are_reported_with_their_lines() -> None:
    raw = make_raw()
    raw["upstreams"]["m-1"]["slots"] = 0
    raw["groups"]["wide"]["policy"] = "wild"
    text = "/* two\nlines */\n" + json.dumps(raw, indent=1)
    issues = check_text(text).unwrap_err()
    lines = text.splitlines()
    assert [m.path for m in issues] == ["upstreams.m-1.slots", "groups.wide.policy"]
    assert '"slots": 0' in lines[issues[0].line - 1]
    assert '"policy": "wild"' in lines[issues[1].line - 1]


@pytest.mark.parametrize("text", ["{", "[]", "5", '{"a": 1, "a": 2}', "", "{" * 3000])
def test_invalid_text(text: str) -> None:
    assert check_text(text).is_err()


def test_two_services_with_one_model() -> None:
    raw = make_raw()
    raw["services"]["other"] = dict(raw["services"]["assistant"])
    assert "claims 'assist', as 'assistant' does" in str(
        check_text(json.dumps(raw)).unwrap_err()[0]
    )


def test_two_accounts_with_one_key() -> None:
    raw = make_raw()
    raw["client_accounts"]["other"] = dict(raw["client_accounts"]["colombo-city"])
    assert "is also the key of 'colombo-city'" in str(check_text(json.dumps(raw)).unwrap_err()[0])
