"""HTTP server for the metrics and the status of an edge router.

Metrics are in the Prometheus text format. Latencies are kept in a histogram for each
service and route and shown as quantiles. The status is JSON.
"""

from collections.abc import Callable, Iterator

import msgspec
from aiohttp import web

from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import AdminError, EdgeExplanation, EdgeStatus
from mulberryrelay_kernel.metrics import Metrics

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
EXPLAIN_PATH = "/explain"
MAX_KEY = 65535
"""Highest key of a request."""
PREFIX = "mulberryrelay"
"""Prefix of the names of all metrics."""
Gauges = Callable[[], dict[str, float]]
"""Returns the current value of each gauge by its name without the prefix."""
Explain = Callable[[str, str, int | None], EdgeExplanation]
"""Explains where a request with a host, path and key would be sent now."""


def render_metrics(metrics: Metrics, gauges: Gauges) -> bytes:
    """Return all metrics in the Prometheus text format."""
    # Imported on first use to save its memory in routers whose metrics nobody reads.
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        Metric,
        SummaryMetricFamily,
    )
    from prometheus_client.registry import Collector

    class MetricsCollector(Collector):
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
                    label_values = dict(zip(labels[:2], names, strict=True))
                    latency.add_sample(
                        f"{PREFIX}_latency_seconds",
                        {**label_values, "quantile": quantile},
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
    registry.register(MetricsCollector())
    return generate_latest(registry)


class MonitoringServer:
    """HTTP server for the metrics and the status."""

    def __init__(
        self,
        metrics: Metrics,
        gauges: Gauges,
        status: Callable[[], EdgeStatus],
        explain: Explain | None = None,
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._status = status
        self._explain = explain
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Port of the server, once it is started."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    async def start(self, host: str, port: int) -> None:
        """Listen; if the port is in use, the router runs without metrics and status."""
        app = web.Application()
        app.router.add_get(METRICS_PATH, self._serve_metrics)
        app.router.add_get(STATUS_PATH, self._serve_status)
        if self._explain is not None:
            app.router.add_get(EXPLAIN_PATH, self._serve_explanation)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, host, port).start()
        except OSError as error:
            log_event("metrics_listen_failed", port=port, error=str(error))

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_status(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(self._status())
        return web.Response(body=body, content_type="application/json")

    async def _serve_explanation(self, request: web.Request) -> web.Response:
        assert self._explain is not None
        host, path = request.query.get("host"), request.query.get("path")
        text = request.query.get("key")
        key = int(text) if text is not None and _is_key(text) else None
        if not host or not path or (text is not None and key is None):
            detail = f"expected host, path and a key from 0 to {MAX_KEY} or none"
            error = AdminError("bad-request", detail)
            return web.Response(
                status=400,
                body=msgspec.json.encode(error),
                content_type="application/json",
            )
        body = msgspec.json.encode(self._explain(host, path, key))
        return web.Response(body=body, content_type="application/json")

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        body = render_metrics(self._metrics, self._gauges)
        return web.Response(body=body, content_type="text/plain", charset="utf-8")


def _is_key(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_KEY))
    return is_number and int(text) <= MAX_KEY
