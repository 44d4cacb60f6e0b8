"""HTTP client of the platform's store, run against the platform stand-in."""

import msgspec
from aiohttp import web
from returns.result import Success

from mulberryrelay_control.platform_http import HttpPlatform
from mulberryrelay_kernel.ids import InstanceId, RowName, WriteId
from mulberryrelay_kernel.messages import Condition, Write
from mulberryrelay_kernel.options import PlatformOptions
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
