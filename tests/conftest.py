"""Shared fixtures and settings of the tests."""

from __future__ import annotations

import sys
from collections.abc import Iterator

import pytest

from dalehollow.cli import SWITCH_INTERVAL_S
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.web import HttpServer
from standins.hall import Hall, start_hall
from standins.keyvalue import KeyValueStandIn
from standins.processes import Launcher

pytest_plugins = ["pytester", "tests.known_red_plugin"]

# As in the processes under test. Several of them share this process, where the default interval of
# 5 ms per thread would add up.
sys.setswitchinterval(SWITCH_INTERVAL_S)


@pytest.fixture
def platform() -> Iterator[tuple[KeyValueStandIn, HttpKeyValue]]:
    """Provide a key-value stand-in in this process and a client for it."""
    standin = KeyValueStandIn()
    server = HttpServer("127.0.0.1", 0, standin.handle, name="keyvalue")
    server.start()
    yield standin, HttpKeyValue(server.address)
    server.stop()


@pytest.fixture(scope="module")
def hall() -> Iterator[Hall]:
    """Provide a complete hall of processes, shared by the tests of a module."""
    with Launcher() as launcher:
        yield start_hall(launcher, engines=2, settings={"leave_ms": 50})
