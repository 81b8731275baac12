"""Test that entries which cannot be right neither stop a gateway nor keep it from the others."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.gateway_bench import GatewayBench, make_config, run_bench

_HUGE = "9" * 5_000
_NESTED = "[" * 100_000 + "]" * 100_000
_NUMBERS = ("1e400", str(2**63), str(2**80), "9" * 400, "-" + "9" * 400, _HUGE, "-1")

# Entries, with a gap for a malformed value.
_ENTRIES = {
    "op/config": (json.dumps(make_config(7))[:-1] + ', "extra": %s}', '{"version": %s}'),
    "servers/odd": (
        '{"service": "desk", "address": "127.0.0.1:9", "zone": "h", "slots": %s, "state": "ready"}',
        '{"service": "desk", "address": "127.0.0.1:%s", "zone": "h", "slots": 1, "state": "ready"}',
        '{"service": "desk", "address": %s, "zone": "hall", "slots": 1, "state": "ready"}',
    ),
    "dalehollow/members/odd": (
        '{"address": "127.0.0.1:%s", "hall": "hall"}',
        '{"address": "127.0.0.1:%s", "hall": "another"}',
        '{"address": "no host:%s", "hall": "hall"}',
        '{"address": %s, "hall": "hall"}',
    ),
    "dalehollow/duties/desk/g": ("%s",),
    "dalehollow/plans/desk/g": (
        '{"demand": [[%s]], "slow_ranks": []}',
        '{"demand": [], "slow_ranks": [%s]}',
        '{"demand": %s}',
    ),
    "dalehollow/holds/desk/g": ('{"epoch": %s, "last_steps": {}}', '{"last_steps": {"0": %s}}'),
    "dalehollow/culprits/" + "ab" * 16: (
        '{"crashed_at_ms": {"a": %s}}',
        '{"crashed_at_ms": {"a": 1}, "in_flight_s": [%s]}',
        '{"crashed_at_ms": {"a": 1}, "companions": ["%s"]}',
    ),
    "dalehollow/culprits/odd": ('{"crashed_at_ms": {"a": 1}, "extra": %s}',),
    "dalehollow/unknown/odd": ("%s",),
}


def _list_values(patterns: tuple[str, ...]) -> list[bytes]:
    malformed = (*_NUMBERS, _NESTED, "null", "0", "99999", '"text"')
    values = [pattern.replace("%s", value).encode() for pattern in patterns for value in malformed]
    return [*values, b"", b"null", b"\xff\xfe", _NESTED.encode(), b"{" * 10, b"[]", b"{}"]


@pytest.mark.parametrize("key", _ENTRIES)
@pytest.mark.parametrize("is_read_anew", [True, False])
def test_malformed_entry_of_another_writer_stops_no_reader(
    key: str, is_read_anew: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against gateways that end, or stop following the store, for one malformed entry."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        await bench.add_server("s1")
        for number, value in enumerate(_list_values(_ENTRIES[key])):
            name = key if key == "op/config" else f"{key}{number}"
            bench.store.put(name, value)
            bench.store.put(key, value)
            await asyncio.sleep(0)
        if is_read_anew:
            bench.store.discard_history()
        version = 1_000
        bench.store.put("op/config", json.dumps(make_config(version)).encode())
        await bench.wait_until(
            lambda: (
                bench.gateway.state.table is not None
                and bench.gateway.state.table.version >= version
            )
        )
        await bench.add_server("s2")
        assert (await bench.send_request("/read/1")).status == 200
        # Reports go to all members, at least once in this time.
        await asyncio.sleep(0.5)
        assert "event=task_failed" not in caplog.text

    run_bench(scenario)
