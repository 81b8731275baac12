"""Read the parts of a prompt that other requests may share from a chat request."""

from __future__ import annotations

import json

CHAT_PATH = "/v1/chat/completions"
MAX_SHARED_PARTS = 32


def list_shared_messages(path: str, body: bytes) -> tuple[bytes, ...]:
    """Return all messages of a chat request but the last, without duplicates.

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
    shared = [json.dumps(message, sort_keys=True).encode() for message in messages[:-1]]
    return tuple(dict.fromkeys(shared))[:MAX_SHARED_PARTS]
