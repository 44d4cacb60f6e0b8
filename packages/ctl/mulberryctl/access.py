"""Where ``mulberryctl`` finds the administration API, and exit codes."""

from enum import IntEnum
from pathlib import Path

import json5
import msgspec


class ExitCode(IntEnum):
    """Exit status of ``mulberryctl``."""

    DONE = 0
    FINDINGS = 1
    """The rule file has findings; nothing was changed."""
    USAGE = 2
    """Wrong arguments, settings or credential."""
    LOST = 3
    """Another operator's version came first; nothing was changed."""
    UNREACHABLE = 4
    """No router or store answered, or the outcome of a submission is not known."""
    NOT_IN_FORCE = 5
    """Committed, but not confirmed by every live router in time."""


class Access(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the settings file of ``mulberryctl``."""

    address: str = ""
    """Base URL of a router's administration API."""
    credential: str = ""


class AccessError(Exception):
    """The address or the credential is missing or wrong."""


def find_access(
    address: str | None, credential: str | None, config: Path | None
) -> Access:
    """Return the address and credential; arguments take precedence over the file.

    Raises:
        AccessError: with the reason, which never contains the credential.
    """
    access = _read_config(config) if config is not None else Access()
    access = Access(address or access.address, credential or access.credential)
    if not access.address.startswith(("http://", "https://")):
        raise AccessError("address: a URL such as http://10.0.0.1:8090 is needed")
    if not access.credential:
        raise AccessError("credential: the operator's credential is needed")
    if not (access.credential.isascii() and access.credential.isprintable()):
        raise AccessError("credential: must be visible ASCII characters")
    return access


def _read_config(path: Path) -> Access:
    try:
        document = json5.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise AccessError(f"{path}: {error}") from None
    try:
        return msgspec.convert(document, Access)
    except msgspec.ValidationError as error:
        raise AccessError(f"{path}: {error}") from None
