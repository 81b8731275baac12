"""Send HTTP requests with urllib3 and report exactly how far a failed request got."""

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

from dalehollow.events import EventSizeError, EventSplitter, is_event_stream
from dalehollow.framing import BodyFraming, find_framing

READ_CHUNK_BYTES = 64 * 1024
MAX_BUFFERED_BODY_BYTES = 1024 * 1024
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length"}
)


@dataclass(frozen=True)
class CallError:
    """Describe a request without a response; `sent` is False only if no byte was sent."""

    sent: bool
    timed_out: bool
    message: str


class TruncatedResponseError(ConnectionError):
    """Report a truncated response: the body ended early by its framing, or inside an event."""


class Answer:
    """Hold a response whose head was received and whose body is still to be read."""

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        own_pool: urllib3.HTTPConnectionPool | None,
        *,
        has_body: bool = True,
    ) -> None:
        """Wrap a urllib3 response; `own_pool` is closed together with it."""
        self._response = response
        self._own_pool = own_pool
        self.status = response.status
        self.headers = {k.lower(): v for k, v in response.headers.items()}
        self._splitter = EventSplitter() if has_body and self._is_event_stream() else None

    def end_to_end_headers(self) -> dict[str, str]:
        """Return all headers except the hop-by-hop ones."""
        return {k: v for k, v in self.headers.items() if k not in _HOP_HEADERS}

    @property
    def framing(self) -> BodyFraming:
        """Return what marks the end of the body."""
        return find_framing(self.status, {name.encode("latin-1") for name in self.headers})

    def can_be_buffered(self) -> bool:
        """Return whether the body has a known length and is small enough to be buffered."""
        length = self.headers.get("content-length", "")
        return length.isdigit() and int(length) <= MAX_BUFFERED_BODY_BYTES

    def read(self) -> bytes:
        """Read the whole body; raise TruncatedResponseError if it is truncated."""
        try:
            data = self._response.read()
            if self._splitter is not None:
                self._splitter.feed(data)
                self._check_stream_end(self._splitter)
        except (HTTPError, OSError, EventSizeError) as exc:
            self.close()
            raise TruncatedResponseError(str(exc)) from exc
        self._release()
        return data

    def stream(self) -> Iterator[bytes]:
        """Yield data, of an event stream each event, as soon as it arrives.

        Raises TruncatedResponseError if the body is truncated.
        """
        is_complete = False
        splitter = self._splitter
        try:
            while chunk := self._response.read1(READ_CHUNK_BYTES):
                yield chunk if splitter is None else splitter.feed(chunk)
            if splitter is not None:
                self._check_stream_end(splitter)
                yield splitter.flush()
            is_complete = True
        except (HTTPError, OSError, EventSizeError) as exc:
            raise TruncatedResponseError(str(exc)) from exc
        finally:
            if is_complete:
                self._release()
            else:
                # Closing the connection before the end of the response tells the server to cancel.
                self.close()

    def close(self) -> None:
        """Close the connection, which cancels the request at the server if it still runs."""
        self._response.close()
        self._close_own_pool()

    def _is_event_stream(self) -> bool:
        content_encoding = self.headers.get("content-encoding")
        return is_event_stream(
            self.headers.get("content-type", "").encode("latin-1"),
            content_encoding.encode("latin-1") if content_encoding is not None else None,
        )

    def _check_stream_end(self, splitter: EventSplitter) -> None:
        ends_with_connection = self.framing is BodyFraming.CONNECTION
        truncation = splitter.find_truncation(ends_with_connection=ends_with_connection)
        if truncation is not None:
            raise TruncatedResponseError(truncation)

    def _release(self) -> None:
        self._response.release_conn()
        self._close_own_pool()

    def _close_own_pool(self) -> None:
        if self._own_pool is not None:
            self._own_pool.close()


class HttpClient:
    """Send HTTP requests, without retries and without following redirects.

    Connections are reused only between processes of this system. Each request to an upstream gets
    a connection of its own: on a reused one, a late second response to one request would be taken
    for the response to the next caller's request.
    """

    def __init__(
        self, *, connect_timeout_s: float, max_connections: int = 512, keep_alive: bool = True
    ) -> None:
        """Create the connection pools; `connect_timeout_s` bounds each connection attempt."""
        self._connect_timeout_s = connect_timeout_s
        self._keep_alive = keep_alive
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
        """Send one request and wait for the head of the response.

        `timeout_s` bounds the wait for each read, not the duration of the whole call.
        """
        host, _, port = address.rpartition(":")
        pool = (
            self._pools.connection_from_host(host, int(port))
            if self._keep_alive
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
        own_pool = None if self._keep_alive else pool
        return Ok(Answer(response, own_pool, has_body=method != "HEAD"))

    def close(self) -> None:
        """Close idle pooled connections."""
        self._pools.clear()
