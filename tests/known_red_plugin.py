"""Pytest plugin that marks the tests listed in KNOWN-RED.txt as expected failures."""

from __future__ import annotations

import pytest

from tests.known_red import find_uncollected, read_known_failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark listed tests as strict xfail; reject unknown tests in a run of whole files."""
    failures = read_known_failures()
    runs_whole_files = not any("::" in arg for arg in config.args)
    uncollected = find_uncollected(failures, (item.nodeid for item in items))
    if uncollected and runs_whole_files:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(uncollected)}")
    reasons = {failure.test: f"{failure.observed} ({failure.issue})" for failure in failures}
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures."""
    for failure in read_known_failures():
        line = f"known red: {failure.test}; {failure.command}; {failure.observed}; {failure.issue}"
        terminalreporter.write_line(line)
