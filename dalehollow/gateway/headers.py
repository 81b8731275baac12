"""Name the headers that a gateway reads and sets, whatever a platform calls them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Hold header names in lower case, by what they mean here."""

    request_id: bytes
    time_left_ms: bytes
    key: bytes
    account: bytes
    expected_incarnation: bytes
    priority: bytes
    not_run: bytes
    load: bytes
    seal: bytes
    token_counts: bytes
    length_hint: bytes
    last_event_id: bytes
    retry_after_s: bytes
    faulty_upstream: bytes
    leaving: bytes
    limit_per_s: bytes

    def set_here(self) -> frozenset[bytes]:
        """Return the headers of a caller that never reach an upstream as the caller sent them."""
        return frozenset(
            {
                self.time_left_ms,
                self.key,
                self.account,
                self.expected_incarnation,
                self.priority,
            }
        )


HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that concern one connection only (RFC 9110, 7.6.1), and the framing, which is redone."""
