"""Finding the cause of a failed request from logs and metrics alone.

Covers the log events of the request path, ``mulberryctl explain``, the bounded log
writer and the metrics.
"""

import asyncio
import os

from click.testing import CliRunner

from mulberryctl.main import main
from mulberryctl.timeline import LogLine, find_timeline
from mulberryrelay_edge.monitoring import render_metrics
from mulberryrelay_kernel.logs import BoundedWriter

from .fixtures import async_test
from .fixtures.edgerouter import edge_refusal, edge_response, edge_router
from .fixtures.logs import recorded_lines
from .fixtures.rawserver import RawRequest, close, raw_server, respond_with


def events(timeline: list[LogLine]) -> list[str]:
    """Return the names of the events of a timeline."""
    return [line.event for line in timeline]


@async_test
async def test_a_refusal_under_overload_is_explained() -> None:
    """Guards against a 503 whose log lines do not show the load of the servers."""
    slow = respond_with(edge_response, delay_s=1.0)
    with recorded_lines() as lines:
        async with raw_server(slow) as server, edge_router() as router:
            router.register_server(server)
            sending = [router.send(router.request(timeout_ms=600.0)) for _ in range(12)]
            responses = await asyncio.gather(*sending)
    assert responses[-1].status == 503
    timeline = find_timeline(lines, "request-12")
    assert events(timeline)[-2:] == ["wait_ended", "request_given_up"]
    waited, refused = timeline[-2:]
    # The log line shows the load of the candidate, which is the cause.
    assert "server-0/" in waited.fields["servers"]
    assert "load" in waited.fields["servers"]
    assert refused.fields["reason"] == "no-room"
    assert {"routes_version", "ranges_version", "waited_ms"} <= set(refused.fields)


@async_test
async def test_a_non_idempotent_request_with_a_lost_response_is_explained() -> None:
    """Guards against a 502 whose log lines do not name the server and its failure."""
    with recorded_lines() as lines:
        async with raw_server(close) as server, edge_router() as router:
            router.register_server(server)
            response = await router.send(router.request(is_idempotent=False))
    assert response.status == 502
    timeline = find_timeline(lines, "request-1")
    attempt, broken, given_up = timeline[-3:]
    assert (attempt.event, attempt.fields["verdict"]) == ("attempt_failed", "broken")
    assert attempt.fields["server"] == "server-0"
    assert "Disconnected" in attempt.fields["detail"]
    assert broken.event == "server_connection_broken"
    assert broken.fields["is_dead"] == "false"
    assert given_up.fields["reason"] == "unknown"


@async_test
async def test_a_request_for_a_key_without_owner_is_explained() -> None:
    """Guards against a 503 whose log lines do not show that no server owns the key."""
    with recorded_lines() as lines:
        async with (
            raw_server(respond_with(edge_refusal)) as server,
            edge_router(is_keyed=True) as router,
        ):
            entry = router.register_server(server)
            router.assign_all_keys(entry)
            other = entry.server
            router.catalog.mark_replaced(entry, other)
            response = await router.send(router.request(key=7, timeout_ms=300.0))
    assert response.status == 503
    timeline = find_timeline(lines, "request-1")
    assert {"ranges_applied", "wait_ended", "request_given_up"} <= set(events(timeline))
    waited = next(line for line in timeline if line.event == "wait_ended")
    assert waited.fields["candidates"] == "0"
    assert waited.fields["key"] == "7"


def test_the_command_prints_the_timeline_of_a_request() -> None:
    """Guards against events of other routers and other requests in the timeline."""
    lines = (
        "edge-1 time=10.0 event=store_lost table=op reason=unknown\n"
        "edge-2 time=10.1 event=store_lost table=op reason=unknown\n"
        "edge-1 time=10.5 event=request_given_up request_id=r1 reason=no-room\n"
        "edge-1 time=10.6 event=request_given_up request_id=r2 reason=no-room\n"
        "not a log line of a router\n"
    )
    result = CliRunner().invoke(main, ["explain", "r1"], input=lines)
    assert result.exit_code == 0, result.output
    printed = result.output.splitlines()
    assert len(printed) == 2
    assert "store_lost" in printed[0] and "0.500 s" in printed[1]
    missing = CliRunner().invoke(main, ["explain", "r9"], input=lines)
    assert missing.exit_code != 0


def test_an_unread_log_drops_lines_and_never_blocks() -> None:
    """Guards against a router that blocks because nobody reads its output."""
    read_end, write_end = os.pipe()
    now_s = [0.0]
    writer = BoundedWriter(write_end, 10_000, lambda: now_s[0])
    for _ in range(5000):
        writer.write("event=x " + "y" * 100)
    assert writer.dropped > 0
    os.read(read_end, 1 << 20)
    writer.write("event=last")
    written = os.read(read_end, 1 << 20).decode()
    assert "event=log_dropped lines=" in written
    assert written.endswith("event=last\n")
    os.close(read_end)
    os.close(write_end)


def test_log_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    """Guards against a flood of events that fills the log."""
    read_end, write_end = os.pipe()
    now_s = [0.0]
    writer = BoundedWriter(write_end, 50, lambda: now_s[0])
    for _ in range(500):
        writer.write("event=x")
    assert os.read(read_end, 1 << 20).count(b"event=x") == 50
    now_s[0] = 1.0
    writer.write("event=y")
    assert os.read(read_end, 1 << 20) == b"event=log_dropped lines=450\nevent=y\n"
    os.close(read_end)
    os.close(write_end)


@async_test
async def test_the_metrics_contain_request_counts_and_latencies() -> None:
    """Guards against metrics without the outcome or latency of a route's requests."""
    async with (
        raw_server(respond_with(edge_response)) as server,
        edge_router() as router,
    ):
        entry = router.register_server(server)
        for _ in range(3):
            await router.send(router.request())
        router.catalog.mark_replaced(entry, entry.server)
        await router.send(router.request(timeout_ms=200.0))
        exposition = render_metrics(router.metrics, lambda: {"waiting": 2.0}).decode()
    labels = 'route="listing",service="slotfinder"'
    assert f'mulberryrelay_requests_total{{outcome="ran",{labels}}} 3.0' in exposition
    assert (
        f'mulberryrelay_requests_total{{outcome="not-run",{labels}}} 1.0' in exposition
    )
    assert f'latency_seconds{{quantile="0.99",{labels}}}' in exposition
    assert "mulberryrelay_waiting 2.0" in exposition


@async_test
async def test_a_response_header_that_is_not_read_is_logged_once() -> None:
    """Guards against a statement of a server that the router ignores unnoticed."""

    def respond(request: RawRequest) -> bytes:
        return edge_response(request, more="Quota-Hint: 7.5\r\nDate: today\r\n")

    with recorded_lines() as lines:
        async with raw_server(respond_with(respond)) as server, edge_router() as router:
            router.register_server(server)
            for _ in range(3):
                assert (await router.send(router.request())).status == 200
    unread = [line for line in lines if "event=response_header_unread" in line]
    assert len(unread) == 1
    assert "name=Quota-Hint value=7.5" in unread[0]
