"""HTTP client of a router's administration API."""

import asyncio
from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.httpclient import read_body
from mulberryrelay_kernel.ids import RulesVersion
from mulberryrelay_kernel.messages import (
    AdminError,
    RouterStatus,
    RulesResponse,
    RulesSubmitRequest,
    RulesSubmitResponse,
)

from .access import Access, ExitCode

CALL_TIMEOUT_S = 10.0
"""Timeout of a call.

A submission may take three store calls of 200 ms, and as many again to read it back.
"""

MAX_RESPONSE_BYTES = 67_108_864
"""Maximum length of a response; the longest one is the history of all rules."""

STATUS_PERIOD_S = 0.2
"""Period at which the status is polled while waiting for a version to be in force."""

_EXIT_CODES = {
    400: ExitCode.USAGE,
    401: ExitCode.USAGE,
    404: ExitCode.USAGE,
    405: ExitCode.USAGE,
    409: ExitCode.CONFLICT,
    413: ExitCode.USAGE,
    422: ExitCode.FINDINGS,
}
"""Exit codes for HTTP statuses; for all others it is ``UNREACHABLE``."""

NO_RESPONSE = "no-answer"
"""Error of a call that got no valid response."""
_UNKNOWN_OUTCOME_ERRORS = frozenset({NO_RESPONSE, "unknown", "internal"})
"""Errors after which a submission may have been committed."""

Response = TypeVar("Response")


class ApiFailure(msgspec.Struct, frozen=True):
    """Error of a call, and the exit code for it."""

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
        self, path: str, response_type: type[Response]
    ) -> Result[Response, ApiFailure]:
        """Return the decoded response to a GET request."""
        return await self._call("GET", path, None, response_type)

    async def post(
        self, path: str, body: msgspec.Struct, response_type: type[Response]
    ) -> Result[Response, ApiFailure]:
        """Return the decoded response to a POST request with a JSON body."""
        return await self._call("POST", path, msgspec.json.encode(body), response_type)

    async def submit(
        self, submission: RulesSubmitRequest
    ) -> Result[RulesSubmitResponse, ApiFailure]:
        """Submit a rule file.

        If the outcome is unknown, read the version back to find out whether it was
        committed.
        """
        result = await self.post("/rules", submission, RulesSubmitResponse)
        if not _is_outcome_unknown(result):
            return result
        version = RulesVersion(submission.base + 1)
        read_back = await self.get(f"/rules?version={version}", RulesResponse)
        if is_successful(read_back) and read_back.unwrap().text == submission.text:
            return await self._find_submission(version, result)
        detail = f"version {version} may have been committed; check the history"
        return Failure(_unreachable("unknown", detail))

    async def wait_until_in_force(
        self, version: RulesVersion, timeout_s: float
    ) -> RouterStatus | None:
        """Return the status once every live router has confirmed ``version``.

        Returns None after the timeout. A call that fails is retried.
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

    async def _find_submission(
        self, version: RulesVersion, unresolved: Result[RulesSubmitResponse, ApiFailure]
    ) -> Result[RulesSubmitResponse, ApiFailure]:
        """Return the version with its submitter from the history.

        Returns ``unresolved`` if the history does not list the version.
        """
        rows = await self.get("/rules/history?limit=1000", list[Any])
        for row in rows.value_or([]):
            if row.get("version") == version:
                return Success(RulesSubmitResponse(version, row["submitter"]))
        return unresolved

    async def _call(
        self, method: str, path: str, body: bytes | None, response_type: Any
    ) -> Result[Any, ApiFailure]:
        try:
            async with self._session.request(
                method, self._url + path, data=body
            ) as response:
                status = response.status
                content = await read_body(response, MAX_RESPONSE_BYTES)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return Failure(_unreachable("unreachable", f"{self._url}: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = f"{self._url}: {type(error).__name__}"
            return Failure(_unreachable(NO_RESPONSE, detail))
        try:
            if status == 200:
                return Success(decode_json(content, response_type))
            error_body = decode_json(content, AdminError)
        except msgspec.DecodeError as error:
            detail = f"{self._url}: status {status}: {error}"
            return Failure(_unreachable(NO_RESPONSE, detail))
        code = _EXIT_CODES.get(status, ExitCode.UNREACHABLE)
        return Failure(ApiFailure(code, error_body))


def _is_in_force(status: RouterStatus, version: RulesVersion) -> bool:
    in_force = status.rules.in_force
    return in_force is not None and in_force >= version


def _is_outcome_unknown(result: Result[RulesSubmitResponse, ApiFailure]) -> bool:
    return (
        not is_successful(result)
        and result.failure().body.error in _UNKNOWN_OUTCOME_ERRORS
    )


def _unreachable(error: str, detail: str) -> ApiFailure:
    return ApiFailure(ExitCode.UNREACHABLE, AdminError(error, detail))
