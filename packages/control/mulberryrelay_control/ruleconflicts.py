"""Finds rules that contradict each other at overlapping times."""

from collections.abc import Hashable, Sequence
from datetime import UTC, datetime

from mulberryrelay_kernel.errors import Finding
from mulberryrelay_kernel.ids import ServerId

from .ruletypes import (
    DrainRule,
    LimitRule,
    PinRule,
    Rule,
    RuleAction,
    RuleKind,
    named_server,
)


def contradictions(rules: Sequence[Rule], file: str) -> list[Finding]:
    """Return the findings about rules that cannot hold at the same time."""
    findings: list[Finding] = []
    groups: dict[Hashable, list[Rule]] = {}
    for rule in rules:
        groups.setdefault(_subject(rule.action), []).append(rule)
    for group in groups.values():
        for rule, other in _overlapping(group):
            subject = _describe(rule.action)
            message = (
                f"{subject} has a rule in line {other.line} at an overlapping time"
            )
            findings.append(Finding(file, rule.place, message))
    findings += _pins_to_drained(rules, file)
    return findings


def _subject(action: RuleAction) -> Hashable:
    """Return what at most one rule may be about at any time."""
    if isinstance(action, PinRule):
        return RuleKind.PIN, action.service, action.key
    if isinstance(action, DrainRule):
        return RuleKind.DRAIN, action.server
    if isinstance(action, LimitRule):
        return RuleKind.LIMIT, action.service, action.request_class
    return RuleKind.ORDER, action.service


def _describe(action: RuleAction) -> str:
    if isinstance(action, PinRule):
        return f"key {action.key!r} of {action.service}"
    if isinstance(action, DrainRule):
        return f"server {action.server}"
    if isinstance(action, LimitRule):
        return f"limit of class {action.request_class} of {action.service}"
    return f"order of {action.service}"


def _start(rule: Rule) -> datetime:
    return rule.starts or datetime.min.replace(tzinfo=UTC)


def _end(rule: Rule) -> datetime:
    return rule.ends or datetime.max.replace(tzinfo=UTC)


def _overlap(one: Rule, other: Rule) -> bool:
    return _start(one) < _end(other) and _start(other) < _end(one)


def _overlapping(group: list[Rule]) -> list[tuple[Rule, Rule]]:
    """Return each later rule of a group with an earlier one that it overlaps.

    Sorted by start, a rule overlaps some earlier rule exactly if it starts before the
    latest end seen so far; comparing all pairs would be quadratic.
    """
    found: list[tuple[Rule, Rule]] = []
    latest: Rule | None = None
    for rule in sorted(group, key=lambda rule: (_start(rule), rule.line)):
        if latest is not None and _start(rule) < _end(latest):
            first, second = sorted((latest, rule), key=lambda rule: rule.line)
            found.append((second, first))
        if latest is None or _end(rule) > _end(latest):
            latest = rule
    return found


def _pins_to_drained(rules: Sequence[Rule], file: str) -> list[Finding]:
    drains: dict[ServerId, list[Rule]] = {}
    for rule in rules:
        if isinstance(rule.action, DrainRule):
            drains.setdefault(rule.action.server, []).append(rule)
    findings = []
    for rule in rules:
        server = named_server(rule.action)
        if rule.kind is not RuleKind.PIN or server is None:
            continue
        drain = next((d for d in drains.get(server, []) if _overlap(rule, d)), None)
        if drain is None:
            continue
        message = f"key is pinned to server {server}, which line {drain.line} drains"
        findings.append(Finding(file, rule.place, message))
    return findings
