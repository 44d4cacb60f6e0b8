"""From a failed request's id to its cause, with nothing but logs and metrics."""

import asyncio
import os
from collections.abc import Iterator
from contextlib import contextmanager

import eliot
from click.testing import CliRunner

from mulberryctl.main import main
from mulberryctl.story import LogLine, find_timeline
from mulberryrelay_edge.metricspage import render_page
from mulberryrelay_kernel.logs import BoundedWriter, format_line

from .fixtures import async_test
from .fixtures.edgerouter import edge_answer, edge_refusal, edge_router
from .fixtures.rawserver import close, raw_server, responding


@contextmanager
def recorded_lines() -> Iterator[list[str]]:
    """Collect log lines."""
    lines: list[str] = []

    def record(message: dict[str, object]) -> None:
        lines.append(format_line(message))

    eliot.add_destinations(record)
    try:
        yield lines
    finally:
        eliot.remove_destination(record)


def events(story: list[LogLine]) -> list[str]:
    """Return the names of a story's events."""
    return [line.event for line in story]


@async_test
async def test_a_refusal_under_overload_is_explained() -> None:
    slow = responding(edge_answer, delay_s=1.0)
    with recorded_lines() as lines:
        async with raw_server(slow) as server, edge_router() as router:
            router.know(server)
            asking = [router.ask(router.request(timeout_ms=600.0)) for _ in range(12)]
            answers = await asyncio.gather(*asking)
    assert answers[-1].status == 503
    story = find_timeline(lines, "request-12")
    assert events(story)[-2:] == ["wait_ended", "request_given_up"]
    waited, refused = story[-2:]
    # The candidates' load is the cause.
    assert "server-0/" in waited.fields["servers"]
    assert "load" in waited.fields["servers"]
    assert refused.fields["reason"] == "no-room"
    assert {"routes_version", "ranges_version", "waited_ms"} <= set(refused.fields)


@async_test
async def test_a_charge_whose_answer_was_lost_is_explained() -> None:
    with recorded_lines() as lines:
        async with raw_server(close) as server, edge_router() as router:
            router.know(server)
            answer = await router.ask(router.request(is_idempotent=False))
    assert answer.status == 502
    story = find_timeline(lines, "request-1")
    attempt, given_up = story[-2:]
    assert (attempt.event, attempt.fields["verdict"]) == ("attempt_failed", "broken")
    assert attempt.fields["server"] == "server-0"
    assert "Disconnected" in attempt.fields["detail"]
    assert given_up.fields["reason"] == "unknown"


@async_test
async def test_a_request_for_a_key_without_owner_is_explained() -> None:
    with recorded_lines() as lines:
        async with (
            raw_server(responding(edge_refusal)) as server,
            edge_router(is_keyed=True) as router,
        ):
            entry = router.know(server)
            router.own(entry)
            other = entry.server
            router.catalog.note_replaced(entry, other)
            answer = await router.ask(router.request(key=7, timeout_ms=300.0))
    assert answer.status == 503
    story = find_timeline(lines, "request-1")
    assert {"ranges_applied", "wait_ended", "request_given_up"} <= set(events(story))
    waited = next(line for line in story if line.event == "wait_ended")
    assert waited.fields["candidates"] == "0"
    assert waited.fields["key"] == "7"


def test_the_command_prints_the_story_of_a_request() -> None:
    lines = (
        "edge-1 time=10.0 event=store_lost table=op reason=unknown\n"
        "edge-2 time=10.1 event=store_lost table=op reason=unknown\n"
        "edge-1 time=10.5 event=request_given_up request_id=r1 reason=no-room\n"
        "edge-1 time=10.6 event=request_given_up request_id=r2 reason=no-room\n"
        "not a line of ours\n"
    )
    result = CliRunner().invoke(main, ["explain", "r1"], input=lines)
    assert result.exit_code == 0, result.output
    printed = result.output.splitlines()
    assert len(printed) == 2
    assert "store_lost" in printed[0] and "0.500 s" in printed[1]
    missing = CliRunner().invoke(main, ["explain", "r9"], input=lines)
    assert missing.exit_code != 0


def test_a_log_that_nobody_reads_costs_lines_and_never_waits() -> None:
    """Guards against a router that stands still because its output is not read."""
    reading, writing = os.pipe()
    now_s = [0.0]
    writer = BoundedWriter(writing, 10_000, lambda: now_s[0])
    for _ in range(5000):
        writer.write("event=x " + "y" * 100)
    assert writer.dropped > 0
    os.read(reading, 1 << 20)
    writer.write("event=last")
    written = os.read(reading, 1 << 20).decode()
    assert "event=log_dropped lines=" in written
    assert written.endswith("event=last\n")
    os.close(reading)
    os.close(writing)


def test_a_flood_of_events_is_cut_to_the_allowed_rate() -> None:
    reading, writing = os.pipe()
    now_s = [0.0]
    writer = BoundedWriter(writing, 50, lambda: now_s[0])
    for _ in range(500):
        writer.write("event=x")
    assert os.read(reading, 1 << 20).count(b"event=x") == 50
    now_s[0] = 1.0
    writer.write("event=y")
    assert os.read(reading, 1 << 20) == b"event=log_dropped lines=450\nevent=y\n"
    os.close(reading)
    os.close(writing)


@async_test
async def test_the_metrics_page_counts_requests_and_their_latency() -> None:
    async with raw_server(responding(edge_answer)) as server, edge_router() as router:
        entry = router.know(server)
        for _ in range(3):
            await router.ask(router.request())
        router.catalog.note_replaced(entry, entry.server)
        await router.ask(router.request(timeout_ms=200.0))
        page = render_page(router.metrics, lambda: {"waiting": 2.0}).decode()
    labels = 'route="listing",service="slotfinder"'
    assert f'mulberryrelay_requests_total{{outcome="ran",{labels}}} 3.0' in page
    assert f'mulberryrelay_requests_total{{outcome="not-run",{labels}}} 1.0' in page
    assert f'latency_seconds{{quantile="0.99",{labels}}}' in page
    assert "mulberryrelay_waiting 2.0" in page
