"""Entries of upstreams and of gateways, as the store lists them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import cached_property

from dalehollow.crashes import UNLISTED_RUN_MARK


@dataclass(frozen=True)
class ListedUpstream:
    """One listed upstream.

    An upstream may restart under the same `incarnation`, with no state from before.
    """

    incarnation: str
    service: str
    address: str
    hall: str
    slots: int
    is_leaving: bool
    group: str = ""
    group_rank: int = 0
    group_size: int = 0
    group_epoch: int = 0
    group_is_open: bool = True
    # By the upstream's own clock; 0 if not given.
    started_at_ms: int = 0

    @cached_property
    def group_key(self) -> str:
        """Return the unique key of its rank group; its service if it is in no group."""
        return f"{self.service}/{self.group}" if self.group else self.service

    def replace_with(self, entry: ListedUpstream) -> ListedUpstream:
        """Return the merge with a newly read entry of the same start.

        A restored store may return an outdated entry, so leaving is never reverted and a group's
        epoch never decreases.
        """
        if entry.group_epoch < self.group_epoch:
            entry = replace(entry, group_epoch=self.group_epoch, group_is_open=self.group_is_open)
        return replace(entry, is_leaving=True) if self.is_leaving else entry


def name_run(listed: ListedUpstream, unlisted_runs: int = 0) -> str:
    """Return a name that is unique to one run of an upstream.

    `unlisted_runs` counts the runs since the listed one, as far as they were detected.
    """
    if not (listed.started_at_ms or unlisted_runs):
        return listed.incarnation
    start = f"{listed.incarnation}@{listed.started_at_ms}"
    return f"{start}{UNLISTED_RUN_MARK}{unlisted_runs}" if unlisted_runs else start


def read_service(group_key: str) -> str:
    """Return the service part of a group key."""
    return group_key.partition("/")[0]


@dataclass(frozen=True)
class Member:
    """The entry of a gateway: the address where it receives datagrams, and its hall."""

    address: str
    hall: str
