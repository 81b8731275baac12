"""Send orders to the model servers that form the ranks of a group, and read their reports."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from dalehollow.aio import ConnectError, ResponseError, connect
from dalehollow.groups.ranks import GroupMap, OrderReply, RankCounts, RankReport
from dalehollow.telemetry.logs import log_event

CONNECT_TIMEOUT_S = 0.12
ORDER_TIMEOUT_S = 0.12
"""Ranks answer an order within one round trip; without a response by then none will come."""
TRANSFER_TIME_FACTOR = 2.0
"""Sending a map may take twice as long as on an idle link, which it shares with streams."""
READ_TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 1024 * 1024
"""Maximum size of a rank's report, its counts or its experts."""
_TAKEN_STATUSES = frozenset({200, 202})
_OK_STATUS = 200
GROUP_OPEN = "open"

_LOG = logging.getLogger(__name__)

_T = TypeVar("_T")


class _Group(msgspec.Struct):
    epoch: int = 0
    state: str = GROUP_OPEN


class _Armed(msgspec.Struct):
    version: int = 0
    step: int = 0


class _Report(msgspec.Struct):
    group: _Group
    # Number of the last pass that began, counted since the group was formed.
    step: int = 0
    # Versions of the map in use and of the prepared map.
    map: int = 0
    prepared: int | None = None
    armed: _Armed | None = None
    # Pass that must not begin.
    held: int | None = None
    pace: float = 1.0


class _Counts(msgspec.Struct):
    step: int
    epoch: int
    # Counts of all layers, concatenated.
    counts: list[int]


class _Held(msgspec.Struct):
    experts: list[list[int]]
    version: int = 0


class _Lists(msgspec.Struct):
    map: _Held


class RankClient:
    """Call the ranks of one group by their addresses."""

    def __init__(self, layers: int, addresses: Mapping[int, str], link_mbps: float) -> None:
        """Create a client; `addresses` is read at each call, `link_mbps` is this VM's link rate."""
        self._layers = layers
        self._link_mbps = link_mbps
        self._addresses = addresses
        self.orders = 0
        self.counts_read = 0

    async def prepare(self, rank: int, version: int, group_map: GroupMap, epoch: int) -> OrderReply:
        """Order a rank to copy the weights that a map needs.

        The map goes to all ranks at once, so for a large group the timeout includes the time to
        send it over this VM's link.
        """
        order = {"operation": "prepare", "version": version, "map": group_map, "epoch": epoch}
        body = msgspec.json.encode(order)
        bits = len(body) * len(self._addresses) * 8
        transfer_s = bits / (self._link_mbps * 1e6) * TRANSFER_TIME_FACTOR
        return await self._send(rank, body, ORDER_TIMEOUT_S + transfer_s)

    async def arm(self, rank: int, version: int, step: int, epoch: int) -> OrderReply:
        """Order a rank to switch to a prepared map when a step begins."""
        return await self._order(
            rank, {"operation": "arm", "version": version, "step": step, "epoch": epoch}
        )

    async def disarm(self, rank: int, version: int, epoch: int) -> OrderReply:
        """Cancel an `arm` order."""
        return await self._order(rank, {"operation": "disarm", "version": version, "epoch": epoch})

    async def hold(self, rank: int, step: int, epoch: int) -> OrderReply:
        """Prevent the group from beginning a step."""
        return await self._order(rank, {"operation": "hold", "step": step, "epoch": epoch})

    async def release(self, rank: int, step: int, epoch: int) -> OrderReply:
        """Cancel a `hold` order."""
        return await self._order(rank, {"operation": "go", "step": step, "epoch": epoch})

    async def read_report(self, rank: int) -> RankReport | None:
        """Return a rank's report, or None if the call failed."""
        report = await self._read(rank, "/report", _Report)
        if report is None:
            return None
        armed = report.armed or _Armed()
        return RankReport(
            epoch=report.group.epoch,
            step=report.step,
            is_open=report.group.state == GROUP_OPEN,
            map_version=report.map,
            prepared_version=report.prepared or 0,
            armed_version=armed.version,
            armed_step=armed.step,
            held_step=report.held or 0,
            pace=report.pace,
        )

    async def read_counts(self, rank: int) -> RankCounts | None:
        """Return a rank's token counts by layer, or None if the call failed."""
        reply = await self._read(rank, "/picked", _Counts)
        if reply is None:
            return None
        self.counts_read += len(reply.counts)
        width = len(reply.counts) // self._layers
        layers = (reply.counts[i * width : (i + 1) * width] for i in range(self._layers))
        return RankCounts(reply.epoch, reply.step, tuple(map(tuple, layers)))

    async def read_layers(self, rank: int) -> tuple[tuple[int, ...], ...] | None:
        """Return the experts a rank holds by layer, or None if the call failed."""
        lists = await self._read(rank, "/picked?lists=1", _Lists)
        if lists is None:
            return None
        return tuple(tuple(layer) for layer in lists.map.experts)

    async def _order(self, rank: int, order: dict[str, Any]) -> OrderReply:
        return await self._send(rank, msgspec.json.encode(order), ORDER_TIMEOUT_S)

    async def _send(self, rank: int, body: bytes, timeout_s: float) -> OrderReply:
        self.orders += 1
        response = await self._call(rank, "POST", "/order", body, timeout_s)
        if response is None:
            return OrderReply.UNANSWERED
        return OrderReply.ACCEPTED if response[0] in _TAKEN_STATUSES else OrderReply.REFUSED

    async def _read(self, rank: int, path: str, kind: type[_T]) -> _T | None:
        """Read and decode a rank's state; return None if the call failed."""
        response = await self._call(rank, "GET", path, b"", READ_TIMEOUT_S)
        if response is None or response[0] != _OK_STATUS:
            return None
        try:
            return msgspec.json.decode(response[1], type=kind)
        except msgspec.MsgspecError as exc:
            # A truncated answer without framing ends like a whole one.
            log_event(
                _LOG, "rank_answer_unusable", logging.WARNING, rank=rank, path=path, error=exc
            )
            return None

    async def _call(
        self, rank: int, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | None:
        """Call a rank over a new connection; return None without a complete response."""
        address = self._addresses.get(rank)
        if address is None:
            return None
        connection = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await connect(address, CONNECT_TIMEOUT_S)
                head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                if body:
                    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                connection.send([head.encode(), b"\r\n", body])
                answer = await connection.read_head()
                return answer.status, await connection.read_body(MAX_REPORT_BYTES)
        except (ConnectError, ResponseError, TimeoutError):
            return None
        finally:
            if connection is not None:
                connection.abort()
