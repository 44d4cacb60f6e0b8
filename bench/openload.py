"""Open-loop load generator: sends each request at its time, whatever came before.

Reads a ``LoadSpec`` as JSON from a file and writes a ``LoadLog`` to another one.
Latency counts from the time at which a request was due. A request whose router does not
accept the connection goes to the next router, as a load balancer would have it.
"""

import asyncio
import os
import random
import time
from pathlib import Path

import aiohttp
import click
import msgspec

CONNECT_S = 0.3
GRACE_S = 1.0


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one service and class."""

    service: str
    request_class: str
    per_second: float
    method: str = "GET"
    keys: int = 400
    hot_keys: int = 0
    """Number of keys that are hot at a time; one of them changes per period."""
    hot_share: float = 0.0
    hot_period_s: float = 2.0
    work_ms: float = 0.0
    deadline_ms: int = 2000
    claims: bool = False
    """Whether each request has an idempotency key of its own."""


class LoadSpec(msgspec.Struct, frozen=True):
    """One run of the load generator."""

    urls: list[str]
    streams: list[Stream]
    seconds: float
    seed: int


class Sent(msgspec.Struct, frozen=True, array_like=True):
    """One request; times are of the machine's monotonic clock."""

    stream: int
    key: str
    due_s: float
    latency_ms: float
    outcome: str
    owner: str
    error: str


class LoadLog(msgspec.Struct, frozen=True):
    """All requests of one run."""

    started_s: float
    sent: list[Sent]


class _Due(msgspec.Struct, frozen=True, order=True):
    at_s: float
    stream: int
    key: str


def schedule(spec: LoadSpec) -> list[_Due]:
    """Return all requests in the order of their times."""
    due = []
    for index, stream in enumerate(spec.streams):
        rng = random.Random(f"{spec.seed}-{index}")
        at_s = rng.expovariate(stream.per_second)
        while at_s < spec.seconds:
            due.append(_Due(at_s, index, _key(stream, at_s, rng)))
            at_s += rng.expovariate(stream.per_second)
    return sorted(due)


def _key(stream: Stream, at_s: float, rng: random.Random) -> str:
    if rng.random() < stream.hot_share:
        first = int(at_s / stream.hot_period_s)
        return f"key-{first + rng.randrange(stream.hot_keys)}"
    return f"key-{rng.randrange(stream.keys)}"


async def generate(spec: LoadSpec) -> LoadLog:
    """Send all requests and wait for their answers."""
    # The clock of the uvloop loop has a resolution of 1 ms.
    sent: list[Sent] = []
    due = schedule(spec)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_s = time.monotonic()
        print("event=started", flush=True)
        async with asyncio.TaskGroup() as tasks:
            for number, item in enumerate(due):
                pause_s = started_s + item.at_s - time.monotonic()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                tasks.create_task(
                    _send(session, spec, number, item, started_s + item.at_s, sent)
                )
    return LoadLog(started_s, sent)


async def _send(
    session: aiohttp.ClientSession,
    spec: LoadSpec,
    number: int,
    item: _Due,
    due_s: float,
    sent: list[Sent],
) -> None:
    stream = spec.streams[item.stream]
    headers = {
        "Mulberry-Key": item.key,
        "Mulberry-Class": stream.request_class,
        "Mulberry-Deadline-Ms": str(stream.deadline_ms),
    }
    if stream.claims:
        headers["Idempotency-Key"] = f"{spec.seed}-{item.stream}-{due_s}-{number}"
    # What stays if no router can be connected to: the request was never written.
    outcome, owner, error = "not-run", "", "no-connection"
    for turn in range(len(spec.urls)):
        url = spec.urls[(number + turn) % len(spec.urls)]
        try:
            async with session.request(
                stream.method,
                f"{url}/{stream.service}/w?work_ms={stream.work_ms}",
                headers=headers,
                data=b"x" if stream.method == "POST" else None,
                timeout=aiohttp.ClientTimeout(
                    total=stream.deadline_ms / 1000 + GRACE_S, sock_connect=CONNECT_S
                ),
            ) as response:
                body = await response.read()
                outcome = response.headers.get("Mulberry-Outcome", "unknown")
                owner = response.headers.get("Mulberry-Owner", "")
                error = "" if response.status < 400 else _error_of(body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            continue
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            outcome, error = "unknown", type(failure).__name__
        break
    latency_ms = (time.monotonic() - due_s) * 1000
    sent.append(Sent(item.stream, item.key, due_s, latency_ms, outcome, owner, error))


def _error_of(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "server"


@click.command()
@click.argument("spec", type=click.Path(exists=True, path_type=Path))
@click.argument("log", type=click.Path(path_type=Path))
def main(spec: Path, log: Path) -> None:
    """Send what SPEC says and write LOG."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    load = msgspec.json.decode(spec.read_bytes(), type=LoadSpec)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        log.write_bytes(msgspec.json.encode(runner.run(generate(load))))


if __name__ == "__main__":
    main()
