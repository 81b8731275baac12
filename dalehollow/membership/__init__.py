"""Know which upstreams there are, how loaded they are and which are leaving or gone."""

from __future__ import annotations

from dalehollow.membership.peers import PeerTasks
from dalehollow.membership.subset import choose_subset
from dalehollow.membership.view import UpstreamView
from dalehollow.membership.vm_watch import VmWatch

__all__ = ["PeerTasks", "UpstreamView", "VmWatch", "choose_subset"]
