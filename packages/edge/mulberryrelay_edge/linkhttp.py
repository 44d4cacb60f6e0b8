"""HTTP between leader and followers.

Reports of followers, reservations of send times, suspected poison requests, and
requests that are relayed to a router which reaches the servers.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import web
from yarl import URL

from mulberryrelay_kernel.decoding import decode_msgpack
from mulberryrelay_kernel.httpclient import create_client_session, read_body
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_router.serverconnection import ResponseBuffer

from .leaderproxy import CallLeader, no_proxy
from .messages import (
    LeaderReply,
    RelayedRequest,
    RelayedResponse,
    ReservationRequest,
    Reservations,
    RouterPeer,
    RouterReport,
    SuspectReport,
)
from .relay import MAX_MESSAGE_BYTES, RelayFailure, RelayReceiver
from .relayhttp import (
    READ_AHEAD_BYTES,
    RELAY_PATH,
    create_relay_session,
    handle_relayed,
    relay_request,
)
from .reporthandler import MAX_WAIT_MS, ReportHandler
from .requestbuffer import BodyHold
from .suspectlink import SuspectLink

LINK_PATH = "/link"
RESERVE_PATH = "/reservations"
SUSPECTS_PATH = "/suspects"
PROBATION_PATH = "/probation"
PEERS_PATH = "/peers"
ROUTERS_PATH = "/routers"
FOR_LEADER_PATH = "/leader"
"""Prefix of the paths of calls that another router passes on to the leader."""
LEADER_PATHS = (LINK_PATH, RESERVE_PATH, SUSPECTS_PATH, PROBATION_PATH, ROUTERS_PATH)
RESERVE_TIMEOUT_S = 0.2
"""Time that the leader may take to reserve times at servers."""
REPLY_TIMEOUT_S = 0.5
"""Time that a reply may take beyond the wait time of the report."""
SUSPECTS_TIMEOUT_S = 0.5
"""Time that the leader may take to record suspects, or for a permit."""
REFUSED_BODY_S = 1.0
"""Time in which the rest of a refused body is dropped before its connection closes."""
MIN_COMPRESSED_BYTES = 2000
"""Size from which on a reply is compressed."""
COMPRESSION_LEVEL = 1
"""Level of zlib compression: the fastest."""
MAX_CACHED_BODIES = 8
"""Number of encoded replies that are cached."""
MAX_REPLY_BYTES = 33_554_432
"""Maximum length of a reply, before and after decompression."""
UNCOMPRESSED = b"\0"
"""First byte of a reply that is not compressed."""
COMPRESSED = b"\1"
"""First byte of a compressed reply."""
Message = TypeVar("Message")
ReserveForAll = Callable[[Sequence[ReservationRequest]], list[Reservations] | None]
"""Reserves times at servers for a router; returns None if this is not the leader."""


class LinkServer:
    """HTTP endpoint for the reports of followers."""

    def __init__(
        self,
        report_handler: ReportHandler,
        reserve_for_all: ReserveForAll,
        suspects: SuspectLink,
        relays: RelayReceiver,
        responses: ResponseBuffer,
        open_body: Callable[[], BodyHold],
        peer_urls: Callable[[], Sequence[str] | None],
        routers: Callable[[], Sequence[RouterPeer] | None] = lambda: None,
        call_leader: CallLeader = no_proxy,
    ) -> None:
        """``peer_urls`` and ``routers`` return None if this router does not lead.

        ``call_leader`` passes a call of another router on to the leader.
        """
        self._routers = routers
        self._call_leader = call_leader
        self._report_handler = report_handler
        self._reserve_for_all = reserve_for_all
        self._suspects = suspects
        self._relays = relays
        self._open_body = open_body
        self._responses = responses
        self._peer_urls = peer_urls
        self._runner: web.AppRunner | None = None
        self._cached_bodies: OrderedDict[object, bytes] = OrderedDict()
        """Cache of encoded replies, since many routers have the same versions."""

    async def start(self, host: str, port: int) -> int:
        """Start to listen for reports of other routers; return the port."""
        app = web.Application(client_max_size=MAX_MESSAGE_BYTES)
        app.router.add_post(LINK_PATH, self._handle_report)
        app.router.add_post(RESERVE_PATH, self._handle_reservations)
        app.router.add_post(SUSPECTS_PATH, self._handle_suspects)
        app.router.add_post(PROBATION_PATH, self._handle_probation)
        app.router.add_post(RELAY_PATH, self._handle_relayed)
        app.router.add_get(PEERS_PATH, self._list_peers)
        app.router.add_post(ROUTERS_PATH, self._list_routers)
        for path in LEADER_PATHS:
            app.router.add_post(FOR_LEADER_PATH + path, self._pass_to_leader)
        # A relayed request ends when the router that has sent it gives it up.
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            read_bufsize=READ_AHEAD_BYTES,
            lingering_time=REFUSED_BODY_S,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return int(self._runner.addresses[0][1])

    async def close(self) -> None:
        """Close the listening port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_report(self, request: web.Request) -> web.Response:
        report = await _decode_body(request, RouterReport, "bad_report")
        leader_reply = await self._report_handler.handle_report(report)
        if leader_reply is None:
            return web.Response(status=409)
        return web.Response(body=self._encode_reply(report, leader_reply))

    async def _handle_reservations(self, request: web.Request) -> web.Response:
        requests = await _decode_body(
            request, list[ReservationRequest], "bad_reservation_request"
        )
        reservations = self._reserve_for_all(requests)
        if reservations is None:
            return web.Response(status=409)
        return web.Response(body=msgspec.msgpack.encode(reservations))

    async def _handle_suspects(self, request: web.Request) -> web.Response:
        report = await _decode_body(request, SuspectReport, "bad_suspect_report")
        is_recorded = await self._suspects.handle_report(report)
        return web.Response(status=200 if is_recorded else 409)

    async def _handle_probation(self, request: web.Request) -> web.Response:
        reply = await self._suspects.handle_probation(await request.read())
        if reply is None:
            return web.Response(status=409)
        return web.Response(body=reply)

    async def _handle_relayed(self, request: web.Request) -> web.StreamResponse:
        return await handle_relayed(
            request, self._relays, self._responses, self._open_body()
        )

    async def _list_peers(self, request: web.Request) -> web.Response:
        urls = self._peer_urls()
        if urls is None:
            return web.Response(status=409)
        return web.Response(body=msgspec.msgpack.encode(urls))

    async def _list_routers(self, request: web.Request) -> web.Response:
        routers = self._routers()
        if routers is None:
            return web.Response(status=409)
        return web.Response(body=msgspec.msgpack.encode(routers))

    async def _pass_to_leader(self, request: web.Request) -> web.Response:
        path = request.path.removeprefix(FOR_LEADER_PATH)
        leader_url = request.query.get("leader", "")
        reply = await self._call_leader(leader_url, path, await request.read())
        if reply is None:
            return web.Response(status=409)
        return web.Response(body=reply)

    def _encode_reply(self, report: RouterReport, leader_reply: LeaderReply) -> bytes:
        if leader_reply.shares is not None:
            # Shares are of one router, and a reply with them has no rows.
            return _compress_body(msgspec.msgpack.encode(leader_reply))
        speeds = leader_reply.speeds
        sent = (
            tuple((update.table, update.version) for update in leader_reply.tables),
            tuple((change.service, change.version) for change in leader_reply.ranges),
            leader_reply.is_store_reachable,
            leader_reply.routers,
            leader_reply.suspects.version,
            leader_reply.servers_known_after_report_ms,
            leader_reply.unsent_tables,
            leader_reply.routes_known_after_report_ms,
            leader_reply.store_read,
            tuple((update.table, update.version) for update in leader_reply.early),
            None if speeds is None else (speeds.sums_id, speeds.version),
            leader_reply.paced,
            leader_reply.refusals,
        )
        reported_versions = (
            tuple(sorted(report.table_versions.items())),
            tuple(sorted(report.range_versions.items())),
            report.suspects_version,
            tuple(sorted((report.early_versions or {}).items())),
            (report.speeds.sums_id, report.speeds.version),
        )
        body = self._cached_bodies.get((reported_versions, sent))
        if body is None:
            body = self._cached_bodies[reported_versions, sent] = _compress_body(
                msgspec.msgpack.encode(leader_reply)
            )
        if len(self._cached_bodies) > MAX_CACHED_BODIES:
            self._cached_bodies.popitem(last=False)
        return body


class LinkClient:
    """HTTP client that sends reports to the leader."""

    def __init__(
        self,
        responses: ResponseBuffer,
        find_via: Callable[[str], str | None] = lambda _: None,
    ) -> None:
        """``responses`` counts those to relayed requests.

        ``find_via`` returns the URL of a router through which to call a leader.

        None if the leader is called directly.
        """
        self._responses = responses
        self._find_via = find_via
        self._session = create_client_session()
        self._relay_session = create_relay_session()

    async def send(self, url: str, report: RouterReport) -> LeaderReply | None:
        """Send a report to a leader's URL; implements ``SendReport``."""
        body = msgspec.msgpack.encode(report)
        timeout_s = report.wait_ms / 1000 + REPLY_TIMEOUT_S
        target = self._leader_target(url, URL(url).path)
        if target.path.startswith(FOR_LEADER_PATH):
            timeout_s += REPLY_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=REPLY_TIMEOUT_S)
        try:
            async with self._session.post(target, data=body, timeout=timeout) as reply:
                if reply.status != 200:
                    return None
                content = await read_body(reply, MAX_REPLY_BYTES)
                return decode_msgpack(_decompress_body(content), LeaderReply)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log_event("report_failed", url=url, error=repr(error))
        except (msgspec.MsgspecError, zlib.error) as error:
            log_event("bad_leader_reply", url=url, error=str(error))
        return None

    async def reserve(
        self, url: str, requests: Sequence[ReservationRequest]
    ) -> list[Reservations] | None:
        """Reserve times at a leader; ``url`` is the one for reports.

        Implements ``AskLeader``.
        """
        body = msgspec.msgpack.encode(requests)
        timeout = aiohttp.ClientTimeout(total=RESERVE_TIMEOUT_S)
        reserve_url = self._leader_target(url, RESERVE_PATH)
        try:
            async with self._session.post(
                reserve_url, data=body, timeout=timeout
            ) as reply:
                if reply.status != 200:
                    return None
                content = await read_body(reply, MAX_REPLY_BYTES)
                return decode_msgpack(content, list[Reservations])
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log_event("reservation_failed", url=url, error=repr(error))
        except msgspec.MsgspecError as error:
            log_event("bad_reservations", url=url, error=str(error))
        return None

    async def report_suspects(self, url: str, report: SuspectReport) -> bool:
        """Report suspects to a leader; ``url`` is the one for reports."""
        body = msgspec.msgpack.encode(report)
        return await self._post(url, SUSPECTS_PATH, body) is not None

    async def request_probation(self, url: str, body: bytes) -> bytes | None:
        """Send a request for a permit, or a result; return the leader's reply."""
        return await self._post(url, PROBATION_PATH, body)

    async def relay(
        self, url: str, request: RelayedRequest
    ) -> RelayedResponse | RelayFailure:
        """Relay a request to another router; ``url`` is the one for reports."""
        return await relay_request(self._relay_session, self._responses, url, request)

    async def find_peers(self, url: str) -> list[str] | None:
        """Return the URLs of routers that reach servers, from the leader's URL."""
        timeout = aiohttp.ClientTimeout(total=SUSPECTS_TIMEOUT_S)
        target = URL(url).with_path(PEERS_PATH)
        try:
            async with self._session.get(target, timeout=timeout) as reply:
                if reply.status != 200:
                    return None
                content = await read_body(reply, MAX_REPLY_BYTES)
                return decode_msgpack(content, list[str])
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            log_event("peers_unknown", url=str(target), error=repr(error))
        return None

    async def list_routers(self, url: str) -> list[RouterPeer] | None:
        """Return where routers are and what they reach, from the leader's URL."""
        content = await self._post(url, ROUTERS_PATH, b"")
        if content is None:
            return None
        try:
            return decode_msgpack(content, list[RouterPeer])
        except msgspec.MsgspecError as error:
            log_event("bad_router_list", url=url, error=str(error))
        return None

    async def pass_on(self, url: str, path: str, body: bytes) -> bytes | None:
        """Pass a call of another router on to the leader; return the reply's body."""
        timeout = aiohttp.ClientTimeout(
            total=MAX_WAIT_MS / 1000 + REPLY_TIMEOUT_S, sock_connect=REPLY_TIMEOUT_S
        )
        return await self._post_to(URL(url).with_path(path), body, timeout)

    def _leader_target(self, url: str, path: str) -> URL:
        """Return where to send a call for a leader."""
        via = self._find_via(url)
        if via is None:
            return URL(url).with_path(path)
        return URL(via).with_path(FOR_LEADER_PATH + path).with_query(leader=url)

    async def _post(self, url: str, path: str, body: bytes) -> bytes | None:
        """Return the leader's reply to a call, or None without one."""
        timeout = aiohttp.ClientTimeout(total=SUSPECTS_TIMEOUT_S)
        return await self._post_to(self._leader_target(url, path), body, timeout)

    async def _post_to(
        self, target: URL, body: bytes, timeout: aiohttp.ClientTimeout
    ) -> bytes | None:
        try:
            async with self._session.post(target, data=body, timeout=timeout) as reply:
                if reply.status != 200:
                    return None
                return await read_body(reply, MAX_REPLY_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log_event("leader_call_failed", url=str(target), error=repr(error))
        return None

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._relay_session.close()


async def _decode_body(
    request: web.Request, message_type: type[Message], event: str
) -> Message:
    """Return the message in a request's body.

    Raises:
        web.HTTPBadRequest: it cannot be decoded; logged as ``event``.
    """
    body = await request.read()
    try:
        return decode_msgpack(body, message_type)
    except msgspec.MsgspecError as error:
        log_event(event, error=str(error))
        raise web.HTTPBadRequest from error


def _compress_body(body: bytes) -> bytes:
    """Return a body, compressed if large, after a byte that tells whether it is."""
    if len(body) < MIN_COMPRESSED_BYTES:
        return UNCOMPRESSED + body
    return COMPRESSED + zlib.compress(body, COMPRESSION_LEVEL)


def _decompress_body(body: bytes) -> bytes:
    """Return a body without the compression.

    Raises:
        zlib.error: the body is malformed or exceeds ``MAX_REPLY_BYTES``.
    """
    if body[:1] != COMPRESSED:
        return body[1:]
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(body[1:], MAX_REPLY_BYTES)
    if not decompressor.eof:
        raise zlib.error("incomplete or too long")
    return decompressed
