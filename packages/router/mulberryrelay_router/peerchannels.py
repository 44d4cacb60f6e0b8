"""gRPC channels to other routers."""

from typing import Any

import grpc

from mulberryrelay_kernel.ids import Term
from mulberryrelay_kernel.messages import Address
from mulberryrelay_kernel.peerproto import peer_pb2, peer_pb2_grpc

CHANNEL_OPTIONS = [
    # Each stream gets a connection of its own, so that a new stream never waits for the
    # backoff of a former one to the same address.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
]


class PeerChannels:
    """Channels for single calls to other routers."""

    def __init__(self, me: Address) -> None:
        self._me = me
        self._channels: dict[tuple[str, int], grpc.aio.Channel] = {}

    def stub(self, address: Address) -> Any:
        """Return a stub for calls to a router."""
        place = (address.host, address.port)
        if place not in self._channels:
            self._channels[place] = open_channel(address)
        return open_stub(self._channels[place])

    async def ask_promise(self, address: Address, term: Term, period_ms: int) -> bool:
        """Ask a successor for a promise of ``period_ms``; see ``CoordinatorLease``."""
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


def open_channel(address: Address) -> grpc.aio.Channel:
    """Return a channel to a router."""
    return grpc.aio.insecure_channel(
        f"{address.host}:{address.port}", options=CHANNEL_OPTIONS
    )


def open_stub(channel: grpc.aio.Channel) -> Any:
    """Return a stub for calls through a channel."""
    return peer_pb2_grpc.PeerStub(channel)  # type: ignore[no-untyped-call]
