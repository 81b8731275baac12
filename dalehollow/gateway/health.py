"""Track whether each rank group is healthy or broken, as last seen by any gateway."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class GroupHealth:
    """Hold the time at which each group last answered and last refused a request as broken."""

    served_at_s: dict[str, float] = field(default_factory=dict)
    refused_at_s: dict[str, float] = field(default_factory=dict)

    def is_broken(self, group_key: str) -> bool:
        """Return whether the group's latest known response was a refusal as broken."""
        refused_at_s = self.refused_at_s.get(group_key)
        return refused_at_s is not None and refused_at_s > self.served_at_s.get(group_key, 0.0)

    def record_served(self, group_key: str, at_s: float) -> None:
        """Record that a group answered a request."""
        self.served_at_s[group_key] = max(at_s, self.served_at_s.get(group_key, 0.0))

    def record_refused(self, group_key: str, at_s: float) -> None:
        """Record that a group refused a request as broken."""
        self.refused_at_s[group_key] = max(at_s, self.refused_at_s.get(group_key, 0.0))
