"""Know which upstreams there are, how loaded they are and which are leaving or gone."""

from __future__ import annotations

from dalehollow.membership.peers import PeerTasks
from dalehollow.membership.subset import choose_subset
from dalehollow.membership.view import UpstreamView

__all__ = ["PeerTasks", "UpstreamView", "choose_subset"]
