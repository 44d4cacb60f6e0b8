"""Reads settings files, which are JSON with comments, and checks them.

Later files override earlier ones key by key, so that a deployment shares one file and
each process adds its own addresses. All findings are reported together.
"""

from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import json5
import msgspec

from .errors import Finding, FindingsError
from .options import LimitOptions, Options, TimingOptions

TOP_LEVEL = "settings"
# A claim outlasts its request and the time in which its outcome is recorded by far.
SHORTEST_RETENTION = 5


def load_settings(
    paths: list[Path], overrides: dict[str, Any] | None = None
) -> Options:
    """Return the checked options of one or more settings files.

    ``overrides`` is a settings document that takes precedence over the files.

    Raises:
        FindingsError: with every problem found.
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
            findings.append(Finding(str(path), "1", "expected an object"))
            continue
        merged = _merge(merged, document)
    if findings:
        raise FindingsError(findings)
    merged = _merge(merged, overrides or {})
    return check_settings(merged, ", ".join(str(path) for path in paths))


def check_settings(document: dict[str, Any], file: str) -> Options:
    """Return the options of a settings document.

    Raises:
        FindingsError: with every unknown, missing, ill-typed or contradictory setting.
    """
    findings: list[Finding] = []
    _check_value(document, Options, "", file, findings)
    if findings:
        raise FindingsError(findings)
    options = msgspec.convert(document, Options)
    findings = contradictions(options, file)
    if findings:
        raise FindingsError(findings)
    return options


def contradictions(options: Options, file: str) -> list[Finding]:
    """Return the findings that need more than one setting to see."""
    findings: list[Finding] = []

    def report(place: str, message: str) -> None:
        findings.append(Finding(file, place, message))

    if options.instance.data_centre not in options.data_centres:
        report("instance.data_centre", "is not one of data_centres")
    if len(set(options.data_centres)) != len(options.data_centres):
        report("data_centres", "names a data centre twice")
    if options.platform.plugin == "http" and not options.platform.url:
        report("platform.url", "is needed by the plug-in http")
    if options.platform.plugin != "memory" and options.platform.instances:
        report("platform.instances", "is only for the plug-in memory")
    if options.routers < 1:
        report("routers", "must be at least 1")
    if not options.services:
        report("services", "must name at least one service")
    for name, service in options.services.items():
        place = f"services.{name}"
        if not service.classes:
            report(f"{place}.classes", "must name at least one class")
        if len(set(service.classes)) != len(service.classes):
            report(f"{place}.classes", "names a class twice")
        for setting in ("ranges", "slots", "connections", "default_deadline_ms"):
            if getattr(service, setting) < 1:
                report(f"{place}.{setting}", "must be at least 1")
        if not 0 <= service.churn_weight <= 1:
            report(f"{place}.churn_weight", "must be from 0 to 1")
    _check_timing(options.timing, report)
    _check_limits(options.limits, report)
    _check_claims(options, report)
    for index, peer in enumerate(options.peers):
        if split_host_port(peer) is None:
            report(f"peers[{index}]", "must be host:port")
    names = [operator.name for operator in options.operators]
    credentials = [operator.credential for operator in options.operators]
    for index, operator in enumerate(options.operators):
        if names.index(operator.name) != index:
            report(f"operators[{index}].name", "names an operator twice")
        place = f"operators[{index}].credential"
        if not _is_credential(operator.credential):
            report(place, "must be visible ASCII characters without blanks")
        if credentials.index(operator.credential) != index:
            report(place, "is the credential of another operator")
    return findings


def split_host_port(text: str) -> tuple[str, int] | None:
    """Return the parts of ``host:port``, or None if it is not of this form."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not host or not is_number or not 1 <= int(port) <= 65535:
        return None
    return host, int(port)


def _is_credential(credential: str) -> bool:
    """Return whether a header field can carry the credential unchanged."""
    return bool(credential) and all("!" <= character <= "~" for character in credential)


def _check_claims(options: Options, report: Any) -> None:
    limits = options.limits
    if limits.claim_writes_per_second < options.routers:
        report("limits.claim_writes_per_second", "must be at least 1 for each router")
    if limits.claim_retention_s * 1000 < limits.deadline_ms * SHORTEST_RETENTION:
        message = f"must be at least {SHORTEST_RETENTION} times deadline_ms"
        report("limits.claim_retention_s", message)


def _check_timing(timing: TimingOptions, report: Any) -> None:
    for field in msgspec.structs.fields(TimingOptions):
        if getattr(timing, field.name) < 1:
            report(f"timing.{field.name}", "must be at least 1 ms")
    if timing.renew_ms * 2 > timing.lease_ms:
        report("timing.renew_ms", "must be at most half of lease_ms")
    if timing.heartbeat_ms * 2 > timing.bridge_ms + timing.lease_ms:
        report("timing.heartbeat_ms", "is too long for lease_ms and bridge_ms")
    if timing.margin_ms >= timing.lease_ms:
        report("timing.margin_ms", "must be shorter than lease_ms")
    if timing.promise_ms < timing.lease_ms:
        report("timing.promise_ms", "must be at least lease_ms")


def _check_limits(limits: LimitOptions, report: Any) -> None:
    for field in msgspec.structs.fields(LimitOptions):
        place = f"limits.{field.name}"
        value = getattr(limits, field.name)
        if field.type is not float:
            if value < 1:
                report(place, "must be at least 1")
            continue
        if not 0 <= value <= 1:
            report(place, "must be from 0 to 1")


def _merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for name, value in over.items():
        known = merged.get(name)
        if isinstance(known, dict) and isinstance(value, dict):
            merged[name] = _merge(known, value)
            continue
        merged[name] = value
    return merged


def _check_value(
    value: Any, expected: Any, place: str, file: str, findings: list[Finding]
) -> None:
    """Append every finding about ``value``, which should have type ``expected``."""
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
        findings.append(Finding(file, place or TOP_LEVEL, str(error)))


def _check_struct(
    value: Any,
    expected: type[msgspec.Struct],
    place: str,
    file: str,
    findings: list[Finding],
) -> None:
    if not isinstance(value, dict):
        findings.append(Finding(file, place or TOP_LEVEL, "expected an object"))
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
