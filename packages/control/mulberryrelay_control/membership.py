"""Backend servers as the coordinator knows them.

Servers are found in the platform's instance list, which lags. Their state is taken from
their own replies to grant requests. A server whose renewals fail is declared lost.
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

# A single failure may be a stall of this process: a timeout that passed while it did
# not run fails an order whose reply already waits in the socket.
FAILURES_UNTIL_LOST = 2


class Server:
    """What the coordinator knows about one backend server.

    A new boot id or address is a new incarnation, which holds no grant.
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
        self._own_state = ServerState.SERVING
        self._last_reply_ms = now_ms
        self._failures = 0
        self._latest_expiry_ms = 0.0
        self._is_reconciled = False
        self._is_dropped = False

    @property
    def entry(self) -> ServerEntry:
        """The server with its effective state."""
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
    def server(self) -> ServerId:
        return self._entry.server

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self._entry.host}:{self._entry.port}"

    @property
    def state(self) -> ServerState:
        """The state that decides whether the server gets work.

        The server's own state takes precedence over the list. An entry that the list
        calls leaving does not come back, so that either source may drain a server.
        """
        if self._is_lost:
            return ServerState.LOST
        if self._is_leaving:
            return ServerState.DRAINING
        return self._own_state

    @property
    def has_known_address(self) -> bool:
        """Whether the previous coordinator published the server at this address."""
        return self._has_known_address

    @property
    def is_lost(self) -> bool:
        return self._is_lost

    @property
    def is_listed(self) -> bool:
        return self._is_listed

    @property
    def is_dropped(self) -> bool:
        """Whether the coordinator has forgotten the server."""
        return self._is_dropped

    @property
    def boot_id(self) -> BootId | None:
        """Boot id in the last reply; None before the first reply."""
        return self._boot_id

    @property
    def latest_expiry_ms(self) -> float:
        """Latest time at which a grant of this server may expire, on the own clock."""
        return self._latest_expiry_ms

    @property
    def takes_units(self) -> bool:
        """Whether units may be assigned to the server.

        A server that was lost gets none before it has confirmed its present list.
        """
        serving = self.state in (ServerState.SERVING, ServerState.COLD)
        return serving and self._is_reconciled

    def note_grant(self, expiry_ms: float) -> None:
        """Record a grant that is about to be sent and may last until ``expiry_ms``."""
        self._latest_expiry_ms = max(self._latest_expiry_ms, expiry_ms)

    def note_dropped(self) -> None:
        """Record that the server is forgotten; a later entry is another record."""
        self._is_dropped = True

    def note_reconciled(self) -> None:
        """Record that the server holds exactly the units that it should."""
        self._is_reconciled = True

    def note_list(self, listed: ListedInstance | None) -> None:
        """Record the server's entry in the instance list, or that it has none."""
        self._is_listed = listed is not None
        if listed is None:
            return
        self._is_leaving = listed.state is ListedState.LEAVING
        is_same = (listed.host, listed.port) == (self._entry.host, self._entry.port)
        # The address of a server that answers is right, whatever the list says.
        if is_same or not self._is_lost or listed.service is None:
            return
        self._boot_id = None
        self._entry = ServerEntry(
            self.server, listed.service, listed.data_centre, listed.host, listed.port
        )

    def note_reply(self, reply: GrantReply, now_ms: float) -> bool:
        """Record a reply; return whether it comes from a new incarnation.

        The first reply in a term does not: what the table assigns to the server may be
        granted to it under the same epoch.
        """
        is_first = self._boot_id is None and not self._is_lost
        is_new = reply.boot_id != self._boot_id and not is_first
        if is_new and self._boot_id is not None:
            # The address was bound again, so the former process and its grants are
            # gone.
            self._latest_expiry_ms = 0.0
            self._is_reconciled = False
        self._boot_id = reply.boot_id
        self._own_state = reply.state
        self._last_reply_ms = now_ms
        self._failures = 0
        self._is_lost = False
        return is_new

    def note_failure(self, now_ms: float, suspect_ms: int) -> bool:
        """Record a failed order; return whether the server is now declared lost."""
        self._failures += 1
        if self._is_lost or self._failures < FAILURES_UNTIL_LOST:
            return False
        if now_ms - self._last_reply_ms < suspect_ms:
            return False
        self._is_lost = True
        self._is_reconciled = False
        return True


class Membership:
    """The servers known to one term of the coordinator."""

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

    def seed(self, entries: Iterable[ServerEntry]) -> None:
        """Add servers that this process knew before it became coordinator.

        They may be missing from the list at first, while they own units.
        """
        for entry in entries:
            if entry.service in self._options.services:
                self._add(entry, has_known_address=True)

    async def refresh(self) -> bool:
        """Read the instance list; return whether it could be read."""
        result = await self._platform.instances()
        if not is_successful(result):
            return False
        listed = {
            entry.name: entry
            for entry in result.unwrap()
            if entry.kind is InstanceKind.SERVER
        }
        for server in list(self._servers.values()):
            server.note_list(listed.get(server.server))
            if server.is_lost and not server.is_listed:
                self._drop(server)
        for entry in listed.values():
            self._add_listed(entry)
        return True

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
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
        self._servers[ServerId(listed.name)].note_list(listed)

    def _add(self, entry: ServerEntry, has_known_address: bool) -> None:
        server = Server(entry, self._clock(), has_known_address)
        self._servers[entry.server] = server
        log_event("server_known", server=entry.server, service=entry.service)
        self._added.on_next(server)

    def _drop(self, server: Server) -> None:
        """Forget a server that neither answers nor is listed.

        Its record stays while a grant may last, since moves wait for its expiry.
        """
        if self._clock() < server.latest_expiry_ms:
            return
        del self._servers[server.server]
        server.note_dropped()
        log_event("server_dropped", server=server.server)
