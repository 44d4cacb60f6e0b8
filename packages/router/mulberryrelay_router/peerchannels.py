"""gRPC channels to other routers.

``CoordinatorClient`` opens one channel for each stream to the coordinator. Single calls
share the cached channels of ``PeerChannels``.
"""

from typing import Any

import grpc

from mulberryrelay_kernel.ids import Term
from mulberryrelay_kernel.messages import RouterAddress
from mulberryrelay_kernel.peerproto import peer_pb2, peer_pb2_grpc

CHANNEL_OPTIONS = [
    # Each channel has its own connection. With a shared one, a new stream would wait
    # for the reconnect backoff of an earlier channel to the same address.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
]


class PeerChannels:
    """Cached channels for single calls to other routers."""

    def __init__(self, me: RouterAddress) -> None:
        self._me = me
        self._channels: dict[tuple[str, int], grpc.aio.Channel] = {}

    def stub(self, address: RouterAddress) -> Any:
        """Return a stub for calls to a router."""
        endpoint = (address.host, address.port)
        if endpoint not in self._channels:
            self._channels[endpoint] = open_channel(address)
        return open_stub(self._channels[endpoint])

    async def request_promise(
        self, address: RouterAddress, term: Term, period_ms: int
    ) -> bool:
        """Ask a successor not to take over the coordinator lease for ``period_ms``.

        Return whether the process with the boot id of the address has promised it. See
        ``CoordinatorLease``.
        """
        request = peer_pb2.PromiseRequest(
            holder=self._me.instance,
            boot_id=address.boot_id,
            term=term,
            promise_ms=period_ms,
        )
        try:
            reply = await self.stub(address).Promise(request, timeout=period_ms / 1000)
        except grpc.aio.AioRpcError:
            return False
        return bool(reply.promised and reply.boot_id == address.boot_id)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close(grace=None)


def open_channel(address: RouterAddress) -> grpc.aio.Channel:
    """Open a channel to a router."""
    return grpc.aio.insecure_channel(
        f"{address.host}:{address.port}", options=CHANNEL_OPTIONS
    )


def open_stub(channel: grpc.aio.Channel) -> Any:
    """Return a stub of the peer service on a channel."""
    return peer_pb2_grpc.PeerStub(channel)  # type: ignore[no-untyped-call]
