"""Address and credential of the administration API, and exit codes."""

from enum import IntEnum
from pathlib import Path

import json5
import msgspec


class ExitCode(IntEnum):
    """Exit status of ``mulberryctl``."""

    SUCCESS = 0
    FINDINGS = 1
    """The rule file has errors; nothing was changed."""
    USAGE = 2
    """Wrong arguments, settings or credential."""
    CONFLICT = 3
    """Another operator's version was committed first; nothing was changed."""
    UNREACHABLE = 4
    """No router or store responded, or the outcome of a submission is unknown."""
    NOT_IN_FORCE = 5
    """Committed, but not confirmed by every live router before the timeout."""


class Access(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the settings file of ``mulberryctl``."""

    address: str = ""
    """Base URL of a router's administration API."""
    credential: str = ""


class AccessError(Exception):
    """The address or the credential is missing or invalid."""


def resolve_access(
    address: str | None, credential: str | None, config: Path | None
) -> Access:
    """Return the address and credential; arguments take precedence over the file.

    Raises:
        AccessError: one of them is missing or invalid; the message never contains the
            credential.
    """
    access = _read_config(config) if config is not None else Access()
    access = Access(address or access.address, credential or access.credential)
    if not access.address.startswith(("http://", "https://")):
        raise AccessError("address: expected a URL such as http://10.0.0.1:8090")
    if not access.credential:
        raise AccessError("credential: missing; expected the operator's credential")
    if not (access.credential.isascii() and access.credential.isprintable()):
        raise AccessError("credential: expected printable ASCII characters")
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
