"""Run a gateway with one known defect, to show that the soak can fail.

python -m soak.defects NAME run SETTINGS
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

from dalehollow import cli
from dalehollow.aio import client
from dalehollow.gateway import outcome, table
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.retries import RetryWindow
from dalehollow.gateway.state import GatewayState
from dalehollow.platform import follow, servers
from dalehollow.platform.store import StoreEra

GO_BACK_S = 0.5


def _refuse_what_may_have_run() -> None:
    """Answer every failure as if the request had surely not run."""
    fail = outcome.fail

    def refuse(*args: Any, **kwargs: Any) -> None:
        fail(*args, **{**kwargs, "status": 503, "retry_after_s": 0.1})

    outcome.fail = refuse


def _repeat_everything() -> None:
    """Take every request for one that may run again."""
    table.Route.is_repeatable = property(lambda route: True)  # type: ignore[assignment,method-assign]


def _go_back_a_version() -> None:
    """Put the configuration before in force again, a moment after each new one."""
    take = GatewayState.apply_table

    def take_and_go_back(state: GatewayState, new: Any) -> None:
        before = state.table
        take(state, new)
        loop = asyncio.get_running_loop()
        loop.call_later(GO_BACK_S, lambda: setattr(state, "table", before or new))

    GatewayState.apply_table = take_and_go_back  # type: ignore[method-assign]


def _read_history_in_a_hurry() -> None:
    """Ask for all changes since the last reading, and give an answer up after a short time."""
    follow.HISTORY_MAX_AGE_S = follow.SLOW_RESPONSE_S = float("inf")
    client.ANSWER_TIMEOUT_S = 0.1
    _fetch_no_copies()


def _fetch_no_copies() -> None:
    """Learn from the store and the hall's relay only."""
    StoreCopies.record_peer_revision = lambda *args: None  # type: ignore[method-assign]


def _know_no_eras() -> None:
    """Order what the store tells by its revisions alone."""
    StoreEra.observe = lambda *args: 0  # type: ignore[method-assign]
    _fetch_no_copies()


def _trust_any_entry() -> None:
    """Take entries of other writers for upstreams."""
    servers._find_mistakes = lambda *args: []


def _hear_no_signals() -> None:
    """Leave aside what upstreams say of themselves in answers."""
    GatewayState.apply_signals = lambda *args: None  # type: ignore[method-assign]


def _forget_crashes() -> None:
    """Take each coming of a request for a new one."""
    CrashWatch.check_request = lambda *args: 0.0  # type: ignore[method-assign]
    CrashWatch.may_be_retried = lambda *args: True  # type: ignore[method-assign]


def _allocate_to_oneself() -> None:
    """Have each gateway grant its own tokens."""
    LimitTokens._choose_allocator = lambda tokens, *args: tokens._name  # type: ignore[method-assign]


def _start_with_full_budget() -> None:
    """Give each gateway process its full retry budget at startup."""
    RetryWindow._count_allowed = (  # type: ignore[method-assign]
        lambda window, now_s: window.share * len(window._first_attempts) + window.extra
    )


DEFECTS: dict[str, Callable[[], None]] = {
    "false_refusals": _refuse_what_may_have_run,
    "runs_twice": _repeat_everything,
    "older_configuration": _go_back_a_version,
    "history_in_a_hurry": _read_history_in_a_hurry,
    "no_copies": _fetch_no_copies,
    "no_eras": _know_no_eras,
    "any_entry": _trust_any_entry,
    "no_signals": _hear_no_signals,
    "no_crashes": _forget_crashes,
    "own_tokens": _allocate_to_oneself,
    "full_budget_at_start": _start_with_full_budget,
}
LATE = frozenset({"history_in_a_hurry", "no_copies", "no_eras"})
"""Those that only the bounds in time can show, of what the store tells."""
SIGNALS = frozenset({"no_signals", "no_crashes", "own_tokens"})
"""Those that only the bounds in time can show, of what servers say in answers."""
RETRIES = frozenset({"full_budget_at_start"})
"""Defects that only a large number of retries can expose."""


if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.argv = ["dalehollow", *sys.argv[2:]]
    cli.main()
