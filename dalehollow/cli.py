"""Implement the command line: run a process, and operate a deployment."""

from __future__ import annotations

import dataclasses
import json as json_codec
import os
import signal
import sys
import threading
import time
import uuid
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NoReturn, Protocol

import fire
from result import Err, Ok

from dalehollow.config import Applied, Conflict, apply_text, check_text, read_manifest
from dalehollow.config.difference import list_differences
from dalehollow.config.holder import ConfigHolder
from dalehollow.config.spread import ConfigSync
from dalehollow.config.store import ApplyError, list_history, part_key
from dalehollow.errors import PlatformError, SettingsError
from dalehollow.gateway.settings import GATEWAY_ROLE, read_gateway_settings
from dalehollow.jsonc import JsoncError, parse_jsonc
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.protocol import Dump, DumpText
from dalehollow.protocol.link import PeerLink
from dalehollow.settings import ROLES, Settings, read_settings
from dalehollow.telemetry.logs import setup_logs
from dalehollow.telemetry.trace import collect_trace, explain_end
from dalehollow.web import HttpClient

EXIT_FAILED = 1
EXIT_BAD_USE = 2
_DUMP_TIMEOUT_MS = 2_000
_HTTP = "http://"
_STACK_BYTES = 256 * 1024
# With 200 streams, the default of 5 ms causes gaps between tokens (python -m benchmarks relay).
SWITCH_INTERVAL_S = 0.001


class _Process(Protocol):
    def start(self) -> None: ...

    def stop(self) -> int: ...


def run(settings: str) -> None:
    """Run the process described by a settings file until SIGTERM or SIGINT."""
    if _is_gateway(settings):
        from dalehollow.gateway.__main__ import run_gateway

        run_gateway(settings)
        return
    cfg = _load_settings(settings)
    setup_logs(cfg.name, cfg.log_level)
    threading.stack_size(_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    process = _make_process(cfg)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    process.start()
    print(
        f"event=ready http={process.server.address} control={process.control.address}", flush=True
    )
    stopping.wait()
    unfinished_count = process.stop()
    sys.stdout.flush()
    sys.stderr.flush()
    # Skip the interpreter shutdown: threads of broken connections would delay it.
    os._exit(EXIT_FAILED if unfinished_count else 0)


def check(file: str, json: bool = False) -> None:
    """Check a configuration file and print every error in it."""
    checked = check_text(_read_file(file))
    if isinstance(checked, Err):
        mistakes = checked.err_value
        _print(json, [dataclasses.asdict(m) for m in mistakes], map(str, mistakes))
        sys.exit(EXIT_FAILED)
    cfg = checked.ok_value
    summary = {
        "deployment": cfg.deployment,
        "halls": len(cfg.halls),
        "client_accounts": len(cfg.accounts),
        "upstreams": len(cfg.upstreams),
        "services": len(cfg.services),
        "groups": len(cfg.groups),
    }
    _print(json, summary, [" ".join(f"{k}={v}" for k, v in summary.items())])


def apply(file: str, platform: str, parent: int | None = None, json: bool = False) -> None:
    """Apply a configuration file atomically.

    With --parent, apply it only if that version is still active.
    """
    apply_id = uuid.uuid4().hex
    applied = apply_text(HttpKeyValue(platform), _read_file(file), apply_id=apply_id, parent=parent)
    match applied:
        case Ok(Applied(manifest)):
            pairs = {"version": manifest.version, "parent": manifest.parent, "apply_id": apply_id}
            _print(json, pairs, [" ".join(f"{k}={v}" for k, v in pairs.items())])
        case Err(error):
            _fail(_describe_apply_error(error))


def show(platform: str) -> None:
    """Print the configuration stored in the platform."""
    kv = HttpKeyValue(platform)
    manifest = read_manifest(kv)
    if isinstance(manifest, Err):
        _fail(str(manifest.err_value))
    if not manifest.ok_value.version:
        _fail("no configuration has been applied yet")
    text = kv.get(part_key(manifest.ok_value.source))
    if isinstance(text, Err):
        _fail(str(text.err_value))
    print(f"// version {manifest.ok_value.version}, apply {manifest.ok_value.apply_id}")
    print(text.ok_value.value.decode())


def diff(file: str, platform: str, json: bool = False) -> None:
    """Print the names that a file would add, change or remove in the active configuration."""
    checked = check_text(_read_file(file))
    if isinstance(checked, Err):
        _fail(_describe_apply_error(checked.err_value))
    holder = ConfigHolder()
    if not ConfigSync(0, holder, HttpKeyValue(platform)).poll():
        _fail("the platform did not answer")
    changes = list_differences(holder.active.config, checked.ok_value)
    lines = [f"{c.kind} {c.table}.{c.name}" for c in changes]
    _print(json, [dataclasses.asdict(c) for c in changes], lines or ["nothing would change"])


def history(platform: str, json: bool = False) -> None:
    """Print the most recent versions of the configuration, newest first."""
    manifest = read_manifest(HttpKeyValue(platform))
    if isinstance(manifest, Err):
        _fail(str(manifest.err_value))
    rows = [dataclasses.asdict(past) for past in list_history(manifest.ok_value)]
    _print(json, rows, [" ".join(f"{k}={v}" for k, v in row.items()) for row in rows])


def dump(address: str, section: str = "") -> None:
    """Print the state of the process at a control address.

    --section recent adds its latest decisions. A gateway serves its state on its metrics address,
    given as http://ADDRESS.
    """
    if address.startswith(_HTTP):
        print(_fetch_over_http(address.removeprefix(_HTTP), "/dump"))
        return
    print(json_codec.dumps(_fetch_dump(address, section), indent=2))


def status(*addresses: str, json: bool = False) -> None:
    """Print the active configuration version of the process at each control address."""
    rows = []
    for address in addresses:
        state = _fetch_dump(address, "", may_fail=True)
        rows.append(
            {
                "address": address,
                "name": state.get("name", "unreachable"),
                "config_version": state.get("config_version"),
                "is_leaving": state.get("is_leaving"),
            }
        )
    lines = [" ".join(f"{k}={v}" for k, v in row.items()) for row in rows]
    _print(json, rows, lines)
    if any(row["config_version"] is None for row in rows):
        sys.exit(EXIT_FAILED)


def explain(request_id: str, *sources: str, address: str = "") -> None:
    """Explain how a request ended, from log files of several processes or an entry's memory.

    Log files are given as arguments; with --address, the entry at that control address is queried.
    """
    if sources:
        _explain_from_logs(request_id, sources)
        return
    if not address:
        raise SettingsError("explain needs log files or the --address of an entry")
    state = _fetch_dump(address, "recent")
    found = [d for d in state["recent"] if d["request_id"] == request_id]
    if not found:
        _fail(f"request {request_id!r} is not among the {len(state['recent'])} most recent ones")
    for decision in found:
        print(" ".join(f"{k}={v}" for k, v in decision.items()))


def _explain_from_logs(request_id: str, files: Sequence[str]) -> None:
    lines = [line for file in files for line in _read_file(file).splitlines()]
    trace = collect_trace(str(request_id), lines)
    for line in trace:
        print(line.text)
    print(explain_end(trace))
    if not trace:
        sys.exit(EXIT_FAILED)


def check_settings(settings: str) -> None:
    """Check a settings file and print all values, including defaults."""
    loaded = read_gateway_settings(settings) if _is_gateway(settings) else _load_settings(settings)
    print(json_codec.dumps(dataclasses.asdict(loaded), indent=2))


COMMANDS: dict[str, Callable[..., Any]] = {
    "run": run,
    "check": check,
    "apply": apply,
    "diff": diff,
    "show": show,
    "history": history,
    "dump": dump,
    "status": status,
    "explain": explain,
    "check-settings": check_settings,
}


def main() -> None:
    """Run one command; report usage errors in one line, with exit code 2."""
    try:
        fire.Fire(COMMANDS, name="dalehollow")
    except SettingsError as exc:
        print(f"dalehollow: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_USE)


def _make_process(cfg: Settings) -> Any:
    # Imported lazily, so that the other commands start fast.
    if cfg.role == ROLES[0]:
        from dalehollow.entry import EntryProcess

        return EntryProcess(cfg)
    from dalehollow.sidecar import Sidecar

    return Sidecar(cfg)


def _is_gateway(path: str) -> bool:
    """Return whether a settings file is for a gateway; if invalid, loading it reports why."""
    try:
        raw, _ = parse_jsonc(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, JsoncError):
        return False
    return isinstance(raw, dict) and raw.get("role") == GATEWAY_ROLE


def _fetch_over_http(address: str, path: str) -> str:
    client = HttpClient(connect_timeout_s=_DUMP_TIMEOUT_MS / 1000, max_connections=1)
    answered = client.call("GET", address, path, timeout_s=_DUMP_TIMEOUT_MS / 1000)
    if isinstance(answered, Err):
        _fail(f"process at {address!r} did not answer: {answered.err_value.message}")
    return answered.ok_value.read().decode()


def _load_settings(path: str) -> Settings:
    return read_settings(path)


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"file {path!r} cannot be read: {exc}") from exc


def _fetch_dump(address: str, section: str, *, may_fail: bool = False) -> dict[str, Any]:
    link = PeerLink(address)
    try:
        asked = link.ask(Dump(section), timeout_ms=_DUMP_TIMEOUT_MS)
    finally:
        link.close()
    if isinstance(asked, Ok) and isinstance(asked.ok_value, DumpText):
        state: dict[str, Any] = json_codec.loads(asked.ok_value.state_json)
        return state
    if may_fail:
        return {}
    _fail(f"process at {address!r} did not answer")


def _describe_apply_error(error: ApplyError) -> str:
    if isinstance(error, Conflict):
        winner = error.winner
        applied_at = time.strftime("%H:%M:%S", time.gmtime(winner.applied_at_ms / 1000))
        return (
            f"version {winner.version} (apply {winner.apply_id}, {applied_at} UTC) "
            "was applied first; nothing of this file was applied"
        )
    if isinstance(error, PlatformError):
        return f"the call to the platform failed: {error}"
    return "\n".join(str(mistake) for mistake in error)


def _print(as_json: bool, value: object, lines: Any) -> None:
    if as_json:
        print(json_codec.dumps(value))
        return
    for line in lines:
        print(line)


def _fail(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(EXIT_FAILED)
