"""Interface between the edge router and a platform.

A platform package implements ``Adapter``: settings, header names, access to the store,
and commands to backend servers.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec
from multidict import istr
from returns.result import Result

from mulberryrelay_kernel.ids import DataCentre, ServerId

from .messages import BackendServer, LoadReport, RouteTable
from .options import EdgeOptions
from .tablestore import Source, TableStore


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that the router reads or sets."""

    request_id: istr
    deadline_ms: istr
    """Milliseconds left until the deadline of the request."""
    response_signature: istr
    """Signature by which a server proves that a response is its own."""
    expected_server: istr
    server: istr
    """Id of the server that sent the response."""
    load: istr
    """Load of the server that sent the response."""
    limit: istr
    """Requests per second that the server takes from all routers together."""
    leaving: istr
    """Set by a server that drains, in all its responses."""
    not_run: istr
    """Set by a server that did not run the request."""
    key: istr
    """Key of a request to a keyed service."""
    cold_ms: istr
    """Milliseconds for which the server that sent the response stays cold."""


class CommandRefused(msgspec.Struct, frozen=True):
    """A server refused a command.

    It has seen a higher fencing token, or the command was malformed.
    """

    status: int


class CommandUnanswered(msgspec.Struct, frozen=True):
    """A command got no reply; the server may still apply it."""

    error: str


class CommandNotSent(msgspec.Struct, frozen=True):
    """A command was not written, so the server will not apply it."""

    reason: str


class CommandMisdirected(msgspec.Struct, frozen=True):
    """A command reached another server at the address; the intended one is gone."""

    responder: ServerId
    """Id of the other server; empty if it does not support commands about keys."""


CommandFailure = (
    CommandRefused | CommandUnanswered | CommandNotSent | CommandMisdirected
)
MayWrite = Callable[[], bool]
"""Called just before a command is written; it is written only if this returns True."""


class Continuity(Protocol):
    """Connections to an address, one of which was open at any time since the first.

    All of them lead to the same process: a process that ends loses its connections
    before another one has its address.
    """

    @property
    def is_broken(self) -> bool:
        """Whether the process may have ended since; stays so."""


class ServerCommands(Protocol):
    """Sends commands about keys to servers, which do not authenticate the sender.

    A command without a reply is discarded as far as it has not left this process. The
    success of a release, and ``CommandMisdirected``, come only from a response that
    certainly belongs to the command; for that a command may be written twice.
    """

    async def grant(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        grant_ttl_ms: float,
        handover_token: str | None,
        may_write: MayWrite,
    ) -> Result[None, CommandFailure]:
        """Permit the server to run requests for these keys for ``grant_ttl_ms``.

        ``handover_token`` is the token that the previous owner returned from
        ``release``, if any. With it the server warms up.
        """

    async def release(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        may_write: MayWrite,
    ) -> Result[str | None, CommandFailure]:
        """Revoke keys from a server; return the handover token for the next owner."""

    async def probe(
        self, server: BackendServer, health_path: str
    ) -> Result[None, CommandFailure]:
        """Check whether the server answers, without changing its grants."""

    def continuity(self, server: BackendServer) -> Continuity:
        """Return the continuity of the connections to a server's address.

        It is a new one, to which the next connection belongs, if the last is broken.
        """

    async def close(self) -> None:
        """Close all connections."""


class Adapter(Protocol):
    """Everything that is specific to a platform."""

    @property
    def options(self) -> EdgeOptions:
        """The options in force; bounds may change when the settings are reloaded."""

    def reload(self) -> bool:
        """Reload the settings; return whether they changed.

        Raises:
            FindingsError: the new settings are not valid; the old ones stay in force.
        """

    @property
    def headers(self) -> HeaderNames: ...
    @property
    def store(self) -> TableStore: ...
    @property
    def commands(self) -> ServerCommands: ...
    @property
    def route_source(self) -> Source[RouteTable]: ...
    @property
    def server_source(self) -> Source[BackendServer]: ...
    @property
    def evacuation_source(self) -> Source[DataCentre]:
        """The rows of the routes table that each evacuate a data centre.

        Deleted rows are decoded as well.
        """

    @property
    def ready_path(self) -> str: ...
    def parse_load(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return the load that a response reports, or None."""

    def parse_limit(self, headers: Mapping[str, str]) -> float | None:
        """Return the limit that a response states, in requests per second, or None."""

    def parse_cold_ms(self, headers: Mapping[str, str]) -> float | None:
        """Return how long a response states that its server stays cold, or None."""
