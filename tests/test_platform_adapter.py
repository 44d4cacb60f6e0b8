"""The adapter to the users' platform.

Covers settings, configuration, server entries, commands and the start script.
"""

import asyncio
import json
import re
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp
import msgspec
from returns.result import Success

from mulberryrelay_edge.adapter import CommandMisdirected, CommandRefused
from mulberryrelay_edge.messages import LoadReport
from mulberryrelay_edge.tablestore import TableRow
from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_platform.adapter import (
    PlatformAdapter,
    parse_cold_ms,
    parse_load,
)
from mulberryrelay_platform.commands import PlatformCommands
from mulberryrelay_platform.entries import UnknownKindLog, decode_routes, decode_server
from mulberryrelay_platform.names import HEADERS, SETTINGS_VARIABLE
from mulberryrelay_platform.settings import parse_settings

from .fixtures import async_test
from .fixtures.edgefleet import backend
from .fixtures.logs import recorded_lines
from .fixtures.rawserver import RawRequest, raw_server

ROOT = Path(__file__).parent.parent

SETTINGS = """\
Node=edge-1
Zone=a
Listen.Front=127.0.0.1:8381
Listen.Ready=127.0.0.1:8388
InternalPorts=7200,7215
Provider.Address=127.0.0.1:8384
Bounds.GraceS=6
Bounds.MaxHoldS=10
Bounds.RetryBudgetRatio=0.2
Some.New.Field=1,2
"""

CONFIGURATION = {
    "Version": "r12",
    "Routes": {
        "Columns": [
            "Name",
            "Host",
            "Prefix",
            "Kind",
            "TimeoutS",
            "TargetLatencyS",
            "Priority",
            "TrafficSplit",
            "Attempts",
            "Service",
        ],
        "Rows": [
            [
                "a",
                "a.example",
                "/a/",
                "safe",
                1,
                0.3,
                2,
                [{"Service": "s", "Weight": 9}, {"Service": "t", "Weight": 1}],
                2,
                None,
            ],
            ["b", "b.example", "/b/", "unsafe", 1.2, 0.4, 1, None, 3, "t"],
            ["c", "c.example", "/c/", "new-kind", 1.2, 0.4, 1, None, 3, "t"],
            ["d", "d.example", "/d/", "download", 1.2, 0.4, 1, None, 3, "t"],
            ["e", "e.example", "/e/", "new-kind", 1.2, 0.4, 1, None, 3, "t"],
        ],
    },
    "Services": {
        "Columns": ["Name", "HealthPath", "MaxConns", "Sharded", "WarmupS"],
        "Rows": [["s", "/health", 110, True, 3.0], ["t", "/h", 50, None, None]],
    },
    "Limits": {"MaxHeaderBytes": 100, "MaxBodyBytes": 200, "IdleTimeoutS": 15},
}

INFO = {"Service": "s", "Version": "v1", "Zone": "a", "Slots": 4}
STATUS = {"State": "draining", "Seq": 4, "ColdLeftS": 1.5}
ENTRY = {
    "Address": "127.0.0.1:8080",
    "Info": INFO,
    "Status": STATUS,
    "born": 1700000000000,
}


def test_settings_are_read_and_unknown_fields_ignored() -> None:
    """Guards against a router that does not start once the platform adds a setting."""
    text = f"{SETTINGS}Bounds.DrainS=2.5\nLimits.LinkMbps=40.0\n"
    assert parse_settings(text, "boot.conf").options.evacuation_ms == 5000
    text += "Bounds.EvacuationS=4.5\n"
    settings = parse_settings(text, "boot.conf")
    assert settings.options.drain_ms == 2500
    assert settings.options.evacuation_ms == 4500
    assert settings.store_address == "127.0.0.1:8384"
    assert settings.options.caller_port == 8381
    assert settings.options.stop_grace_ms == 6000
    assert settings.options.retry_ratio == 0.2
    assert settings.options.link_bytes_per_s == 5_000_000


def test_every_finding_in_the_settings_is_reported_with_its_position() -> None:
    """Guards against operators who have to correct the settings one error at a time."""
    text = SETTINGS.replace("127.0.0.1:8384", "nowhere").replace("Node=edge-1\n", "")
    text += "not a setting\nBounds.BudgetSlack=many\n"
    try:
        parse_settings(text, "boot.conf")
    except FindingsError as error:
        positions = [finding.place for finding in error.findings]
        assert len(positions) == 4, error
        assert "10:1" in positions
        assert "5:18" in positions
        assert "11:20" in positions
        assert "'many': expected a finite number of at least 0" in str(error)
        assert "'nowhere': expected host:port" in str(error)
    else:
        raise AssertionError("no finding was reported")


def row(value: object, key: str = "config") -> TableRow:
    """Return a row of the store with a value as JSON, or with the given bytes."""
    encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
    return TableRow(key, encoded, 5)


def test_a_configuration_is_decoded_to_routes_and_services() -> None:
    """Guards against retries of requests on a route of an unknown kind."""
    table = decode_routes(row(CONFIGURATION))
    assert table is not None
    assert table.version == 12
    assert table.limits.idle_ms == 15_000
    first, second, third, fourth, fifth = table.routes
    assert [(s.service, s.weight) for s in first.shares] == [("s", 9), ("t", 1)]
    assert first.is_idempotent and not second.is_idempotent
    # A route of an unknown kind is treated as not idempotent.
    assert not third.is_idempotent and not fifth.is_idempotent
    assert fourth.is_idempotent and fourth.is_download
    assert not any(route.is_download for route in (first, second, third, fifth))
    assert second.timeout_ms == 1200 and second.attempts == 3
    assert [s.is_keyed for s in table.services.values()] == [True, False]


def test_unknown_kinds_are_logged_once_for_each_version() -> None:
    """Guards against a log line for each route whenever the row is read again."""
    unknown_kinds = UnknownKindLog()
    with recorded_lines() as lines:
        for version in ("r21", "r21", "r22", "r22"):
            value = {**CONFIGURATION, "Version": version}
            assert decode_routes(row(value), unknown_kinds) is not None
    # Other tests may have logged the version of ``CONFIGURATION`` shortly before.
    logged = [line for line in lines if "routes_version=2" in line]
    assert len(logged) == 2, logged
    assert all("new-kind" in line and "routes=2" in line for line in logged), logged
    assert "routes_version=21" in logged[0] and "routes_version=22" in logged[1]


def test_regions_of_routes_are_decoded_and_invalid_ones_allow_none() -> None:
    """Guards against restricted requests that go anywhere after a typing error.

    Also against routes that are lost with it, and a log line each time it is read.
    """
    routes = CONFIGURATION["Routes"]
    assert isinstance(routes, dict)
    first = routes["Rows"][0]
    cases: tuple[tuple[object, tuple[str, ...] | None], ...] = (
        (None, None),
        (["eu", "us", "eu"], ("eu", "us")),
        ([], ()),
        ("eu", ()),
        ({"eu": 1}, ()),
        (False, ()),
        (["eu", 3], ()),
        (["eu", ""], ()),
        (["e u"], ()),
        (["e" * 65], ()),
        ([["eu"]], ()),
    )
    value = {
        **CONFIGURATION,
        "Version": "r31",
        "Routes": {
            "Columns": [*routes["Columns"], "AllowedRegions"],
            "Rows": [[*first, given] for given, _ in cases] + [first],
        },
    }
    log = UnknownKindLog()
    with recorded_lines() as lines:
        decode_routes(row(value), log)
        table = decode_routes(row(value), log)
    assert table is not None
    decoded = [route.allowed_regions for route in table.routes]
    assert decoded == [expected for _, expected in cases] + [None]
    logged = [line for line in lines if "invalid_allowed_regions" in line]
    assert len(logged) == 1 and "routes=9" in logged[0], logged


def test_regions_of_data_centres_are_read_and_invalid_ones_unknown() -> None:
    """Guards against a router that does not start, or guesses, without a region."""
    options = parse_settings(SETTINGS, "boot.conf").options
    assert options.region == "" and options.regions == {}
    text = f"{SETTINGS}Region=eu\nZones.a=eu\nZones.b.1=us\nZones.c=\nZones.=eu\n"
    text += "Zones.d=e u\n"
    settings = parse_settings(text, "boot.conf")
    assert settings.options.region == "eu"
    assert settings.options.regions == {"a": "eu", "b.1": "us"}
    assert settings.invalid_regions == ("Zones.c", "Zones.", "Zones.d")
    settings = parse_settings(f"{SETTINGS}Region=\n", "boot.conf")
    assert settings.options.region == "" and settings.invalid_regions == ("Region",)


@async_test
async def test_invalid_regions_are_logged_once() -> None:
    """Guards against a log line each time that the settings are read again."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "boot.conf"
        path.write_text(f"{SETTINGS}Zones.c=\n")
        with recorded_lines() as lines:
            adapter = PlatformAdapter(path)
            assert not adapter.reload()
            path.write_text(f"{SETTINGS}Zones.c=eu\nRegion=\n")
            assert adapter.reload()
        await adapter.store.close()
        await adapter.commands.close()
    assert adapter.options.regions == {"c": "eu"}
    logged = [line for line in lines if "invalid_regions" in line]
    assert len(logged) == 2, logged
    assert "Zones.c" in logged[0] and "Region" in logged[1]


def test_an_invalid_configuration_is_ignored() -> None:
    """Guards against a faulty configuration that ends the process or removes routes."""
    invalid = [
        b"{",
        [],
        {**CONFIGURATION, "Version": "x"},
        {**CONFIGURATION, "Routes": {"Columns": ["Name"], "Rows": [["a"]]}},
        {key: CONFIGURATION[key] for key in ("Version", "Services")},
    ]
    for value in invalid:
        assert decode_routes(row(value)) is None, value


INVALID_RATES: tuple[object, ...] = (0, -1, "3.6", True, [], 1e300, 10**400)


def test_invalid_cold_rates_are_logged_and_change_nothing() -> None:
    """Guards against a service without servers since one of its fields is invalid."""
    columns = ["Name", "ColdStartS", "ColdPerS"]
    cases: list[tuple[object, object, float, float, str]] = [
        (3, 3.6, 3000.0, 3.6, ""),
        (None, None, 0.0, 0.0, ""),
        (3, None, 3000.0, 0.0, "no_cold_rate"),
        *((3, value, 3000.0, 0.0, "invalid_cold_field") for value in INVALID_RATES),
        ("x", 3.6, 0.0, 3.6, "invalid_cold_field"),
    ]
    for start_s, per_s, cold_start_ms, cold_per_s, event in cases:
        services = {"Columns": columns, "Rows": [["s", start_s, per_s]]}
        with recorded_lines() as lines:
            table = decode_routes(row({**CONFIGURATION, "Services": services}))
        assert table is not None, per_s
        (service,) = table.services.values()
        assert service.cold_start_ms == cold_start_ms, start_s
        assert service.cold_per_s == cold_per_s, per_s
        assert not event or any(event in line for line in lines), (per_s, lines)
        assert event or not any("cold" in line for line in lines), (per_s, lines)


def test_a_cold_time_is_read_from_entries_responses_and_settings() -> None:
    """Guards against servers that get full load because their statement is not read."""
    assert parse_cold_ms({str(HEADERS.cold_ms): "1200"}) == 1200.0
    for text in ("", "x", "-1", "nan", "inf", "9" * 400):
        assert parse_cold_ms({str(HEADERS.cold_ms): text}) is None, text
    assert parse_cold_ms({}) is None
    stated = decode_server(row(ENTRY, "i-1"))
    assert stated is not None and stated.is_coldness_stated
    status = {"State": "ready"}
    unstated = decode_server(row({**ENTRY, "Status": status}, "i-1"))
    assert unstated is not None and not unstated.is_coldness_stated
    assert unstated.slow_start_left_ms == 0
    bounds = "Bounds.ColdOvershoot=2\nBounds.ColdSlack=3\n"
    options = parse_settings(SETTINGS + bounds, "boot.conf").options
    assert (options.cold_overshoot, options.cold_slack) == (2.0, 3.0)


def test_a_server_entry_is_decoded() -> None:
    """Guards against servers with a wrong address, state or start time."""
    server = decode_server(row(ENTRY, "i-1"))
    assert server is not None
    assert server.server == "i-1"
    assert server.started_ms == 1700000000000
    assert server.state is ServerState.DRAINING
    assert (server.host, server.port, server.slots) == ("127.0.0.1", 8080, 4)
    assert server.slow_start_left_ms == 1500


UNUSABLE_HOSTS = ("[::1]", "::1", "localhost", "10.0.0.256", "10.0.0", "[10.0.0.1]")
UNENCODABLE = (1 << 64, 10**30, -(1 << 63) - 1)
"""Numbers that JSON can carry and a message between routers cannot."""


def test_entries_that_are_used_can_be_passed_on() -> None:
    """Guards against a leader that cannot encode a reply for the numbers of an entry.

    Any number of an entry that is accepted goes into messages between routers.
    """
    for number in (
        0,
        1,
        2**31,
        2**32,
        2**53,
        2**53 + 1,
        2**63,
        2**64 - 1,
        *UNENCODABLE,
    ):
        for entry in (
            {**ENTRY, "born": number},
            {**ENTRY, "Info": {**INFO, "Slots": number}},
        ):
            server = decode_server(row(entry, "i-1"))
            if server is None:
                continue
            assert msgspec.msgpack.encode(server)
            assert server.entry.boot_id == str(server.started_ms)
            assert 1 <= server.slots <= 2**16


def test_invalid_server_entries_are_ignored() -> None:
    """Guards against rows of other writers that replace servers or end the process."""
    invalid = [
        b"\xff\xfe",
        b"",
        7,
        {**ENTRY, "Address": "nowhere"},
        *({**ENTRY, "Address": f"{host}:80"} for host in UNUSABLE_HOSTS),
        {**ENTRY, "Status": {"State": "resting"}},
        {**ENTRY, "Info": {"Service": 4, "Zone": "a", "Slots": 4}},
        {**ENTRY, "Info": {"Service": "s", "Zone": "a", "Slots": 0}},
        {**ENTRY, "born": "yesterday"},
        *({**ENTRY, "born": number} for number in UNENCODABLE),
        *({**ENTRY, "Info": {**INFO, "Slots": number}} for number in UNENCODABLE),
        *({**ENTRY, "Status": {**STATUS, "ColdLeftS": n}} for n in UNENCODABLE),
        *({**ENTRY, "Address": f"127.0.0.1:{port}"} for port in (0, 65536, 10**30)),
        b"[" * 100_000,
        {key: ENTRY[key] for key in ("Address", "Status")},
    ]
    for value in invalid:
        assert decode_server(row(value, "i-1")) is None, value


def test_load_reports_with_three_and_four_figures_are_decoded() -> None:
    """Guards against load that is lost because of a fourth or an invalid figure."""
    cases = {
        "2,1,4": LoadReport(2, 1, 4),
        "2,1,4,180": LoadReport(2, 1, 4, 180),
        " 2 , 1, 4 , 55 ": LoadReport(2, 1, 4, 55),
        "2,1,4,0": LoadReport(2, 1, 4),
        "2,1,4,-7": LoadReport(2, 1, 4),
        "2,1,4,1.5": LoadReport(2, 1, 4),
        "2,1,4,": LoadReport(2, 1, 4),
        f"2,1,4,{'9' * 5000}": LoadReport(2, 1, 4),
        "2,1": None,
        "2,1,x,100": None,
        "2,1,4,100,3": None,
        "": None,
    }
    for text, expected in cases.items():
        assert parse_load({str(HEADERS.load): text}) == expected, text[:20]
    assert parse_load({}) is None


@async_test
async def test_a_command_to_a_server_without_keys_is_misdirected() -> None:
    """Guards against keys that wait for the grant of a server that no longer exists.

    A server of a service without keys at the owner's address proves the owner is gone.
    """
    cases = {
        "400 Bad Request": CommandMisdirected,
        "404 Not Found": CommandMisdirected,
        "421 Misdirected Request": CommandMisdirected,
        "409 Conflict": CommandRefused,
        "200 OK": None,
    }
    for status, expected in cases.items():

        async def respond(
            request: RawRequest, writer: asyncio.StreamWriter, status: str = status
        ) -> None:
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())

        commands = PlatformCommands()
        async with raw_server(respond) as server:
            entry = backend(1, host="127.0.0.1", port=server.port)
            released = await commands.release(entry, 0, 9, 3, lambda: True)
            granted = await commands.grant(entry, 0, 9, 3, 1000.0, None, lambda: True)
            for result in (released, granted):
                if expected is None:
                    assert isinstance(result, Success), status
                    continue
                assert isinstance(result.failure(), expected), status
            expected_id = server.received[0].headers["mulberryrelay-expect-instance"]
            assert expected_id == "server-1"
        await commands.close()


def test_only_the_adapter_contains_names_of_the_platform() -> None:
    """Guards against names of the platform's protocols in the other packages."""
    pattern = re.compile(r"Mulberryrelay-|rows-(tx|feed|get)|MULBERRYRELAY_CONFIG")
    listed = subprocess.run(
        ["git", "ls-files", "*.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    matching = [
        name
        for name in listed.stdout.split()
        if not name.startswith(("platform/", "tests/"))
        and (ROOT / name).exists()
        and pattern.search((ROOT / name).read_text())
    ]
    assert matching == []


def test_the_start_script_imports_all_packages_and_reports_all_findings() -> None:
    """Guards against a start that needs TLS or an installation of the packages."""
    dependencies = str(Path(aiohttp.__file__).parent.parent)
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "settings"
        settings.write_text("Node=edge-1\nZone=\n")
        completed = subprocess.run(
            [sys.executable, "-S", "platform/start.py"],
            cwd=ROOT,
            env={"PYTHONPATH": dependencies, SETTINGS_VARIABLE: str(settings)},
            capture_output=True,
            text=True,
        )
    assert completed.returncode == 2, completed.stderr
    for name in ("Zone", "Listen.Front", "Provider.Address"):
        assert name in completed.stderr, completed.stderr
