"""Decode the entries that upstreams write to the store."""

from __future__ import annotations

import re

import msgspec

from dalehollow.gateway.listed import ListedUpstream
from dalehollow.platform.entries import MAX_NUMBER, decode_json, is_address
from dalehollow.platform.names import UPSTREAM_PREFIX

_READY, _LEAVING = "ready", "draining"
_STATES = (_READY, _LEAVING)
_GROUP_OPEN, _GROUP_BROKEN = "open", "broken"
_GROUP_STATES = (_GROUP_OPEN, _GROUP_BROKEN)
_ID = re.compile(r"[!-.0-~]+")
"""Characters allowed in a header value, except the slash."""


class _Group(msgspec.Struct):
    name: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = _GROUP_OPEN


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    group: _Group | None = None
    # Number of ranks in the group.
    size: int = 0
    # Start time of the process in Unix milliseconds.
    born: int = 0


def read_incarnation(key: str) -> str:
    """Return the id of the upstream that owns an entry; only the key contains it."""
    return key.removeprefix(UPSTREAM_PREFIX)


def decode_upstream(key: str, value: bytes) -> ListedUpstream:
    """Return the upstream that an entry describes; raise ValueError if the entry is invalid.

    Other programs may write entries too, so incomplete entries and unknown values are rejected.
    """
    entry = decode_json(value, _Entry)
    mistakes = _find_mistakes(read_incarnation(key), entry)
    if mistakes:
        raise ValueError("; ".join(mistakes))
    group = entry.group or _Group()
    return ListedUpstream(
        incarnation=read_incarnation(key),
        service=entry.service,
        address=entry.address,
        hall=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state == _LEAVING,
        group=group.name,
        group_rank=group.rank,
        group_size=entry.size,
        group_epoch=group.epoch,
        group_is_open=group.state == _GROUP_OPEN,
        started_at_ms=entry.born,
    )


def _find_mistakes(incarnation: str, entry: _Entry) -> list[str]:
    group = entry.group
    mistakes = [
        (not _ID.fullmatch(incarnation), f"invalid id {incarnation!r}"),
        (not entry.service, "service name is empty"),
        (
            not is_address(entry.address),
            f"address {entry.address!r} is not an IPv4 address and port",
        ),
        (not 1 <= entry.slots < MAX_NUMBER, "slots is not a number from 1 to 2^53"),
        (not 0 <= entry.born < MAX_NUMBER, "start time is not a number of ms from 0 to 2^53"),
        (entry.state not in _STATES, f"state {entry.state!r} is not one of {_STATES}"),
    ]
    if group is not None:
        is_rank = 0 <= group.rank < (entry.size or MAX_NUMBER) <= MAX_NUMBER
        mistakes += [
            (not is_rank, "rank is out of range for the size of the group"),
            (not 0 <= group.epoch < MAX_NUMBER, "epoch is not a number from 0 to 2^53"),
            (
                group.state not in _GROUP_STATES,
                f"group state {group.state!r} is not one of {_GROUP_STATES}",
            ),
        ]
    return [text for is_wrong, text in mistakes if is_wrong]
