"""Test the client of ranks against answers that are whole or truncated."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from dalehollow.aio import CallerConnection, CallerRequest
from dalehollow.platform.ranks import RankClient
from standins.platform import listen

REPORT = (
    b'{"group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"}, "step": 7, "map": 1,'
    b' "prepared": 0, "armed": null, "held": null, "pace": 1.0}'
)
COUNTS = b'{"epoch": 1, "step": 7, "counts": [1, 2, 3, 4]}'
LISTS = b'{"map": {"version": 1, "experts": [[0, 1], [2]]}}'
BODIES = {b"/report": REPORT, b"/picked": COUNTS, b"/picked?lists=1": LISTS}


def _read_all(cut_bytes: int) -> list[object]:
    """Return what each read gives if the rank closes unframed answers `cut_bytes` early."""

    async def answer(caller: CallerConnection, request: CallerRequest) -> None:
        body = BODIES[request.target]
        caller.begin_body(200, [])
        await caller.send_piece(body[: len(body) - cut_bytes])
        caller.end_stream()

    async def run() -> list[object]:
        client = RankClient(2, {0: await listen(answer)}, 100.0)
        reads: tuple[Callable[[int], Awaitable[object]], ...]
        reads = (client.read_report, client.read_counts, client.read_layers)
        return [await read(0) for read in reads]

    return asyncio.run(run())


def test_whole_answer_without_framing_is_read() -> None:
    assert None not in _read_all(0)


@pytest.mark.parametrize("cut_bytes", [1, 10, 40])
def test_truncated_answer_without_framing_counts_as_none(cut_bytes: int) -> None:
    """Guards against half a report that raises and ends a planning round, even within a switch."""
    assert _read_all(cut_bytes) == [None, None, None]
