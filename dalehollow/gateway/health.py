"""Keep whether each rank group serves or is broken, as any gateway last saw it."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class GroupHealth:
    """Hold when each group, by its key, last served and last refused as broken, by any gateway."""

    served_at_s: dict[str, float] = field(default_factory=dict)
    refused_at_s: dict[str, float] = field(default_factory=dict)

    def is_broken(self, group_key: str) -> bool:
        """Return whether the newest that is known of a group is a refusal as broken."""
        refused_at_s = self.refused_at_s.get(group_key)
        return refused_at_s is not None and refused_at_s > self.served_at_s.get(group_key, 0.0)

    def note_served(self, group_key: str, at_s: float) -> None:
        """Note that a group answered."""
        self.served_at_s[group_key] = max(at_s, self.served_at_s.get(group_key, 0.0))

    def note_refused(self, group_key: str, at_s: float) -> None:
        """Note that a group refused as broken."""
        self.refused_at_s[group_key] = max(at_s, self.refused_at_s.get(group_key, 0.0))
