"""Track upstreams: their load and whether they are leaving or unavailable."""

from __future__ import annotations

from dalehollow.membership.peers import PeerHeartbeats
from dalehollow.membership.subset import choose_subset
from dalehollow.membership.view import UpstreamView
from dalehollow.membership.vm_watch import VmListPoller

__all__ = ["PeerHeartbeats", "UpstreamView", "VmListPoller", "choose_subset"]
