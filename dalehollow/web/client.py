"""Call HTTP servers with urllib3 and tell exactly how far a failed call had come."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

READ_CHUNK_BYTES = 64 * 1024
MAX_WHOLE_BYTES = 1024 * 1024
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length"}
)


@dataclass(frozen=True)
class CallError:
    """Describe a call that gave no answer; `sent` is False only if no byte was sent."""

    sent: bool
    timed_out: bool
    message: str


class AnswerCutError(ConnectionError):
    """Report that an answer ended before its framing said so."""


class Answer:
    """Hold an answer whose head has come and whose body is still to be read."""

    def __init__(
        self, response: urllib3.BaseHTTPResponse, own_pool: urllib3.HTTPConnectionPool | None
    ) -> None:
        """Wrap the response; `own_pool` is closed with it."""
        self._response = response
        self._own_pool = own_pool
        self.status = response.status
        self.headers = {k.lower(): v for k, v in response.headers.items()}

    def end_to_end_headers(self) -> dict[str, str]:
        """Return the headers meant for the far end."""
        return {k: v for k, v in self.headers.items() if k not in _HOP_HEADERS}

    def is_whole(self) -> bool:
        """Return whether the length is known and small enough for the body to be read at once."""
        length = self.headers.get("content-length", "")
        return length.isdigit() and int(length) <= MAX_WHOLE_BYTES

    def read(self) -> bytes:
        """Read the body whole; raise AnswerCutError if it was cut short."""
        try:
            data = self._response.read()
        except (HTTPError, OSError) as exc:
            self.close()
            raise AnswerCutError(str(exc)) from exc
        self._release()
        return data

    def stream(self) -> Iterator[bytes]:
        """Yield what is ready, adding no wait; raise AnswerCutError if cut short."""
        is_complete = False
        try:
            while chunk := self._response.read1(READ_CHUNK_BYTES):
                yield chunk
            is_complete = True
        except (HTTPError, OSError) as exc:
            raise AnswerCutError(str(exc)) from exc
        finally:
            if is_complete:
                self._release()
            else:
                # Closing an unfinished answer is how the far end learns of a cancel.
                self.close()

    def close(self) -> None:
        """Drop the connection, which cancels what still runs at the far end."""
        self._response.close()
        self._close_own_pool()

    def _release(self) -> None:
        self._response.release_conn()
        self._close_own_pool()

    def _close_own_pool(self) -> None:
        if self._own_pool is not None:
            self._own_pool.close()


class HttpClient:
    """Call servers; never retry and never follow redirects by itself.

    Connections are kept for peers of this system only. To an upstream each request gets one of
    its own: a late second answer on a kept one would be taken for the next caller's.
    """

    def __init__(
        self, *, connect_timeout_s: float, max_connections: int = 512, keeps: bool = True
    ) -> None:
        """Prepare; `connect_timeout_s` bounds each connection attempt."""
        self._connect_timeout_s = connect_timeout_s
        self._keeps = keeps
        self._pools = urllib3.PoolManager(num_pools=256, maxsize=max_connections, block=False)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float,
    ) -> Result[Answer, CallError]:
        """Send one request and wait for the head of its answer.

        `timeout_s` bounds the wait between any two reads, not the whole call.
        """
        host, _, port = address.rpartition(":")
        pool = (
            self._pools.connection_from_host(host, int(port))
            if self._keeps
            else urllib3.HTTPConnectionPool(host, int(port), maxsize=1)
        )
        try:
            response = pool.urlopen(
                method,
                path,
                body=body,
                headers=dict(headers or {}),
                timeout=urllib3.Timeout(
                    connect=min(self._connect_timeout_s, timeout_s), read=timeout_s
                ),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            timed_out = isinstance(exc, ConnectTimeoutError)
            return Err(CallError(sent=False, timed_out=timed_out, message=str(exc)))
        except ReadTimeoutError as exc:
            return Err(CallError(sent=True, timed_out=True, message=str(exc)))
        except (HTTPError, OSError) as exc:
            return Err(CallError(sent=True, timed_out=False, message=str(exc)))
        return Ok(Answer(response, None if self._keeps else pool))

    def close(self) -> None:
        """Close idle connections."""
        self._pools.clear()
