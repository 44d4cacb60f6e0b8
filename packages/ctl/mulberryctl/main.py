"""Entry point and subcommands of ``mulberryctl``."""

import asyncio
import functools
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn, TextIO, TypeVar
from urllib.parse import urlencode

import click
import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from mulberryrelay_control.rules import parse_rules
from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.ids import RulesVersion
from mulberryrelay_kernel.messages import (
    AdminError,
    EdgeExplanation,
    EdgeStatus,
    RouterStatus,
    RulesCheckRequest,
    RulesCheckResponse,
    RulesPlan,
    RulesResponse,
    RulesRow,
    RulesSubmitRequest,
    RulesSubmitResponse,
)
from mulberryrelay_kernel.settings import load_settings

from .access import Access, AccessError, ExitCode, resolve_access
from .client import AdminClient, ApiFailure
from .formatting import (
    format_check,
    format_edge_explanation,
    format_edge_status,
    format_error,
    format_history,
    format_plan,
    format_status,
)
from .timeline import find_timeline, format_timeline

DEFAULT_WAIT_S = 10.0
"""Default timeout of ``submit --wait``.

Rules are in force at every live router within 4 s; the rest allows for slow responses.
"""

Response = TypeVar("Response")
Call = Callable[[AdminClient], Awaitable[Result[Response, ApiFailure]]]


class Session(msgspec.Struct, frozen=True):
    """Options that all commands have, with helpers for calls and output."""

    address: str | None
    credential: str | None
    config: Path | None
    as_json: bool

    def print(self, response: Any, text: str) -> None:
        """Print a response as JSON or as text."""
        click.echo(msgspec.json.encode(response) if self.as_json else text)

    def fail(self, code: ExitCode, error: AdminError) -> NoReturn:
        """Print an error and exit with ``code``."""
        if self.as_json:
            click.echo(msgspec.json.encode(error))
        else:
            click.echo(format_error(error), err=True)
        raise SystemExit(int(code))

    def access(self) -> Access:
        """Return the address and credential, or exit if one is missing or invalid."""
        try:
            return resolve_access(self.address, self.credential, self.config)
        except AccessError as error:
            self.fail(ExitCode.USAGE, AdminError("settings", str(error)))

    def call(self, call: Call[Response], access: Access | None = None) -> Response:
        """Return the response to an API call, or exit with its error."""
        access = access or self.access()

        async def run() -> Result[Response, ApiFailure]:
            async with AdminClient(access) as client:
                return await call(client)

        result = asyncio.run(run())
        if not is_successful(result):
            failure = result.failure()
            self.fail(failure.code, failure.body)
        return result.unwrap()


def common_options(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command with the common options, passed to it as a ``Session``."""

    @click.option(
        "--address",
        envvar="MULBERRYCTL_ADDRESS",
        help="Base URL of a router's administration API.",
    )
    @click.option(
        "--credential",
        envvar="MULBERRYCTL_CREDENTIAL",
        help="Credential of the operator; other users may see it in the process list.",
    )
    @click.option(
        "--config",
        envvar="MULBERRYCTL_CONFIG",
        type=click.Path(dir_okay=False, path_type=Path),
        help="Settings file with address and credential.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print the response as JSON.")
    @functools.wraps(command)
    def run_with_session(
        address: str | None,
        credential: str | None,
        config: Path | None,
        as_json: bool,
        **arguments: Any,
    ) -> None:
        command(Session(address, credential, config, as_json), **arguments)

    return run_with_session


rule_file = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.group()
def main() -> None:
    """Check, submit and show the rules of a mulberryrelay deployment.

    Exit status: 0 success, 1 findings, 2 usage or settings, 3 conflict with another
    operator's version, 4 unreachable or outcome unknown, 5 not in force in time.
    """


@main.command()
@rule_file
@click.option(
    "--settings",
    "settings_paths",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Settings file of a router, to check offline; may be repeated.",
)
@common_options
def check(session: Session, file: Path, settings_paths: tuple[Path, ...]) -> None:
    """Check a rule file and report all findings."""
    text = _read_rules(session, file)
    if settings_paths:
        response = _check_offline(session, text, file, settings_paths)
    else:
        body = RulesCheckRequest(text, str(file))
        response = session.call(
            lambda c: c.post("/rules/check", body, RulesCheckResponse)
        )
    session.print(response, format_check(response))
    if response.findings:
        raise SystemExit(int(ExitCode.FINDINGS))


@main.command()
@rule_file
@common_options
def plan(session: Session, file: Path) -> None:
    """Show what a rule file would change compared with the current version."""
    body = RulesCheckRequest(_read_rules(session, file), str(file))
    response = session.call(lambda c: c.post("/rules/plan", body, RulesPlan))
    session.print(response, format_plan(response))


@main.command()
@rule_file
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Version that the file is based on; 0 if there was none.",
)
@click.option(
    "--wait",
    is_flag=True,
    help="Wait until every live router has confirmed the version.",
)
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULT_WAIT_S,
    show_default=True,
    help="Maximum wait in seconds.",
)
@common_options
def submit(
    session: Session, file: Path, base: int, wait: bool, timeout_s: float
) -> None:
    """Submit a rule file as the version after BASE."""
    text = _read_rules(session, file)
    body = RulesSubmitRequest(RulesVersion(base), text, str(file))
    response = session.call(lambda c: c.submit(body))
    if not session.as_json:
        click.echo(_format_submitted(response))
    if wait:
        _wait_until_in_force(session, response.version, timeout_s)
    if session.as_json:
        session.print(response, "")


@main.command()
@common_options
def status(session: Session) -> None:
    """Show the status of a router and the rules version of every router."""
    response = session.call(lambda c: c.get("/status", RouterStatus))
    session.print(response, format_status(response))


@main.command("edge-status")
@common_options
def edge_status(session: Session) -> None:
    """Show the local view of an edge router, at the address of its metrics."""
    if session.address is None:
        message = "--address is missing; expected the address of a router's metrics"
        session.fail(ExitCode.USAGE, AdminError("settings", message))
    access = Access(session.address, "")
    response = session.call(lambda c: c.get("/status", EdgeStatus), access)
    session.print(response, format_edge_status(response))


@main.command("edge-explain")
@click.argument("host")
@click.argument("path")
@click.option("--key", type=click.IntRange(0, 65535), help="Key of the request.")
@common_options
def edge_explain(session: Session, host: str, path: str, key: int | None) -> None:
    """Show where an edge router would send a request for HOST and PATH now, and why.

    Nothing is sent. The address is that of the router's metrics.
    """
    if session.address is None:
        message = "--address is missing; expected the address of a router's metrics"
        session.fail(ExitCode.USAGE, AdminError("settings", message))
    access = Access(session.address, "")
    query = {"host": host, "path": path}
    if key is not None:
        query["key"] = str(key)
    url = f"/explain?{urlencode(query)}"
    response = session.call(lambda c: c.get(url, EdgeExplanation), access)
    session.print(response, format_edge_explanation(response))


@main.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@common_options
def history(session: Session, limit: int) -> None:
    """List submitted versions with submitter and time, newest first."""
    path = f"/rules/history?limit={limit}"
    response = session.call(lambda c: c.get(path, list[RulesRow]))
    session.print(response, format_history(response))


@main.command()
@click.argument("version", type=click.IntRange(min=1), required=False)
@common_options
def show(session: Session, version: int | None) -> None:
    """Print the text of the current version or of VERSION."""
    path = "/rules" if version is None else f"/rules?version={version}"
    response = session.call(lambda c: c.get(path, RulesResponse))
    if session.as_json:
        session.print(response, "")
        return
    click.echo(response.text, nl=False)
    click.echo(f"version {response.version}", err=True)


def _read_rules(session: Session, file: Path) -> str:
    """Return the file's text with its line endings unchanged, or exit."""
    try:
        return file.read_bytes().decode()
    except OSError as error:
        session.fail(ExitCode.USAGE, AdminError("file", str(error)))
    except UnicodeDecodeError as error:
        finding = f"{file}:1:1: not UTF-8 at byte {error.start}"
        body = AdminError("findings", "the rule file has findings", [finding])
        session.fail(ExitCode.FINDINGS, body)


def _check_offline(
    session: Session, text: str, file: Path, settings_paths: tuple[Path, ...]
) -> RulesCheckResponse:
    try:
        options = load_settings(list(settings_paths))
    except FindingsError as error:
        session.fail(ExitCode.USAGE, AdminError("settings", str(error)))
    parsed = parse_rules(text, str(file), options)
    if is_successful(parsed):
        return RulesCheckResponse([])
    return RulesCheckResponse([str(finding) for finding in parsed.failure()])


def _format_submitted(response: RulesSubmitResponse) -> str:
    return f"version {response.version} is committed, submitted by {response.submitter}"


def _wait_until_in_force(
    session: Session, version: RulesVersion, timeout_s: float
) -> None:
    access = session.access()

    async def run() -> RouterStatus | None:
        async with AdminClient(access) as client:
            return await client.wait_until_in_force(version, timeout_s)

    if asyncio.run(run()) is None:
        detail = f"version {version} is committed, but not known to be in force"
        session.fail(ExitCode.NOT_IN_FORCE, AdminError("not-in-force", detail))
    if not session.as_json:
        click.echo(f"version {version} is in force at every live router")


@main.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File("r"))
@common_options
def explain(session: Session, request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Show the log events that explain a request; reads standard input by default."""
    files = logs or (sys.stdin,)
    lines = [line.rstrip("\n") for file in files for line in file]
    timeline = find_timeline(lines, request_id)
    if not timeline:
        message = f"no log line has request_id={request_id}"
        session.fail(ExitCode.USAGE, AdminError("unknown-request", message))
    session.print(timeline, format_timeline(timeline))
