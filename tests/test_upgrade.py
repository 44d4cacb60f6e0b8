"""Routers of two builds side by side, while machines are replaced one after the other.

``formats/edge.json`` has the formats of the build in production. It is recorded again
(``python -m tests.test_upgrade``) when a build has replaced it everywhere.
"""

import asyncio
import random
from pathlib import Path
from unittest.mock import patch

import msgspec

from bench.virtual_time import run_virtual
from mulberryrelay_edge.messages import LeaderReply, RouterReport
from mulberryrelay_edge.reporthandler import ReportHandler
from mulberryrelay_kernel.states import ServerState

from .fixtures.edgefleet import SERVICE, Fleet, followers_of
from .fixtures.messageformats import Field, Format, current_formats, differences

FORMATS = Path(__file__).parent / "formats" / "edge.json"
TAKEOVER_S = 5.0
"""Time for the lease of a leader that was replaced to expire and be taken."""
MOVED_S = 2.0
"""Time in which the keys of a draining server have another owner."""


def test_messages_are_understood_by_the_build_in_production() -> None:
    """Guards against a field that the other build lacks, or reads as another one."""
    production = msgspec.json.decode(FORMATS.read_bytes(), type=dict[str, Format])
    current = current_formats()
    found = [
        f"{name}: {difference}"
        for name in sorted(production.keys() & current.keys())
        for difference in differences(production[name], current[name])
    ]
    assert not found, found
    assert production.keys() <= current.keys()


def test_formats_that_differ_are_noticed() -> None:
    """Guards against a comparison that finds nothing."""
    before = Format(False, [Field("a", "IntType", True)])
    array = Format(True, before.fields)
    cases = [
        (before, Format(False, [])),
        (before, Format(False, [Field("a", "StrType", True)])),
        (before, Format(False, [*before.fields, Field("b", "IntType", True)])),
        (before, array),
        (array, Format(True, [Field("b", "IntType", False), *before.fields])),
    ]
    for old, new in cases:
        assert list(differences(old, new)), new
        assert list(differences(new, old)), new
    extended = [*before.fields, Field("b", "IntType", False)]
    for is_array in (False, True):
        old, new = Format(is_array, before.fields), Format(is_array, extended)
        assert not list(differences(old, new))
        assert not list(differences(new, old))


def _without_new_fields(reply: LeaderReply) -> LeaderReply:
    return msgspec.structs.replace(
        reply,
        informed_after_report_ms=None,
        servers_known_after_report_ms=None,
        unsent_tables=(),
        routes_known_after_report_ms=None,
        store_read=None,
        early=[],
    )


def test_keys_move_while_the_builds_of_routers_differ() -> None:
    """Guards against followers that wait for what an older leader does not send.

    The older leader's replies lack the time up to which it knows all changes. One
    router after the other is replaced, the leader among them.
    """
    handle_report = ReportHandler.handle_report
    older: set[ReportHandler] = set()

    async def handle(
        handler: ReportHandler, report: RouterReport
    ) -> LeaderReply | None:
        if handler not in older:
            return await handle_report(handler, report)
        # A build that does not know the fields sends all updates.
        report = msgspec.structs.replace(report, store_reads=None, early_versions=None)
        reply = await handle_report(handler, report)
        return _without_new_fields(reply) if reply is not None else None

    async def scenario() -> None:
        fleet = Fleet(1, routers=5)
        older.update(router.report_handler for router in fleet.routers)
        await fleet.settle()
        rng = random.Random(1)
        for number, router in enumerate(list(fleet.routers)):
            await _drain_one(fleet, rng, number)
            fleet.restart(router)
            await fleet.settle()
        await _drain_one(fleet, rng, len(fleet.routers))
        fleet.stop()

    async def _drain_one(fleet: Fleet, rng: random.Random, number: int) -> None:
        """Replace a server by a new one; check that its keys move."""
        leaving = fleet.servers.incarnations[number].entry
        started = msgspec.structs.replace(
            leaving, server=f"new-{number}", port=9000 + number
        )
        fleet.start_server(started)
        await _wait_for_leader(fleet)
        await asyncio.sleep(0.3 + rng.random())
        fleet.register(msgspec.structs.replace(leaving, state=ServerState.DRAINING))
        await asyncio.sleep(MOVED_S)
        for router in followers_of(fleet):
            owners = {r.owner for r in router.ownership.ranges(SERVICE)}
            assert leaving.server not in owners, number
        fleet.unregister(leaving)

    async def _wait_for_leader(fleet: Fleet) -> None:
        async with asyncio.timeout(TAKEOVER_S):
            while fleet.leader is None:
                await asyncio.sleep(0.05)

    with patch.object(ReportHandler, "handle_report", handle):
        run_virtual(scenario())


if __name__ == "__main__":
    FORMATS.parent.mkdir(exist_ok=True)
    encoded = msgspec.json.encode(current_formats())
    FORMATS.write_bytes(msgspec.json.format(encoded) + b"\n")
