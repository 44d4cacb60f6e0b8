"""HTTP clients of the platform's store, run against stand-ins."""

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from mulberryrelay_control.platform_http import HttpPlatform
from mulberryrelay_edge.storeversion import own_version, restores_of
from mulberryrelay_edge.tablestore import RowCondition, TableFailure
from mulberryrelay_kernel.ids import InstanceId, RowName, WriteId
from mulberryrelay_kernel.messages import Condition, Write
from mulberryrelay_kernel.options import PlatformOptions
from mulberryrelay_platform.names import (
    FOLLOW_PATH,
    READ_PATH,
    STORE_ERA_HEADER,
    TRANSACTION_PATH,
)
from mulberryrelay_platform.store import PlatformStore
from standins.platform import PlatformStandin

from .fixtures import async_test

NAME = RowName("rules/current")
VALUE = b'{"version":1}'


@async_test
async def test_rows_are_written_read_and_deleted() -> None:
    """Guards against a transaction body that the platform cannot decode."""
    runner = web.AppRunner(PlatformStandin().application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    options = PlatformOptions(url=url, timeout_ms=5000)
    platform = HttpPlatform(options, InstanceId("entry-1"))
    write = Write(NAME, msgspec.Raw(VALUE))
    absent = [Condition(NAME, 0)]
    assert await platform.transact(absent, [write], WriteId("a")) == Success(None)
    row = (await platform.read([NAME])).unwrap()[NAME]
    assert (bytes(row.value), row.write_id) == (VALUE, "a")
    present = [Condition(NAME, row.version)]
    deletion = Write(NAME, None)
    result = await platform.transact(present, [deletion], WriteId("b"))
    assert result == Success(None)
    assert (await platform.read([NAME])).unwrap() == {}
    await platform.close()
    await runner.cleanup()


class EraStore:
    """A store that states an era and a version, which a test changes."""

    def __init__(self) -> None:
        self.era = "1"
        self.version = 90
        self.committed: list[object] = []
        """Preconditions of the transactions that it applied."""

    def application(self) -> web.Application:
        app = web.Application()
        app.router.add_get(READ_PATH, self._read)
        app.router.add_get(FOLLOW_PATH, self._read)
        app.router.add_post(TRANSACTION_PATH, self._commit)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        row = {"Key": "config", "RowVersion": self.version, "Value": "e30="}
        return self._reply({"Rows": [row], "RowVersion": self.version, "NowS": 1.0})

    async def _commit(self, request: web.Request) -> web.Response:
        self.committed.append((await request.json())["Precondition"])
        return self._reply({"RowVersion": self.version, "NowS": 1.0})

    def _reply(self, body: object) -> web.Response:
        return web.json_response(body, headers={STORE_ERA_HEADER: self.era})


@async_test
async def test_versions_rise_when_the_store_is_restored() -> None:
    """Guards against rows of a restored store that count as older ones."""
    stand_in = EraStore()
    runner = web.AppRunner(stand_in.application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    store = PlatformStore(f"127.0.0.1:{runner.addresses[0][1]}")
    before = (await store.read("op")).unwrap()
    assert (before.version, before.rows[0].version) == (90, 90)
    stand_in.era, stand_in.version = "2", 70
    # The store has a version 70 of its own again, with other changes before it.
    assert await store.follow("op", before.version, 10) == Failure(
        TableFailure.HISTORY_LOST
    )
    after = (await store.read("op")).unwrap()
    assert after.version > before.version
    assert (restores_of(after.version), own_version(after.version)) == (1, 70)
    old = RowCondition("op", "config", before.rows[0].version)
    assert await store.commit([old], []) == Failure(TableFailure.CONFLICT)
    assert not stand_in.committed, "a version of before the restore is not sent"
    current = RowCondition("op", "config", after.rows[0].version)
    committed = (await store.commit([current], [])).unwrap()
    assert restores_of(committed.version) == 1
    stand_in.era = "1"
    late = await store.read("op")
    assert late == Failure(TableFailure.UNKNOWN), "a reply of before the restore"
    for era in ("", "x", "-1", "9" * 99):
        stand_in.era = era
        assert isinstance(await store.read("op"), Success), era
    await store.close()
    await runner.cleanup()


@async_test
async def test_a_change_while_a_table_is_read_in_parts_is_not_skipped() -> None:
    """Guards against polls that start after a change which no part showed."""

    async def read(request: web.Request) -> web.Response:
        is_first = "From" not in request.query
        version = 10 if is_first else 20
        row = {"Key": "a" if is_first else "b", "RowVersion": 5, "Value": "e30="}
        body = {"Rows": [row], "RowVersion": version, "NowS": 1.0, "HasMore": is_first}
        return web.json_response(body)

    app = web.Application()
    app.router.add_get(READ_PATH, read)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    store = PlatformStore(f"127.0.0.1:{runner.addresses[0][1]}")
    table = (await store.read("servers")).unwrap()
    assert [row.key for row in table.rows] == ["a", "b"]
    assert table.version == 10
    await store.close()
    await runner.cleanup()
