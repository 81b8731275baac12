"""Map the ranks of a group to upstream addresses, from the current list of upstreams."""

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
    """Mapping from rank to address for one group.

    A restarted rank is listed twice until its old entry expires; the entry with the newer epoch is
    used. Any other contradiction between entries is logged once, and the mapping is then empty, so
    that the group is served but not planned.
    """

    upstreams: UpstreamSet
    group_key: str
    _contradiction: str = field(default="", init=False)

    def read(self) -> Mapping[int, str]:
        """Return the addresses by rank; empty while a rank is missing or entries contradict."""
        listed = [u.listed for u in self.upstreams.of_group(self.group_key)]
        newest: dict[int, ListedUpstream] = {}
        contradiction = ""
        for entry in listed:
            other = newest.get(entry.group_rank)
            if other is not None and other.group_epoch == entry.group_epoch:
                contradiction = f"{other.incarnation} and {entry.incarnation} have the same rank"
            if other is None or entry.group_epoch > other.group_epoch:
                newest[entry.group_rank] = entry
        sizes = {entry.group_size for entry in newest.values()}
        if len(sizes) > 1:
            contradiction = f"entries give different group sizes: {sorted(sizes)}"
        size = max(sizes, default=0)
        if any(not 0 <= rank < size for rank in newest):
            contradiction = f"ranks {sorted(newest)} are listed in a group of {size}"
        self._log_contradiction(contradiction)
        if contradiction or len(newest) < size:
            return {}
        return {rank: entry.address for rank, entry in newest.items()}

    def _log_contradiction(self, contradiction: str) -> None:
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
        """Iterate over the ranks."""
        return iter(self.read())

    def __len__(self) -> int:
        """Return the number of ranks."""
        return len(self.read())
