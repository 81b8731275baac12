"""Read the parts of a prompt that other requests may share from a chat request."""

from __future__ import annotations

import json

CHAT_PATH = "/v1/chat/completions"


def list_shared_messages(path: str, body: bytes) -> tuple[bytes, ...]:
    """Return all messages of a chat request but the last.

    The last message belongs to the request. Anything else than a chat request has no parts.
    """
    if path != CHAT_PATH:
        return ()
    try:
        messages = json.loads(body)["messages"]
    except (ValueError, LookupError, TypeError, RecursionError):
        return ()
    if not isinstance(messages, list):
        return ()
    return tuple(json.dumps(message, sort_keys=True).encode() for message in messages[:-1])
