"""Find out what requests that crash upstreams have in common."""

from dalehollow.crashes.fingerprints import Fingerprint, make_fingerprints
from dalehollow.crashes.stored import CulpritRecords, StoredCulprit
from dalehollow.crashes.suspects import PROBE_TIMEOUT_S, CrashEvidence, Ruling, Suspects

__all__ = [
    "PROBE_TIMEOUT_S",
    "CrashEvidence",
    "CulpritRecords",
    "Fingerprint",
    "Ruling",
    "StoredCulprit",
    "Suspects",
    "make_fingerprints",
]
