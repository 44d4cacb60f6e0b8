"""Builds the request path of a router process.

The request path is everything between the callers' listener and the connections to
backend servers.
"""

from mulberryrelay_control.ruletypes import ActiveRules
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import BootId, ServerId
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform

from .admission import Admission
from .attempts import NOT_RUN_HEADER
from .callers import Handler, caller_handler
from .claims import Claims
from .inflight import InFlight
from .loadcounters import LoadCounters
from .pool import Pools
from .readiness import Readiness
from .routing import Router
from .routingview import RoutingView
from .suspects import CoordinatorLink, Suspects


class RequestForwarder:
    """Connects the components that process a request."""

    def __init__(
        self,
        options: Options,
        view: RoutingView,
        platform: Platform,
        link: CoordinatorLink,
        boot_id: BootId,
        in_flight: InFlight | None = None,
        load: LoadCounters | None = None,
    ) -> None:
        instance = options.instance.name
        self._pools = Pools(
            max(s.connections for s in options.services.values()), NOT_RUN_HEADER
        )
        self._in_flight = in_flight or InFlight()
        self._claims = Claims(options, platform, monotonic_ms)
        self._readiness = Readiness(view)
        self._metrics = Metrics(options.tenant)
        self._admission = Admission(options, monotonic_ms)
        view.changes.subscribe(lambda _: self._admission.schedule_recheck())
        self._router = Router(
            options,
            view,
            self._pools,
            self._metrics,
            monotonic_ms,
            self._in_flight,
            self._admission,
            Suspects(link, instance, boot_id),
            self._claims,
            load or LoadCounters(options),
        )
        view.departures.subscribe(self._router.remove_servers)
        self._handler = caller_handler(
            options, self._router.route, self._readiness.is_stopping
        )

    @property
    def handler(self) -> Handler:
        """Handler of the callers' listener."""
        return self._handler

    @property
    def in_flight(self) -> InFlight:
        """Counts of requests in flight."""
        return self._in_flight

    @property
    def known_servers(self) -> set[ServerId]:
        """Servers that were candidates of a request and have not left the view."""
        return self._admission.known_servers

    @property
    def claims(self) -> Claims:
        """Idempotency claims of this router."""
        return self._claims

    @property
    def readiness(self) -> Readiness:
        """Whether the router accepts requests."""
        return self._readiness

    @property
    def metrics(self) -> Metrics:
        """Latencies and outcomes of this router."""
        return self._metrics

    def set_rules(self, rules: ActiveRules) -> None:
        """Apply new rules."""
        self._admission.set_rules(rules)

    async def drain_probations(self, timeout_s: float) -> None:
        """Wait until the results of runs under probation are reported."""
        await self._router.drain_probations(timeout_s)

    async def close(self) -> None:
        """End background tasks and close the connections to backend servers."""
        await self._router.close()
        await self._pools.close()
