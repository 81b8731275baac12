"""Start a gateway with little else imported: a restart serves again as soon as it can."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from dalehollow.errors import SettingsError
from dalehollow.gateway.process import Gateway
from dalehollow.gateway.settings import GatewaySettings, read_gateway_settings
from dalehollow.telemetry.logs import log_event, setup_logs

SETTINGS_VARIABLE = "DALEHOLLOW_BOOT"
EXIT_BAD_USE = 2

_LOG = logging.getLogger(__name__)


def main() -> None:
    """Run the gateway that the settings file describes: the argument, or the variable's path."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_gateway_settings(path)
    except SettingsError as exc:
        print(f"dalehollow: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_USE)
    setup_logs(settings.name, settings.log_level)
    asyncio.run(_run(settings))


async def _run(settings: GatewaySettings) -> None:
    """Run until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log_event(_LOG, "reload"))
    await Gateway(settings).run(stopping)


if __name__ == "__main__":
    main()
