"""Start a gateway with minimal imports, so that it serves again soon after a restart."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
import signal
import sys

from dalehollow.clock import BootTimeEventLoop
from dalehollow.errors import SettingsError
from dalehollow.gateway.process import Gateway
from dalehollow.gateway.settings import GatewaySettings, read_gateway_settings, read_unknown
from dalehollow.telemetry.logs import LineWriter, log_event, setup_logs

SETTINGS_VARIABLE = "DALEHOLLOW_BOOT"
EXIT_BAD_USE = 2

_LOG = logging.getLogger(__name__)


def main() -> None:
    """Run a gateway with the settings file given as argument or in `DALEHOLLOW_BOOT`."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    try:
        run_gateway(path)
    except SettingsError as exc:
        print(f"dalehollow: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_USE)


def run_gateway(path: str) -> None:
    """Run a gateway; raise SettingsError if the settings file is missing or invalid."""
    settings = read_gateway_settings(path)
    writer = setup_logs(settings.name, settings.log_level, settings.log_lines_per_s)
    if unknown := read_unknown(path):
        log_event(_LOG, "settings_unknown", logging.WARNING, fields=",".join(unknown))
    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        runner.run(_run(settings, path, writer))


async def _run(settings: GatewaySettings, path: str, writer: LineWriter) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(settings, path, writer))
    gateway = Gateway(settings)
    gateway.lines_left_out = lambda: writer.left_out
    await gateway.run(stopping)


def _reload(started_with: GatewaySettings, path: str, writer: LineWriter) -> None:
    """Apply changed log settings; other changes take effect at the next start."""
    try:
        settings = read_gateway_settings(path)
    except SettingsError as exc:
        log_event(_LOG, "reload_failed", logging.ERROR, error=exc)
        return
    logging.getLogger().setLevel(settings.log_level.upper())
    writer.set_rate(settings.log_lines_per_s)
    changed = [
        f.name
        for f in dataclasses.fields(settings)
        if getattr(settings, f.name) != getattr(started_with, f.name)
    ]
    log_event(_LOG, "reload", changed=",".join(changed))


if __name__ == "__main__":
    main()
