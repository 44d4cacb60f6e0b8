"""Status of this router, for the status page and ``mulberryctl edge-status``.

It shows the router's local view, which may differ from that of other routers.
"""

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import InstanceId
from mulberryrelay_kernel.messages import (
    EdgeRangeStatus,
    EdgeServiceStatus,
    EdgeStatus,
)

from .catalog import Catalog
from .coordinator import Coordinator
from .leaderlink import LeaderLink
from .lease import LeaderLease
from .messages import KeyRange
from .ownership import Ownership
from .tablefollower import StoreSync


class StatusSource:
    """Collects the status from the components of a router."""

    def __init__(
        self,
        instance: InstanceId,
        catalog: Catalog,
        ownership: Ownership,
        store_sync: StoreSync,
        lease: LeaderLease,
        coordinator: Coordinator,
        link: LeaderLink,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._catalog = catalog
        self._ownership = ownership
        self._store_sync = store_sync
        self._lease = lease
        self._coordinator = coordinator
        self._link = link
        self._clock = clock

    def snapshot(self, in_flight: int, waiting: int) -> EdgeStatus:
        """Return the current status."""
        notice = self._ownership.leader_notice
        unreachable = (
            self._lease.unreachable_servers.grant_expiries_ms
            if self._lease.is_valid
            else {}
        )
        return EdgeStatus(
            instance=self._instance,
            role=self._store_sync.role.value,
            term=notice.term if notice is not None else 0,
            leader_url=notice.link_url if notice is not None else "",
            routers=self._link.routers,
            is_store_reachable=self._store_sync.is_reachable,
            store_unreachable_ms=self._catalog.store_unreachable_ms,
            routes_version=self._catalog.version,
            routes_age_ms=self._catalog.routes_age_ms,
            servers=self._catalog.server_count,
            in_flight=in_flight,
            waiting=waiting,
            unreachable_servers=sorted(server for server, _ in unreachable),
            services=[
                EdgeServiceStatus(
                    service,
                    version,
                    [
                        self._range_status(key_range)
                        for key_range in self._ownership.ranges(service)
                    ],
                )
                for service, version in self._ownership.range_versions.items()
            ],
        )

    def _range_status(self, key_range: KeyRange) -> EdgeRangeStatus:
        expires_ms = self._coordinator.grant_expires_ms(
            (key_range.owner, key_range.owner_started_ms)
        )
        return EdgeRangeStatus(
            key_range.first,
            key_range.last,
            key_range.owner,
            key_range.fence,
            key_range.next_owner,
            None if expires_ms is None else expires_ms - self._clock(),
        )
