"""Kill the planners of an idle group one after the other, while few of their orders come late."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import random
import sys
import time
from pathlib import Path
from types import ModuleType
from typing import Any

from review.group import Group, Rank
from review.web import Connection

FOLDER = Path(__file__).resolve().parent
GO_RANK, ARM_RANK = 0, 7
"""The ranks that leave one `go` and the arms of the last switch unanswered."""
MIN_LATE_S, MAX_LATE_S = 2.0, 12.0
ARM_LATE_S = 3.0
GATEWAYS = 7
DOWN_S = 3.5
AFTER_SWITCH_S = 0.3
MORNING_S = 6.0
GO_AFTER_S = 0.45
"""From the hold until the late `go`: the callers' requests have reached the held pass by then."""
MAX_KILLS = 5
CHECK_S = 0.04
"""A rank checks a map before it answers."""
PAUSE_S = 6.0


def load_earlier_case() -> ModuleType:
    """Return the module of review/1, which is no package."""
    spec = importlib.util.spec_from_file_location("case_1", FOLDER.parent / "1" / "case.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["case_1"] = module
    spec.loader.exec_module(module)
    return module


earlier = load_earlier_case()
HAS_TROUBLE: bool = earlier.HAS_TROUBLE
earlier.GATEWAYS = GATEWAYS  # type: ignore[attr-defined]
earlier.MORNING_S = MORNING_S  # type: ignore[attr-defined]


class LateGroup(Group):
    """Leave one `go` of each planner and some arms of the last one unanswered.

    A planner is the last one if it holds the group before a pass for which such a `go` is late.
    """

    planner = 1

    def begin(self) -> None:
        """Create the events; called once the event loop runs."""
        self.switched, self.arming = asyncio.Event(), asyncio.Event()
        # By planner: the pass of the `go` that its rank has yet to carry out.
        self.late: dict[int, int] = {}
        self.last_step = 0

    async def _order(self, rank: Rank, connection: Connection, order: dict[str, Any]) -> None:
        operation, step = order["operation"], order.get("step", 0)
        if operation == "prepare":
            await asyncio.sleep(CHECK_S)
        if rank.number == GO_RANK and operation == "go" and not self.arming.is_set():
            if HAS_TROUBLE and self.planner > 1 and self.planner not in self.late:
                self.late[self.planner] = step
                return await self._leave(rank, order, self._wait_for_arms(step))
            self.switched.set()
        elif rank.number == GO_RANK and operation == "hold" and step in self.late.values():
            self.last_step = step
            self.arming.set()
        elif rank.number == ARM_RANK and operation == "arm" and step == self.last_step:
            return await self._leave(rank, order, asyncio.sleep(ARM_LATE_S))
        await super()._order(rank, connection, order)

    async def _wait_for_arms(self, step: int) -> None:
        """Wait until a planner arms the ranks for the same pass, within an order's time."""
        began_s = time.monotonic()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.arming.wait(), MAX_LATE_S - 1.0)
        if step == self.last_step:
            await asyncio.sleep(max(GO_AFTER_S, began_s + MIN_LATE_S - time.monotonic()))

    async def _leave(self, rank: Rank, order: dict[str, Any], wait: Any) -> None:
        """Carry an order out after a wait; the caller gets no answer."""
        short = {k: v for k, v in order.items() if k != "map"}
        self.record(f"rank {rank.number} leaves {short} unanswered")
        began_s = time.monotonic()
        task = asyncio.create_task(self._carry_out_after(rank, order, short, wait, began_s))
        self._late.add(task)
        await asyncio.sleep(2.0)
        raise ConnectionResetError

    async def _carry_out_after(
        self, rank: Rank, order: dict[str, Any], short: dict[str, Any], wait: Any, began_s: float
    ) -> None:
        await wait
        status = self._carry_out(rank, order)
        late_s = time.monotonic() - began_s
        self.record(f"rank {rank.number} carries out {short} {late_s:.2f} s late: {status}")


class Case(earlier.Case):  # type: ignore[name-defined, misc]
    """Kill the planner twice; callers, servers and the check are as in the earlier case."""

    def __init__(self) -> None:
        """Create the stand-ins, with a group of the class above."""
        super().__init__()
        self.group = LateGroup(self.record, random.Random(5))
        self.group.begin()

    async def _play(self) -> int:
        if not await self._wait_until_ready() or await self._wait_for_holder() is None:
            self.record("no gateway takes the duty")
            return 2
        await asyncio.sleep(2.0)
        self.record("a first burst of short requests")
        await asyncio.gather(*(self._request(n, tokens=35) for n in range(48)))
        self.record("the callers pause")
        await self._wait_until_armed()
        if HAS_TROUBLE:
            await self._replace_planners()
        else:
            await asyncio.sleep(PAUSE_S)
        self.record("the callers come back")
        await asyncio.gather(*(self._call_again(n) for n in range(20)))
        passes = len(self.group.broken)
        ends = [a.end if a.status == 200 else str(a.status) for a in self.answers]
        self.record(f"answers: { {end: ends.count(end) for end in sorted(set(ends))} }")
        if not self.group.step or "whole" not in ends:
            return 2
        self.record(f"{passes} passes began with maps that differ" if passes else "MAP held")
        return 1 if passes else 0

    async def _replace_planners(self) -> None:
        """Kill planners until one holds the group for a pass that a `go` is late for."""
        for _ in range(MAX_KILLS):
            self.group.switched.clear()
            await self._replace_planner()
            events = (self.group.switched, self.group.arming)
            waits = [asyncio.create_task(event.wait()) for event in events]
            await asyncio.wait(waits, timeout=5.0, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()
            if self.group.arming.is_set():
                break
            await asyncio.sleep(AFTER_SWITCH_S)

    async def _wait_until_armed(self) -> None:
        for _ in range(100):
            if all(rank.armed for rank in self.group.ranks):
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(AFTER_SWITCH_S)

    async def _replace_planner(self) -> None:
        """Kill the process that plans; it starts again some seconds later."""
        holder = self._find_holder()
        self.group.planner += 1
        armed = [rank.number for rank in self.group.ranks if rank.armed]
        self.record(f"pass {self.group.step}; armed: {armed}")
        if holder is None:
            return
        self.record(f"{holder.name}, which gave the last order, is killed")
        await holder.end()
        self.restarts = getattr(self, "restarts", [])
        self.restarts.append(asyncio.create_task(self._start_later(holder)))

    async def _start_later(self, machine: Any) -> None:
        await asyncio.sleep(DOWN_S)
        await machine.start()


async def main() -> int:
    """Play the case within 110 s, write the record and return the exit code."""
    case = Case()
    code = 2
    try:
        async with asyncio.timeout(110):
            code = await case.run()
    except Exception as exc:
        case.record(f"the case could not run: {exc!r}")
    finally:
        case.record(f"exit {code}")
        (FOLDER / "record.txt").write_text("\n".join(case.lines) + "\n")
    return code


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
