"""Test the command line against a stand-in for the platform and against real processes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from dalehollow.errors import SettingsError
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.settings import parse_settings
from standins.hall import Hall
from standins.keyvalue import KeyValueStandIn
from tests.config_text import make_raw, make_text

EXAMPLES = Path(__file__).parent.parent / "examples"
Platform = tuple[KeyValueStandIn, HttpKeyValue]


def run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "dalehollow", *args], capture_output=True, text=True, timeout=60
    )


@pytest.mark.parametrize("name", ["kelanisoft", "truco"])
def test_examples_are_valid(name: str) -> None:
    finished = run("check", str(EXAMPLES / f"{name}.json5"))
    assert finished.returncode == 0, finished.stdout
    assert "halls=3 client_accounts=10 upstreams=19 services=2 groups=1" in finished.stdout


def test_check_prints_every_error(tmp_path: Path) -> None:
    path = tmp_path / "bad.json5"
    path.write_text(make_text(deployment="NO", groups={"g": {"ranks": [], "policy": "wild"}}))
    finished = run("check", str(path))
    assert finished.returncode == 1
    assert len(finished.stdout.splitlines()) == 3
    assert "Traceback" not in finished.stderr


def test_apply_show_and_conflict(platform: Platform, tmp_path: Path) -> None:
    address = platform[1]._address
    path = tmp_path / "good.json5"
    path.write_text("// as it was written\n" + make_text())
    assert "version=1 parent=0" in run("apply", str(path), f"--platform={address}").stdout
    assert "// as it was written" in run("show", f"--platform={address}").stdout
    conflicting = run("apply", str(path), f"--platform={address}", "--parent=0")
    assert conflicting.returncode == 1
    assert (
        "version 1" in conflicting.stderr
        and "nothing of this file was applied" in conflicting.stderr
    )


def test_diff_and_history(platform: Platform, tmp_path: Path) -> None:
    address = platform[1]._address
    path = tmp_path / "file.json5"
    path.write_text(make_text())
    assert (
        "added client_accounts.colombo-city"
        in run("diff", str(path), f"--platform={address}").stdout
    )
    run("apply", str(path), f"--platform={address}")
    assert run("diff", str(path), f"--platform={address}").stdout == "nothing would change\n"
    raw = make_raw()
    raw["upstreams"]["m-1"]["slots"] = 4
    raw["groups"] = {}
    path.write_text(json.dumps(raw))
    finished = run("diff", str(path), f"--platform={address}")
    assert finished.stdout.splitlines() == ["changed upstreams.m-1", "removed groups.wide"]
    run("apply", str(path), f"--platform={address}")
    rows = json.loads(run("history", f"--platform={address}", "--json").stdout)
    assert [row["version"] for row in rows] == [2, 1]


@pytest.mark.parametrize(
    ("args", "code", "message"),
    [
        (["check", "nowhere.json5"], 2, "'nowhere.json5' cannot be read"),
        (["run", "nowhere.json5"], 2, "'nowhere.json5' cannot be read"),
        (["show", "--platform=127.0.0.1:1"], 1, "refused"),
        (["dump", "127.0.0.1:1"], 1, "did not answer"),
    ],
)
def test_errors_print_no_traceback(args: list[str], code: int, message: str) -> None:
    finished = run(*args)
    assert finished.returncode == code
    assert message in finished.stderr
    assert "Traceback" not in finished.stderr


def test_status_and_dump(hall: Hall) -> None:
    addresses = [p.control for p in [*hall.entries, *hall.sidecars.values()]]
    finished = run("status", *addresses, "--json")
    assert finished.returncode == 0, finished.stdout + finished.stderr
    assert {row["config_version"] for row in json.loads(finished.stdout)} == {1}
    state = json.loads(run("dump", hall.entries[0].control).stdout)
    assert state["role"] == "entry" and state["upstreams"]
    state = json.loads(run("dump", hall.sidecars["gate-1"].control).stdout)
    assert state["gate"]["slots"] == 8


SETTINGS = {"role": "entry", "name": "e", "hall": "cmb-a"}


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"role": "boss"}, "'role' is 'boss', choices: entry, sidecar"),
        ({"leave_ms": -1}, "'leave_ms' is -1, must be a whole number from 0"),
        ({"leave_ms": True}, "'leave_ms' is True"),
        ({"leave_ms": 0.5}, "'leave_ms' is 0.5, must be a whole number from 0"),
        ({"leave_s": -1}, "'leave_s' is -1, must be a number from 0"),
        ({"leave_s": 1, "leave_ms": 1000}, "'leave_s' and 'leave_ms' are both given"),
        ({"http": "localhost"}, "'http' is 'localhost', must be like 127.0.0.1:80"),
        ({"peers": ["x"]}, "must be a list of addresses"),
        ({"colour": 1}, "'colour' is unknown; choices: role"),
        ({"role": "sidecar"}, "'upstream' is missing; 'upstream_http' is missing"),
        ({"log_level": "loud"}, "choices: debug, info"),
    ],
)
def test_invalid_settings(change: dict[str, object], message: str) -> None:
    with pytest.raises(SettingsError, match=message.replace("[", r"\[")):
        parse_settings(json.dumps({**SETTINGS, **change}))


def test_durations_may_be_given_in_seconds() -> None:
    """Guards against entries and sidecars that do not start because a figure has a fraction."""
    settings = parse_settings(json.dumps({**SETTINGS, "drain_timeout_s": 7.5, "leave_ms": 500.0}))
    assert (settings.drain_timeout_ms, settings.leave_ms) == (7_500, 500)


def test_settings_defaults() -> None:
    assert parse_settings("{role: 'entry', name: 'e', hall: 'h'} // fine").beat_interval_ms == 500
