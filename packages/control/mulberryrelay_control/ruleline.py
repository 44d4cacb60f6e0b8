"""Reads one line of a rule file and collects its findings."""

import json
import re
import unicodedata
from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from mulberryrelay_kernel.errors import Finding
from mulberryrelay_kernel.ids import (
    DataCentre,
    Key,
    RequestClass,
    ServerId,
    ServiceName,
)
from mulberryrelay_kernel.options import Options, ServiceOptions

from .ruletypes import (
    DrainRule,
    LimitRule,
    OrderRule,
    PinRule,
    PinTarget,
    Rule,
    RuleAction,
    RuleKind,
)

MAX_PER_SECOND = 1_000_000_000

TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"
_TIME = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z")
_SERVER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_NUMBER = re.compile(r"[0-9]{1,10}")
_QUOTED = re.compile(r'"(?:[^"\\]|\\.)*"(?=[ \t]|$)')
BARE_WORD = re.compile(r"[^ \t]+")
_REQUESTER = re.compile(r".*requested by\s+([^,]+?)\s*(?:,.*)?")

# Control and format characters can make a line read differently from what it says.
_REFUSED_CATEGORIES = frozenset({"Cc", "Cf", "Cs", "Zl", "Zp"})


class _Word(msgspec.Struct, frozen=True):
    text: str
    column: int


class _MalformedError(Exception):
    """The rest of the line cannot be read; the finding was reported."""


class LineParser:
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
            pattern = _QUOTED if character == '"' else BARE_WORD
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
