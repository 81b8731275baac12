"""Exchange messages over pynng request and reply sockets, one link per peer."""

from __future__ import annotations

import threading
from collections.abc import Callable

import pynng
from result import Err, Ok, Result

from dalehollow.protocol.messages import (
    Refused,
    Reply,
    Request,
    decode_reply,
    decode_request,
    encode,
)

_NO_RESEND_MS = 2**31 - 1  # no automatic resends; callers decide about retries
_MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1000
_POLL_MS = 500

ControlHandler = Callable[[Request], Reply]


class PeerLink:
    """Send requests to one peer and wait for replies; not thread-safe."""

    def __init__(self, address: str) -> None:
        """Connect in the background; `address` is host:port."""
        self.address = address
        self._socket = pynng.Req0(resend_time=_NO_RESEND_MS)
        self._socket.reconnect_time_min = _RECONNECT_MIN_MS
        self._socket.reconnect_time_max = _RECONNECT_MAX_MS
        self._socket.recv_max_size = _MAX_MESSAGE_BYTES
        self._socket.dial(f"tcp://{address}", block=False)

    def ask(self, request: Request, *, timeout_ms: int) -> Result[Reply, str]:
        """Send a request and wait for its reply; a reply after the timeout is discarded."""
        self._socket.send_timeout = timeout_ms
        self._socket.recv_timeout = timeout_ms
        try:
            self._socket.send(encode(request))
            return Ok(decode_reply(self._socket.recv()))
        except (pynng.NNGException, ValueError) as exc:
            return Err(f"{type(exc).__name__}: {exc}")

    def close(self) -> None:
        """Close the link."""
        self._socket.close()


class ControlServer:
    """Serve peer requests sequentially; handlers must not block."""

    def __init__(self, host: str, port: int, handler: ControlHandler) -> None:
        """Bind and listen; port 0 selects a free port."""
        self._handler = handler
        self._socket = pynng.Rep0(recv_timeout=_POLL_MS)
        self._socket.recv_max_size = _MAX_MESSAGE_BYTES
        listener = self._socket.listen(f"tcp://{host}:{port}")
        self.address = str(listener.local_address)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._serve, name="control", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close the socket."""
        self._stopping.set()
        self._socket.close()

    def _serve(self) -> None:
        while not self._stopping.is_set():
            try:
                data = self._socket.recv()
            except pynng.Timeout:
                continue
            except pynng.NNGException:
                return
            reply = self._answer(data)
            try:
                self._socket.send(encode(reply))
            except pynng.NNGException:
                continue

    def _answer(self, data: bytes) -> Reply:
        try:
            return self._handler(decode_request(data))
        except ValueError as exc:
            return Refused(f"cannot decode message: {exc}")
