"""Rule files: parsing, checking and the rules that are active at a time.

A rule file is plain text with one rule per line; docs/rules.md describes it. Everything
here works without I/O, so that routers, the coordinator and ``mulberryctl`` agree.
"""

import json
import re
import unicodedata
from collections.abc import Callable, Hashable, Iterable, Sequence
from datetime import UTC, datetime
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.errors import Finding
from mulberryrelay_kernel.ids import (
    DataCentre,
    Key,
    RequestClass,
    ServerId,
    ServiceName,
)
from mulberryrelay_kernel.options import Options, ServiceOptions

# A file is checked in one step of the event loop, at about 30 us for each line; this
# keeps the step below a heartbeat period of 150 ms.
MAX_RULES_BYTES = 262_144

# Bounds the time and the answer for a text that is not a rule file at all.
MAX_FINDINGS = 1000

MAX_PER_SECOND = 1_000_000_000

TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"

_TIME = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z")
_SERVER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_NUMBER = re.compile(r"[0-9]{1,10}")
_QUOTED = re.compile(r'"(?:[^"\\]|\\.)*"(?=[ \t]|$)')
_BARE = re.compile(r"[^ \t]+")
_REQUESTER = re.compile(r".*requested by\s+([^,]+?)\s*(?:,.*)?")

# Control and format characters can make a line read differently from what it says.
_REFUSED_CATEGORIES = frozenset({"Cc", "Cf", "Cs", "Zl", "Zp"})


class RuleKind(Enum):
    """First word of a rule."""

    PIN = "pin"
    DRAIN = "drain"
    LIMIT = "limit"
    ORDER = "order"


class PinTarget(msgspec.Struct, frozen=True):
    """Where a pinned key is served: one server, or any server of a data centre."""

    server: ServerId | None = None
    data_centre: DataCentre | None = None


class PinRule(msgspec.Struct, frozen=True):
    """Keeps a key on a server or in a data centre."""

    service: ServiceName
    key: Key
    target: PinTarget


class DrainRule(msgspec.Struct, frozen=True):
    """Takes all work from a server."""

    server: ServerId


class LimitRule(msgspec.Struct, frozen=True):
    """Limits the requests of a class, over all routers together."""

    service: ServiceName
    request_class: RequestClass
    per_second: int


class OrderRule(msgspec.Struct, frozen=True):
    """Orders the classes of a service, the most important first."""

    service: ServiceName
    classes: tuple[RequestClass, ...]


RuleAction = PinRule | DrainRule | LimitRule | OrderRule

_KINDS: dict[type[RuleAction], RuleKind] = {
    PinRule: RuleKind.PIN,
    DrainRule: RuleKind.DRAIN,
    LimitRule: RuleKind.LIMIT,
    OrderRule: RuleKind.ORDER,
}


class Rule(msgspec.Struct, frozen=True):
    """One line of a rule file."""

    action: RuleAction
    requested_by: str
    comment: str
    """Text after ``#``, without surrounding blanks."""
    starts: datetime | None = None
    """UTC; None means at once."""
    ends: datetime | None = None
    """UTC, exclusive; None means never."""
    line: int = 0
    column: int = 1
    """Column of the first word."""

    @property
    def place(self) -> str:
        """Place of the rule in findings."""
        return f"{self.line}:{self.column}"

    @property
    def kind(self) -> RuleKind:
        return _KINDS[type(self.action)]

    def is_active(self, now: datetime) -> bool:
        """Return whether the rule applies at ``now``."""
        if self.starts is not None and now < self.starts:
            return False
        return self.ends is None or now < self.ends


class ActiveRules(msgspec.Struct, frozen=True):
    """The rules that apply at one time."""

    pins: dict[ServiceName, dict[Key, PinTarget]] = {}
    drained: frozenset[ServerId] = frozenset()
    limits: dict[ServiceName, dict[RequestClass, int]] = {}
    """Requests per second over all routers together."""
    orders: dict[ServiceName, tuple[RequestClass, ...]] = {}


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
        parser = _LineParser(line.removesuffix("\r"), number, file, options)
        rule = parser.parse()
        findings += parser.findings
        if rule is not None:
            rules.append(rule)
        if len(findings) >= MAX_FINDINGS:
            message = "too many findings; the rest of the file was not checked"
            return Failure([*findings, Finding(file, f"{number}:1", message)])
    findings += _contradictions(rules, file)
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
        server = _named_server(rule.action)
        if server is None or server in present:
            continue
        message = f"warning: no server {server!r} is known now"
        warnings.append(Finding(file, rule.place, message))
    return warnings


def format_rule(rule: Rule) -> str:
    """Return the line of a rule; parsing it gives the same rule."""
    words = [format_action(rule.action), format_window(rule), f"# {rule.comment}"]
    return " ".join(word for word in words if word)


def format_action(action: RuleAction) -> str:
    """Return a rule's text without its times and comment."""
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
    """Return the words that name the target of a pin."""
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
    """Return an aware time as rule files write it."""
    # strftime leaves out leading zeros of years before 1000 on some systems.
    return time.astimezone(UTC).replace(tzinfo=None).isoformat(timespec="seconds") + "Z"


def _format_word(word: str) -> str:
    if _BARE.fullmatch(word) and not word.startswith(("#", '"')):
        return word
    return json.dumps(word, ensure_ascii=False)


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


def _named_server(action: RuleAction) -> ServerId | None:
    if isinstance(action, DrainRule):
        return action.server
    if isinstance(action, PinRule):
        return action.target.server
    return None


def _place_order(finding: Finding) -> tuple[int, int]:
    line, _, column = finding.place.partition(":")
    return int(line), int(column)


# Contradictions between rules


def _contradictions(rules: Sequence[Rule], file: str) -> list[Finding]:
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
        server = _named_server(rule.action)
        if rule.kind is not RuleKind.PIN or server is None:
            continue
        drain = next((d for d in drains.get(server, []) if _overlap(rule, d)), None)
        if drain is None:
            continue
        message = f"key is pinned to server {server}, which line {drain.line} drains"
        findings.append(Finding(file, rule.place, message))
    return findings


# Lines


class _Word(msgspec.Struct, frozen=True):
    text: str
    column: int


class _MalformedError(Exception):
    """The rest of the line cannot be read; the finding was reported."""


class _LineParser:
    """Reads one line and collects its findings."""

    def __init__(self, line: str, number: int, file: str, options: Options) -> None:
        self._line = line
        self._number = number
        self._file = file
        self._options = options
        self._words: list[_Word] = []
        self._next = 0
        self._comment: str | None = None
        self._comment_column = len(line) + 1
        self._findings: list[Finding] = []

    @property
    def findings(self) -> list[Finding]:
        """Findings of the line so far."""
        return self._findings

    def parse(self) -> Rule | None:
        """Return the rule, or None for a line without one or with findings."""
        self._check_characters()
        if self._findings:
            return None
        try:
            self._split()
            if not self._words:
                return None
            requester = self._read_requester()
            action = self._read_action()
            starts, ends = self._read_window()
        except _MalformedError:
            return None
        if self._findings or action is None:
            return None
        return Rule(
            action=action,
            requested_by=requester,
            comment=self._comment or "",
            starts=starts,
            ends=ends,
            line=self._number,
            column=self._words[0].column,
        )

    def _report(self, column: int, message: str) -> None:
        place = f"{self._number}:{column}"
        self._findings.append(Finding(self._file, place, message))

    def _malformed(self, column: int, message: str) -> _MalformedError:
        self._report(column, message)
        return _MalformedError()

    def _check_characters(self) -> None:
        if self._line.replace("\t", " ").isprintable():
            return
        for column, character in enumerate(self._line, start=1):
            if character == "\t":
                continue
            if unicodedata.category(character) not in _REFUSED_CATEGORIES:
                continue
            self._report(column, f"character U+{ord(character):04X} is not allowed")
            return

    def _split(self) -> None:
        """Split the line into words and its comment."""
        position = 0
        while position < len(self._line):
            character = self._line[position]
            if character in " \t":
                position += 1
                continue
            if character == "#":
                self._comment = self._line[position + 1 :].strip()
                self._comment_column = position + 1
                return
            pattern = _QUOTED if character == '"' else _BARE
            match = pattern.match(self._line, position)
            if match is None:
                raise self._malformed(position + 1, "quoted word does not end")
            text = match.group()
            if character == '"':
                text = self._unquote(text, position + 1)
            self._words.append(_Word(text, position + 1))
            position = match.end()

    def _unquote(self, text: str, column: int) -> str:
        try:
            return str(json.loads(text))
        except ValueError:
            raise self._malformed(column, "quoted word is not a JSON string") from None

    def _read_requester(self) -> str:
        """Return the requester's name; an invalid one is reported."""
        if self._comment is None:
            self._report(
                self._comment_column, "rule needs a comment with 'requested by NAME'"
            )
            return ""
        match = _REQUESTER.fullmatch(self._comment)
        if match is None or not any(c.isalpha() for c in match.group(1)):
            self._report(
                self._comment_column, "comment must end with 'requested by NAME'"
            )
            return ""
        return match.group(1)

    def _take(self, expected: str) -> _Word:
        """Return the next word.

        Raises:
            _MalformedError: the line has no more words.
        """
        if self._next >= len(self._words):
            end = len(self._line[: self._comment_column - 1].rstrip()) + 1
            raise self._malformed(end, f"expected {expected}")
        self._next += 1
        return self._words[self._next - 1]

    def _expect(self, literal: str) -> None:
        word = self._take(f"'{literal}'")
        if word.text != literal:
            message = f"expected '{literal}', found {word.text!r}"
            raise self._malformed(word.column, message)

    def _peek(self) -> str | None:
        return self._words[self._next].text if self._next < len(self._words) else None

    def _read_action(self) -> RuleAction | None:
        word = self._take("a rule")
        reader = self._readers().get(word.text)
        if reader is None:
            kinds = ", ".join(kind.value for kind in RuleKind)
            message = f"unknown rule {word.text!r}; a rule begins with one of {kinds}"
            raise self._malformed(word.column, message)
        return reader()

    def _readers(self) -> dict[str, Callable[[], RuleAction | None]]:
        return {
            RuleKind.PIN.value: self._read_pin,
            RuleKind.DRAIN.value: self._read_drain,
            RuleKind.LIMIT.value: self._read_limit,
            RuleKind.ORDER.value: self._read_order,
        }

    def _read_pin(self) -> RuleAction | None:
        self._expect("key")
        name, column, service = self._read_service()
        if service is not None and not service.partitioned:
            self._report(column, f"service {name!r} is not partitioned by key")
        key = self._take("a key")
        if not key.text or not key.text.isprintable():
            self._report(key.column, "key is empty or has unprintable characters")
        self._expect("to")
        place = self._take("'server' or 'data-centre'")
        if place.text == "server":
            target = PinTarget(server=self._read_server())
        elif place.text == "data-centre":
            target = PinTarget(data_centre=self._read_data_centre())
        else:
            message = f"expected 'server' or 'data-centre', found {place.text!r}"
            raise self._malformed(place.column, message)
        return PinRule(name, Key(key.text), target)

    def _read_drain(self) -> RuleAction | None:
        self._expect("server")
        return DrainRule(self._read_server())

    def _read_limit(self) -> RuleAction | None:
        name, _, service = self._read_service()
        self._expect("class")
        request_class = self._read_class(name, service)
        number = self._take("a number of requests")
        self._expect("per-second")
        if not _NUMBER.fullmatch(number.text):
            self._report(number.column, f"{number.text!r} is not a whole number")
            return None
        per_second = int(number.text)
        if not 1 <= per_second <= MAX_PER_SECOND:
            self._report(number.column, f"limit must be from 1 to {MAX_PER_SECOND}")
        return LimitRule(name, request_class, per_second)

    def _read_order(self) -> RuleAction | None:
        name, column, service = self._read_service()
        classes: list[RequestClass] = []
        while self._peek() not in (None, "from", "until"):
            word_column = self._words[self._next].column
            request_class = self._read_class(name, service)
            if request_class in classes:
                self._report(word_column, f"class {request_class!r} is named twice")
            classes.append(request_class)
        if service is not None and not set(service.classes) <= set(classes):
            missing = [c for c in service.classes if c not in classes]
            message = f"order must name every class of {name}; missing: "
            self._report(column, message + ", ".join(missing))
        return OrderRule(name, tuple(classes))

    def _read_service(self) -> tuple[ServiceName, int, ServiceOptions | None]:
        word = self._take("a service")
        name = ServiceName(word.text)
        service = self._options.services.get(name)
        if service is None:
            self._report(word.column, f"unknown service {word.text!r}")
        return name, word.column, service

    def _read_class(
        self, name: ServiceName, service: ServiceOptions | None
    ) -> RequestClass:
        word = self._take("a class")
        if service is not None and word.text not in service.classes:
            self._report(word.column, f"service {name} has no class {word.text!r}")
        return RequestClass(word.text)

    def _read_server(self) -> ServerId:
        word = self._take("a server")
        if not _SERVER_PATTERN.fullmatch(word.text):
            message = f"{word.text!r} is not a server name"
            self._report(word.column, message)
        return ServerId(word.text)

    def _read_data_centre(self) -> DataCentre:
        word = self._take("a data centre")
        if word.text not in self._options.data_centres:
            self._report(word.column, f"unknown data centre {word.text!r}")
        return DataCentre(word.text)

    def _read_window(self) -> tuple[datetime | None, datetime | None]:
        times: dict[str, datetime] = {}
        column = 1
        while self._next < len(self._words):
            word = self._take("'from' or 'until'")
            if word.text not in ("from", "until"):
                message = f"expected 'from', 'until' or a comment, found {word.text!r}"
                raise self._malformed(word.column, message)
            if word.text in times:
                message = f"'{word.text}' is given twice"
                raise self._malformed(word.column, message)
            times[word.text] = self._read_time()
            column = word.column
        starts, ends = times.get("from"), times.get("until")
        if starts is not None and ends is not None and ends <= starts:
            self._report(column, "'until' must be later than 'from'")
        return starts, ends

    def _read_time(self) -> datetime:
        word = self._take("a time")
        message = f"{word.text!r} is not a UTC time such as 2026-12-24T18:00:00Z"
        if not _TIME.fullmatch(word.text):
            raise self._malformed(word.column, message)
        try:
            return datetime.strptime(word.text, TIME_FORMAT).replace(tzinfo=UTC)
        except ValueError:
            raise self._malformed(word.column, message) from None


def utc_now() -> datetime:
    """Return the time of this process's UTC clock."""
    return datetime.now(UTC)
