"""The coordinator's records of backend servers.

Servers are discovered through the platform's instance list, which lags behind. Their
state comes from their replies to grant commands. A server whose renewals fail is
declared lost.
"""

import asyncio
from collections.abc import Iterable

from reactivex import Observable
from reactivex.subject import Subject
from returns.pipeline import is_successful

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import BootId, ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import GrantReply, ListedInstance, ServerEntry
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import InstanceKind, ListedState, ServerState

# More than one, since a single failure may be caused by a stall of this process: if the
# timeout passes meanwhile, a command fails although its reply is in the socket.
FAILURES_UNTIL_LOST = 2


class Server:
    """The last known state of one backend server.

    A new boot id or address means a new incarnation, which starts without grants.
    """

    def __init__(
        self, entry: ServerEntry, now_ms: float, has_known_address: bool
    ) -> None:
        self._entry = entry
        self._has_known_address = has_known_address
        self._is_listed = True
        self._is_leaving = False
        self._is_lost = False
        self._boot_id: BootId | None = None
        self._reported_state = ServerState.SERVING
        self._last_reply_ms = now_ms
        self._failures = 0
        self._latest_expiry_ms = 0.0
        self._is_reconciled = False
        self._is_dropped = False

    @property
    def entry(self) -> ServerEntry:
        """The server's address and effective state, as published to routers."""
        entry = self._entry
        return ServerEntry(
            entry.server,
            entry.service,
            entry.data_centre,
            entry.host,
            entry.port,
            self.state,
            self._boot_id or BootId(""),
        )

    @property
    def server_id(self) -> ServerId:
        return self._entry.server

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self._entry.host}:{self._entry.port}"

    @property
    def state(self) -> ServerState:
        """The effective state, which decides whether the server gets requests.

        A lost server is ``LOST`` whatever it reported last. The instance list may also
        drain a server: an entry that is leaving never becomes available again. In all
        other cases the state that the server reports counts.
        """
        if self._is_lost:
            return ServerState.LOST
        if self._is_leaving:
            return ServerState.DRAINING
        return self._reported_state

    @property
    def has_known_address(self) -> bool:
        """Whether the server's address was already published in the previous term."""
        return self._has_known_address

    @property
    def is_lost(self) -> bool:
        return self._is_lost

    @property
    def is_listed(self) -> bool:
        return self._is_listed

    @property
    def is_dropped(self) -> bool:
        """Whether the server was removed from the membership."""
        return self._is_dropped

    @property
    def boot_id(self) -> BootId | None:
        """Boot id of the last reply; None before the first reply."""
        return self._boot_id

    @property
    def latest_expiry_ms(self) -> float:
        """Latest possible expiry of the server's grants, on the coordinator's clock."""
        return self._latest_expiry_ms

    @property
    def accepts_units(self) -> bool:
        """Whether units may be assigned to the server.

        A new or previously lost server first has to confirm its list of units.
        """
        serving = self.state in (ServerState.SERVING, ServerState.COLD)
        return serving and self._is_reconciled

    def record_grant(self, expiry_ms: float) -> None:
        """Record a grant that is about to be sent and expires by ``expiry_ms``."""
        self._latest_expiry_ms = max(self._latest_expiry_ms, expiry_ms)

    def mark_dropped(self) -> None:
        """Record that the server was removed; a later entry gets a new record."""
        self._is_dropped = True

    def mark_reconciled(self) -> None:
        """Record that the server has confirmed exactly its wanted list of units."""
        self._is_reconciled = True

    def apply_listing(self, listed: ListedInstance | None) -> None:
        """Update the record from the instance list; None if the server is not in it."""
        self._is_listed = listed is not None
        if listed is None:
            return
        self._is_leaving = listed.state is ListedState.LEAVING
        has_same_address = (listed.host, listed.port) == (
            self._entry.host,
            self._entry.port,
        )
        # The known address of a server that replies is right, even if the list differs.
        if has_same_address or not self._is_lost or listed.service is None:
            return
        self._boot_id = None
        self._entry = ServerEntry(
            self.server_id, listed.service, listed.data_centre, listed.host, listed.port
        )

    def record_reply(self, reply: GrantReply, now_ms: float) -> bool:
        """Record a reply; return whether it comes from a new incarnation.

        The first reply in a term does not count as one, unless the server was already
        declared lost: the units that the stored assignment gives to the server may be
        granted to it without a new epoch.
        """
        is_first = self._boot_id is None and not self._is_lost
        is_new = reply.boot_id != self._boot_id and not is_first
        if is_new and self._boot_id is not None:
            # The same address was bound by a new process, so the previous process and
            # its grants are gone.
            self._latest_expiry_ms = 0.0
            self._is_reconciled = False
        self._boot_id = reply.boot_id
        self._reported_state = reply.state
        self._last_reply_ms = now_ms
        self._failures = 0
        self._is_lost = False
        return is_new

    def record_failure(self, now_ms: float, suspect_ms: int) -> bool:
        """Record a failed command; return whether the server is now declared lost."""
        self._failures += 1
        if self._is_lost or self._failures < FAILURES_UNTIL_LOST:
            return False
        if now_ms - self._last_reply_ms < suspect_ms:
            return False
        self._is_lost = True
        self._is_reconciled = False
        return True


class Membership:
    """The backend servers of one term of the coordinator."""

    def __init__(self, options: Options, platform: Platform, clock: Clock) -> None:
        self._options = options
        self._platform = platform
        self._clock = clock
        self._servers: dict[ServerId, Server] = {}
        self._added: Subject[Server] = Subject()

    @property
    def servers(self) -> dict[ServerId, Server]:
        """All known servers."""
        return self._servers

    @property
    def added(self) -> Observable[Server]:
        """Emits each server when it becomes known."""
        return self._added

    def add_known(self, entries: Iterable[ServerEntry]) -> None:
        """Add the servers that this process knew before it became coordinator.

        They may own units but not be in the instance list at first.
        """
        for entry in entries:
            if entry.service in self._options.services:
                self._add(entry, has_known_address=True)

    async def refresh(self) -> bool:
        """Update the servers from the instance list; return whether it was read."""
        result = await self._platform.instances()
        if not is_successful(result):
            return False
        listed = {
            entry.name: entry
            for entry in result.unwrap()
            if entry.kind is InstanceKind.SERVER
        }
        for server in list(self._servers.values()):
            server.apply_listing(listed.get(server.server_id))
            if server.is_lost and not server.is_listed:
                self._drop(server)
        for entry in listed.values():
            self._add_listed(entry)
        return True

    async def run(self) -> None:
        """Read the instance list periodically until cancelled."""
        while True:
            await asyncio.sleep(self._options.timing.list_period_ms / 1000)
            await self.refresh()

    def _add_listed(self, listed: ListedInstance) -> None:
        if listed.service not in self._options.services:
            return
        if ServerId(listed.name) in self._servers:
            return
        self._add(
            ServerEntry(
                ServerId(listed.name),
                listed.service,
                listed.data_centre,
                listed.host,
                listed.port,
            ),
            has_known_address=False,
        )
        self._servers[ServerId(listed.name)].apply_listing(listed)

    def _add(self, entry: ServerEntry, has_known_address: bool) -> None:
        server = Server(entry, self._clock(), has_known_address)
        self._servers[entry.server] = server
        log_event("server_known", server=entry.server, service=entry.service)
        self._added.on_next(server)

    def _drop(self, server: Server) -> None:
        """Remove a server that neither replies nor is in the instance list.

        The record is kept while a grant may be in force, since moves wait for its
        expiry.
        """
        if self._clock() < server.latest_expiry_ms:
            return
        del self._servers[server.server_id]
        server.mark_dropped()
        log_event("server_dropped", server=server.server_id)
