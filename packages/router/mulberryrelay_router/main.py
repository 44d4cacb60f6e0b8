"""Entry point of the ``mulberryrelay`` command."""

import asyncio
import os
import sys
from pathlib import Path

import click

from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.logs import write_lines_to
from mulberryrelay_kernel.settings import load_settings


@click.group()
def main() -> None:
    """Route requests to the servers that own their keys."""


@main.command()
@click.option(
    "--settings",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(exists=True, path_type=Path),
    help="Settings file; a later file overrides an earlier one.",
)
def run(paths: tuple[Path, ...]) -> None:
    """Run one router until SIGTERM."""
    try:
        options = load_settings(list(paths))
    except FindingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    # libuv reads this when a loop is created; io_uring must not be used.
    os.environ["UV_USE_IO_URING"] = "0"
    # gRPC would write lines of its own format, such as one for each closed connection.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    import uvloop

    from .instance import run_instance

    write_lines_to(sys.stdout)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_instance(options))
