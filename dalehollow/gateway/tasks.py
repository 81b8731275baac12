"""Keep the tasks of a process running, whatever an answer from outside makes them fail with."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from dalehollow.telemetry.logs import log_event

RESTART_PAUSE_S = 0.5
"""Pause before a task that failed begins anew: short beside the bounds of what it does, long
enough that a failure that repeats does not take the processor."""

_LOG = logging.getLogger(__name__)


def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task; where it fails, log why and begin it anew until it returns."""

    async def supervise() -> None:
        while True:
            try:
                await run()
                return
            except Exception as exc:
                text = f"{type(exc).__name__}: {exc}"
                log_event(_LOG, "task_failed", logging.ERROR, task=name, error=text)
                _LOG.error("event=task_trace task=%s", name, exc_info=exc)
            await asyncio.sleep(RESTART_PAUSE_S)

    return asyncio.get_running_loop().create_task(supervise(), name=name)
