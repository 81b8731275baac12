"""Measure how well gateways enforce and use the limit of an upstream, on virtual time.

Prints, for several sizes and limits, the most requests in any window of 4 s, the used share of the
limit, and the largest rate at which a gateway sends token messages.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import msgspec

from benchmarks.report import print_pairs
from dalehollow.gateway.limit_tokens import Address
from dalehollow.gateway.reports import DATAGRAM_HEADER_BYTES
from dalehollow.protocol.reports import PeerMessage
from soak.signal_promises import count_allowed_in_window, count_max_in_window
from tests.limit_world import LimitWorld, Server
from tests.virtual_time import run_virtual

_Send = Callable[[PeerMessage, Address], None]

SIZES = ((3, 3), (3, 11), (15, 24))
"""Numbers of halls and of gateways per hall."""
LIMITS_PER_S = (1.0, 4.0, 20.0)
REQUESTS_PER_S = 1.0
"""Request rate at each gateway. The upstream is the only one of its service."""
SETTLE_S = 2.0
MEASURE_FROM_S = 5.0
DURATION_S = 12.0


def run() -> None:
    """Print one line per size and limit."""
    logging.disable(logging.CRITICAL)
    for halls, gateways in SIZES:
        for limit_per_s in LIMITS_PER_S:
            run_virtual(_measure(halls, gateways, limit_per_s))


async def _measure(halls: int, gateways: int, limit_per_s: float) -> None:
    server = Server("h0", limit_per_s)
    world = LimitWorld(1, {f"h{hall}": gateways for hall in range(halls)}, {"s0": server})
    sent: Counter[str] = Counter()
    for gateway in world.gateways.values():
        gateway.tokens._send = _count_sent_bytes(gateway.tokens._send, gateway.name, sent)
    await asyncio.sleep(SETTLE_S)
    world.send_requests(REQUESTS_PER_S)
    await asyncio.sleep(DURATION_S - SETTLE_S)
    world.close()
    times_s = [a.at_s for a in server.arrivals if a.at_s > MEASURE_FROM_S]
    print_pairs(
        gateways=halls * gateways,
        limit_per_s=limit_per_s,
        most_in_window=count_max_in_window(times_s),
        allowed=count_allowed_in_window(limit_per_s),
        used_share=round(len(times_s) / (DURATION_S - MEASURE_FROM_S) / limit_per_s, 2),
        most_sent_bytes_per_s=round(max(sent.values(), default=0) / DURATION_S),
    )


def _count_sent_bytes(send: _Send, name: str, sent: Counter[str]) -> _Send:
    """Wrap `send` to count the bytes of the token messages of a gateway."""

    def count(message: PeerMessage, address: Address) -> None:
        sent[name] += len(msgspec.msgpack.encode(message)) + DATAGRAM_HEADER_BYTES
        send(message, address)

    return count
