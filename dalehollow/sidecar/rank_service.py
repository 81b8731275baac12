"""Keep this sidecar's rank groups in line with the configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from dalehollow.clock import read_clock
from dalehollow.config.holder import ActiveConfig
from dalehollow.config.model import Config, Group
from dalehollow.groups.duty import PlannerLease
from dalehollow.groups.host import RankHost
from dalehollow.platform.keyvalue import KeyValue
from dalehollow.protocol import Prepare, RankQuery, Refused, Reply, VoteQuery
from dalehollow.sidecar.ranks import GroupRanks


@dataclass
class RankService:
    """Hold this sidecar's ranks of each configured group."""

    upstream: str
    name: str
    host: RankHost
    kv: KeyValue | None
    plan_interval_ms: int
    plan_max_moves: int
    groups: dict[str, GroupRanks] = field(default_factory=dict)

    def apply(self, active: ActiveConfig) -> None:
        """Start new groups, stop removed or changed ones and update peer addresses."""
        cfg = active.config
        assert cfg is not None
        own_groups = {g.name: g for g in cfg.groups.values() if self.upstream in g.ranks}
        for name, ranks in list(self.groups.items()):
            if own_groups.get(name) != ranks.group:
                ranks.stop()
                del self.groups[name]
        for name, group in own_groups.items():
            if name not in self.groups:
                self.groups[name] = self._start_group(group, cfg)
            self.groups[name].update_peers(cfg)

    def answer(self, request: VoteQuery | Prepare | RankQuery) -> Reply:
        """Handle a message with the group that it names."""
        ranks = self.groups.get(request.group)
        if ranks is None:
            return Refused(f"group {request.group!r} has no rank at upstream {self.upstream!r}")
        return ranks.answer(request)

    def stop(self) -> None:
        """Stop all groups."""
        for ranks in self.groups.values():
            ranks.stop()

    def _start_group(self, group: Group, cfg: Config) -> GroupRanks:
        duty = None
        if self.kv is not None:
            duty = PlannerLease(self.kv, f"duty/{group.name}", self.name, read_clock)
        ranks = GroupRanks(
            group, self.upstream, self.host, duty, self.plan_interval_ms, self.plan_max_moves
        )
        ranks.update_peers(cfg)
        ranks.start()
        return ranks
