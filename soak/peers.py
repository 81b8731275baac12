"""Proxy the datagrams and connections between gateways, with loss and blocking."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any, cast

import msgspec

from dalehollow.platform.names import MEMBER_PREFIX
from soak.proxy import Mode, Proxy
from standins.metadata import MetadataStandIn

DATAGRAM_LOSS_SHARE = 0.3

_Address = tuple[str, int]


class PeerProxy(asyncio.DatagramProtocol):
    """Proxy for a gateway's datagrams and incoming peer connections, on one port."""

    def __init__(self, network: PeerNetwork, target: _Address) -> None:
        """Create a closed proxy; `target` is the gateway's own address."""
        self._network = network
        self.target = target
        self.connections = Proxy("{}:{}".format(*target))
        self.transport: asyncio.DatagramTransport | None = None
        self.loss_share = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: _Address) -> None:
        """Forward a datagram to the gateway from the sender's proxy port."""
        sender = self._network.find_by_address(addr[:2])
        if sender is None or sender.transport is None:
            return
        if self._network.rng.random() >= max(self.loss_share, sender.loss_share):
            sender.transport.sendto(data, self.target)

    def set_loss(self, share: float) -> None:
        """Drop a share of the datagrams; a share of 1 blocks connections too."""
        self.loss_share = share
        self.connections.set_mode(Mode.SILENT if share >= 1.0 else Mode.PASS)

    async def open(self) -> str:
        """Listen on a port that is free for both UDP and TCP, and return the address."""
        loop = asyncio.get_running_loop()
        while True:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=("127.0.0.1", 0)
            )
            port = transport.get_extra_info("sockname")[1]
            try:
                await self.connections.open(port)
                return self.connections.address
            except OSError:
                # The port is free for UDP only.
                transport.close()

    async def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        await self.connections.close()


class PeerNetwork:
    """Proxies of all gateways, by gateway name."""

    def __init__(self, rng: random.Random) -> None:
        """Create an empty network."""
        self.rng = rng
        self.proxies: dict[str, PeerProxy] = {}
        self._addresses: dict[str, str] = {}

    def find_by_address(self, address: _Address) -> PeerProxy | None:
        """Return the proxy whose gateway listens on an address."""
        return next((p for p in self.proxies.values() if p.target == address), None)

    async def assign_address(self, name: str, address: str) -> str:
        """Point the gateway's proxy at its current address and return the proxy's address."""
        host, _, port = address.rpartition(":")
        target = (host, int(port))
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = self.proxies[name] = PeerProxy(self, target)
            self._addresses[name] = await proxy.open()
        proxy.target, proxy.connections.target = target, address
        return self._addresses[name]

    async def close(self) -> None:
        """Close all proxies."""
        for proxy in self.proxies.values():
            await proxy.close()


class SoakStore(MetadataStandIn):
    """Store stand-in that replaces the gateways' addresses with those of their proxies."""

    def __init__(self, network: PeerNetwork) -> None:
        super().__init__()
        self._network = network

    async def _answer(
        self, method: bytes, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        for item in body.get("setKeys", []):
            if item["key"].startswith(MEMBER_PREFIX):
                await self._replace_address(item)
        return await super()._answer(method, path, query, body)

    async def _replace_address(self, item: dict[str, Any]) -> None:
        member = msgspec.json.decode(base64.b64decode(item["value"]))
        name = item["key"].removeprefix(MEMBER_PREFIX)
        member["address"] = await self._network.assign_address(name, member["address"])
        item["value"] = base64.b64encode(msgspec.json.encode(member)).decode()
