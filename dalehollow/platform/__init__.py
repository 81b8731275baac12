"""Interface to the platform: its key-value service, its lists and the operator's configuration.

Imports nothing, so that a gateway loads only the modules it needs.
"""

from __future__ import annotations
