"""Supervise the background tasks of a process, and wait for events with a timeout."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from dalehollow.telemetry.logs import log_event

RESTART_PAUSE_S = 0.5
"""Pause before a failed task is restarted: short compared with the time limits of the tasks, long
enough that a repeated failure does not use up the CPU."""

_LOG = logging.getLogger(__name__)


def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task; on failure, log the error and restart it, until it returns."""

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


async def wait_set(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until an event is set or the timeout expires; return whether it is set."""
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False
