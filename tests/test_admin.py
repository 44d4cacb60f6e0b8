"""Administration API and the rules that a router applies."""

import asyncio
import io
import json
from datetime import UTC, datetime, timedelta
from typing import Any

import aiohttp

from mulberryrelay_kernel import logs
from mulberryrelay_kernel.ids import InstanceId, RulesVersion
from mulberryrelay_kernel.messages import RouterRulesStatus, RulesDocument
from mulberryrelay_router.admin import (
    ADMIN_BODY_BYTES,
    in_force,
)
from mulberryrelay_router.routerrules import RouterRules

from .fixtures import async_test
from .fixtures.admin import open_admin
from .fixtures.rules import LIMIT_200, LIMIT_300, rule_options

AMA_HEADERS = {"Authorization": "Bearer credential-of-ama"}
NOON = datetime(2026, 12, 24, 12, tzinfo=UTC)
PROTECTED_PATHS = (
    "/status",
    "/metrics",
    "/rules",
    "/rules/history",
    "/assignments",
    "/members",
)


def document(version: int, text: str) -> RulesDocument:
    return RulesDocument(RulesVersion(version), text)


async def call(
    session: aiohttp.ClientSession,
    path: str,
    body: bytes | dict[str, Any] | None = None,
    headers: dict[str, str] = AMA_HEADERS,
) -> tuple[int, Any]:
    """Get a path, or post a body to it; return the status and the JSON response."""
    method = "GET" if body is None else "POST"
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    async with session.request(method, path, headers=headers, data=data) as response:
        return response.status, await response.json()


def test_version_never_goes_back() -> None:
    """Guards against a delayed or repeated older version replacing a newer one."""
    rules = RouterRules(rule_options())
    for version, text, expected in [
        (2, LIMIT_300, 2),
        (1, LIMIT_200, 2),
        (2, LIMIT_200, 2),
        (3, "drain everything", 2),
    ]:
        rules.apply(document(version, text))
        assert rules.version == expected, version
        assert rules.active().limits == {"bookpay": {"booking": 300}}, version
    assert rules.rejected == 3
    rules.apply(document(4, ""))
    assert rules.version == 4
    assert rules.rejected is None
    assert not rules.active().limits


def test_start_time_is_emitted_and_survives_a_clock_step() -> None:
    """Guards against a rule that does not start at its start time, or that ends when
    the clock is set back."""
    now = [NOON - timedelta(seconds=1)]
    rules = RouterRules(rule_options(), lambda: now[0])
    seen: list[frozenset[str]] = []
    rules.changes.subscribe(lambda active: seen.append(active.drained))
    text = "drain server s1 from 2026-12-24T12:00:00Z # requested by Ama Mensah"

    async def run() -> None:
        rules.apply(document(1, text))
        task = asyncio.create_task(rules.run())
        for step in (NOON, NOON - timedelta(days=1)):
            now[0] = step
            await asyncio.sleep(0.6)
        task.cancel()

    asyncio.run(run())
    assert seen == [{"s1"}], seen
    assert rules.active().drained == {"s1"}


@async_test
async def test_credentials_are_needed_and_never_logged() -> None:
    """Guards against requests without a valid credential and credentials in logs."""
    wrong = [
        {},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "Bearer "},
        {"Authorization": "Bearer credential-of-am"},
        {"Authorization": "Basic credential-of-ama"},
    ]
    body = {"base": 0, "text": LIMIT_200}
    posts = [(path, body) for path in ("/rules", "/rules/check", "/rules/plan")]
    protected = [*((path, None) for path in PROTECTED_PATHS), *posts]
    lines = io.StringIO()
    logs.write_lines_to(lines)
    async with open_admin() as (session, platform):
        for path in ("/health", "/ready"):
            assert (await call(session, path, headers={}))[0] != 401, path
        for headers in wrong:
            for path, sent in protected:
                status, response = await call(session, path, sent, headers)
                assert status == 401, (path, headers)
                assert response["error"].endswith("credential")
        assert (await platform.scan("")).unwrap() == []
        for path in PROTECTED_PATHS:
            assert (await call(session, path))[0] == 200, path
    assert "event=admin_refused" in lines.getvalue()
    assert "credential-of" not in lines.getvalue()


@async_test
async def test_malformed_bodies_get_clear_errors() -> None:
    """Guards against malformed requests that are accepted or stop the listener."""
    cases: list[tuple[str, bytes, int, str]] = [
        ("/rules", b"", 400, "malformed-body"),
        ("/rules", b"\xff\xfe", 400, "malformed-body"),
        ("/rules", b"[" * 100_000, 400, "malformed-body"),
        ("/rules", b'{"base": 0, "text": "\xff"}', 400, "malformed-body"),
        ("/rules", b'{"text": "x"}', 400, "malformed-body"),
        ("/rules", b'{"base": "0", "text": "x"}', 400, "malformed-body"),
        ("/rules", b'{"base": 0, "text": "x", "tex": 1}', 400, "malformed-body"),
        ("/rules", b'{"base": 0, "text": "x"}', 422, "findings"),
        ("/rules/plan", b'{"text": "x"}', 422, "findings"),
        ("/rules/check", b'{"text": 3}', 400, "malformed-body"),
        ("/status", b"{}", 405, "method-not-allowed"),
        ("/nothing", b"{}", 404, "not-found"),
    ]
    async with open_admin() as (session, platform):
        for path, body, status, error in cases:
            response = await call(session, path, body)
            assert (response[0], response[1]["error"]) == (status, error), (path, body)
        long = b" " * (ADMIN_BODY_BYTES + 1)
        assert (await call(session, "/rules", long))[0] == 413
        for query in ("limit=0", "limit=x", "limit=-1", "limit=%D9%A3"):
            assert (await call(session, f"/rules/history?{query}"))[0] == 400, query
        assert (await platform.scan("")).unwrap() == []


@async_test
async def test_submission_stores_the_operator_and_reports_conflicts() -> None:
    """Guards against changes without an operator's name, and unreported conflicts.

    Of two submissions based on the same version, the second must be rejected with the
    diff between both.
    """
    kofi_headers = {"Authorization": "Bearer credential-of-kofi"}
    async with open_admin() as (session, platform):
        status, response = await call(session, "/rules", {"base": 0, "text": LIMIT_200})
        assert (status, response["version"]) == (200, 1)
        body = {"base": 0, "text": LIMIT_300}
        status, response = await call(session, "/rules", body, kofi_headers)
        assert (status, response["error"]) == (409, "lost")
        assert response["current"]["submitter"] == "Ama Mensah"
        assert response["current"]["submitted_s"] > 0
        assert "+" + LIMIT_200.rstrip() in response["diff"].splitlines()
        _, rows = await call(session, "/rules/history")
        assert [row["submitter"] for row in rows] == ["Ama Mensah"]
        _, shown = await call(session, "/rules?version=1")
        assert shown == {"version": 1, "text": LIMIT_200}
        _, plan = await call(session, "/rules/plan", {"text": LIMIT_300})
        assert plan["base"] == 1
        assert plan["changes"][0]["after"] == "300 per-second"
        platform.refuses = True
        status, response = await call(session, "/rules", {"base": 1, "text": LIMIT_300})
        assert (status, response["error"]) == (503, "store-unavailable")


def test_in_force_needs_every_live_router() -> None:
    """Guards against reporting a version that a live router has not confirmed."""
    cases = [
        (True, [(3, 10.0), (2, 10.0)], 2),
        (True, [(3, 10.0), (2, -1.0)], 3),
        (True, [(3, 10.0), (2, 0.0)], 3),
        (True, [(3, -1.0)], None),
        (False, [(3, 10.0)], None),
    ]
    for complete, routers, expected in cases:
        states = [
            RouterRulesStatus(InstanceId("entry"), RulesVersion(version), left_ms)
            for version, left_ms in routers
        ]
        assert in_force(complete, states) == expected, routers
