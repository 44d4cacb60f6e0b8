"""Decides how a request is passed on to another router, and passes it on.

A router passes on all requests while it reaches no server, and those for an unreached
data centre while it reaches others.
"""

from mulberryrelay_kernel.ids import DataCentre
from mulberryrelay_kernel.metrics import Metrics

from .datacentrerelay import DataCentreRelay
from .messages import EdgeRequest, EdgeResponse
from .queuedrequest import Candidates
from .regions import RegionRules
from .relay import Relay, RelayFailure
from .retrybudget import RetryBudget
from .serverreach import ServerReach
from .shielding import run_to_end


class RequestRelay:
    """Passes requests of one router on."""

    def __init__(
        self,
        reach: ServerReach,
        relay: Relay,
        data_centres: DataCentreRelay,
        budget: RetryBudget,
        regions: RegionRules,
        metrics: Metrics,
    ) -> None:
        self._reach = reach
        self._relay = relay
        self._data_centres = data_centres
        self._budget = budget
        self._regions = regions
        self._metrics = metrics

    def is_cut_off(self, request: EdgeRequest) -> bool:
        """Return whether a request is passed on because no server is reached."""
        return self._relay.is_needed and not request.is_relayed

    def target(self, request: EdgeRequest, candidates: Candidates) -> DataCentre | None:
        """Return the unreached data centre because of which it is passed on."""
        return self._data_centres.target(self._regions.restricted(request), candidates)

    async def must_relay(self, request: EdgeRequest, candidates: Candidates) -> bool:
        """Return whether a refused request has to be passed on instead.

        Servers look congested when the links to them are lost.
        """
        if request.is_relayed:
            return False
        if self.target(request, candidates) is not None:
            return True
        if not self._reach.is_suspected and not self._reach.is_cut_off:
            return False
        return await self._relay.wait_needed(request.deadline_ms)

    async def send(
        self, request: EdgeRequest, target: DataCentre | None
    ) -> EdgeResponse | RelayFailure:
        """Pass a request on; ``target`` is None if this router reaches no server."""

        def may_repeat() -> bool:
            return self._budget.try_consume(request.service)

        request = self._regions.restricted(request)
        if target is None:
            relaying = self._relay.forward(request, may_repeat)
        else:
            relaying = self._data_centres.forward(request, target, may_repeat)
            self._metrics.count("relayed_data_centre")
        if request.route.is_idempotent:
            response = await relaying
        else:
            # As with a server: it is not cancelled if its caller disconnects.
            response = await run_to_end(request, relaying)
        self._metrics.count("relayed")
        return response
