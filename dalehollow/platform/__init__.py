"""Meet the platform: its key-value service, its lists and what its operator writes.

Nothing is imported here: a gateway starts with the few modules that it needs.
"""

from __future__ import annotations
