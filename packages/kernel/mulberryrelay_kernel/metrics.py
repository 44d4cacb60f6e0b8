"""Latency histograms and outcome counts per service and request class, and counters."""

from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from .ids import RequestClass, ServiceName, Tenant
from .states import Outcome

# Range of the latency histograms in microseconds; values outside are clamped.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
# Precision of a histogram value, in decimal digits.
SIGNIFICANT_DIGITS = 2


class ClassSummary(msgspec.Struct, frozen=True):
    """Latencies in microseconds and outcome counts of one class of requests."""

    tenant: Tenant
    service: ServiceName
    request_class: RequestClass
    count: int
    p50_us: int
    p99_us: int
    max_us: int
    outcomes: dict[str, int]


class Metrics:
    """Records latencies and outcomes of the requests of one process."""

    def __init__(self, tenant: Tenant) -> None:
        self._tenant = tenant
        self._histograms: dict[tuple[ServiceName, RequestClass], HdrHistogram] = {}
        self._outcomes: Counter[tuple[ServiceName, RequestClass, Outcome]] = Counter()
        self._counters: Counter[str] = Counter()

    @property
    def counters(self) -> dict[str, int]:
        """Values of the named counters since the process started."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._counters[name] += amount

    def record(
        self,
        service: ServiceName,
        request_class: RequestClass,
        outcome: Outcome,
        latency_ms: float,
    ) -> None:
        """Add one finished request to the histogram and the count of its outcome."""
        histogram = self._histograms.get((service, request_class))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[service, request_class] = histogram
        histogram.record_value(
            max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(latency_ms * 1000)))
        )
        self._outcomes[service, request_class, outcome] += 1

    def summaries(self) -> list[ClassSummary]:
        """Return a summary for each service and class that had a request."""
        summaries = []
        for (service, request_class), histogram in sorted(self._histograms.items()):
            outcomes = {
                outcome.value: self._outcomes[service, request_class, outcome]
                for outcome in Outcome
            }
            summaries.append(
                ClassSummary(
                    tenant=self._tenant,
                    service=service,
                    request_class=request_class,
                    count=histogram.get_total_count(),
                    p50_us=histogram.get_value_at_percentile(50),
                    p99_us=histogram.get_value_at_percentile(99),
                    max_us=histogram.get_max_value(),
                    outcomes=outcomes,
                )
            )
        return summaries
