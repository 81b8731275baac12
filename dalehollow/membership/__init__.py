"""Track upstreams: their load and whether they are leaving or unavailable."""

from __future__ import annotations

from dalehollow.membership.peers import PeerTasks
from dalehollow.membership.subset import choose_subset
from dalehollow.membership.view import UpstreamView
from dalehollow.membership.vm_watch import VmWatch

__all__ = ["PeerTasks", "UpstreamView", "VmWatch", "choose_subset"]
