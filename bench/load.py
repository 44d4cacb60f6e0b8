"""Load generator: keeps a number of requests in flight for a number of requests."""

import asyncio
import os
import sys
import time

import aiohttp
import click
import msgspec
from hdrh.histogram import HdrHistogram


class LoadResult(msgspec.Struct, frozen=True):
    """What one run of the load generator saw."""

    answered: int
    failed: int
    seconds: float
    p50_ms: float
    p99_ms: float


async def generate(
    url: str, method: str, body: bytes, requests: int, concurrency: int
) -> LoadResult:
    """Send ``requests`` requests with keys that change, ``concurrency`` at a time."""
    numbers = iter(range(requests))
    answered = 0
    failed = 0
    latencies = HdrHistogram(1, 60_000_000, 3)
    # The clock of the uvloop loop has a resolution of 1 ms.
    started = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def caller() -> None:
            nonlocal answered, failed
            for number in numbers:
                sent_s = time.monotonic()
                headers = {"Mulberry-Key": f"trainer-{number % 500}"}
                async with session.request(
                    method, url, data=body or None, headers=headers
                ) as response:
                    content = await response.read()
                    took_s = time.monotonic() - sent_s
                    latencies.record_value(max(1, int(took_s * 1e6)))
                    if response.status == 200 and (not body or content == body):
                        answered += 1
                    else:
                        failed += 1

        await asyncio.gather(*(caller() for _ in range(concurrency)))
    return LoadResult(
        answered,
        failed,
        time.monotonic() - started,
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
