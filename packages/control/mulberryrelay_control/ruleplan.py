"""Plans of rule files: what a proposed file would change compared to the current one.

Computed without I/O, for ``POST /rules/plan`` of the administration API.
"""

from collections.abc import Iterable, Mapping, Sequence

from mulberryrelay_kernel.hashing import override_unit, range_index
from mulberryrelay_kernel.ids import DataCentre, Key, ServerId, ServiceName
from mulberryrelay_kernel.messages import (
    Assignment,
    RuleChange,
    ServerEntry,
    Unit,
    UnitMove,
)

from .ruleformat import format_target, format_time, format_window
from .rules import RuleSet
from .ruletypes import DrainRule, LimitRule, PinRule, PinTarget, Rule, RuleKind


def rule_changes(current: RuleSet, proposed: RuleSet) -> list[RuleChange]:
    """Return the changes by subject, sorted by kind; include rules that start later."""
    before = _text_by_subject(current.rules)
    after = _text_by_subject(proposed.rules)
    kinds = [kind.value for kind in RuleKind]
    subjects = sorted({*before, *after}, key=lambda s: (kinds.index(s[0]), s[1]))
    changes = []
    for subject in subjects:
        if before.get(subject) == after.get(subject):
            continue
        changes.append(RuleChange(*subject, before.get(subject), after.get(subject)))
    return changes


def unit_moves(
    current: RuleSet,
    proposed: RuleSet,
    assignment: Assignment,
    servers: Iterable[ServerEntry],
) -> list[UnitMove]:
    """Return the units that new rules in ``proposed`` would move from their owners.

    Each rule is compared on its own with the current assignment. Moves that a later
    rebalance may choose are not included.
    """
    data_centres = {entry.server: entry.data_centre for entry in servers}
    current_rules = {(rule.action, rule.starts, rule.ends) for rule in current.rules}
    moves: list[UnitMove] = []
    for rule in proposed.rules:
        if (rule.action, rule.starts, rule.ends) in current_rules:
            continue
        if isinstance(rule.action, PinRule):
            moves += _pin_moves(rule, rule.action, assignment, data_centres)
        elif isinstance(rule.action, DrainRule):
            moves += _drain_moves(rule, rule.action.server, assignment)
    return moves


def _text_by_subject(rules: Sequence[Rule]) -> dict[tuple[str, str], str]:
    """Return the rules as text by (kind, subject), in the order of their times."""
    texts: dict[tuple[str, str], list[str]] = {}
    for rule in sorted(rules, key=lambda rule: (format_window(rule), rule.line)):
        subject, value = _subject_and_value(rule)
        text = " ".join(word for word in (value, format_window(rule)) if word)
        texts.setdefault((rule.kind.value, subject), []).append(text)
    return {subject: "; ".join(rule_texts) for subject, rule_texts in texts.items()}


def _subject_and_value(rule: Rule) -> tuple[str, str]:
    action = rule.action
    if isinstance(action, PinRule):
        return f"key {action.service} {action.key}", format_target(action.target)
    if isinstance(action, DrainRule):
        return f"server {action.server}", "drained"
    if isinstance(action, LimitRule):
        subject = f"{action.service} class {action.request_class}"
        return subject, f"{action.per_second} per-second"
    return str(action.service), " ".join(action.classes)


def _pin_moves(
    rule: Rule,
    pin: PinRule,
    assignment: Assignment,
    data_centres: Mapping[ServerId, DataCentre],
) -> list[UnitMove]:
    unit = _find_unit(assignment, pin.service, pin.key)
    owner = unit.owner if unit else None
    if owner is not None and _is_on_target(owner, pin.target, data_centres):
        return []
    target = format_target(pin.target)
    return [
        UnitMove(
            pin.service,
            override_unit(pin.key),
            owner,
            target,
            "pin",
            _format_start(rule),
        )
    ]


def _is_on_target(
    owner: ServerId, target: PinTarget, data_centres: Mapping[ServerId, DataCentre]
) -> bool:
    if target.server is not None:
        return owner == target.server
    return data_centres.get(owner) == target.data_centre


def _drain_moves(
    rule: Rule, server: ServerId, assignment: Assignment
) -> list[UnitMove]:
    return [
        UnitMove(service, unit.unit, server, "", "drain", _format_start(rule))
        for service, unit in _all_units(assignment)
        if unit.owner == server
    ]


def _all_units(assignment: Assignment) -> Iterable[tuple[ServiceName, Unit]]:
    for service, units in assignment.ranges.items():
        for unit in units:
            yield service, unit
    for service, overrides in assignment.overrides.items():
        for unit in overrides.values():
            yield service, unit


def _find_unit(assignment: Assignment, service: ServiceName, key: Key) -> Unit | None:
    override = assignment.overrides.get(service, {}).get(key)
    if override is not None:
        return override
    units = assignment.ranges.get(service)
    if not units:
        return None
    return units[range_index(key, len(units))]


def _format_start(rule: Rule) -> str:
    return format_time(rule.starts) if rule.starts is not None else ""
