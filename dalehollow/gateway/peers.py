"""Tell the other gateways what this one has in hand, and keep what they tell.

Word goes out as a datagram to each listed gateway when something has changed, at most every
`BUSY_INTERVAL_S`, and now and then without a change. It is soft state: a lost datagram is made up
for by the next, and a gateway that falls silent is forgotten.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import cast

import msgspec

from dalehollow.gateway.listed import Member
from dalehollow.gateway.upstreams import TOLD_LIFE_S, UpstreamSet
from dalehollow.telemetry.logs import log_event

BUSY_INTERVAL_S = 0.05
"""Less than half of a pass of an engine: what changes within a pass is told before the next."""
CALM_INTERVAL_S = 0.25
"""While upstreams have slots to spare, an older word chooses as well."""
BUSY_LOAD = 0.7
"""From this share of all slots on, words decide who is admitted."""
IDLE_INTERVAL_S = 1.0
DATAGRAM_HEAD_BYTES = 28
SILENT_AFTER_S = 3.0
"""Three idle intervals: the load of a gateway that is gone must not bind others for long."""

_LOG = logging.getLogger(__name__)


class Word(msgspec.Struct, frozen=True, array_like=True):
    """Hold one gateway's word; ages say how long ago a group last served and last refused."""

    sender: str
    in_hand: dict[str, int]
    served_age_s: dict[str, float]
    refused_age_s: dict[str, float]
    # Requests at an upstream that no gateway knows of, and how long ago that was found.
    unknown: dict[str, tuple[int, float]]


@dataclass
class GroupHealth:
    """Hold when a service's group last served and last refused as broken, by any gateway."""

    served_at_s: dict[str, float] = field(default_factory=dict)
    refused_at_s: dict[str, float] = field(default_factory=dict)

    def is_broken(self, service: str) -> bool:
        """Return whether the newest that is known of a group is a refusal as broken."""
        refused_at_s = self.refused_at_s.get(service)
        return refused_at_s is not None and refused_at_s > self.served_at_s.get(service, 0.0)

    def note_served(self, service: str, at_s: float) -> None:
        """Note that a group answered."""
        self.served_at_s[service] = max(at_s, self.served_at_s.get(service, 0.0))

    def note_refused(self, service: str, at_s: float) -> None:
        """Note that a group refused as broken."""
        self.refused_at_s[service] = max(at_s, self.refused_at_s.get(service, 0.0))


@dataclass
class _Peer:
    in_hand: Mapping[str, int]
    heard_at_s: float


class PeerWords(asyncio.DatagramProtocol):
    """Hold the socket and what the peers told last."""

    def __init__(
        self,
        name: str,
        hall: str,
        upstreams: UpstreamSet,
        health: GroupHealth,
        on_change: Callable[[], None],
        far_bytes_per_s: float,
    ) -> None:
        """Prepare; `on_change` is called after each word that was taken in.

        Words to other halls stay within `far_bytes_per_s`.
        """
        self._name = name
        self._hall = hall
        self._far_bytes_per_s = far_bytes_per_s
        self._far_from_s = 0.0
        self._upstreams = upstreams
        self._health = health
        self._on_change = on_change
        self._transport: asyncio.DatagramTransport | None = None
        self._near: dict[str, tuple[str, int]] = {}
        self._far: dict[str, tuple[str, int]] = {}
        self._peers: dict[str, _Peer] = {}
        self._changed = asyncio.Event()
        self.sent = 0
        self.received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # The event loop's own class does not derive from the abstract one: nothing to check.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's word in."""
        try:
            word = msgspec.msgpack.decode(data, type=Word)
        except msgspec.MsgspecError as exc:
            log_event(_LOG, "word_unreadable", logging.WARNING, sender=addr[0], error=exc)
            return
        if word.sender == self._name:
            return
        self.received += 1
        self._replace(word.sender, word.in_hand)
        now_s = asyncio.get_running_loop().time()
        for service, age_s in word.served_age_s.items():
            self._health.note_served(service, now_s - age_s)
        for service, age_s in word.refused_age_s.items():
            self._health.note_refused(service, now_s - age_s)
        for incarnation, (unknown, age_s) in word.unknown.items():
            self._upstreams.note_unknown(incarnation, unknown, now_s - age_s)
        self._on_change()

    def error_received(self, exc: Exception) -> None:
        """Note a datagram that could not be delivered; the peer's silence tells the rest."""
        log_event(_LOG, "word_undelivered", logging.DEBUG, error=exc)

    def note_member(self, name: str, member: Member | None) -> None:
        """Add or forget a gateway of the store's list."""
        self._near.pop(name, None)
        self._far.pop(name, None)
        if member is None:
            self._forget(name)
        elif name != self._name:
            host, _, port = member.address.rpartition(":")
            group = self._near if member.hall == self._hall else self._far
            group[name] = (host, int(port))
        self._changed.set()

    def note_change(self) -> None:
        """Ask for a word to go out soon."""
        self._changed.set()

    async def run(self) -> None:
        """Send word, for ever."""
        while True:
            try:
                async with asyncio.timeout(IDLE_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._forget_silent()
            self._send()
            is_busy = self._upstreams.highest_load() >= BUSY_LOAD
            await asyncio.sleep(BUSY_INTERVAL_S if is_busy else CALM_INTERVAL_S)

    def _send(self) -> None:
        if self._transport is None or not (self._near or self._far):
            return
        now_s = asyncio.get_running_loop().time()
        word = Word(
            sender=self._name,
            in_hand={u.listed.incarnation: u.in_hand for u in self._upstreams if u.in_hand},
            served_age_s=_ages(self._health.served_at_s, now_s),
            refused_age_s=_ages(self._health.refused_at_s, now_s),
            unknown={
                u.listed.incarnation: (u.unknown, round(now_s - u.unknown_at_s, 3))
                for u in self._upstreams
                if now_s - u.unknown_at_s < TOLD_LIFE_S
            },
        )
        data = msgspec.msgpack.encode(word)
        addresses = list(self._near.values())
        if now_s >= self._far_from_s:
            addresses += self._far.values()
            size = (len(data) + DATAGRAM_HEAD_BYTES) * len(self._far)
            self._far_from_s = now_s + size / self._far_bytes_per_s
        for address in addresses:
            self._transport.sendto(data, address)
            self.sent += 1

    def _replace(self, name: str, in_hand: Mapping[str, int]) -> None:
        before = self._peers.get(name)
        now_s = asyncio.get_running_loop().time()
        self._peers[name] = _Peer(in_hand, now_s)
        for incarnation in {*in_hand, *(before.in_hand if before else ())}:
            change = in_hand.get(incarnation, 0)
            if before is not None:
                change -= before.in_hand.get(incarnation, 0)
            self._upstreams.add_others(incarnation, change)

    def _forget(self, name: str) -> None:
        if name in self._peers:
            self._replace(name, {})
            del self._peers[name]

    def _forget_silent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for name, peer in list(self._peers.items()):
            if now_s - peer.heard_at_s > SILENT_AFTER_S:
                self._forget(name)
                log_event(_LOG, "peer_silent", name=name)


def _ages(times: Mapping[str, float], now_s: float) -> dict[str, float]:
    return {service: round(now_s - at_s, 3) for service, at_s in times.items()}
