"""Test the client of the key-value service against truncated answers."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from dalehollow.platform.keyvalue import Entry, HttpKeyValue

HEAD = b"HTTP/1.1 200 OK\r\nkv-revision: 3\r\n"
VALUE = b"0123456789"


@contextmanager
def _serve_once(response: bytes) -> Iterator[HttpKeyValue]:
    """Serve one connection that sends a response and closes."""

    def answer() -> None:
        sock, _ = listener.accept()
        with sock:
            sock.recv(65_536)
            sock.sendall(response)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=answer)
        thread.start()
        yield HttpKeyValue(f"127.0.0.1:{listener.getsockname()[1]}")
        thread.join()


@pytest.mark.parametrize(
    ("response", "is_read"),
    [
        (HEAD + b"Content-Length: 10\r\n\r\n" + VALUE, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\na\r\n" + VALUE + b"\r\n0\r\n\r\n", True),
        (HEAD + b"Content-Length: 10\r\n\r\n" + VALUE[:4], False),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\na\r\n" + VALUE + b"\r\n", False),
        (HEAD + b"\r\n" + VALUE[:4], False),
    ],
)
def test_value_that_may_be_truncated_is_not_read(response: bytes, is_read: bool) -> None:
    """Guards against half a value that is taken for the stored one."""
    with _serve_once(response) as kv:
        read = kv.get("key")
        assert read.is_ok() == is_read
        if is_read:
            assert read.ok_value == Entry(VALUE, 3)


def test_delete_whose_answer_is_truncated_may_have_written() -> None:
    with _serve_once(HEAD + b"Content-Length: 10\r\n\r\n") as kv:
        deleted = kv.delete("key")
        assert deleted.is_err() and deleted.err_value.may_have_written
