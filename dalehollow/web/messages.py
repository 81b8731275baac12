"""Define the data classes for HTTP requests and responses."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field


def _always_connected() -> bool:
    return True


def _do_nothing() -> None:
    pass


@dataclass(frozen=True)
class HttpRequest:
    """Hold one request with its complete body; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    is_connected: Callable[[], bool] = _always_connected
    disconnect: Callable[[], None] = _do_nothing


@dataclass(frozen=True)
class HttpResponse:
    """Hold one response; an iterator body is streamed, and closed if the client disconnects."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | Iterator[bytes] = b""


Handler = Callable[[HttpRequest], HttpResponse]
