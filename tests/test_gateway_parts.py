"""Test settings, routing tables, events, retries and pass times of a gateway."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

import msgspec
import pytest

from dalehollow.crashes import Suspects
from dalehollow.errors import SettingsError
from dalehollow.events import EventSplitter
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.pass_times import PassTimes
from dalehollow.gateway.retries import RetryWindow
from dalehollow.gateway.settings import GatewaySettings, list_unknown, parse_gateway_settings
from dalehollow.gateway.state import GatewayState, RetryLimits
from dalehollow.gateway.table import RequestKind
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.platform.names import HEADERS
from dalehollow.platform.operator import decode_config
from dalehollow.platform.servers import decode_upstream
from tests.gateway_bench import HOST, make_config
from tests.platform_fields import fill_template

SETTINGS = {
    "role": "gateway",
    "name": "gw",
    "hall": "h",
    "http": "127.0.0.1:1",
    "ready": "127.0.0.1:2",
    "store": "127.0.0.1:3",
    "peer": "127.0.0.1:4",
}


def test_settings_allow_comments_and_unknown_fields() -> None:
    text = "// a comment\n" + json.dumps({**SETTINGS, "from_a_later_release": 1})
    assert parse_gateway_settings(text).name == "gw"
    assert list_unknown(text) == ["from_a_later_release"]


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"http": "nowhere"}, "'http' is 'nowhere', must be like 127.0.0.1:80"),
        ({"http": None}, "'http' is None"),
        ({"retry_share": -1}, "'retry_share' is -1"),
        ({"stop_grace_ms": 1.5}, "'stop_grace_ms' is 1.5"),
        ({"stop_grace_ms": True}, "'stop_grace_ms' is True, must be a whole number from 0"),
        ({"stop_grace_s": -0.5}, "'stop_grace_s' is -0.5, must be a number from 0"),
        ({"stop_grace_s": "7.5"}, "'stop_grace_s' is '7.5', must be a number from 0"),
        ({"stop_grace_s": None}, "'stop_grace_s' is None, must be a number from 0"),
        ({"stop_grace_s": float("nan")}, "'stop_grace_s' is nan, must be a number from 0"),
        ({"stop_grace_s": 1e300}, "'stop_grace_s' is 1e.300, must be a number from 0"),
        ({"stop_grace_s": 8, "stop_grace_ms": 8000}, "'stop_grace_s' and 'stop_grace_ms' are both"),
        ({"retry_extra": float("inf")}, "'retry_extra' is inf, must be a number from 0"),
        ({"max_descriptors": 4200.5}, "'max_descriptors' is 4200.5, must be a whole number"),
        ({"log_level": "loud"}, "choices: debug, info"),
    ],
)
def test_errors_name_invalid_settings(change: dict[str, object], message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        parse_gateway_settings(json.dumps({**SETTINGS, **change}))


def test_errors_name_a_missing_setting() -> None:
    with pytest.raises(SettingsError, match="'store' is missing"):
        parse_gateway_settings(json.dumps({k: v for k, v in SETTINGS.items() if k != "store"}))


def test_the_filled_template_is_valid() -> None:
    text = Path("deploy/gateway.json5").read_text()
    fills = {
        "{{nodeName|json}}": '"gw"',
        "{{zone|json}}": '"h"',
        "{{listen.front|json}}": '"10.0.0.1:1"',
        "{{listen.ready|json}}": '"10.0.0.1:2"',
        "{{ip}}": "10.0.0.1",
        "{{internalPorts.0}}": "7000",
        "{{platform.address|json}}": '"10.0.0.9:3"',
        "{{limits.linkMbps|json}}": "20.5",
        "{{limits.maxFds|json}}": "4200",
        "{{limits.memoryMb|json}}": "300",
        "{{heartbeatMs|json}}": "1200",
        "{{bounds.graceS|json}}": "8",
        "{{bounds.budgetWindowS|json}}": "10",
        "{{bounds.retryBudgetRatio|json}}": "0.2",
        "{{bounds.budgetExtra|json}}": "90",
    }
    for gap, value in fills.items():
        text = text.replace(gap, value)
    settings = parse_gateway_settings(text)
    assert settings.peer == "10.0.0.1:7000"
    assert settings.stop_grace_ms == 8_000
    assert settings.max_descriptors == 4_200
    assert settings.memory_mb == 300
    assert list_unknown(text) == []


@pytest.mark.parametrize(
    ("path", "figure", "field", "value"),
    [
        ("bounds.graceS", 7.5, "stop_grace_ms", 7_500),
        ("bounds.graceS", 8.0, "stop_grace_ms", 8_000),
        ("bounds.graceS", 7.0004, "stop_grace_ms", 7_000),
        ("bounds.budgetWindowS", 10.25, "retry_window_ms", 10_250),
        ("bounds.retryBudgetRatio", 1, "retry_share", 1),
        ("bounds.budgetExtra", 90.5, "retry_extra", 90.5),
        ("heartbeatMs", 1200.5, "heartbeat_ms", 1200.5),
        ("limits.maxFds", 4200.0, "max_descriptors", 4_200),
        ("limits.linkMbps", 1000, "link_mbps", 1_000),
        ("limits.memoryMb", 160.5, "memory_mb", 160.5),
    ],
)
def test_gateway_starts_with_whole_and_fractional_figures_of_the_platform(
    path: str, figure: float, field: str, value: float
) -> None:
    """Guards against gateways that do not start because a figure has a fraction."""
    text = fill_template({path: figure})
    settings = parse_gateway_settings(text)
    assert getattr(settings, field) == value
    assert isinstance(getattr(settings, field), type(value))
    assert list_unknown(text) == []


def test_gateway_starts_without_figures_of_rules_that_are_not_in_force() -> None:
    """Guards against gateways that do not start because the platform leaves out a figure."""
    names = ("graceS", "budgetWindowS", "retryBudgetRatio", "budgetExtra")
    settings = parse_gateway_settings(fill_template({f"bounds.{name}": None for name in names}))
    assert settings.stop_grace_ms == GatewaySettings.stop_grace_ms
    assert settings.retry_window_ms == GatewaySettings.retry_window_ms
    assert settings.retry_share == GatewaySettings.retry_share
    assert settings.retry_extra == GatewaySettings.retry_extra


def test_gateway_starts_without_the_memory_of_its_vm() -> None:
    settings = parse_gateway_settings(fill_template({"limits.memoryMb": None}))
    assert settings.memory_mb == GatewaySettings.memory_mb


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/read/x", "read"),
        ("/read/deep/x", "deep"),
        ("/read/deeper/x", "read"),
        ("/read", None),
        ("/readx/", None),
    ],
)
def test_the_longest_prefix_wins(path: str, name: str | None) -> None:
    config = make_config()
    routes = list(config["routes"])  # type: ignore[call-overload]
    routes.append({**routes[0], "name": "deep", "pathPrefix": "/read/deep/"})
    table = decode_config(msgspec.json.encode({**config, "routes": routes}))
    route = table.find_route(HOST.upper(), path)
    assert (route.name if route is not None else None) == name
    assert table.find_route("other.example", path) is None


def test_a_configuration_is_decoded() -> None:
    config = make_config()
    routes = list(config["routes"])  # type: ignore[call-overload]
    split = [{"service": "desk", "weight": 90}, {"service": "desk2", "weight": 10}]
    routes[2] = {k: v for k, v in routes[2].items() if k != "service"} | {"trafficSplit": split}
    table = decode_config(msgspec.json.encode({**config, "routes": routes}))
    talk = table.routes[2]
    assert talk.kind is RequestKind.STREAM and talk.is_repeatable
    assert [t.service for t in talk.targets] == ["desk", "desk2"]
    assert not table.routes[1].is_repeatable
    assert table.requires_key


def test_a_configuration_with_fractions_of_milliseconds_and_tokens_is_decoded() -> None:
    """Guards against a configuration that no gateway applies because a figure has a fraction."""
    config = make_config()
    route = {**config["routes"][2], "targetLatencyMs": 402.5, "gapAimMs": 119.5}  # type: ignore[index]
    engine = {"slots": 4, "step_ms": 5.85, "per_seq_ms": 0, "context_per_k": 0, "read_per_s": 61e3}
    engine["usual"] = {"prompt": 713.6, "answer": 140.2}
    service = {"name": "desk", "maxConnections": 9, "engine": engine}
    limits = {**config["limits"], "headerTimeoutMs": 3000.5, "idleTimeoutMs": 15e3}  # type: ignore[dict-item]
    changes = {"routes": [{**route, "timeoutMs": 8051.5}], "services": [service], "limits": limits}
    table = decode_config(msgspec.json.encode({**config, **changes}))
    (talk,) = table.routes
    assert (talk.timeout_ms, talk.objective_ms, talk.pause_objective_ms) == (8051.5, 402.5, 119.5)
    assert (table.limits.header_timeout_ms, table.limits.idle_timeout_ms) == (3000.5, 15_000)
    figures = table.services["desk"].engine
    assert figures is not None
    assert (figures.typical_prompt_tokens, figures.typical_answer_tokens) == (713.6, 140.2)


@pytest.mark.parametrize("change", [{"maxAttempts": 1.5}, {"timeoutMs": "8"}, {"priority": True}])
def test_a_configuration_with_a_figure_of_the_wrong_type_is_rejected(
    change: dict[str, object],
) -> None:
    config = make_config()
    route = {**config["routes"][0], **change}  # type: ignore[index]
    with pytest.raises(ValueError, match=next(iter(change))):
        decode_config(msgspec.json.encode({**config, "routes": [route]}))


def test_a_configuration_with_an_unknown_kind_is_rejected() -> None:
    config = make_config()
    routes = list(config["routes"])  # type: ignore[call-overload]
    routes[0] = {**routes[0], "kind": "sideways"}
    with pytest.raises(ValueError, match="'sideways'"):
        decode_config(msgspec.json.encode({**config, "routes": routes}))


def test_an_entry_of_a_rank_is_decoded() -> None:
    group = {"name": "g0", "epoch": 3, "rank": 7, "state": "broken"}
    entry = {
        "service": "desk",
        "address": "10.0.0.1:1",
        "zone": "h",
        "slots": 6,
        "state": "draining",
        "group": group,
        "size": 16,
    }
    listed = decode_upstream("servers/i-1", msgspec.json.encode(entry))
    assert listed.incarnation == "i-1" and listed.is_leaving
    assert (listed.group_rank, listed.group_size, listed.group_epoch) == (7, 16, 3)
    assert not listed.group_is_open


EVENTS = [
    b"version: 2\nid: 1\ndata: a\n\n",
    b"id: 2\r\ndata: b\r\n\r\n",
    b"id: 3\ndata: c\n\n",
]
STREAM = b"".join(EVENTS)
WHOLE = [b"".join(EVENTS[:count]) for count in range(len(EVENTS) + 1)]


@pytest.mark.parametrize("size", range(1, 12))
def test_events_are_complete_for_any_size_of_pieces(size: int) -> None:
    splitter = EventSplitter()
    passed = b""
    for start in range(0, len(STREAM), size):
        passed += splitter.feed(STREAM[start : start + size])
        assert passed in WHOLE
    assert passed == STREAM
    assert splitter.last_id == b"3"
    assert splitter.flush() == b""


@pytest.mark.parametrize("blank_line", ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n"])
@pytest.mark.parametrize("size", [1, 2, 100])
def test_each_blank_line_ends_an_event(blank_line: str, size: int) -> None:
    """Guards against a stream held back to its end since its line ends differ from the usual."""
    events = [f"id: {number}\rdata: a\r\ndata: b{blank_line}".encode() for number in (1, 2)]
    splitter = EventSplitter()
    for event in events:
        passed = b"".join(
            splitter.feed(event[start : start + size]) for start in range(0, len(event), size)
        )
        assert passed.strip() == event.strip()
    assert (splitter.last_id, splitter.count) == (b"2", 2)


@pytest.mark.parametrize(
    ("body", "is_truncated", "is_truncated_unframed"),
    [
        (b"", False, True),
        (b"id: 1\ndata: a\n\n", False, False),
        (b"id: 1\ndata: a\r\r", False, False),
        (b"id: 1\ndata: a\n\r", False, False),
        # Blank lines and comments belong to no event.
        (b"id: 1\ndata: a\n\n\n", False, False),
        (b"id: 1\ndata: a\n\n: a comment\n", False, False),
        (b": a comment\n", False, True),
        (b": a comment\n\n", False, True),
        (b": a comment\n\nid: 1\ndata: a\n\n", False, False),
        (b"id: 1\ndata: a\n\nid", True, True),
        (b"id: 1\ndata: a\n", True, True),
        (b"id: 1\ndata: a\r\n", True, True),
        (b"id: 1\ndata: a\n\n: a comment", True, True),
    ],
)
def test_stream_that_ends_inside_an_event_is_truncated(
    body: bytes, is_truncated: bool, is_truncated_unframed: bool
) -> None:
    splitter = EventSplitter()
    splitter.feed(body)
    framed, unframed = (
        splitter.find_truncation(ends_with_connection=is_unframed) for is_unframed in (False, True)
    )
    assert (framed is not None, unframed is not None) == (is_truncated, is_truncated_unframed)


def test_an_incomplete_event_is_discarded_when_its_connection_breaks() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n\nid: 2\ndata") == b"id: 1\n\n"
    splitter.begin_body()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_retries_stay_within_their_share_of_a_sliding_window() -> None:
    window = RetryWindow(window_s=10.0, share=0.2, extra=2.0)
    for number in range(10):
        window.count_first_attempt(float(number))
    taken = sum(window.try_take(9.5) for _ in range(10))
    assert taken == 4
    # At 12.5 s the oldest first attempts have left the window, so fewer retries are allowed.
    assert not window.try_take(12.5)
    assert window.try_take(20.0)


def test_passes_that_take_longer_at_the_same_batch_size_are_detected() -> None:
    now_s, batch, noticed = 100.0, 2.0, []
    pass_times = PassTimes(lambda: now_s, lambda: batch, lambda b: 20.0 * b)
    pass_times.on_slower = lambda: noticed.append(now_s)
    for _ in range(20):
        now_s += 0.05
        pass_times.record_pause(0.040)
    batch = 4.0
    for _ in range(20):
        now_s += 0.05
        pass_times.record_pause(0.080)
    assert noticed == []
    for _ in range(20):
        now_s += 0.05
        pass_times.record_pause(0.160)
    assert noticed
    pass_times.settle()
    noticed.clear()
    for _ in range(40):
        now_s += 0.05
        pass_times.record_pause(0.160)
    assert noticed == []


def test_ejections_never_exclude_most_of_a_service() -> None:
    upstreams = UpstreamSet(random.Random(1))
    for number in range(6):
        entry = {"service": "d", "address": "10.0.0.1:1", "zone": "h", "slots": 2, "state": "ready"}
        upstreams.put(decode_upstream(f"servers/u{number}", msgspec.json.encode(entry)))
    for upstream in upstreams:
        for _ in range(10):
            upstreams.record_failure(upstream, 50.0, is_unreachable=False)
    assert sum(u.ejected_until_s > 50.0 for u in upstreams) == 2


def test_the_expected_run_time_excludes_received_events() -> None:
    """Guards against cutting off a resumed stream whose remaining answer would be in time."""

    async def scenario() -> None:
        state = GatewayState(
            names=HEADERS,
            rng=random.Random(1),
            upstreams=UpstreamSet(random.Random(1)),
            retry_limits=RetryLimits(10.0, 0.2, 90.0, 1),
            connect_timeout_s=0.1,
            crashes=CrashWatch(lambda: 0.0, Suspects(lambda: 0.0)),
        )
        engine = {"slots": 4, "step_ms": 10.0, "per_seq_ms": 0, "context_per_k": 0}
        service = {"name": "desk", "maxConnections": 9}
        service["engine"] = {**engine, "read_per_s": 1e6, "stride": 5}
        state.apply_table(decode_config(msgspec.json.encode(make_config(services=[service]))))
        state.upstreams.put(ListedUpstream("u", "desk", "127.0.0.1:9", "hall", 4, False))
        pass_times = state.pass_times_of(state.upstreams.of_service("desk")[0].listed)
        for _ in range(10):
            pass_times.record_pause(0.1)
        assert state.expected_run_s("desk", 50) == pytest.approx(1.0)
        assert state.expected_run_s("desk", 50, events=7) == pytest.approx(0.3)
        assert state.expected_run_s("desk", 50, events=20) == 0.0

    asyncio.run(scenario())


def test_complete_events_are_counted() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert splitter.count == 1
    splitter.feed(b"ta: b\n\n: a comment\n\n")
    assert splitter.count == 2


def test_a_slow_rank_gets_no_requests_while_other_ranks_are_listed() -> None:
    """Guards against slowing down a group by using its slow rank when all others are occupied."""
    upstreams = UpstreamSet(random.Random(1))
    for rank in (0, 1):
        listed = ListedUpstream(f"s{rank}", "desk", "127.0.0.1:9", "hall", 1, False, "g", rank, 2)
        upstreams.put(listed)
    upstreams.record_slow_ranks("desk/g", {1})
    first = upstreams.choose("desk", (), 0.0)
    assert first is not None and first.listed.group_rank == 0
    first.in_flight += 1
    assert upstreams.choose("desk", (), 0.0) is None
    upstreams.remove("s0")
    only = upstreams.choose("desk", (), 0.0)
    assert only is not None and only.listed.group_rank == 1
