"""Entry point of the ``mulberryctl`` command."""

import asyncio
import functools
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn, TextIO, TypeVar

import click
import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from mulberryrelay_control.rules import parse_rules
from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.ids import RulesVersion
from mulberryrelay_kernel.messages import (
    AdminError,
    EdgeStatus,
    RouterStatus,
    RulesChecked,
    RulesPlan,
    RulesRow,
    RulesShown,
    RulesSubmission,
    RulesSubmitted,
    RulesText,
)
from mulberryrelay_kernel.settings import load_settings

from .access import Access, AccessError, ExitCode, find_access
from .answers import (
    checked_text,
    edge_status_text,
    error_text,
    history_text,
    plan_text,
    status_text,
)
from .client import AdminClient, ApiFailure
from .story import find_story, story_text

# Rules are in force at every live router within 4 s; the rest covers slow answers.
DEFAULT_WAIT_S = 10.0

Answer = TypeVar("Answer")
Call = Callable[[AdminClient], Awaitable[Result[Answer, ApiFailure]]]


class Session(msgspec.Struct, frozen=True):
    """Common options of a command."""

    address: str | None
    credential: str | None
    config: Path | None
    as_json: bool

    def print(self, answer: Any, text: str) -> None:
        """Print an answer as JSON or as text."""
        click.echo(msgspec.json.encode(answer) if self.as_json else text)

    def fail(self, code: ExitCode, error: AdminError) -> NoReturn:
        """Print an error and exit with ``code``."""
        if self.as_json:
            click.echo(msgspec.json.encode(error))
        else:
            click.echo(error_text(error), err=True)
        raise SystemExit(int(code))

    def access(self) -> Access:
        """Return the address and credential or exit."""
        try:
            return find_access(self.address, self.credential, self.config)
        except AccessError as error:
            self.fail(ExitCode.USAGE, AdminError("settings", str(error)))

    def call(self, call: Call[Answer], access: Access | None = None) -> Answer:
        """Return the answer of the administration API or exit."""
        access = access or self.access()

        async def run() -> Result[Answer, ApiFailure]:
            async with AdminClient(access) as client:
                return await call(client)

        result = asyncio.run(run())
        if not is_successful(result):
            failure = result.failure()
            self.fail(failure.code, failure.body)
        return result.unwrap()


def common_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that every command has and pass them on as a session."""

    @click.option(
        "--address",
        envvar="MULBERRYCTL_ADDRESS",
        help="Base URL of a router's administration API.",
    )
    @click.option(
        "--credential",
        envvar="MULBERRYCTL_CREDENTIAL",
        help="Credential of the operator; other users may see it in a process list.",
    )
    @click.option(
        "--config",
        envvar="MULBERRYCTL_CONFIG",
        type=click.Path(dir_okay=False, path_type=Path),
        help="Settings file with address and credential.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
    @functools.wraps(command)
    def with_session(
        address: str | None,
        credential: str | None,
        config: Path | None,
        as_json: bool,
        **arguments: Any,
    ) -> None:
        command(Session(address, credential, config, as_json), **arguments)

    return with_session


rule_file = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.group()
def main() -> None:
    """Check, submit and show the rules of a mulberryrelay deployment.

    Exit status: 0 done, 1 findings, 2 usage or settings, 3 lost against another
    operator, 4 unreachable or outcome not known, 5 not in force in time.
    """


@main.command()
@rule_file
@click.option(
    "--settings",
    "settings_paths",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Settings of a router, to check without asking one; may be repeated.",
)
@common_options
def check(session: Session, file: Path, settings_paths: tuple[Path, ...]) -> None:
    """Report every finding in a rule file."""
    text = _read_rules(session, file)
    if settings_paths:
        answer = _check_offline(session, text, file, settings_paths)
    else:
        body = RulesText(text, str(file))
        answer = session.call(lambda c: c.post("/rules/check", body, RulesChecked))
    session.print(answer, checked_text(answer))
    if answer.findings:
        raise SystemExit(int(ExitCode.FINDINGS))


@main.command()
@rule_file
@common_options
def plan(session: Session, file: Path) -> None:
    """Show what a rule file would change against the current version."""
    body = RulesText(_read_rules(session, file), str(file))
    answer = session.call(lambda c: c.post("/rules/plan", body, RulesPlan))
    session.print(answer, plan_text(answer))


@main.command()
@rule_file
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Version that the file was edited from; 0 if there was none.",
)
@click.option("--wait", is_flag=True, help="Wait until every live router confirms.")
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULT_WAIT_S,
    show_default=True,
    help="Longest wait in seconds.",
)
@common_options
def submit(
    session: Session, file: Path, base: int, wait: bool, timeout_s: float
) -> None:
    """Submit a rule file as the version after BASE."""
    text = _read_rules(session, file)
    body = RulesSubmission(RulesVersion(base), text, str(file))
    answer = session.call(lambda c: c.submit(body))
    if not session.as_json:
        click.echo(_submitted_text(answer))
    if wait:
        _wait(session, answer.version, timeout_s)
    if session.as_json:
        session.print(answer, "")


@main.command()
@common_options
def status(session: Session) -> None:
    """Show a router and which routers have confirmed which version."""
    answer = session.call(lambda c: c.get("/status", RouterStatus))
    session.print(answer, status_text(answer))


@main.command("edge-status")
@common_options
def edge_status(session: Session) -> None:
    """Show what an edge router believes; the address is that of its metrics."""
    if session.address is None:
        message = "give the address of a router's metrics with --address"
        session.fail(ExitCode.USAGE, AdminError("settings", message))
    access = Access(session.address, "")
    answer = session.call(lambda c: c.get("/status", EdgeStatus), access)
    session.print(answer, edge_status_text(answer))


@main.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@common_options
def history(session: Session, limit: int) -> None:
    """Show who submitted which version and when, the newest first."""
    path = f"/rules/history?limit={limit}"
    answer = session.call(lambda c: c.get(path, list[RulesRow]))
    session.print(answer, history_text(answer))


@main.command()
@click.argument("version", type=click.IntRange(min=1), required=False)
@common_options
def show(session: Session, version: int | None) -> None:
    """Print the text of the current version or of VERSION."""
    path = "/rules" if version is None else f"/rules?version={version}"
    answer = session.call(lambda c: c.get(path, RulesShown))
    if session.as_json:
        session.print(answer, "")
        return
    click.echo(answer.text, nl=False)
    click.echo(f"version {answer.version}", err=True)


def _read_rules(session: Session, file: Path) -> str:
    """Return the file's text with its line ends unchanged, or exit."""
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
) -> RulesChecked:
    try:
        options = load_settings(list(settings_paths))
    except FindingsError as error:
        session.fail(ExitCode.USAGE, AdminError("settings", str(error)))
    parsed = parse_rules(text, str(file), options)
    if is_successful(parsed):
        return RulesChecked([])
    return RulesChecked([str(finding) for finding in parsed.failure()])


def _submitted_text(answer: RulesSubmitted) -> str:
    return f"version {answer.version} is committed, submitted by {answer.submitter}"


def _wait(session: Session, version: RulesVersion, timeout_s: float) -> None:
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
    """Tell from log lines what became of a request; reads standard input by default."""
    files = logs or (sys.stdin,)
    lines = [line.rstrip("\n") for file in files for line in file]
    story = find_story(lines, request_id)
    if not story:
        message = f"no line has request_id={request_id}"
        session.fail(ExitCode.USAGE, AdminError("unknown-request", message))
    session.print(story, story_text(story))
