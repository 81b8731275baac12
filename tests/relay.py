"""Provide a TCP proxy that can delay, cut and refuse connections on command."""

from __future__ import annotations

import contextlib
import socket
import threading

CHUNK_BYTES = 65536


class TcpProxy:
    """Forward bytes to a target; `mode` applies to each chunk of data received.

    `data_held` is set when a chunk is held back.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self.data_held = threading.Event()
        self._release = threading.Event()
        self._drop_held = False
        self._sockets: list[socket.socket] = []
        self._lock = threading.Lock()
        self._listener = self._listen(0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def _listen(self, port: int) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", port), backlog=64)
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return listener

    def set_mode(self, mode: str) -> None:
        """Set the mode: pass, refuse, hold_request, hold_answer or hold_half_answer."""
        self.data_held.clear()
        self._release.clear()
        self._drop_held = False
        self.mode = mode
        if mode == "refuse":
            # With the port closed, no connection is established and nothing can have been sent.
            self._stop_listening()
            self.cut()

    def release(self) -> None:
        """Forward the data held back and return to mode pass."""
        if self.mode == "refuse":
            self._listener = self._listen(int(self.address.rpartition(":")[2]))
        self.mode = "pass"
        self._release.set()

    def drop(self) -> None:
        """Discard the data held back, cut all connections and return to mode pass."""
        self._drop_held = True
        self.release()
        self.cut()

    def cut(self) -> None:
        """Cut all connections."""
        with self._lock:
            sockets, self._sockets = self._sockets, []
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def close(self) -> None:
        self.drop()
        self._stop_listening()

    def _stop_listening(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self._listener.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        host, port = self.target.split(":")
        try:
            server = socket.create_connection((host, int(port)))
        except OSError:
            client.close()
            return
        with self._lock:
            self._sockets += [client, server]
        threading.Thread(target=self._pump, args=(client, server, "request"), daemon=True).start()
        self._pump(server, client, "answer")

    def _pump(self, source: socket.socket, sink: socket.socket, direction: str) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                data = self._hold_back(data, sink, direction)
                if self._drop_held and not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _hold_back(self, data: bytes, sink: socket.socket, direction: str) -> bytes:
        mode = self.mode
        if mode == "hold_half_answer" and direction == "answer":
            half = max(1, len(data) // 2)
            sink.sendall(data[:half])
            data = data[half:]
        elif mode != f"hold_{direction}":
            return data
        self.data_held.set()
        self._release.wait(60)
        return b"" if self._drop_held else data
