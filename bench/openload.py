"""Open-loop load generator: sends requests on schedule, independent of responses.

Reads a ``LoadSpec`` as JSON from a file and writes a ``LoadLog`` to another one.
Latency is measured from the time at which a request was due, so that it includes any
delay in the generator. If a router does not accept the connection, the request goes to
the next router, as it would behind a load balancer.
"""

import asyncio
import os
import random
import time
from pathlib import Path

import aiohttp
import click
import msgspec

CONNECT_TIMEOUT_S = 0.3
RESPONSE_GRACE_S = 1.0
"""How long to wait for a response after the deadline of the request."""


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Poisson arrivals of requests to one service in one request class."""

    service: str
    request_class: str
    per_second: float
    method: str = "GET"
    keys: int = 400
    hot_keys: int = 0
    """Number of simultaneous hot keys; one of them is replaced per period."""
    hot_share: float = 0.0
    """Share of the requests that go to hot keys."""
    hot_period_s: float = 2.0
    work_ms: float = 0.0
    """Service time that the stand-in server simulates."""
    deadline_ms: int = 2000
    has_idempotency_key: bool = False
    """Whether each request carries a unique idempotency key."""


class LoadSpec(msgspec.Struct, frozen=True):
    """Input of one run of the load generator."""

    urls: list[str]
    streams: list[Stream]
    seconds: float
    seed: int


class RequestRecord(msgspec.Struct, frozen=True, array_like=True):
    """Result of one request; times are from the machine's monotonic clock."""

    stream: int
    """Index in ``LoadSpec.streams``."""
    key: str
    due_s: float
    latency_ms: float
    outcome: str
    owner: str
    """Server that owned the key, as the response states; empty if unknown."""
    error: str


class LoadLog(msgspec.Struct, frozen=True):
    """All requests of one run, in the order in which they ended."""

    started_s: float
    requests: list[RequestRecord]


class _ScheduledRequest(msgspec.Struct, frozen=True, order=True):
    at_s: float
    stream: int
    key: str


def schedule_requests(spec: LoadSpec) -> list[_ScheduledRequest]:
    """Return all requests, sorted by the time at which they are due."""
    scheduled = []
    for index, stream in enumerate(spec.streams):
        rng = random.Random(f"{spec.seed}-{index}")
        at_s = rng.expovariate(stream.per_second)
        while at_s < spec.seconds:
            scheduled.append(_ScheduledRequest(at_s, index, _key(stream, at_s, rng)))
            at_s += rng.expovariate(stream.per_second)
    return sorted(scheduled)


def _key(stream: Stream, at_s: float, rng: random.Random) -> str:
    if rng.random() < stream.hot_share:
        first_key = int(at_s / stream.hot_period_s)
        return f"key-{first_key + rng.randrange(stream.hot_keys)}"
    return f"key-{rng.randrange(stream.keys)}"


async def generate(spec: LoadSpec) -> LoadLog:
    """Send all requests on schedule and wait for their responses."""
    records: list[RequestRecord] = []
    scheduled = schedule_requests(spec)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        # Not loop.time(): uvloop's clock has a resolution of only 1 ms.
        started_s = time.monotonic()
        print("event=started", flush=True)
        async with asyncio.TaskGroup() as tasks:
            for number, item in enumerate(scheduled):
                delay_s = started_s + item.at_s - time.monotonic()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                tasks.create_task(
                    _send(session, spec, number, item, started_s + item.at_s, records)
                )
    return LoadLog(started_s, records)


async def _send(
    session: aiohttp.ClientSession,
    spec: LoadSpec,
    number: int,
    item: _ScheduledRequest,
    due_s: float,
    records: list[RequestRecord],
) -> None:
    stream = spec.streams[item.stream]
    headers = {
        "Mulberry-Key": item.key,
        "Mulberry-Class": stream.request_class,
        "Mulberry-Deadline-Ms": str(stream.deadline_ms),
    }
    if stream.has_idempotency_key:
        headers["Idempotency-Key"] = f"{spec.seed}-{item.stream}-{due_s}-{number}"
    # The result if no router accepts a connection: the request was never sent.
    outcome, owner, error = "not-run", "", "no-connection"
    for attempt in range(len(spec.urls)):
        url = spec.urls[(number + attempt) % len(spec.urls)]
        try:
            async with session.request(
                stream.method,
                f"{url}/{stream.service}/w?work_ms={stream.work_ms}",
                headers=headers,
                data=b"x" if stream.method == "POST" else None,
                timeout=aiohttp.ClientTimeout(
                    total=stream.deadline_ms / 1000 + RESPONSE_GRACE_S,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                body = await response.read()
                outcome = response.headers.get("Mulberry-Outcome", "unknown")
                owner = response.headers.get("Mulberry-Owner", "")
                error = "" if response.status < 400 else _error_of(body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            continue
        except (aiohttp.ClientError, TimeoutError, OSError) as exception:
            outcome, error = "unknown", type(exception).__name__
        break
    latency_ms = (time.monotonic() - due_s) * 1000
    records.append(
        RequestRecord(item.stream, item.key, due_s, latency_ms, outcome, owner, error)
    )


def _error_of(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "server"


@click.command()
@click.argument("spec", type=click.Path(exists=True, path_type=Path))
@click.argument("log", type=click.Path(path_type=Path))
def main(spec: Path, log: Path) -> None:
    """Run the load described in SPEC and write the results to LOG."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    load = msgspec.json.decode(spec.read_bytes(), type=LoadSpec)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        log.write_bytes(msgspec.json.encode(runner.run(generate(load))))


if __name__ == "__main__":
    main()
