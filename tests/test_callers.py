"""HTTP interface for callers: invalid input, limits, logs and forwarding."""

import asyncio
from typing import Any

import eliot
import msgspec

from mulberryrelay_kernel.logs import format_line
from mulberryrelay_kernel.messages import ErrorBody

from .fixtures import async_test
from .fixtures.rawserver import (
    RawRequest,
    close,
    echo,
    make_response,
    raw_server,
    respond_with,
    shed,
)
from .fixtures.router import running_router

LIMITS = {"header_bytes": 4000, "body_bytes": 1000, "body_timeout_ms": 200}
PAY = "POST /till/pay"
CHUNKED = "Transfer-Encoding: chunked"

# Each case: request line, headers, body, and the status and error code of the response.
CASES: list[tuple[str, str, bytes, int, str]] = [
    ("GET /nothing/here", "A: b", b"", 404, "unknown-service"),
    ("GET /", "A: b", b"", 404, "unknown-service"),
    ("GET /roster/jobs", "A: b", b"", 400, "missing-key"),
    ("GET /roster/jobs", "Mulberry-Key: " + "k" * 300, b"", 400, "bad-header"),
    ("GET /roster/jobs", "Mulberry-Key: \udcff", b"", 400, "bad-header"),
    ("GET /roster/jobs", "Mulberry-Key: a\r\nMulberry-Key: b", b"", 400, "bad-header"),
    (PAY, "Mulberry-Class: first", b"", 400, "unknown-class"),
    (PAY, "Mulberry-Deadline-Ms: soon", b"", 400, "bad-deadline"),
    (PAY, "Mulberry-Deadline-Ms: -1", b"", 400, "bad-deadline"),
    (PAY, "Mulberry-Deadline-Ms: " + "9" * 200, b"", 400, "bad-deadline"),
    (PAY, "Mulberry-Deadline-Ms: ²", b"", 400, "bad-deadline"),
    (PAY, "Mulberry-Deadline-Ms: 0", b"", 504, "deadline"),
    (PAY, "Idempotency-Key: a\u200bb", b"", 400, "bad-header"),
    (PAY, "X-Note: \udcff", b"", 400, "bad-header"),
    (PAY, f"X: {'x' * 2500}\r\nY: {'y' * 2500}", b"", 431, "headers-too-long"),
    (PAY, "Content-Length: 1001", b"", 413, "body-too-long"),
    (PAY, CHUNKED, b"190\r\n" + b"b" * 400 + b"\r\n", 408, "body-timeout"),
    (PAY, CHUNKED, (b"190\r\n" + b"b" * 400 + b"\r\n") * 3, 413, "body-too-long"),
    (PAY, "Content-Length: 100", b"a", 408, "body-timeout"),
]


@async_test
async def test_invalid_requests_are_refused_and_never_sent() -> None:
    """Guards against a crash, an unclear error or unbounded memory on invalid input."""
    async with (
        raw_server() as server,
        running_router([server.entry()], limits=LIMITS) as router,
    ):
        for line, headers, body, status, error in CASES:
            reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
            head = f"{line} HTTP/1.1\r\nHost: r\r\n{headers}\r\n\r\n"
            writer.write(head.encode(errors="surrogateescape") + body)
            async with asyncio.timeout(5):
                response = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(response.partition("Content-Length: ")[2].split()[0])
                error_body = msgspec.json.decode(
                    await reader.readexactly(length), type=ErrorBody
                )
            writer.close()
            case = (line, headers[:50], status, error)
            assert response.startswith(f"HTTP/1.1 {status} "), (case, response)
            assert "Mulberry-Outcome: not-run" in response, (case, response)
            assert error_body.error == error, (case, error_body)
        assert not server.received


@async_test
async def test_connections_and_slow_headers_are_bounded() -> None:
    """Guards against callers that exhaust memory with connections or slow headers.

    The time limit applies only until the first request of a connection.
    """
    limits = {"connections": 3, "header_timeout_ms": 300}
    async with (
        raw_server() as server,
        running_router([server.entry()], limits=limits) as router,
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
        request = f"{PAY} HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n".encode()
        writer.write(request)
        assert b"Outcome: ran" in await reader.readuntil(b"\r\n\r\n")
        slow = [
            await asyncio.open_connection("127.0.0.1", router.port) for _ in range(3)
        ]
        for _, late_writer in slow:
            late_writer.write(b"POST /till/pay HTTP/1.1\r\nHost:")
        async with asyncio.timeout(0.2):
            assert await read_rest(slow[2][0]) == b""
        async with asyncio.timeout(2):
            for late, _ in slow[:2]:
                assert await read_rest(late) == b""
        # The connection whose first headers arrived in time is still open.
        writer.write(request)
        assert b"Outcome: ran" in await reader.readuntil(b"\r\n\r\n")
        writer.close()


@async_test
async def test_heads_that_do_not_end_are_refused() -> None:
    """Guards against heads that are kept until the time for them has passed."""
    filler = b"X-Filler: " + b"x" * 8000 + b"\r\n"
    start = f"{PAY} HTTP/1.1\r\nHost: r\r\n".encode()
    first = start + b"Content-Length: 0\r\n\r\n"
    cases = [start + filler * 40, b"\r\n" * 100_000, first + start + filler * 40]
    async with (
        raw_server() as server,
        running_router(
            [server.entry()], limits={"header_timeout_ms": 60_000}
        ) as router,
    ):
        for request in cases:
            reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
            writer.write(request)
            async with asyncio.timeout(10):
                await read_rest(reader)
            writer.close()


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Return the bytes that arrive until the connection ends; empty after a reset."""
    try:
        return await reader.read()
    except ConnectionError:
        return b""


@async_test
async def test_each_request_that_did_not_run_has_one_log_line() -> None:
    """Guards against failures without a log line, and against secrets in logs.

    The body, the path and the headers of a request must not be logged.
    """
    lines: list[str] = []

    def record(message: dict[str, Any]) -> None:
        lines.append(format_line(message))

    eliot.add_destinations(record)
    try:
        async with (
            raw_server() as server,
            running_router([server.entry()], name="entry-1") as router,
        ):
            # Each case: path, server behaviour, outcome and error in the log line.
            for number, (path, respond, outcome, error) in enumerate(
                [
                    ("/till/pay?token=secret", echo, "ran", ""),
                    ("/till/pay?token=secret", shed, "not-run", "shed"),
                    ("/till/pay?token=secret", close, "unknown", "connection-lost"),
                    ("/secret/pay", echo, "not-run", "unknown-service"),
                ]
            ):
                server.respond = respond
                response = await router.send(
                    path,
                    b"secret %d" % number,
                    Mulberry_Request_Id=f"request-{number}",
                    Authorization="secret",
                )
                assert response.outcome == outcome
                assert response.headers["Mulberry-Request-Id"] == f"request-{number}"
                request_lines = [
                    line
                    for line in lines
                    if f"request_id=request-{number} " in line and "outcome=" in line
                ]
                assert len(request_lines) == (outcome != "ran"), (number, lines)
                assert all(f"outcome={outcome}" in line for line in request_lines), (
                    request_lines
                )
                assert all(f"error={error}" in line for line in request_lines), (
                    request_lines
                )
            ids = {r.headers["mulberry-request-id"] for r in server.received}
            assert ids == {"request-0", "request-1", "request-2"}
        assert not any("secret" in line for line in lines), lines
    finally:
        eliot.remove_destination(record)


@async_test
async def test_requests_and_responses_are_forwarded_unchanged() -> None:
    """Guards against modified paths, bodies or headers, and forged owner headers."""
    more = "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Encoding: gzip\r\n"

    def make(request: RawRequest) -> bytes:
        return make_response(request, more=more, length="Content-Length: 3\r\n")

    async with (
        raw_server(respond_with(make)) as server,
        running_router([server.entry()]) as router,
    ):
        path = "/till/a%2Fb//c?q=%20&r=a+b"
        headers = {"X_Kept": "yes", "Content_Encoding": "gzip"}
        forged = {"Mulberry_Epoch": "9", "Mulberry_Unit": "r0"}
        response = await router.send(path, b"raw", "PUT", **headers, **forged)
        sent = server.received[0]
        assert (sent.method, sent.path, sent.body) == ("PUT", path[5:], b"raw")
        assert sent.headers["x-kept"] == "yes"
        assert sent.headers["content-encoding"] == "gzip"
        assert not {"mulberry-epoch", "mulberry-unit"} & set(sent.headers)
        assert response.headers.getall("Set-Cookie") == ["a=1", "b=2"]
        assert response.body == b"raw"
        head = await router.send(method="HEAD")
        assert (head.status, head.headers["Content-Length"]) == (200, "3")
        continued = await router.send(body=b"raw", Expect="100-continue")
        assert continued.outcome == "ran"
