"""Define the headers that a gateway reads and sets; their names depend on the platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Hold the lower-case header names by purpose."""

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
    prompt_parts: bytes
    last_event_id: bytes
    retry_after_s: bytes
    faulty_upstream: bytes
    leaving: bytes
    limit_per_s: bytes

    def list_overridden(self) -> frozenset[bytes]:
        """Return the headers that are replaced or removed from the caller's request."""
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
"""Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that change with the framing."""
