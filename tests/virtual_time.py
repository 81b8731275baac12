"""Run coroutines on an event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Return immediately and advance the virtual time by the time-out instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("no timer is scheduled: the coroutine would wait forever")
        self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run on virtual time; no callback may depend on other processes or threads."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s

    def stand_still(self, duration_s: float) -> None:
        """Let time pass without running callbacks; those due by then run in one iteration."""
        self._virtual_selector.now_s += duration_s


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
