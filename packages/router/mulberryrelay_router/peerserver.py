"""Server side of the protocol between routers: the gRPC service ``Peer``.

Each router runs it. Only the coordinator serves ``Sync``, ``Probation`` and
``Routers``; other routers refuse these calls with FAILED_PRECONDITION.
"""

from collections.abc import AsyncIterator
from typing import Any

import grpc

from mulberryrelay_control.coordinator import Coordinator
from mulberryrelay_control.coordinatorterm import NotCoordinatorError
from mulberryrelay_control.lease import CoordinatorLease
from mulberryrelay_kernel.ids import (
    InstanceId,
    Term,
)
from mulberryrelay_kernel.messages import RouterAddress
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.peerproto import peer_pb2, peer_pb2_grpc
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationReply,
    ProbationRequest,
    SyncReply,
    SyncRequest,
)

SERVER_OPTIONS = [("grpc.so_reuseport", 0)]


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Passes calls of routers to the coordinator and to the coordinator lease.

    The coordinator's own router calls it over gRPC as well.
    """

    def __init__(
        self, me: RouterAddress, lease: CoordinatorLease, coordinator: Coordinator
    ) -> None:
        self._me = me
        self._lease = lease
        self._coordinator = coordinator

    async def Sync(  # noqa: N802
        self, request_iterator: AsyncIterator[SyncRequest], context: Any
    ) -> AsyncIterator[SyncReply]:
        try:
            async for reply in self._coordinator.serve_sync_stream(request_iterator):
                yield reply
        except NotCoordinatorError:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not coordinator")

    async def Promise(  # noqa: N802
        self, request: peer_pb2.PromiseRequest, context: Any
    ) -> peer_pb2.PromiseReply:
        # A restarted process has lost the promises of its former incarnation, so it
        # must refuse a request that is addressed to that incarnation.
        promised = (
            request.boot_id == self._me.boot_id
            and self._lease.handle_promise_request(
                InstanceId(request.holder), Term(request.term), request.promise_ms
            )
        )
        return peer_pb2.PromiseReply(promised=promised, boot_id=self._me.boot_id)

    async def Probation(  # noqa: N802
        self, request: ProbationRequest, context: Any
    ) -> ProbationReply:
        try:
            return self._coordinator.handle_probation(request)
        except NotCoordinatorError:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not coordinator")
            raise

    async def RulesChanged(  # noqa: N802
        self, request: peer_pb2.RulesNotice, context: Any
    ) -> peer_pb2.RulesNoticeReply:
        self._coordinator.handle_rules_changed()
        return peer_pb2.RulesNoticeReply()

    async def Routers(  # noqa: N802
        self, request: peer_pb2.RoutersRequest, context: Any
    ) -> peer_pb2.RoutersReply:
        try:
            return self._coordinator.list_routers()
        except NotCoordinatorError:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not coordinator")
            raise


def open_peer_server(options: Options) -> tuple[grpc.aio.Server, int]:
    """Bind a server that is not started yet; return it and its port."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    instance = options.instance
    port = server.add_insecure_port(f"{instance.host}:{instance.peer_port}")
    return server, port


def serve_peers(server: grpc.aio.Server, servicer: PeerServicer) -> None:
    """Register the peer service with a server that is not started yet."""
    add = peer_pb2_grpc.add_PeerServicer_to_server
    add(servicer, server)  # type: ignore[no-untyped-call]
