"""Finds rules that conflict with each other at overlapping times."""

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


def find_conflicts(rules: Sequence[Rule], file: str) -> list[Finding]:
    """Return a finding for each rule that conflicts with another one."""
    findings: list[Finding] = []
    groups: dict[Hashable, list[Rule]] = {}
    for rule in rules:
        groups.setdefault(_subject(rule.action), []).append(rule)
    for group in groups.values():
        for rule, other in _overlapping_pairs(group):
            subject = _describe(rule.action)
            message = (
                f"{subject} has a rule in line {other.line} at an overlapping time"
            )
            findings.append(Finding(file, rule.place, message))
    findings += _pins_to_drained_servers(rules, file)
    return findings


def _subject(action: RuleAction) -> Hashable:
    """Return the subject of a rule; at most one rule per subject may be active."""
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


def _is_overlapping(first: Rule, second: Rule) -> bool:
    return _start(first) < _end(second) and _start(second) < _end(first)


def _overlapping_pairs(group: list[Rule]) -> list[tuple[Rule, Rule]]:
    """Return pairs of overlapping rules: a rule, and another from an earlier line.

    In the order of their starts, a rule overlaps an earlier one exactly if it starts
    before the latest end so far. Comparing all pairs would take quadratic time.
    """
    pairs: list[tuple[Rule, Rule]] = []
    latest_ending: Rule | None = None
    for rule in sorted(group, key=lambda rule: (_start(rule), rule.line)):
        if latest_ending is not None and _start(rule) < _end(latest_ending):
            first, second = sorted((latest_ending, rule), key=lambda rule: rule.line)
            pairs.append((second, first))
        if latest_ending is None or _end(rule) > _end(latest_ending):
            latest_ending = rule
    return pairs


def _pins_to_drained_servers(rules: Sequence[Rule], file: str) -> list[Finding]:
    drains: dict[ServerId, list[Rule]] = {}
    for rule in rules:
        if isinstance(rule.action, DrainRule):
            drains.setdefault(rule.action.server, []).append(rule)
    findings = []
    for rule in rules:
        server = named_server(rule.action)
        if rule.kind is not RuleKind.PIN or server is None:
            continue
        drain = next(
            (d for d in drains.get(server, []) if _is_overlapping(rule, d)), None
        )
        if drain is None:
            continue
        message = f"key is pinned to server {server}, which line {drain.line} drains"
        findings.append(Finding(file, rule.place, message))
    return findings
