"""Serves counters and latencies of an edge router as a text page, and its status.

Latencies are kept in histograms for each service and route; the page shows quantiles.
"""

from collections.abc import Callable, Iterator

import msgspec
from aiohttp import web

from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import EdgeStatus
from mulberryrelay_kernel.metrics import Metrics

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
PREFIX = "mulberryrelay"
Gauges = Callable[[], dict[str, float]]


def render_page(metrics: Metrics, gauges: Gauges) -> bytes:
    """Return the page in the Prometheus text format."""
    # The library takes memory that a router without a reader of its page saves.
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        Metric,
        SummaryMetricFamily,
    )
    from prometheus_client.registry import Collector

    class Snapshot(Collector):
        def collect(self) -> Iterator[Metric]:
            labels = ["service", "route", "outcome"]
            requests = CounterMetricFamily(
                f"{PREFIX}_requests", "Requests by outcome", labels=labels
            )
            latency = SummaryMetricFamily(
                f"{PREFIX}_latency_seconds",
                "Time from arrival to answer",
                labels=labels[:2],
            )
            for summary in metrics.summaries():
                names = [str(summary.service), str(summary.request_class)]
                for outcome, count in summary.outcomes.items():
                    requests.add_metric([*names, outcome], count)
                quantiles = (("0.5", summary.p50_us), ("0.99", summary.p99_us))
                for quantile, value_us in quantiles:
                    found = dict(zip(labels[:2], names, strict=True))
                    latency.add_sample(
                        f"{PREFIX}_latency_seconds",
                        {**found, "quantile": quantile},
                        value_us / 1e6,
                    )
            yield requests
            yield latency
            events = CounterMetricFamily(
                f"{PREFIX}_events", "Decisions by kind", labels=["event"]
            )
            for name, count in sorted(metrics.counters.items()):
                events.add_metric([name], count)
            yield events
            for name, value in sorted(gauges().items()):
                yield GaugeMetricFamily(f"{PREFIX}_{name}", name, value=value)

    registry = CollectorRegistry()
    registry.register(Snapshot())
    return generate_latest(registry)


class MetricsPage:
    """The listener of the metrics page."""

    def __init__(
        self, metrics: Metrics, gauges: Gauges, status: Callable[[], EdgeStatus]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._status = status
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Port of the listener, once it is started."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    async def start(self, host: str, port: int) -> None:
        """Listen; a port that is taken costs the page and not the router."""
        app = web.Application()
        app.router.add_get(METRICS_PATH, self._show)
        app.router.add_get(STATUS_PATH, self._show_status)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, host, port).start()
        except OSError as error:
            log_event("metrics_not_served", port=port, error=str(error))

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _show_status(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(self._status())
        return web.Response(body=body, content_type="application/json")

    async def _show(self, request: web.Request) -> web.Response:
        page = render_page(self._metrics, self._gauges)
        return web.Response(body=page, content_type="text/plain", charset="utf-8")
