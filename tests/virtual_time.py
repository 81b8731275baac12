"""Run coroutines on an event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    """Count the time that the loop would have waited, and wait for nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the coroutine waits for ever")
        self.now_s += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Hold an event loop on virtual time; nothing in it may wait for the outside."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
