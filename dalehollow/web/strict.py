"""Parse HTTP more strictly than cheroot, and send errors in the format of this system."""

from __future__ import annotations

import json
from typing import Any

from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest

from dalehollow.errors import Reason
from dalehollow.verdict import Verdict


class _StrictHeaderReader(HeaderReader):
    """Reject repeated headers and conflicting lengths, which request smuggling relies on."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        headers: dict[bytes, bytes] = _UniqueHeaders() if hdict is None or not hdict else hdict
        super().__call__(rfile, headers)
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("header 'Content-Length' conflicts with 'Transfer-Encoding'")
        length = headers.get(b"Content-Length")
        if length is not None and not length.isdigit():
            raise ValueError(f"header 'Content-Length' is {length.decode('latin-1')!r}, not digits")
        if hdict is not None:
            hdict.update(headers)
        return headers


class _UniqueHeaders(dict[bytes, bytes]):
    """Reject a second value for a header name."""

    def __setitem__(self, key: bytes, value: bytes) -> None:
        if key in self:
            raise ValueError(f"header {key.decode('latin-1')!r} is given twice; give it once")
        super().__setitem__(key, value)


class _StrictRequest(HTTPRequest):
    """Answer malformed requests with the same JSON body as any other error."""

    header_reader = _StrictHeaderReader()
    is_dispatched = False

    def simple_response(
        self, status: object, msg: str = "", reason: Reason = Reason.BAD_REQUEST
    ) -> None:
        """Send an error response that does not come from the handler, and close."""
        text = str(status)
        if text.startswith("100"):
            super().simple_response(text, msg)
            return
        verdict = Verdict.MAY_HAVE_RUN if self.is_dispatched else Verdict.NOT_RUN
        body = refusal_body(
            "internal_error" if self.is_dispatched else reason, verdict, msg or text
        )
        retry_after = "Retry-After: 1\r\n" if reason is Reason.MEMORY_FULL else ""
        head = (
            f"HTTP/1.1 {text}\r\nContent-Type: application/json\r\n"
            f"Dalehollow-Verdict: {verdict}\r\n{retry_after}Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.wfile.write(head.encode("latin-1") + body)


class StrictConnection(HTTPConnection):
    """Parse the requests of a connection strictly."""

    RequestHandlerClass = _StrictRequest


def refusal_body(reason: str, verdict: Verdict, message: str) -> bytes:
    """Return the JSON body of an error response."""
    return json.dumps(
        {"error": {"reason": reason, "verdict": verdict, "message": message}}
    ).encode()
