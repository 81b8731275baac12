"""Turn the entries that upstreams keep in the store into listed upstreams."""

from __future__ import annotations

import msgspec

from dalehollow.gateway.listed import ListedUpstream
from dalehollow.platform.names import UPSTREAM_PREFIX

_LEAVING = "draining"
_GROUP_OPEN = "open"


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


def read_incarnation(key: str) -> str:
    """Return the id of the upstream that keeps an entry: its key alone holds it."""
    return key.removeprefix(UPSTREAM_PREFIX)


def decode_upstream(key: str, value: bytes) -> ListedUpstream:
    """Return the upstream that an entry describes; raise ValueError if it is none."""
    entry = msgspec.json.decode(value, type=_Entry)
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
    )
