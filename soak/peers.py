"""Stand between gateways: carry, lose or silence their datagrams and connections."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any, cast

import msgspec

from dalehollow.platform.names import MEMBER_PREFIX
from soak.proxy import Mode, Proxy
from standins.metadata import MetadataStandIn

LOST_SHARE = 0.3

_Address = tuple[str, int]


class PeerProxy(asyncio.DatagramProtocol):
    """Hold one port for a gateway's datagrams and the connections of others to it."""

    def __init__(self, network: PeerNetwork, target: _Address) -> None:
        """Prepare; `target` is where the gateway itself listens."""
        self._network = network
        self.target = target
        self.connections = Proxy("{}:{}".format(*target))
        self.transport: asyncio.DatagramTransport | None = None
        self.loss = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: _Address) -> None:
        """Carry a datagram to the gateway, from the port that stands for its sender."""
        sender = self._network.find(addr[:2])
        if sender is None or sender.transport is None:
            return
        if self._network.rng.random() >= max(self.loss, sender.loss):
            sender.transport.sendto(data, self.target)

    def set_loss(self, share: float) -> None:
        """Lose a share of the datagrams from now on; all of them silences connections too."""
        self.loss = share
        self.connections.set_mode(Mode.SILENT if share >= 1.0 else Mode.PASS)

    async def open(self) -> str:
        """Listen on one free port for both, and return the address."""
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
                # The port was free for datagrams only.
                transport.close()

    async def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        await self.connections.close()


class PeerNetwork:
    """Hold the proxies of all gateways, by name."""

    def __init__(self, rng: random.Random) -> None:
        """Begin with none."""
        self.rng = rng
        self.proxies: dict[str, PeerProxy] = {}
        self._addresses: dict[str, str] = {}

    def find(self, address: _Address) -> PeerProxy | None:
        """Return the proxy of the gateway at an address."""
        return next((p for p in self.proxies.values() if p.target == address), None)

    async def place(self, name: str, address: str) -> str:
        """Return the address that stands for a gateway's own in this life of it."""
        host, _, port = address.rpartition(":")
        target = (host, int(port))
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = self.proxies[name] = PeerProxy(self, target)
            self._addresses[name] = await proxy.open()
        proxy.target, proxy.connections.target = target, address
        return self._addresses[name]

    async def close(self) -> None:
        """Close all."""
        for proxy in self.proxies.values():
            await proxy.close()


class SoakStore(MetadataStandIn):
    """Answer as the stand-in does, but list the proxies' addresses for the gateways' own."""

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
        member["address"] = await self._network.place(name, member["address"])
        item["value"] = base64.b64encode(msgspec.json.encode(member)).decode()
