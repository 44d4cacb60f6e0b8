"""Submission of rule files: concurrent submissions, lost replies and history."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.pipeline import is_successful

from mulberryrelay_control.rulestore import CURRENT_ROW, RuleStore, SubmitFailureReason
from mulberryrelay_kernel.ids import OperatorName, RulesVersion
from mulberryrelay_kernel.states import StoreFailure

from .fixtures import async_test
from .fixtures.rules import LIMIT_200, LIMIT_300, FaultyPlatform, rule_options

AMA = OperatorName("Ama Mensah")
KOFI = OperatorName("Kofi Boateng")
ZERO = RulesVersion(0)
ONE = RulesVersion(1)


def open_store() -> tuple[RuleStore, FaultyPlatform]:
    platform = FaultyPlatform()
    return RuleStore(rule_options(), platform, lambda: 1_800_000_000.0), platform


def fail_reads(numbers: list[int]) -> Callable[[int], Awaitable[bool]]:
    async def succeeds(number: int) -> bool:
        return number not in numbers

    return succeeds


@async_test
async def test_one_of_two_concurrent_submissions_is_rejected_with_the_diff() -> None:
    """Guards against a submission that silently replaces another operator's."""
    store, platform = open_store()

    async def yield_to_other_submission() -> None:
        await asyncio.sleep(0)

    platform.on_put = yield_to_other_submission
    results = await asyncio.gather(
        store.submit(ZERO, LIMIT_200, AMA), store.submit(ZERO, LIMIT_300, KOFI)
    )
    winners = [r for r in results if is_successful(r)]
    losers = [r.failure() for r in results if not is_successful(r)]
    assert len(winners) == 1, results
    assert losers[0].reason is SubmitFailureReason.CONFLICT
    current = (await store.current()).unwrap()
    assert current is not None
    assert losers[0].current == current
    document = (await store.load()).unwrap()
    assert document is not None
    assert "+" + document.text.rstrip("\n") in losers[0].diff.splitlines()


@async_test
async def test_submission_that_loses_the_conditional_write_is_rejected() -> None:
    """Guards against a race between reading the base version and writing the row."""
    store, platform = open_store()

    async def submit_another() -> None:
        (await store.submit(ZERO, LIMIT_300, KOFI)).unwrap()

    platform.on_put = submit_another
    result = await store.submit(ZERO, LIMIT_200, AMA)
    failure = result.failure()
    assert failure.reason is SubmitFailureReason.CONFLICT
    assert failure.current is not None
    assert failure.current.submitter == KOFI
    document = (await store.load()).unwrap()
    assert document is not None
    assert document.text == LIMIT_300


@async_test
async def test_submission_whose_reply_was_lost_is_read_back() -> None:
    """Guards against reporting a committed submission as failed.

    Cases: one lost reply; a lost request and then a lost reply; a lost reply and then
    a failed read.
    """
    for lost_requests, failing in ((0, []), (1, []), (0, [2])):
        store, platform = open_store()
        platform.lost_replies = 1
        platform.lost_requests = lost_requests
        platform.on_read = fail_reads(failing)
        result = await store.submit(ZERO, LIMIT_200, AMA)
        assert is_successful(result), (lost_requests, failing, result)
        assert result.unwrap() == ONE
        rows = (await store.history(10)).unwrap()
        assert [row.version for row in rows] == [1]


@async_test
async def test_lost_reply_that_cannot_be_read_back_is_unknown() -> None:
    """Guards against reporting a submission with an unknown outcome as failed."""
    store, platform = open_store()
    platform.lost_requests = 100
    result = await store.submit(ZERO, LIMIT_200, AMA)
    assert result.failure().reason is SubmitFailureReason.UNKNOWN
    platform.lost_requests = 0
    platform.refuses = True
    result = await store.submit(ZERO, LIMIT_200, AMA)
    assert result.failure().reason is SubmitFailureReason.UNAVAILABLE


@async_test
async def test_lost_reply_followed_by_another_version_is_still_accepted() -> None:
    """Guards against reading back only the current row, which may be overwritten."""
    store, platform = open_store()

    async def submit_another(number: int) -> bool:
        if number == 2:
            (await store.submit(ONE, LIMIT_300, KOFI)).unwrap()
        return True

    platform.on_read = submit_another
    platform.lost_replies = 1
    result = await store.submit(ZERO, LIMIT_200, AMA)
    assert is_successful(result), result
    rows = (await store.history(10)).unwrap()
    assert [(r.version, r.submitter) for r in rows] == [(2, KOFI), (1, AMA)]


@async_test
async def test_text_with_findings_is_not_stored() -> None:
    """Guards against a version that no router can apply."""
    store, _ = open_store()
    result = await store.submit(ZERO, "drain everything", AMA)
    failure = result.failure()
    assert failure.reason is SubmitFailureReason.REJECTED
    assert failure.findings
    assert (await store.load()).unwrap() is None


@async_test
async def test_damaged_object_is_not_loaded() -> None:
    """Guards against applying a text that differs from the committed one."""
    store, platform = open_store()
    (await store.submit(ZERO, LIMIT_200, AMA)).unwrap()
    row = (await store.current()).unwrap()
    assert row is not None
    await platform.put_object(row.object_name, LIMIT_300.encode())
    assert (await store.load()).failure() is StoreFailure.UNKNOWN
    assert CURRENT_ROW in (await platform.read([CURRENT_ROW])).unwrap()


@async_test
async def test_base_that_was_never_committed_is_refused() -> None:
    """Guards against gaps in the version numbers."""
    store, _ = open_store()
    result = await store.submit(RulesVersion(5), LIMIT_200, AMA)
    assert result.failure().reason is SubmitFailureReason.CONFLICT
    assert (await store.current()).unwrap() is None
