"""Run a gateway with one known defect, to show that the soak can fail.

python -m soak.defects NAME run SETTINGS
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from dalehollow import cli
from dalehollow.gateway import outcome, table
from dalehollow.gateway.state import GatewayState


def _refuse_what_may_have_run() -> None:
    """Answer every failure as if the request had surely not run."""
    fail = outcome.fail

    def refuse(*args: Any, **kwargs: Any) -> None:
        fail(*args, **{**kwargs, "status": 503, "retry_after_s": 0.1})

    outcome.fail = refuse


def _repeat_everything() -> None:
    """Take every request for one that may run again."""
    table.Route.is_repeatable = property(lambda route: True)  # type: ignore[assignment,method-assign]


def _take_any_version() -> None:
    """Put every second configuration that comes in force a second time, later."""
    take = GatewayState.take_table
    before: list[Any] = []

    def take_late(state: GatewayState, new: Any) -> None:
        take(state, new)
        before.append(new)
        if len(before) % 2 == 0:
            state.table = before[-2]

    GatewayState.take_table = take_late  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "false_refusals": _refuse_what_may_have_run,
    "runs_twice": _repeat_everything,
    "older_configuration": _take_any_version,
}


if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.argv = ["dalehollow", *sys.argv[2:]]
    cli.main()
