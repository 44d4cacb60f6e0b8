"""What the leader and the other routers tell each other.

A router reports the keys that were requested from it, and the leader answers as soon as
ranges have changed, or the store was lost or is back. So other routers need not poll
the store for ranges, and notice that polls of other tables were lost. Everything told
here is also in the store; a router without a leader follows the store alone.
"""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.httpclient import periodic_session
from mulberryrelay_kernel.logs import log_event

from .following import StoreContact
from .keyload import KeyLoad
from .messages import LeaderNoticeRow, LeaderView, RouterReport
from .ownership import Ownership

LINK_PATH = "/link"
REPORT_MS = 600.0
BUSY_REPORT_MS = 250.0
"""Longest time between reports while requests wait here."""
RETRY_S = 0.25
ANSWER_TIMEOUT_S = 0.5
"""Time for an answer beyond the wait that the report allows."""
LONGEST_WAIT_MS = 2000.0
BEHIND_MS = 300.0
"""Time in which a router's own poll should have brought what the leader has seen."""

Send = Callable[[str, RouterReport], Awaitable[LeaderView | None]]
"""Sends a report to a leader's address; returns None if no leader answers there."""


class LeaderDesk:
    """Answers the reports of other routers while this one is the leader."""

    def __init__(
        self,
        load: KeyLoad,
        ownership: Ownership,
        contact: StoreContact,
        is_leader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._load = load
        self._ownership = ownership
        self._contact = contact
        self._is_leader = is_leader
        self._clock = clock
        self._news = asyncio.Event()
        ownership.changes.subscribe(lambda _: self.wake())
        contact.changes.subscribe(lambda _: self.wake())

    def wake(self) -> None:
        """Look whether there is news for the routers that wait."""
        self._news.set()
        self._news = asyncio.Event()

    async def answer(self, report: RouterReport) -> LeaderView | None:
        """Return what is new to a router, or None if this one is not the leader."""
        self._load.add_report(report.keys)
        end_ms = self._clock() + min(report.wait_ms, LONGEST_WAIT_MS)
        while self._is_leader():
            news = self._news
            view = LeaderView(
                self._ownership.changes_since(report.range_versions),
                dict(self._contact.changed_versions),
                self._contact.answers,
            )
            left_ms = end_ms - self._clock()
            has_news = view.ranges or view.store_answers is not report.store_answers
            if has_news or left_ms <= 0:
                return view
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await news.wait()
            except TimeoutError:
                continue
        return None


class LeaderLink:
    """Reports to the leader, and takes over what it tells."""

    def __init__(
        self,
        load: KeyLoad,
        ownership: Ownership,
        contact: StoreContact,
        boot_id: str,
        is_leader: Callable[[], bool],
        on_leader_lost: Callable[[], None],
        has_waiting: Callable[[], bool],
        send: Send,
        clock: Clock,
    ) -> None:
        self._load = load
        self._ownership = ownership
        self._contact = contact
        self._boot_id = boot_id
        self._is_leader = is_leader
        self._on_leader_lost = on_leader_lost
        self._has_waiting = has_waiting
        self._send = send
        self._clock = clock
        self._store_answers = True
        """What the leader last said."""
        self._behind_ms: dict[str, float] = {}
        """Since when the leader knows more of a table than this router."""
        self._is_lost = False

    async def run(self) -> None:
        """Report to the leader for ever."""
        while True:
            notice = self._ownership.notice
            if notice is None or notice.boot_id in ("", self._boot_id):
                self._load.take_report()
                self._contact.set_linked(self._is_leader())
                await asyncio.sleep(RETRY_S)
                continue
            report = RouterReport(
                self._load.take_report(),
                dict(self._ownership.range_versions),
                self._store_answers,
                BUSY_REPORT_MS if self._has_waiting() else REPORT_MS,
            )
            view = await self._send(notice.link_url, report)
            self._note_reached(view is not None, notice)
            if view is None:
                self._contact.set_linked(self._is_leader())
                self._on_leader_lost()
                await asyncio.sleep(RETRY_S)
                continue
            self._take(view)
            self._contact.set_linked(True)

    def _take(self, view: LeaderView) -> None:
        self._ownership.take_changes(view.ranges)
        if view.store_answers is not self._store_answers:
            self._store_answers = view.store_answers
            self._contact.note(view.store_answers)
        for table, version in view.changed_versions.items():
            if version <= self._contact.read_version(table):
                self._behind_ms.pop(table, None)
                continue
            since_ms = self._behind_ms.setdefault(table, self._clock())
            if self._clock() - since_ms < BEHIND_MS:
                continue
            del self._behind_ms[table]
            log_event(
                "poll_lost",
                table=table,
                read_version=self._contact.read_version(table),
                leader_version=version,
            )
            self._contact.reread(table)

    def _note_reached(self, is_reached: bool, notice: LeaderNoticeRow) -> None:
        if self._is_lost is not is_reached:
            return
        self._is_lost = not is_reached
        event = "leader_reached" if is_reached else "leader_unreachable"
        log_event(event, term=notice.term, url=notice.link_url)


class LinkServer:
    """HTTP interface of the desk."""

    def __init__(self, desk: LeaderDesk) -> None:
        self._desk = desk
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen for the reports of other routers; returns the port."""
        app = web.Application()
        app.router.add_post(LINK_PATH, self._take)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return int(self._runner.addresses[0][1])

    async def close(self) -> None:
        """Release the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _take(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            report = msgspec.json.decode(body, type=RouterReport)
        except msgspec.MsgspecError as error:
            log_event("bad_report", error=str(error))
            return web.Response(status=400)
        view = await self._desk.answer(report)
        if view is None:
            return web.Response(status=409)
        return web.Response(body=msgspec.json.encode(view))


class LinkClient:
    """Sends reports over HTTP."""

    def __init__(self) -> None:
        self._session = periodic_session()

    async def send(self, url: str, report: RouterReport) -> LeaderView | None:
        """Send a report to a leader's address; implements ``Send``."""
        body = msgspec.json.encode(report)
        timeout_s = report.wait_ms / 1000 + ANSWER_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=ANSWER_TIMEOUT_S)
        try:
            async with self._session.post(url, data=body, timeout=timeout) as reply:
                if reply.status != 200:
                    return None
                return msgspec.json.decode(await reply.read(), type=LeaderView)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log_event("report_failed", url=url, error=repr(error))
        except msgspec.MsgspecError as error:
            log_event("bad_view", url=url, error=str(error))
        return None

    async def close(self) -> None:
        """Release connections."""
        await self._session.close()
