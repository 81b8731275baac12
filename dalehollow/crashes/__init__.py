"""Find out what requests that crash upstreams have in common."""

from dalehollow.crashes.chat import list_shared_messages
from dalehollow.crashes.detector import CrashDetector
from dalehollow.crashes.fingerprints import Fingerprint, make_fingerprints
from dalehollow.crashes.shared import SharedSuspects
from dalehollow.crashes.stored import CulpritRecords, StoredCulprit
from dalehollow.crashes.suspect import PROBE_TIMEOUT_S
from dalehollow.crashes.suspects import UNLISTED_RUN_MARK, CrashEvidence, Ruling, Suspects

__all__ = [
    "PROBE_TIMEOUT_S",
    "UNLISTED_RUN_MARK",
    "CrashDetector",
    "CrashEvidence",
    "CulpritRecords",
    "Fingerprint",
    "Ruling",
    "SharedSuspects",
    "StoredCulprit",
    "Suspects",
    "list_shared_messages",
    "make_fingerprints",
]
