"""Tell which upstreams are the ranks of a service's group."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from dalehollow.gateway.upstreams import UpstreamSet


@dataclass
class GroupRanks(Mapping[int, str]):
    """Read the addresses of a group's ranks as the list of upstreams has them now."""

    upstreams: UpstreamSet
    service: str

    def read(self) -> Mapping[int, str]:
        """Return the addresses by rank, or nothing while the list lacks a rank."""
        found = {}
        size = 0
        for upstream in self.upstreams.of_service(self.service):
            listed = upstream.listed
            if listed.group:
                found[listed.group_rank] = listed.address
                size = listed.group_size
        return found if size and len(found) == size else {}

    def __getitem__(self, rank: int) -> str:
        """Return the address of a rank."""
        return self.read()[rank]

    def __iter__(self) -> Iterator[int]:
        """Go through the ranks."""
        return iter(self.read())

    def __len__(self) -> int:
        """Return the number of ranks."""
        return len(self.read())
