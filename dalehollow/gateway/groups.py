"""Tell which upstreams are the ranks of one group, as the list of upstreams has them now."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.telemetry.logs import log_event

_LOG = logging.getLogger(__name__)


@dataclass
class GroupRanks(Mapping[int, str]):
    """Read the addresses of one group's ranks.

    A restarted rank is listed twice until its old entry lapses: the newer epoch tells which one is
    the rank. Entries that contradict each other in any other way are logged once, and the group
    then reads as having no ranks, so that it is served but not planned.
    """

    upstreams: UpstreamSet
    group_key: str
    _contradiction: str = field(default="", init=False)

    def read(self) -> Mapping[int, str]:
        """Return the addresses by rank, or nothing while a rank is missing or in doubt."""
        listed = [u.listed for u in self.upstreams.of_group(self.group_key)]
        newest: dict[int, ListedUpstream] = {}
        contradiction = ""
        for entry in listed:
            other = newest.get(entry.group_rank)
            if other is not None and other.group_epoch == entry.group_epoch:
                contradiction = f"{other.incarnation} and {entry.incarnation} are both one rank"
            if other is None or entry.group_epoch > other.group_epoch:
                newest[entry.group_rank] = entry
        sizes = {entry.group_size for entry in newest.values()}
        if len(sizes) > 1:
            contradiction = f"sizes {sorted(sizes)} are told"
        size = max(sizes, default=0)
        if any(not 0 <= rank < size for rank in newest):
            contradiction = f"ranks {sorted(newest)} are listed in a group of {size}"
        self._note_contradiction(contradiction)
        if contradiction or len(newest) < size:
            return {}
        return {rank: entry.address for rank, entry in newest.items()}

    def _note_contradiction(self, contradiction: str) -> None:
        if contradiction and contradiction != self._contradiction:
            log_event(
                _LOG,
                "group_contradicted",
                logging.WARNING,
                group=self.group_key,
                why=contradiction,
            )
        self._contradiction = contradiction

    def __getitem__(self, rank: int) -> str:
        """Return the address of a rank."""
        return self.read()[rank]

    def __iter__(self) -> Iterator[int]:
        """Go through the ranks."""
        return iter(self.read())

    def __len__(self) -> int:
        """Return the number of ranks."""
        return len(self.read())
