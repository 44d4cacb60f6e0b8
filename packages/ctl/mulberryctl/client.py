"""Client of the administration API."""

import asyncio
from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.ids import RulesVersion
from mulberryrelay_kernel.messages import (
    AdminError,
    RouterStatus,
    RulesShown,
    RulesSubmission,
    RulesSubmitted,
)

from .access import Access, ExitCode

# A submission may take three store calls of 200 ms and as many to read back.
CALL_TIMEOUT_S = 10.0

STATUS_PERIOD_S = 0.2

_EXIT_CODES = {
    400: ExitCode.USAGE,
    401: ExitCode.USAGE,
    404: ExitCode.USAGE,
    405: ExitCode.USAGE,
    409: ExitCode.LOST,
    413: ExitCode.USAGE,
    422: ExitCode.FINDINGS,
}

NO_ANSWER = "no-answer"
_OPEN_ERRORS = frozenset({NO_ANSWER, "unknown", "internal"})

Answer = TypeVar("Answer")


class ApiFailure(msgspec.Struct, frozen=True):
    """Why a call gave no answer."""

    code: ExitCode
    body: AdminError


class AdminClient:
    """Calls the administration API of one router."""

    def __init__(self, access: Access) -> None:
        self._url = access.address.rstrip("/")
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            headers={"Authorization": f"Bearer {access.credential}"},
        )

    async def __aenter__(self) -> "AdminClient":
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()

    async def get(
        self, path: str, answer_type: type[Answer]
    ) -> Result[Answer, ApiFailure]:
        """Return the decoded answer to a GET request."""
        return await self._call("GET", path, None, answer_type)

    async def post(
        self, path: str, body: msgspec.Struct, answer_type: type[Answer]
    ) -> Result[Answer, ApiFailure]:
        """Return the decoded answer to a POST request with a JSON body."""
        return await self._call("POST", path, msgspec.json.encode(body), answer_type)

    async def submit(
        self, submission: RulesSubmission
    ) -> Result[RulesSubmitted, ApiFailure]:
        """Submit a rule file; resolves a lost answer by reading the version back."""
        result = await self.post("/rules", submission, RulesSubmitted)
        if not _may_be_committed(result):
            return result
        version = RulesVersion(submission.base + 1)
        shown = await self.get(f"/rules?version={version}", RulesShown)
        if is_successful(shown) and shown.unwrap().text == submission.text:
            return await self._submitted(version, result)
        detail = f"version {version} may have been committed; see the history"
        return Failure(_unreachable("unknown", detail))

    async def wait_until_in_force(
        self, version: RulesVersion, timeout_s: float
    ) -> RouterStatus | None:
        """Return the status once every live router has confirmed ``version``.

        Returns None after the timeout. A router that does not answer is asked again.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    result = await self.get("/status", RouterStatus)
                    if is_successful(result) and _is_in_force(result.unwrap(), version):
                        return result.unwrap()
                    await asyncio.sleep(STATUS_PERIOD_S)
        except TimeoutError:
            return None

    async def _submitted(
        self, version: RulesVersion, unresolved: Result[RulesSubmitted, ApiFailure]
    ) -> Result[RulesSubmitted, ApiFailure]:
        rows = await self.get("/rules/history?limit=1000", list[Any])
        for row in rows.value_or([]):
            if row.get("version") == version:
                return Success(RulesSubmitted(version, row["submitter"]))
        return unresolved

    async def _call(
        self, method: str, path: str, body: bytes | None, answer_type: Any
    ) -> Result[Any, ApiFailure]:
        try:
            async with self._session.request(
                method, self._url + path, data=body
            ) as response:
                status, content = response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return Failure(_unreachable("unreachable", f"{self._url}: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = f"{self._url}: {type(error).__name__}"
            return Failure(_unreachable(NO_ANSWER, detail))
        try:
            if status == 200:
                return Success(msgspec.json.decode(content, type=answer_type))
            failure = msgspec.json.decode(content, type=AdminError)
        except msgspec.DecodeError as error:
            detail = f"{self._url}: status {status}: {error}"
            return Failure(_unreachable(NO_ANSWER, detail))
        code = _EXIT_CODES.get(status, ExitCode.UNREACHABLE)
        return Failure(ApiFailure(code, failure))


def _is_in_force(status: RouterStatus, version: RulesVersion) -> bool:
    in_force = status.rules.in_force
    return in_force is not None and in_force >= version


def _may_be_committed(result: Result[RulesSubmitted, ApiFailure]) -> bool:
    return not is_successful(result) and result.failure().body.error in _OPEN_ERRORS


def _unreachable(error: str, detail: str) -> ApiFailure:
    return ApiFailure(ExitCode.UNREACHABLE, AdminError(error, detail))
