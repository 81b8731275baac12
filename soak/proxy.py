"""Stand between two processes and delay, reset or silence what passes, one way or both."""

from __future__ import annotations

import asyncio
import enum
import math

CHUNK_BYTES = 65_536


class Mode(enum.StrEnum):
    """Name what a proxy does; bytes that are held back pass once it passes again."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    SILENT_THERE = "silent_there"
    SILENT_BACK = "silent_back"


_HOLDS_THERE = frozenset({Mode.SILENT, Mode.SILENT_THERE})
_HOLDS_BACK = frozenset({Mode.SILENT, Mode.SILENT_BACK})


class Proxy:
    """Hold one listening port and the connections that came in by it."""

    def __init__(self, target: str, delay_s: float = 0.15, bytes_per_s: float = math.inf) -> None:
        """Prepare; `target` is host:port, `delay_s` is what each piece waits in mode DELAY."""
        self.target = target
        self.address = ""
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._mode = Mode.PASS
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Listen on a port of loopback, a free one for 0."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to bytes and connections from now on."""
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        self._changed.set()
        self._changed = asyncio.Event()

    async def close(self) -> None:
        """Stop listening and cut what is open."""
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
            await self._carry(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Either end is gone; the other is cut below.
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is Mode.RESET:
            return
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(far_writer)
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, _HOLDS_THERE)),
            asyncio.ensure_future(self._pump(far_reader, writer, _HOLDS_BACK)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.transport.abort() if self._mode is Mode.RESET else far_writer.close()
            self._writers.discard(far_writer)
            if self._mode is not Mode.RESET:
                writer.close()
                await writer.wait_closed()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding: frozenset[Mode],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self._delay_s)
            await asyncio.sleep(len(data) / self._bytes_per_s)
            while self._mode in holding:
                await self._changed.wait()
            writer.write(data)
            await writer.drain()
