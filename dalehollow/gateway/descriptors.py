"""Divide the file descriptors of the process between callers and everything else."""

from __future__ import annotations

import resource

MAX_FILE_DESCRIPTORS = 200
"""Descriptors of files, pipes and libraries; a small limit keeps an eighth for them."""
FILE_SHARE = 1 / 8
CALLER_SHARE = 3 / 4
"""Share of the sockets for callers. The others connect to upstreams, the store and other gateways,
and accept the balancer's checks."""


def read_descriptor_limit(configured: int) -> int:
    """Return how many descriptors the process may use; `configured` is 0 if not known."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return configured
    return min(limit, configured) if configured else limit


def count_caller_connections(descriptor_limit: int) -> int | None:
    """Return how many connections of callers may be open, None if there is no limit."""
    if not descriptor_limit:
        return None
    files = min(MAX_FILE_DESCRIPTORS, round(descriptor_limit * FILE_SHARE))
    return max(1, round((descriptor_limit - files) * CALLER_SHARE))
