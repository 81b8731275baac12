"""TCP proxy that delays, resets or blocks traffic in one or both directions."""

from __future__ import annotations

import asyncio
import enum
import math

from dalehollow.sockets import set_reset_on_close

CHUNK_BYTES = 65_536


class Mode(enum.StrEnum):
    """Fault mode of a proxy; blocked bytes are delivered once the mode no longer blocks."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    SILENT_TO_TARGET = "silent_there"
    SILENT_FROM_TARGET = "silent_back"


_MODES_BLOCKING_TO_TARGET = frozenset({Mode.SILENT, Mode.SILENT_TO_TARGET})
_MODES_BLOCKING_FROM_TARGET = frozenset({Mode.SILENT, Mode.SILENT_FROM_TARGET})


class Proxy:
    """TCP proxy for one target."""

    def __init__(self, target: str, delay_s: float = 0.15, bytes_per_s: float = math.inf) -> None:
        """Create a closed proxy; `target` is host:port, `delay_s` is per chunk in DELAY."""
        self.target = target
        self.address = ""
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._mode = Mode.PASS
        self._mode_changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 selects a free one."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close_port(self) -> None:
        """Refuse new connections and reset open ones, like a server that has crashed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.set_mode(Mode.RESET)

    async def reopen_port(self) -> None:
        """Listen again on the same port."""
        self.set_mode(Mode.PASS)
        if self._server is None:
            await self.open(int(self.address.rpartition(":")[2]))

    def set_mode(self, mode: Mode) -> None:
        """Set the fault mode of open and future connections."""
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset(writer)
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def close(self) -> None:
        """Stop listening and abort open connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            # One side has closed; the other is aborted below.
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is Mode.RESET:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(target_writer)
        forwarders = [
            asyncio.ensure_future(
                self._forward_bytes(reader, target_writer, _MODES_BLOCKING_TO_TARGET)
            ),
            asyncio.ensure_future(
                self._forward_bytes(target_reader, writer, _MODES_BLOCKING_FROM_TARGET)
            ),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            _, from_target = await asyncio.gather(*forwarders, return_exceptions=True)
            if isinstance(from_target, ConnectionError):
                # A reset must not reach the caller as a close, which may be the end of a response.
                _reset(writer)
            target_writer.transport.abort() if self._mode is Mode.RESET else target_writer.close()
            self._writers.discard(target_writer)
            if self._mode is not Mode.RESET:
                writer.close()
                await writer.wait_closed()

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_modes: frozenset[Mode],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self._delay_s)
            await asyncio.sleep(len(data) / self._bytes_per_s)
            while self._mode in blocking_modes:
                await self._mode_changed.wait()
            writer.write(data)
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, even if nothing is left to send on it."""
    if not writer.transport.is_closing():
        set_reset_on_close(writer.get_extra_info("socket"), is_on=True)
    writer.transport.abort()
