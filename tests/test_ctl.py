"""``mulberryctl`` with an embedded router, and the sample files."""

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from aiohttp import web
from click.testing import CliRunner
from returns.pipeline import is_successful

from mulberryctl.access import Access, ExitCode
from mulberryctl.client import AdminClient
from mulberryctl.main import main
from mulberryrelay_control.rules import parse_rules
from mulberryrelay_kernel.ids import RulesVersion
from mulberryrelay_kernel.messages import RulesSubmitRequest
from mulberryrelay_kernel.settings import load_settings
from mulberryrelay_router.main import main as router_main
from standins.deployment import Process

from .fixtures import async_test
from .fixtures.admin import open_admin
from .fixtures.rules import LIMIT_200, LIMIT_300, SETTINGS

SAMPLES = Path(__file__).parent.parent / "samples"
CREDENTIAL = "credential-of-ama"


@contextmanager
def start_router(directory: Path) -> Iterator[Process]:
    """Run a router in embedded mode, which needs no other processes."""
    settings = directory / "settings.jsonc"
    settings.write_text(json.dumps(SETTINGS))
    program = str(Path(sys.executable).parent / "mulberryrelay")
    command = [program, "run", "--settings", str(settings), "--embedded"]
    process = Process("router", command, directory / "router.log")
    try:
        yield process
    finally:
        process.kill()


def run_ctl(arguments: list[str], environment: dict[str, str]) -> tuple[int, str]:
    result = CliRunner().invoke(main, arguments, env=environment)
    return result.exit_code, result.output


def test_commands_and_exit_codes() -> None:
    """Guards against an exit code that lets a script treat a failed change as done."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        good, other, wrong = (directory / f for f in ("good", "other", "wrong"))
        good.write_text(LIMIT_200)
        other.write_text(LIMIT_300)
        wrong.write_text("drain everything\n")
        with start_router(directory) as router:
            access = {"address": router.url("admin_port"), "credential": CREDENTIAL}
            config = directory / "ctl.jsonc"
            config.write_text(json.dumps(access))
            environment = {"MULBERRYCTL_CONFIG": str(config)}
            wrong_address = ["--address", "http://127.0.0.1:1"]
            wrong_credential = ["--credential", "wrong"]
            submit = ["submit", "--wait", str(good), "--base"]
            cases: list[tuple[list[str], int, str]] = [
                (["check", str(good)], 0, "no findings"),
                (["check", str(wrong)], 1, f"{wrong}:1:7: expected 'server'"),
                (["plan", str(good)], 0, "none -> 200 per-second"),
                (["plan", str(wrong)], 1, f"{wrong}:1:7: expected 'server'"),
                (["history"], 0, "no version was submitted"),
                ([*submit, "0"], 0, "version 1 is in force at every live router"),
                (["submit", str(other), "--base", "0"], 3, "version 1 by Ama Mensah"),
                (["submit", str(wrong), "--base", "1"], 1, "expected 'server'"),
                (["submit", str(good)], 2, "--base"),
                (["show", "--json"], 0, json.dumps(LIMIT_200)),
                (["show", "7"], 2, "there is no version 7"),
                (["history"], 0, "version 1 by Ama Mensah"),
                (["status"], 0, "rules in force at every live router: 1"),
                (["status", *wrong_credential], 2, "wrong-credential"),
                (["status", *wrong_address], 4, "unreachable"),
                (
                    ["submit", str(good), "--base", "1", *wrong_address],
                    4,
                    "unreachable",
                ),
                (["remove-everything"], 2, "No such command"),
            ]
            for arguments, code, text in cases:
                result = run_ctl(arguments, environment)
                assert result[0] == code, (arguments, result)
                assert text in result[1], (arguments, result)
                assert CREDENTIAL not in result[1], arguments
            no_access = run_ctl(["status"], {"MULBERRYCTL_CONFIG": ""})
            assert no_access[0] == 2, no_access
            assert CREDENTIAL not in router.log


@async_test
async def test_wait_times_out_when_not_all_routers_are_known() -> None:
    """Guards against reporting a version as in force that only one router confirmed."""
    with tempfile.TemporaryDirectory() as name:
        good = Path(name) / "good"
        good.write_text(LIMIT_200)
        async with open_admin() as (session, _):
            access = ["--address", str(session._base_url), "--credential", CREDENTIAL]
            submit = ["submit", "--wait", str(good), "--base", "0", "--timeout", "0.5"]
            result = await asyncio.to_thread(run_ctl, [*submit, *access], {})
    assert result[0] == 5, result
    assert "not known to be" in result[1], result


def dropping_response(commits: bool) -> Callable[..., Any]:
    """Return a middleware that closes the connection of each submission.

    The submission takes effect before that if ``commits`` is set.
    """

    @web.middleware
    async def drop(request: web.Request, handler: Any) -> web.StreamResponse:
        is_submission = (request.method, request.path) == ("POST", "/rules")
        if not is_submission:
            response: web.StreamResponse = await handler(request)
            return response
        if commits:
            await handler(request)
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    return drop


def test_submission_with_a_lost_response_is_resolved() -> None:
    """Guards against reporting a committed version as failed, or the reverse."""

    async def run(commits: bool) -> tuple[bool, Any]:
        async with open_admin([dropping_response(commits)]) as (session, _):
            access = Access(str(session._base_url), CREDENTIAL)
            async with AdminClient(access) as client:
                body = RulesSubmitRequest(RulesVersion(0), LIMIT_200)
                result = await client.submit(body)
        if is_successful(result):
            return True, result.unwrap().version
        return False, (result.failure().code, result.failure().body.error)

    assert asyncio.run(run(True)) == (True, 1)
    assert asyncio.run(run(False)) == (False, (ExitCode.UNREACHABLE, "unknown"))


def test_samples_are_valid() -> None:
    """Guards against sample files that a router would reject."""
    services = {
        "kwahu": {
            "slotfinder": (True, ["listing"]),
            "bookpay": (False, ["payment", "booking"]),
            "trainerdesk": (False, ["schedule", "summary"]),
        },
        "wattlebrook": {
            "roster": (True, ["joblist"]),
            "till": (False, ["payment", "invoice"]),
            "ledger": (False, ["history", "quote"]),
        },
    }
    for tenant, expected in services.items():
        directory = SAMPLES / tenant
        shared = [directory / "settings.jsonc", directory / "entry-1.jsonc"]
        options = load_settings(shared)
        assert options.routers == 9
        loaded = {n: (s.partitioned, s.classes) for n, s in options.services.items()}
        assert loaded == expected, loaded
        assert all(
            (s.slots, s.connections) == (4, 100) for s in options.services.values()
        )
        text = (directory / "rules.txt").read_text()
        result = parse_rules(text, f"{tenant}/rules.txt", options)
        assert is_successful(result), result.failure()
        assert result.unwrap().rules
        embedded = load_settings([*shared, directory / "embedded.jsonc"])
        assert embedded.platform.instances
        flags = [word for path in shared for word in ("--settings", str(path))]
        assert CliRunner().invoke(router_main, ["check", *flags]).exit_code == 0
        incomplete = CliRunner().invoke(router_main, ["check", *flags[:2]])
        assert incomplete.exit_code == 2
        assert "instance: missing setting" in incomplete.output
