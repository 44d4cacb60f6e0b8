"""HTTP server of the users' platform's store, with in-memory tables and faults."""

import asyncio
import base64
import random
import time
from typing import Any

import msgspec
from aiohttp import web

from mulberryrelay_edge.tablestore import RowCondition, RowWrite, TableRow
from mulberryrelay_platform.names import (
    FOLLOW_PATH,
    READ_PATH,
    STORE_ERA_HEADER,
    TRANSACTION_PATH,
)

from .tables import LATE_S, Tables

LOST_REPLY_S = 30.0
"""Time for which a call waits whose reply is lost; its caller gives up before."""


class TableServer:
    """Serves the tables; its attributes are faults that a test switches on and off."""

    def __init__(self, tables: Tables, rng: random.Random) -> None:
        self.tables = tables
        self.is_busy = False
        """Whether all calls are refused."""
        self.lost_share = 0.0
        """Fraction of the transactions that are applied but whose reply is lost."""
        self.late_share = 0.0
        """Fraction of the transactions applied seconds later, without a reply."""
        self.delay_s = 0.004
        self._rng = rng

    def application(self) -> web.Application:
        """Return the application with the store's calls."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_post(TRANSACTION_PATH, self._commit)
        app.router.add_get(READ_PATH, self._read)
        app.router.add_get(FOLLOW_PATH, self._follow)
        return app

    async def _commit(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        await asyncio.sleep(self.delay_s)
        if self.is_busy:
            return web.Response(status=503)
        draw = self._rng.random()
        if draw < self.late_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(*LATE_S), self._apply, body)
            await asyncio.sleep(LOST_REPLY_S)
        was_applied = self._apply(body)
        if draw < self.lost_share:
            await asyncio.sleep(LOST_REPLY_S)
        if not was_applied:
            return self._reply(412, [])
        return self._reply(200, [])

    def _apply(self, body: dict[str, Any]) -> bool:
        conditions = [
            RowCondition(row["Table"], row["Key"], row["RowVersion"])
            for row in body["Precondition"]
        ]
        writes = [
            RowWrite(row["Table"], row["Key"], base64.b64decode(row["Value"]))
            for row in body["Writes"]
        ]
        return self.tables.apply(conditions, writes)

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay_s)
        if self.is_busy:
            return web.Response(status=503)
        table, start = request.query["Table"], request.query.get("From", "")
        rows = [
            row
            for (name, key), row in sorted(self.tables.rows.items())
            if name == table and key >= start
        ]
        return self._reply(200, rows)

    async def _follow(self, request: web.Request) -> web.Response:
        table, after = request.query["Table"], int(request.query["after"])
        restores = self.tables.restores
        try:
            async with asyncio.timeout(int(request.query["WaitMs"]) / 1000):
                while not self._has_ended(after, restores):
                    if self.tables.changes(table, after):
                        break
                    await self.tables.wait_changed()
        except TimeoutError:
            pass
        await asyncio.sleep(self.delay_s)
        if self.is_busy:
            return web.Response(status=503)
        if self._has_ended(after, restores):
            return self._reply(410, [])
        return self._reply(200, self.tables.changes(table, after))

    def _has_ended(self, after: int, restores: int) -> bool:
        """Return whether the changes after a version are no longer available."""
        if self.tables.restores != restores or after > self.tables.version:
            return True
        return after < self.tables.compacted_version

    def _reply(self, status: int, rows: list[TableRow]) -> web.Response:
        body = {
            "Rows": [_encode_row(row) for row in rows],
            "HasMore": False,
            "RowVersion": self.tables.version,
            "NowS": time.monotonic(),
        }
        return web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers={STORE_ERA_HEADER: str(self.tables.restores + 1)},
        )


def _encode_row(row: TableRow) -> dict[str, Any]:
    encoded: dict[str, Any] = {"Key": row.key, "RowVersion": row.version}
    if row.value is None:
        encoded["Deleted"] = True
    else:
        encoded["Value"] = base64.b64encode(row.value).decode()
    return encoded
