"""Reads and checks settings files, which are JSON5.

Later files override earlier ones key by key, so that a deployment can share one file
and each process can add its own addresses. All findings are reported together.
"""

from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import json5
import msgspec

from .errors import Finding, FindingsError
from .options import LimitOptions, Options, TimingOptions

# Place that is reported in findings about the whole settings document.
ROOT_PLACE = "settings"
# A claim must be kept at least this many times the longest deadline, so that it far
# outlasts its request and the recording of the outcome.
MIN_RETENTION_DEADLINES = 5


def load_settings(
    paths: list[Path], overrides: dict[str, Any] | None = None
) -> Options:
    """Return the checked options of one or more settings files.

    ``overrides`` is a settings document that takes precedence over the files.

    Raises:
        FindingsError: the settings are invalid; carries every problem found.
    """
    merged: dict[str, Any] = {}
    findings: list[Finding] = []
    for path in paths:
        try:
            document = json5.loads(path.read_text())
        except (OSError, ValueError) as error:
            findings.append(Finding(str(path), "1", str(error)))
            continue
        if not isinstance(document, dict):
            findings.append(
                Finding(
                    str(path),
                    "1",
                    f"expected an object, found {type(document).__name__}",
                )
            )
            continue
        merged = _merge(merged, document)
    if findings:
        raise FindingsError(findings)
    merged = _merge(merged, overrides or {})
    return check_settings(merged, ", ".join(str(path) for path in paths))


def check_settings(document: dict[str, Any], file: str) -> Options:
    """Return the options of a settings document.

    Raises:
        FindingsError: carries every unknown, missing, ill-typed or conflicting setting.
    """
    findings: list[Finding] = []
    _check_value(document, Options, "", file, findings)
    if findings:
        raise FindingsError(findings)
    options = msgspec.convert(document, Options)
    findings = find_invalid_values(options, file)
    if findings:
        raise FindingsError(findings)
    return options


def find_invalid_values(options: Options, file: str) -> list[Finding]:
    """Return findings about values out of range and settings that conflict."""
    findings: list[Finding] = []

    def report(place: str, message: str) -> None:
        findings.append(Finding(file, place, message))

    if options.instance.data_centre not in options.data_centres:
        report(
            "instance.data_centre",
            f"{options.instance.data_centre!r} is not one of data_centres",
        )
    if len(set(options.data_centres)) != len(options.data_centres):
        report("data_centres", "a data centre is listed twice")
    if options.platform.plugin == "http" and not options.platform.url:
        report("platform.url", "is required by the plug-in http")
    if options.platform.plugin != "memory" and options.platform.instances:
        report("platform.instances", "is only allowed with the plug-in memory")
    if options.routers < 1:
        report("routers", f"must be at least 1, is {options.routers}")
    if not options.services:
        report("services", "must contain at least one service")
    for name, service in options.services.items():
        place = f"services.{name}"
        if not service.classes:
            report(f"{place}.classes", "must contain at least one class")
        if len(set(service.classes)) != len(service.classes):
            report(f"{place}.classes", "a class is listed twice")
        for setting in ("ranges", "slots", "connections", "default_deadline_ms"):
            if getattr(service, setting) < 1:
                report(
                    f"{place}.{setting}",
                    f"must be at least 1, is {getattr(service, setting)}",
                )
        if not 0 <= service.churn_weight <= 1:
            report(
                f"{place}.churn_weight",
                f"must be from 0 to 1, is {service.churn_weight}",
            )
    _check_timing(options.timing, report)
    _check_limits(options.limits, report)
    _check_claims(options, report)
    for index, peer in enumerate(options.peers):
        if split_host_port(peer) is None:
            report(f"peers[{index}]", f"must be host:port, is {peer!r}")
    names = [operator.name for operator in options.operators]
    credentials = [operator.credential for operator in options.operators]
    for index, operator in enumerate(options.operators):
        if names.index(operator.name) != index:
            report(
                f"operators[{index}].name",
                f"operator {operator.name!r} is listed twice",
            )
        place = f"operators[{index}].credential"
        if not _is_credential(operator.credential):
            report(place, "must be visible ASCII characters without spaces")
        if credentials.index(operator.credential) != index:
            report(place, "is already the credential of another operator")
    return findings


def split_host_port(text: str) -> tuple[str, int] | None:
    """Return host and port of ``host:port``, or None if the text is malformed."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not host or not is_number or not 1 <= int(port) <= 65535:
        return None
    return host, int(port)


def _is_credential(credential: str) -> bool:
    """Return whether the credential can be sent unchanged in a header field."""
    return bool(credential) and all("!" <= character <= "~" for character in credential)


def _check_claims(options: Options, report: Any) -> None:
    limits = options.limits
    if limits.claim_writes_per_second < options.routers:
        report(
            "limits.claim_writes_per_second",
            f"must be at least the number of routers, {options.routers}",
        )
    if limits.claim_retention_s * 1000 < limits.deadline_ms * MIN_RETENTION_DEADLINES:
        message = f"must be at least {MIN_RETENTION_DEADLINES} times deadline_ms"
        report("limits.claim_retention_s", message)


def _check_timing(timing: TimingOptions, report: Any) -> None:
    for field in msgspec.structs.fields(TimingOptions):
        if getattr(timing, field.name) < 1:
            report(
                f"timing.{field.name}",
                f"must be at least 1 ms, is {getattr(timing, field.name)}",
            )
    if timing.renew_ms * 2 > timing.lease_ms:
        report(
            "timing.renew_ms", f"must be at most half of lease_ms, {timing.lease_ms}"
        )
    if timing.heartbeat_ms * 2 > timing.bridge_ms + timing.lease_ms:
        report("timing.heartbeat_ms", "must be at most half of lease_ms + bridge_ms")
    if timing.margin_ms >= timing.lease_ms:
        report("timing.margin_ms", f"must be less than lease_ms, {timing.lease_ms}")
    if timing.promise_ms < timing.lease_ms:
        report("timing.promise_ms", f"must be at least lease_ms, {timing.lease_ms}")


def _check_limits(limits: LimitOptions, report: Any) -> None:
    for field in msgspec.structs.fields(LimitOptions):
        place = f"limits.{field.name}"
        value = getattr(limits, field.name)
        if field.type is not float:
            if value < 1:
                report(place, f"must be at least 1, is {value}")
            continue
        if not 0 <= value <= 1:
            report(place, f"must be from 0 to 1, is {value}")


def _merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return ``base`` with the values of ``overrides``, merged recursively."""
    merged = dict(base)
    for name, value in overrides.items():
        base_value = merged.get(name)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[name] = _merge(base_value, value)
            continue
        merged[name] = value
    return merged


def _check_value(
    value: Any, expected: Any, place: str, file: str, findings: list[Finding]
) -> None:
    """Check ``value`` against the type ``expected`` and append every finding."""
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        _check_struct(value, expected, place, file, findings)
        return
    origin = get_origin(expected)
    if origin is dict and isinstance(value, dict):
        for name, item in value.items():
            _check_value(item, get_args(expected)[1], f"{place}.{name}", file, findings)
        return
    if origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            _check_value(
                item, get_args(expected)[0], f"{place}[{index}]", file, findings
            )
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        findings.append(Finding(file, place or ROOT_PLACE, str(error)))


def _check_struct(
    value: Any,
    expected: type[msgspec.Struct],
    place: str,
    file: str,
    findings: list[Finding],
) -> None:
    if not isinstance(value, dict):
        findings.append(
            Finding(
                file,
                place or ROOT_PLACE,
                f"expected an object, found {type(value).__name__}",
            )
        )
        return
    prefix = f"{place}." if place else ""
    types = get_type_hints(expected)
    fields = {field.name: field for field in msgspec.structs.fields(expected)}
    for name, item in value.items():
        if name not in fields:
            findings.append(Finding(file, f"{prefix}{name}", "unknown setting"))
            continue
        _check_value(item, types[name], f"{prefix}{name}", file, findings)
    for name, field in fields.items():
        if field.required and name not in value:
            findings.append(Finding(file, f"{prefix}{name}", "missing setting"))
