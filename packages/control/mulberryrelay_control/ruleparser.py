"""Parser for one line of a rule file.

A line is a rule, optional ``from`` and ``until`` times, and a comment that names the
person who requested the rule. ``rules`` parses whole files with it.
"""

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

# Highest rate that a ``limit`` rule may set, in requests per second.
MAX_PER_SECOND = 1_000_000_000

TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"
_TIME_PATTERN = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z")
_SERVER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,10}")
_QUOTED_WORD_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"(?=[ \t]|$)')
BARE_WORD_PATTERN = re.compile(r"[^ \t]+")
_REQUESTER_PATTERN = re.compile(r".*requested by\s+([^,]+?)\s*(?:,.*)?")

# Control and format characters can make a line look different from what is parsed.
_REFUSED_CATEGORIES = frozenset({"Cc", "Cf", "Cs", "Zl", "Zp"})


class _Word(msgspec.Struct, frozen=True):
    text: str
    column: int


class _MalformedError(Exception):
    """Ends parsing of the line after a finding was reported."""


class LineParser:
    """Parses one line and collects its findings."""

    def __init__(self, line: str, number: int, file: str, options: Options) -> None:
        self._line = line
        self._number = number
        self._file = file
        self._options = options
        self._words: list[_Word] = []
        self._next_index = 0
        self._comment: str | None = None
        self._comment_column = len(line) + 1
        self._findings: list[Finding] = []

    @property
    def findings(self) -> list[Finding]:
        """The findings reported so far."""
        return self._findings

    def parse(self) -> Rule | None:
        """Return the rule, or None if the line is blank, a comment or has findings."""
        self._check_characters()
        if self._findings:
            return None
        try:
            self._split()
            if not self._words:
                return None
            requester = self._read_requester()
            action = self._read_action()
            starts, ends = self._read_times()
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

    def _report_malformed(self, column: int, message: str) -> _MalformedError:
        """Report a finding and return the exception to raise."""
        self._report(column, message)
        return _MalformedError()

    def _check_characters(self) -> None:
        """Report the first character that is not allowed."""
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
        """Split the line into its words and its comment."""
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
            pattern = _QUOTED_WORD_PATTERN if character == '"' else BARE_WORD_PATTERN
            match = pattern.match(self._line, position)
            if match is None:
                raise self._report_malformed(
                    position + 1,
                    "quoted word does not end with a quote and a blank or line end",
                )
            text = match.group()
            if character == '"':
                text = self._unquote(text, position + 1)
            self._words.append(_Word(text, position + 1))
            position = match.end()

    def _unquote(self, text: str, column: int) -> str:
        try:
            return str(json.loads(text))
        except ValueError:
            raise self._report_malformed(
                column, "quoted word is not a JSON string"
            ) from None

    def _read_requester(self) -> str:
        """Return the name after 'requested by'; report a finding if it is missing."""
        if self._comment is None:
            self._report(
                self._comment_column, "rule needs a comment with 'requested by NAME'"
            )
            return ""
        match = _REQUESTER_PATTERN.fullmatch(self._comment)
        if match is None or not any(c.isalpha() for c in match.group(1)):
            self._report(
                self._comment_column, "comment must end with 'requested by NAME'"
            )
            return ""
        return match.group(1)

    def _next_word(self, expected: str) -> _Word:
        """Return the next word and advance past it.

        Raises:
            _MalformedError: there is none; reports that ``expected`` is missing.
        """
        if self._next_index >= len(self._words):
            end = len(self._line[: self._comment_column - 1].rstrip()) + 1
            raise self._report_malformed(end, f"expected {expected}")
        self._next_index += 1
        return self._words[self._next_index - 1]

    def _expect(self, literal: str) -> None:
        """Advance past the word ``literal``."""
        word = self._next_word(f"'{literal}'")
        if word.text != literal:
            message = f"expected '{literal}', found {word.text!r}"
            raise self._report_malformed(word.column, message)

    def _peek_text(self) -> str | None:
        """Return the text of the next word, or None at the end of the line."""
        return (
            self._words[self._next_index].text
            if self._next_index < len(self._words)
            else None
        )

    def _read_action(self) -> RuleAction | None:
        word = self._next_word("a rule")
        reader = self._action_readers().get(word.text)
        if reader is None:
            kinds = ", ".join(kind.value for kind in RuleKind)
            message = f"unknown rule {word.text!r}; a rule begins with one of {kinds}"
            raise self._report_malformed(word.column, message)
        return reader()

    def _action_readers(self) -> dict[str, Callable[[], RuleAction | None]]:
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
        key = self._next_word("a key")
        if not key.text or not key.text.isprintable():
            self._report(
                key.column, f"key is empty or has unprintable characters: {key.text!r}"
            )
        self._expect("to")
        target_kind = self._next_word("'server' or 'data-centre'")
        if target_kind.text == "server":
            target = PinTarget(server=self._read_server())
        elif target_kind.text == "data-centre":
            target = PinTarget(data_centre=self._read_data_centre())
        else:
            message = f"expected 'server' or 'data-centre', found {target_kind.text!r}"
            raise self._report_malformed(target_kind.column, message)
        return PinRule(name, Key(key.text), target)

    def _read_drain(self) -> RuleAction | None:
        self._expect("server")
        return DrainRule(self._read_server())

    def _read_limit(self) -> RuleAction | None:
        name, _, service = self._read_service()
        self._expect("class")
        request_class = self._read_class(name, service)
        number = self._next_word("a number of requests")
        self._expect("per-second")
        if not _NUMBER_PATTERN.fullmatch(number.text):
            self._report(number.column, f"{number.text!r} is not a whole number")
            return None
        per_second = int(number.text)
        if not 1 <= per_second <= MAX_PER_SECOND:
            self._report(
                number.column,
                f"limit must be from 1 to {MAX_PER_SECOND}, is {per_second}",
            )
        return LimitRule(name, request_class, per_second)

    def _read_order(self) -> RuleAction | None:
        name, column, service = self._read_service()
        classes: list[RequestClass] = []
        while self._peek_text() not in (None, "from", "until"):
            word_column = self._words[self._next_index].column
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
        word = self._next_word("a service")
        name = ServiceName(word.text)
        service = self._options.services.get(name)
        if service is None:
            self._report(word.column, f"unknown service {word.text!r}")
        return name, word.column, service

    def _read_class(
        self, name: ServiceName, service: ServiceOptions | None
    ) -> RequestClass:
        word = self._next_word("a class")
        if service is not None and word.text not in service.classes:
            self._report(word.column, f"service {name} has no class {word.text!r}")
        return RequestClass(word.text)

    def _read_server(self) -> ServerId:
        word = self._next_word("a server")
        if not _SERVER_PATTERN.fullmatch(word.text):
            message = f"{word.text!r} is not a server name"
            self._report(word.column, message)
        return ServerId(word.text)

    def _read_data_centre(self) -> DataCentre:
        word = self._next_word("a data centre")
        if word.text not in self._options.data_centres:
            self._report(word.column, f"unknown data centre {word.text!r}")
        return DataCentre(word.text)

    def _read_times(self) -> tuple[datetime | None, datetime | None]:
        """Return the start and end of the rule, as given by 'from' and 'until'."""
        times: dict[str, datetime] = {}
        column = 1
        while self._next_index < len(self._words):
            word = self._next_word("'from' or 'until'")
            if word.text not in ("from", "until"):
                message = f"expected 'from', 'until' or a comment, found {word.text!r}"
                raise self._report_malformed(word.column, message)
            if word.text in times:
                message = f"'{word.text}' is given twice"
                raise self._report_malformed(word.column, message)
            times[word.text] = self._read_time()
            column = word.column
        starts, ends = times.get("from"), times.get("until")
        if starts is not None and ends is not None and ends <= starts:
            self._report(column, "'until' must be later than 'from'")
        return starts, ends

    def _read_time(self) -> datetime:
        word = self._next_word("a time")
        message = f"{word.text!r} is not a UTC time such as 2026-12-24T18:00:00Z"
        if not _TIME_PATTERN.fullmatch(word.text):
            raise self._report_malformed(word.column, message)
        try:
            return datetime.strptime(word.text, TIME_FORMAT).replace(tzinfo=UTC)
        except ValueError:
            raise self._report_malformed(word.column, message) from None
