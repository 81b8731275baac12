"""Hold what lists say of upstreams and of gateways."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import cached_property


@dataclass(frozen=True)
class ListedUpstream:
    """Hold one listed upstream.

    It may start again under the `incarnation` that it had: then it knows nothing of before.
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
    # By its own clock; 0 where it does not tell.
    started_at_ms: int = 0

    @cached_property
    def group_key(self) -> str:
        """Return what names its rank group among all; its service where it stands alone."""
        return f"{self.service}/{self.group}" if self.group else self.service

    def replace_with(self, told: ListedUpstream) -> ListedUpstream:
        """Return what holds after an entry of the same start was read.

        A store that was restored may show an entry as it was: leaving is never taken back, and no
        epoch of a group comes again.
        """
        if told.group_epoch < self.group_epoch:
            told = replace(told, group_epoch=self.group_epoch, group_is_open=self.group_is_open)
        return replace(told, is_leaving=True) if self.is_leaving else told


def read_service(group_key: str) -> str:
    """Return the service that a group's key names."""
    return group_key.partition("/")[0]


@dataclass(frozen=True)
class Member:
    """Hold what a gateway says of itself: where it takes datagrams, and its hall."""

    address: str
    hall: str
