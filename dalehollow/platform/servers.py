"""Turn the entries that upstreams keep in the store into listed upstreams."""

from __future__ import annotations

import ipaddress
import math
import re

import msgspec

from dalehollow.gateway.listed import ListedUpstream
from dalehollow.platform.names import UPSTREAM_PREFIX

_READY, _LEAVING = "ready", "draining"
_STATES = (_READY, _LEAVING)
_GROUP_OPEN, _GROUP_BROKEN = "open", "broken"
_GROUP_STATES = (_GROUP_OPEN, _GROUP_BROKEN)
_LAST_PORT = 65_535
_ID = re.compile(r"[!-.0-~]+")
"""What may stand in a header line, without a slash."""


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
    # Ranks in the group.
    size: int = 0
    # Despite its name the start of the process, in Unix milliseconds.
    born: int = 0


def read_incarnation(key: str) -> str:
    """Return the id of the upstream that keeps an entry: its key alone holds it."""
    return key.removeprefix(UPSTREAM_PREFIX)


def decode_upstream(key: str, value: bytes) -> ListedUpstream:
    """Return the upstream that an entry describes; raise ValueError if it is none.

    Others may write entries too: what is not whole, or says what is not known here, names none.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except RecursionError as exc:
        raise ValueError("it is nested too deeply") from exc
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
        (not _ID.fullmatch(incarnation), f"id {incarnation!r} is none"),
        (not entry.service, "the service has no name"),
        (not _is_address(entry.address), f"address {entry.address!r} is no IP number and port"),
        (entry.slots < 1, f"{entry.slots} slots, must be 1 or more"),
        (entry.born < 0, f"started at {entry.born} ms, before all time"),
        (entry.state not in _STATES, f"state {entry.state!r}; choices: {_STATES}"),
    ]
    if group is not None:
        is_rank = 0 <= group.rank < (entry.size or math.inf)
        mistakes += [
            (not is_rank, f"rank {group.rank} of {entry.size}"),
            (group.state not in _GROUP_STATES, f"group {group.state!r}; choices: {_GROUP_STATES}"),
        ]
    return [text for is_wrong, text in mistakes if is_wrong]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= _LAST_PORT
