"""Formats rules in the syntax of rule files; the inverse of ``ruleparser``."""

import json
from datetime import UTC, datetime

from .ruleparser import BARE_WORD_PATTERN
from .ruletypes import DrainRule, LimitRule, PinRule, PinTarget, Rule, RuleAction


def format_rule(rule: Rule) -> str:
    """Return the line of a rule; it parses to the same action, times and comment."""
    words = [format_action(rule.action), format_window(rule), f"# {rule.comment}"]
    return " ".join(word for word in words if word)


def format_action(action: RuleAction) -> str:
    """Return the text of a rule without its times and comment."""
    if isinstance(action, PinRule):
        return (
            f"pin key {action.service} {_format_word(action.key)}"
            f" to {format_target(action.target)}"
        )
    if isinstance(action, DrainRule):
        return f"drain server {action.server}"
    if isinstance(action, LimitRule):
        return (
            f"limit {action.service} class {action.request_class}"
            f" {action.per_second} per-second"
        )
    return f"order {action.service} {' '.join(action.classes)}"


def format_target(target: PinTarget) -> str:
    """Return the text of a pin's target."""
    if target.server is not None:
        return f"server {target.server}"
    return f"data-centre {target.data_centre}"


def format_window(rule: Rule) -> str:
    """Return the ``from`` and ``until`` words of a rule, or an empty string."""
    words = []
    if rule.starts is not None:
        words.append(f"from {format_time(rule.starts)}")
    if rule.ends is not None:
        words.append(f"until {format_time(rule.ends)}")
    return " ".join(words)


def format_time(time: datetime) -> str:
    """Return a timezone-aware time in the format of rule files."""
    # On some systems strftime omits leading zeros of years before 1000.
    return time.astimezone(UTC).replace(tzinfo=None).isoformat(timespec="seconds") + "Z"


def _format_word(word: str) -> str:
    if BARE_WORD_PATTERN.fullmatch(word) and not word.startswith(("#", '"')):
        return word
    return json.dumps(word, ensure_ascii=False)
