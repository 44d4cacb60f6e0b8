"""Rule files: parsing, checking and the rules that are active at a time.

A rule file is plain text with one rule per line; docs/rules.md describes it. Everything
here works without I/O, so that routers, the coordinator and ``mulberryctl`` agree.
"""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from returns.result import Failure, Result, Success

from mulberryrelay_kernel.errors import Finding
from mulberryrelay_kernel.ids import (
    Key,
    RequestClass,
    ServerId,
    ServiceName,
)
from mulberryrelay_kernel.options import Options

from .ruleconflicts import contradictions
from .ruleline import LineParser
from .ruletypes import (
    ActiveRules,
    DrainRule,
    LimitRule,
    PinRule,
    PinTarget,
    Rule,
    named_server,
)

# A file is checked in one step of the event loop, at about 30 us for each line; this
# keeps the step below a heartbeat period of 150 ms.
MAX_RULES_BYTES = 262_144

# Bounds the time and the answer for a text that is not a rule file at all.
MAX_FINDINGS = 1000


class RuleSet:
    """The rules of one version of the rule file.

    Remembers the latest time at which it was asked, so that a clock that steps back
    neither ends a rule that has started nor revives one that has ended.
    """

    def __init__(self, rules: Sequence[Rule] = ()) -> None:
        self._rules = tuple(rules)
        self._latched: datetime | None = None

    @property
    def rules(self) -> tuple[Rule, ...]:
        """The rules in the order of their lines."""
        return self._rules

    def active(self, now: datetime) -> ActiveRules:
        """Return the rules that apply at ``now``, an aware UTC time."""
        self._latched = now if self._latched is None else max(self._latched, now)
        return _active_rules(r for r in self._rules if r.is_active(self._latched))

    def next_change(self, now: datetime) -> datetime | None:
        """Return the first booked start or end after ``now``, or None."""
        after = now if self._latched is None else max(self._latched, now)
        times = [t for rule in self._rules for t in (rule.starts, rule.ends)]
        return min((t for t in times if t is not None and t > after), default=None)


def parse_rules(
    text: str, file: str, options: Options
) -> Result[RuleSet, list[Finding]]:
    """Return the rules of a file, or every finding in the order of lines.

    Stops at ``MAX_FINDINGS`` with a last finding that says so.
    """
    findings: list[Finding] = []
    if len(text.encode(errors="replace")) > MAX_RULES_BYTES:
        message = f"file is longer than {MAX_RULES_BYTES} bytes"
        return Failure([Finding(file, "1:1", message)])
    rules: list[Rule] = []
    for number, line in enumerate(text.split("\n"), start=1):
        parser = LineParser(line.removesuffix("\r"), number, file, options)
        rule = parser.parse()
        findings += parser.findings
        if rule is not None:
            rules.append(rule)
        if len(findings) >= MAX_FINDINGS:
            message = "too many findings; the rest of the file was not checked"
            return Failure([*findings, Finding(file, f"{number}:1", message)])
    findings += contradictions(rules, file)
    if findings:
        return Failure(sorted(findings, key=_place_order))
    return Success(RuleSet(rules))


def unknown_servers(
    rules: Iterable[Rule], known: Iterable[ServerId], file: str
) -> list[Finding]:
    """Return a warning for each rule that names a server not in ``known``.

    Servers join and leave, so a rule may name a server that is not there yet.
    """
    present = set(known)
    warnings = []
    for rule in rules:
        server = named_server(rule.action)
        if server is None or server in present:
            continue
        message = f"warning: no server {server!r} is known now"
        warnings.append(Finding(file, rule.place, message))
    return warnings


def _active_rules(rules: Iterable[Rule]) -> ActiveRules:
    pins: dict[ServiceName, dict[Key, PinTarget]] = {}
    drained: set[ServerId] = set()
    limits: dict[ServiceName, dict[RequestClass, int]] = {}
    orders: dict[ServiceName, tuple[RequestClass, ...]] = {}
    for rule in rules:
        action = rule.action
        if isinstance(action, PinRule):
            pins.setdefault(action.service, {})[action.key] = action.target
        elif isinstance(action, DrainRule):
            drained.add(action.server)
        elif isinstance(action, LimitRule):
            limit = limits.setdefault(action.service, {})
            limit[action.request_class] = action.per_second
        else:
            orders[action.service] = action.classes
    return ActiveRules(pins, frozenset(drained), limits, orders)


def _place_order(finding: Finding) -> tuple[int, int]:
    line, _, column = finding.place.partition(":")
    return int(line), int(column)


def utc_now() -> datetime:
    """Return the time of this process's UTC clock."""
    return datetime.now(UTC)
