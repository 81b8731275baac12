"""Have pytest treat the tests that KNOWN-RED.txt lists as failures that are expected."""

from __future__ import annotations

import pytest

from tests.known_red import find_unknown, read_list


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; a line that names no test ends a run of whole files."""
    listed = read_list()
    runs_whole_files = not any("::" in arg for arg in config.args)
    unknown = find_unknown(listed, (item.nodeid for item in items))
    if unknown and runs_whole_files:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")
    reasons = {k.test: f"{k.seen} ({k.issue})" for k in listed}
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for known in read_list():
        line = f"known red: {known.test}; {known.command}; {known.seen}; {known.issue}"
        terminalreporter.write_line(line)
