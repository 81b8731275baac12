"""Follow the configuration: which groups have ranks behind this sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field

from dalehollow.clock import read_clock
from dalehollow.config.holder import InForce
from dalehollow.config.model import Config, Group
from dalehollow.groups.duty import PlannerLease
from dalehollow.groups.host import RankHost
from dalehollow.platform.keyvalue import KeyValue
from dalehollow.protocol import Prepare, RankQuery, Refused, Reply, VoteQuery
from dalehollow.sidecar.ranks import GroupRanks


@dataclass
class RankService:
    """Hold this sidecar's part in each group of the configuration."""

    upstream: str
    name: str
    host: RankHost
    kv: KeyValue | None
    plan_interval_ms: int
    plan_max_moves: int
    groups: dict[str, GroupRanks] = field(default_factory=dict)

    def apply(self, in_force: InForce) -> None:
        """Begin with new groups, end with those that are gone and follow addresses."""
        cfg = in_force.config
        assert cfg is not None
        mine = {g.name: g for g in cfg.groups.values() if self.upstream in g.ranks}
        for name, ranks in list(self.groups.items()):
            if mine.get(name) != ranks.group:
                ranks.stop()
                del self.groups[name]
        for name, group in mine.items():
            if name not in self.groups:
                self.groups[name] = self._begin(group, cfg)
            self.groups[name].follow(cfg)

    def answer(self, request: VoteQuery | Prepare | RankQuery) -> Reply:
        """Answer for the group that a message names."""
        ranks = self.groups.get(request.group)
        if ranks is None:
            return Refused(f"group {request.group!r} has no rank behind {self.upstream!r}")
        return ranks.answer(request)

    def stop(self) -> None:
        """Stop all groups' parts."""
        for ranks in self.groups.values():
            ranks.stop()

    def _begin(self, group: Group, cfg: Config) -> GroupRanks:
        duty = None
        if self.kv is not None:
            duty = PlannerLease(self.kv, f"duty/{group.name}", self.name, read_clock)
        ranks = GroupRanks(
            group, self.upstream, self.host, duty, self.plan_interval_ms, self.plan_max_moves
        )
        ranks.follow(cfg)
        ranks.start()
        return ranks
