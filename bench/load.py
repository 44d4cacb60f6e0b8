"""Closed-loop load generator: keeps a constant number of requests in flight.

Runs as a process of its own and prints a ``LoadResult`` as JSON.
"""

import asyncio
import os
import sys
import time

import aiohttp
import click
import msgspec
from hdrh.histogram import HdrHistogram


class LoadResult(msgspec.Struct, frozen=True):
    """Results of one run of the load generator."""

    answered: int
    """Responses with status 200 and, if a body was sent, the same body."""
    failed: int
    """All other responses."""
    seconds: float
    p50_ms: float
    p99_ms: float


async def generate(
    url: str, method: str, body: bytes, requests: int, concurrency: int
) -> LoadResult:
    """Send ``requests`` requests over 500 keys, ``concurrency`` at a time."""
    numbers = iter(range(requests))
    answered = 0
    failed = 0
    latencies = HdrHistogram(1, 60_000_000, 3)
    # Not loop.time(): uvloop's clock has a resolution of only 1 ms.
    started_s = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send_requests() -> None:
            nonlocal answered, failed
            for number in numbers:
                sent_s = time.monotonic()
                headers = {"Mulberry-Key": f"trainer-{number % 500}"}
                async with session.request(
                    method, url, data=body or None, headers=headers
                ) as response:
                    content = await response.read()
                    latency_s = time.monotonic() - sent_s
                    latencies.record_value(max(1, int(latency_s * 1e6)))
                    if response.status == 200 and (not body or content == body):
                        answered += 1
                    else:
                        failed += 1

        await asyncio.gather(*(send_requests() for _ in range(concurrency)))
    return LoadResult(
        answered,
        failed,
        time.monotonic() - started_s,
        latencies.get_value_at_percentile(50) / 1000,
        latencies.get_value_at_percentile(99) / 1000,
    )


@click.command()
@click.argument("url")
@click.option("--method", default="GET")
@click.option("--body-bytes", default=0)
@click.option("--requests", default=1000)
@click.option("--concurrency", default=16)
def main(
    url: str, method: str, body_bytes: int, requests: int, concurrency: int
) -> None:
    """Send requests to URL and print the result as JSON."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(
            generate(url, method, b"b" * body_bytes, requests, concurrency)
        )
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


if __name__ == "__main__":
    main()
