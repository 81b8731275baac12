"""Run a gateway with one known defect, to check that the soak tests detect it.

python -m soak.defects NAME run SETTINGS
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

from dalehollow import cli
from dalehollow.aio import client
from dalehollow.crashes import Ruling, Suspects
from dalehollow.events import EventSplitter
from dalehollow.gateway import admit, outcome, process, table
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.retries import RetryWindow
from dalehollow.gateway.standstill import StandstillWatch
from dalehollow.gateway.state import GatewayState
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.platform import follow, servers
from dalehollow.platform.store import StoreEra

REVERT_DELAY_S = 0.5


def _report_failures_as_not_run() -> None:
    """Report every failed request as not run and safe to retry."""
    fail = outcome.fail

    def refuse(*args: Any, **kwargs: Any) -> None:
        fail(*args, **{**kwargs, "status": 503, "retry_after_s": 0.1})

    outcome.fail = refuse


def _mark_all_routes_repeatable() -> None:
    """Treat every request as repeatable."""
    table.Route.is_repeatable = property(lambda route: True)  # type: ignore[assignment,method-assign]


def _revert_to_previous_configuration() -> None:
    """Restore the previous configuration shortly after each change."""
    apply_table = GatewayState.apply_table

    def apply_and_revert(state: GatewayState, new: Any) -> None:
        previous = state.table
        apply_table(state, new)
        loop = asyncio.get_running_loop()
        loop.call_later(REVERT_DELAY_S, lambda: setattr(state, "table", previous or new))

    GatewayState.apply_table = apply_and_revert  # type: ignore[method-assign]


def _use_short_history_timeout() -> None:
    """Always read the history since the last read, with a short response timeout."""
    follow.HISTORY_MAX_AGE_S = follow.SLOW_RESPONSE_S = float("inf")
    client.ANSWER_TIMEOUT_S = 0.1
    _disable_peer_copies()


def _disable_peer_copies() -> None:
    """Receive changes only from the store and the hall's relay, not from peers' copies."""
    StoreCopies.record_peer_revision = lambda *args: None  # type: ignore[method-assign]


def _ignore_store_eras() -> None:
    """Order store data by revision alone, which fails after a store is restored."""
    StoreEra.observe = lambda *args: 0  # type: ignore[method-assign]
    _disable_peer_copies()


def _accept_invalid_entries() -> None:
    """Use invalid server entries as upstreams."""
    servers._find_mistakes = lambda *args: []


def _ignore_upstream_signals() -> None:
    """Ignore backoff, limit and leaving headers in upstream responses."""
    GatewayState.apply_signals = lambda *args: None  # type: ignore[method-assign]


def _disable_crash_detection() -> None:
    """Treat each attempt of a request as a new request."""
    Suspects.check_request = lambda *args: Ruling()  # type: ignore[method-assign]
    Suspects.refused_s = lambda *args: 0.0  # type: ignore[method-assign]
    Suspects.may_be_retried = lambda *args: True  # type: ignore[method-assign]


def _suspect_whole_requests_only() -> None:
    """Ignore the parts of prompts that requests share."""
    make_fingerprints = admit.make_fingerprints
    admit.make_fingerprints = lambda *args: make_fingerprints(*args)[:1]


def _blame_all_parts() -> None:
    """Blame each part that was in flight at three crashes, whatever was answered."""
    Suspects.record_answered = lambda *args: None  # type: ignore[method-assign]
    Suspects.record_begun = lambda *args: frozenset()  # type: ignore[method-assign]
    Suspects._select_culprits = lambda suspects: {  # type: ignore[method-assign]
        name: s for name, s in suspects._suspects.items() if len(s.crashes) >= 3
    }
    Suspects._list_culprits_of = lambda suspects, names: [  # type: ignore[method-assign]
        name for name in names if name in suspects._culprits
    ]


def _accept_all_connections() -> None:
    """Let callers' connections use up all file descriptors."""
    process.count_caller_connections = lambda limit: None


def _allocate_tokens_locally() -> None:
    """Have each gateway allocate its own rate-limit tokens."""
    LimitTokens._choose_allocator = lambda tokens, *args: tokens._name  # type: ignore[method-assign]


def _ignore_incomplete_events() -> None:
    """Take the end of a body for the end of a stream."""
    EventSplitter.find_truncation = lambda *args, **kwargs: None  # type: ignore[method-assign]


def _start_with_full_budget() -> None:
    """Give each gateway process its full retry budget at startup."""
    RetryWindow._count_allowed = (  # type: ignore[method-assign]
        lambda window, now_s: window.share * len(window._first_attempts) + window.extra
    )


def _count_backlog_at_once() -> None:
    """Count requests that waited through a standstill when they are accepted."""
    StandstillWatch.estimate_arrival_s = lambda watch, *args: watch._clock()  # type: ignore[method-assign]


def _know_runs_by_the_list_alone() -> None:
    """Take what answers before a restart is listed for the run before it."""
    UpstreamSet.record_port_closed = lambda *args: None  # type: ignore[method-assign]
    UpstreamSet.record_reported_end = lambda *args: None  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "false_refusals": _report_failures_as_not_run,
    "runs_twice": _mark_all_routes_repeatable,
    "older_configuration": _revert_to_previous_configuration,
    "history_in_a_hurry": _use_short_history_timeout,
    "no_copies": _disable_peer_copies,
    "no_eras": _ignore_store_eras,
    "any_entry": _accept_invalid_entries,
    "no_signals": _ignore_upstream_signals,
    "no_crashes": _disable_crash_detection,
    "whole_requests_only": _suspect_whole_requests_only,
    "all_parts_blamed": _blame_all_parts,
    "all_connections": _accept_all_connections,
    "own_tokens": _allocate_tokens_locally,
    "any_stream_end": _ignore_incomplete_events,
    "full_budget_at_start": _start_with_full_budget,
    "backlog_at_once": _count_backlog_at_once,
    "listed_runs_only": _know_runs_by_the_list_alone,
}
PROPAGATION_DEFECTS = frozenset({"history_in_a_hurry", "no_copies", "no_eras"})
"""Defects in the propagation of store changes, detected only by the timing checks."""
SIGNAL_DEFECTS = frozenset(
    {"no_signals", "no_crashes", "whole_requests_only", "all_parts_blamed", "own_tokens"}
)
"""Those that only the bounds in time can show, of what servers say in answers."""
CONNECTION_DEFECTS = frozenset({"all_connections"})
"""Defects that only many open connections can expose."""
STREAM_DEFECTS = frozenset({"any_stream_end"})
"""Defects that only streams which end too early can expose."""
RETRY_DEFECTS = frozenset({"full_budget_at_start"})
"""Defects that only a large number of retries can expose."""
SUSPENSION_DEFECTS = frozenset({"backlog_at_once"})
"""Defects that only a backlog of callers' requests can expose."""
RESTART_DEFECTS = frozenset({"listed_runs_only"})
"""Defects that only a restart listed late can expose."""


if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.argv = ["dalehollow", *sys.argv[2:]]
    cli.main()
