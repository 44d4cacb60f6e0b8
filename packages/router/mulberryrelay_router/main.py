"""Command line of the router: ``mulberryrelay run`` and ``mulberryrelay check``."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import click

from mulberryrelay_kernel.allocator import return_long_buffers
from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.logs import log_library_records, write_lines_to
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.settings import load_settings

# Settings for ``--embedded``. Other processes cannot reach a platform in this process,
# so there is only one router.
EMBEDDED_SETTINGS = {"platform": {"plugin": "memory"}, "routers": 1}


@click.group()
def main() -> None:
    """Route requests to the servers that own their keys."""


settings_option = click.option(
    "--settings",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(exists=True, path_type=Path),
    help="Settings file; a later file overrides an earlier one.",
)


@main.command()
@settings_option
@click.option(
    "--embedded",
    is_flag=True,
    help="Keep the platform in this process; its data is lost when the process ends.",
)
def run(paths: tuple[Path, ...], embedded: bool) -> None:
    """Run one router until SIGTERM."""
    options = _load_or_exit(paths, EMBEDDED_SETTINGS if embedded else {})
    # Disables io_uring; libuv reads the variable when it creates an event loop.
    os.environ["UV_USE_IO_URING"] = "0"
    # Keeps gRPC from mixing its own lines into the log, such as one for each closed
    # connection.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    import uvloop

    from .instance import run_instance

    write_lines_to(sys.stdout)
    log_library_records()
    return_long_buffers()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_instance(options))


@main.command()
@settings_option
def check(paths: tuple[Path, ...]) -> None:
    """Check settings and report every finding."""
    options = _load_or_exit(paths, {})
    click.echo(f"settings of {options.instance.name} are valid")


def _load_or_exit(paths: tuple[Path, ...], overrides: dict[str, Any]) -> Options:
    try:
        return load_settings(list(paths), overrides)
    except FindingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
