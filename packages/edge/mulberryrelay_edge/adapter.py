"""What the edge router needs of an adapter to a platform."""

from collections.abc import Mapping
from typing import Protocol

import msgspec
from multidict import istr
from returns.result import Result

from mulberryrelay_kernel.ids import ServerId

from .messages import BackendServer, LoadReport, RouteTable
from .options import EdgeOptions
from .tablestore import Source, TableStore


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that the router reads or sets."""

    request_id: istr
    deadline_ms: istr
    receipt: istr
    """Proof of a server that an answer is its own."""
    expected_server: istr
    server: istr
    """Id of the server that answers."""
    load: istr
    not_run: istr
    key: istr


class OrderRefused(msgspec.Struct, frozen=True):
    """A server refused an order, because it has seen a higher fence or a bad call."""

    status: int


class OrderLost(msgspec.Struct, frozen=True):
    """No answer to an order; it may be carried out later."""

    error: str


class OrderMisdirected(msgspec.Struct, frozen=True):
    """Another server has the address now; the one that was meant is gone."""

    found: ServerId
    """Empty if the server takes no orders about keys and does not say who it is."""


OrderFailure = OrderRefused | OrderLost | OrderMisdirected


class ServerOrders(Protocol):
    """Orders about keys to a server; the sender needs no proof of its identity."""

    async def grant(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        hold_ms: float,
        token: str | None,
    ) -> Result[None, OrderFailure]:
        """Let the server run requests for these keys for ``hold_ms``."""

    async def release(
        self, server: BackendServer, first: int, last: int, fence: int
    ) -> Result[str | None, OrderFailure]:
        """Take keys back; returns the token that warms up the next owner."""

    async def probe(
        self, server: BackendServer, health_path: str
    ) -> Result[None, OrderFailure]:
        """Return whether the server answers; gives it no order."""

    async def close(self) -> None:
        """Release connections."""


class Adapter(Protocol):
    """Everything that differs from platform to platform."""

    @property
    def options(self) -> EdgeOptions:
        """The options in force; bounds may change when the settings are reloaded."""

    def reload(self) -> bool:
        """Read the settings again; return whether they changed.

        Raises:
            FindingsError: the new settings are not valid; the old ones stay in force.
        """

    @property
    def headers(self) -> HeaderNames: ...
    @property
    def store(self) -> TableStore: ...
    @property
    def orders(self) -> ServerOrders: ...
    @property
    def route_source(self) -> Source[RouteTable]: ...
    @property
    def server_source(self) -> Source[BackendServer]: ...
    @property
    def ready_path(self) -> str: ...
    def parse_load(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return the load that an answer states, if any."""
