"""Rule files: parsing, checking, and finding the rules that are active at a time.

Operators control placement, limits and priorities by a rule file: plain text with one
rule per line, described in docs/rules.md. This module does no I/O, so that routers, the
coordinator and ``mulberryctl`` interpret a file in the same way.
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

from .ruleconflicts import find_conflicts
from .ruleparser import LineParser
from .ruletypes import (
    ActiveRules,
    DrainRule,
    LimitRule,
    PinRule,
    PinTarget,
    Rule,
    named_server,
)

# Largest rule file. Checking a file blocks the event loop for about 30 us per line;
# this limit keeps that time below the heartbeat period of 150 ms.
MAX_RULES_BYTES = 262_144

# Number of findings after which checking stops. Limits the time that is spent on a text
# that is no rule file, and the length of the response.
MAX_FINDINGS = 1000


class RuleSet:
    """The rules of one version of the rule file.

    Keeps the latest time that was passed to ``active`` and never uses an earlier
    one. So a clock that steps back neither deactivates a rule that has started nor
    reactivates one that has ended.
    """

    def __init__(self, rules: Sequence[Rule] = ()) -> None:
        self._rules = tuple(rules)
        self._latest_time: datetime | None = None

    @property
    def rules(self) -> tuple[Rule, ...]:
        """All rules in the order of their lines, whether active or not."""
        return self._rules

    def active(self, now: datetime) -> ActiveRules:
        """Return the rules that are active at ``now``, a timezone-aware UTC time."""
        self._latest_time = (
            now if self._latest_time is None else max(self._latest_time, now)
        )
        return _active_rules(r for r in self._rules if r.is_active(self._latest_time))

    def next_change(self, now: datetime) -> datetime | None:
        """Return the next time after ``now`` when a rule starts or ends, or None."""
        after = now if self._latest_time is None else max(self._latest_time, now)
        times = [t for rule in self._rules for t in (rule.starts, rule.ends)]
        return min((t for t in times if t is not None and t > after), default=None)


def parse_rules(
    text: str, file: str, options: Options
) -> Result[RuleSet, list[Finding]]:
    """Return the rules of a file, or its findings in the order of lines.

    Stops after ``MAX_FINDINGS`` findings and adds a last one that reports this.
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
    findings += find_conflicts(rules, file)
    if findings:
        return Failure(sorted(findings, key=_place_sort_key))
    return Success(RuleSet(rules))


def unknown_servers(
    rules: Iterable[Rule], known: Iterable[ServerId], file: str
) -> list[Finding]:
    """Return a warning for each rule that names a server not in ``known``.

    This is not an error: servers join and leave, so a rule may name a server that has
    not joined yet.
    """
    known_servers = set(known)
    warnings = []
    for rule in rules:
        server = named_server(rule.action)
        if server is None or server in known_servers:
            continue
        message = f"warning: no server {server!r} is registered now"
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
            class_limits = limits.setdefault(action.service, {})
            class_limits[action.request_class] = action.per_second
        else:
            orders[action.service] = action.classes
    return ActiveRules(pins, frozenset(drained), limits, orders)


def _place_sort_key(finding: Finding) -> tuple[int, int]:
    line, _, column = finding.place.partition(":")
    return int(line), int(column)


def utc_now() -> datetime:
    """Return the current UTC time, timezone-aware."""
    return datetime.now(UTC)
