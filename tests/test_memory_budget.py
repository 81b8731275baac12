"""Test which requests and answers are dropped when they hold too much memory."""

from __future__ import annotations

import asyncio

from dalehollow.aio import ClientConnection, MemoryBudget, ResponseError
from dalehollow.gateway.bodies import read_buffered
from dalehollow.memory import SMALL_BYTES

LIMIT_BYTES = 100 * SMALL_BYTES


class _Consumer:
    """Record whether its data was dropped."""

    def __init__(self) -> None:
        self.is_dropped = False

    def drop(self) -> None:
        self.is_dropped = True


def test_largest_consumers_are_dropped() -> None:
    calls = []
    budget = MemoryBudget(LIMIT_BYTES, lambda: calls.append(1))
    small, large, larger = _Consumer(), _Consumer(), _Consumer()
    budget.update(large, 0, LIMIT_BYTES // 3)
    budget.update(larger, 0, LIMIT_BYTES // 2)
    assert not calls
    budget.update(small, 0, LIMIT_BYTES // 4)
    assert [h.is_dropped for h in (small, large, larger)] == [False, False, True]
    assert budget.used_bytes == LIMIT_BYTES // 3 + LIMIT_BYTES // 4
    assert (len(calls), budget.dropped) == (1, 1)


def test_requests_being_served_are_kept() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    served, receiving = _Consumer(), _Consumer()
    budget.update(served, LIMIT_BYTES, 0)
    budget.update(receiving, 0, LIMIT_BYTES // 2)
    assert [h.is_dropped for h in (served, receiving)] == [False, True]
    budget.update(served, 0, 0)
    assert (budget.used_bytes, budget.kept_bytes) == (0, 0)


def test_large_requests_leave_room_for_small_ones() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    # One request alone is served, however large.
    assert budget.may_serve(LIMIT_BYTES)
    budget.update(_Consumer(), LIMIT_BYTES // 2, 0)
    assert budget.may_serve(LIMIT_BYTES // 4)
    assert not budget.may_serve(LIMIT_BYTES // 2)
    budget.update(_Consumer(), LIMIT_BYTES // 4, 0)
    assert not budget.may_serve(SMALL_BYTES + 1)
    assert budget.may_serve(SMALL_BYTES)


def test_body_that_is_dropped_is_broken_off() -> None:
    async def run() -> None:
        budget, connection = MemoryBudget(1000), ClientConnection()
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 600)
        await connection.read_head()
        try:
            await read_buffered(connection, budget)
        except ResponseError as exc:
            assert "memory" in str(exc)
        else:
            raise AssertionError("the body was read")
        assert budget.used_bytes == 0

    asyncio.run(asyncio.wait_for(run(), 20))
