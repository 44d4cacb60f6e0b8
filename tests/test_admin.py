"""Administration API and the rules that a router applies."""

import asyncio
import io
from datetime import UTC, datetime, timedelta
from typing import Any

import aiohttp
from reactivex.subject import Subject

from mulberryrelay_kernel import logs
from mulberryrelay_kernel.ids import InstanceId, RulesVersion
from mulberryrelay_kernel.messages import RouterRules as RouterRulesStatus
from mulberryrelay_kernel.messages import RulesDocument
from mulberryrelay_router.admin import (
    ADMIN_BODY_BYTES,
    in_force,
)
from mulberryrelay_router.rules import RouterRules

from .fixtures.admin import open_admin
from .fixtures.rules import LIMIT_200, LIMIT_300, rule_options

AMA = {"Authorization": "Bearer credential-of-ama"}
NOON = datetime(2026, 12, 24, 12, tzinfo=UTC)
GUARDED = ["/status", "/metrics", "/rules", "/rules/history", "/assignments"]


def document(version: int, text: str) -> RulesDocument:
    return RulesDocument(RulesVersion(version), text)


async def call(
    session: aiohttp.ClientSession, method: str, path: str, **options: Any
) -> tuple[int, Any]:
    async with session.request(method, path, **options) as response:
        return response.status, await response.json()


def test_version_never_goes_back() -> None:
    """Guards against a late or repeated older version that replaces a newer one."""
    documents: Subject[RulesDocument] = Subject()
    rules = RouterRules(rule_options(), documents)
    for version, text, expected in [
        (2, LIMIT_300, 2),
        (1, LIMIT_200, 2),
        (2, LIMIT_200, 2),
        (3, "drain everything", 2),
    ]:
        documents.on_next(document(version, text))
        assert rules.version == expected, version
        assert rules.active().limits == {"bookpay": {"booking": 300}}, version
    assert rules.rejected == 3
    documents.on_next(document(4, ""))
    assert rules.version == 4
    assert rules.rejected is None
    assert not rules.active().limits


def test_booked_time_is_emitted_and_survives_a_clock_step() -> None:
    """Guards against booked rules that never start or that end by a clock step."""
    now = [NOON - timedelta(seconds=1)]
    rules = RouterRules(rule_options(), Subject(), lambda: now[0])
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


def test_credentials_are_needed_and_never_logged() -> None:
    """Guards against changes by strangers and against credentials in the log."""
    wrong = [
        {},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "Bearer "},
        {"Authorization": "Bearer credential-of-am"},
        {"Authorization": "Basic credential-of-ama"},
    ]

    async def run() -> None:
        async with open_admin() as (session, platform):
            for path in ("/health", "/ready"):
                status, _ = await call(session, "GET", path)
                assert status != 401, path
            for headers in wrong:
                for path in GUARDED:
                    status, body = await call(session, "GET", path, headers=headers)
                    assert status == 401, (path, headers)
                    assert body["error"].endswith("credential")
                submission = {"base": 0, "text": LIMIT_200}
                for path in ("/rules", "/rules/check", "/rules/plan"):
                    status, _ = await call(
                        session, "POST", path, headers=headers, json=submission
                    )
                    assert status == 401, (path, headers)
            assert (await platform.scan("")).unwrap() == []
            for path in [*GUARDED, "/members"]:
                status, _ = await call(session, "GET", path, headers=AMA)
                assert status == 200, path

    lines = io.StringIO()
    logs.write_lines_to(lines)
    asyncio.run(run())
    assert "event=admin_refused" in lines.getvalue()
    assert "credential-of" not in lines.getvalue()


def test_malformed_bodies_get_clear_errors() -> None:
    """Guards against a malformed request that is accepted or breaks the listener."""
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

    async def run() -> None:
        async with open_admin() as (session, platform):
            for path, body, status, error in cases:
                found = await call(session, "POST", path, headers=AMA, data=body)
                assert (found[0], found[1]["error"]) == (status, error), (path, body)
            long = b" " * (ADMIN_BODY_BYTES + 1)
            status, _ = await call(session, "POST", "/rules", headers=AMA, data=long)
            assert status == 413
            for query in ("limit=0", "limit=x", "limit=-1", "limit=%D9%A3"):
                path = f"/rules/history?{query}"
                status, _ = await call(session, "GET", path, headers=AMA)
                assert status == 400, query
            assert (await platform.scan("")).unwrap() == []

    asyncio.run(run())


def test_submission_records_the_operator_and_tells_the_loser() -> None:
    """Guards against changes without a name and against a silent loss."""

    async def run() -> None:
        async with open_admin() as (session, platform):
            body = {"base": 0, "text": LIMIT_200}
            status, answer = await call(
                session, "POST", "/rules", headers=AMA, json=body
            )
            assert (status, answer["version"]) == (200, 1)
            kofi = {"Authorization": "Bearer credential-of-kofi"}
            body = {"base": 0, "text": LIMIT_300}
            status, answer = await call(
                session, "POST", "/rules", headers=kofi, json=body
            )
            assert (status, answer["error"]) == (409, "lost")
            assert answer["current"]["submitter"] == "Ama Mensah"
            assert answer["current"]["submitted_s"] > 0
            assert "+" + LIMIT_200.rstrip() in answer["diff"].splitlines()
            _, rows = await call(session, "GET", "/rules/history", headers=AMA)
            assert [row["submitter"] for row in rows] == ["Ama Mensah"]
            _, shown = await call(session, "GET", "/rules?version=1", headers=AMA)
            assert shown == {"version": 1, "text": LIMIT_200}
            _, plan = await call(
                session, "POST", "/rules/plan", headers=AMA, json={"text": LIMIT_300}
            )
            assert plan["base"] == 1
            assert plan["changes"][0]["after"] == "300 per-second"
            platform.refuses = True
            body = {"base": 1, "text": LIMIT_300}
            status, answer = await call(
                session, "POST", "/rules", headers=AMA, json=body
            )
            assert (status, answer["error"]) == (503, "store-unavailable")

    asyncio.run(run())


class Confirmations:
    """Confirmations with stated values."""

    def __init__(self, complete: bool, routers: list[tuple[int, float]]) -> None:
        self._complete = complete
        self._routers = routers

    @property
    def complete(self) -> bool:
        return self._complete

    def routers(self) -> list[RouterRulesStatus]:
        return [
            RouterRulesStatus(InstanceId(str(index)), RulesVersion(version), left_ms)
            for index, (version, left_ms) in enumerate(self._routers)
        ]


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
        assert in_force(Confirmations(complete, routers)) == expected, routers
