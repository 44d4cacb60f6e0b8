"""Structured logging through eliot: one line of key=value pairs per event."""

import json
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import eliot

# Fields whose values are replaced by REDACTED in the output.
SECRET_FIELDS = frozenset({"credential", "authorization"})
REDACTED = "[redacted]"

# Fields that eliot adds to each message and that are left out of the line.
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "message_type", "action_type"})


def log_event(event: str, **fields: Any) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=event, **fields)


def write_lines_to(stream: TextIO = sys.stderr) -> None:
    """Write each event as one key=value line to ``stream``."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_line(message) + "\n")
        stream.flush()

    eliot.add_destinations(write)


class BoundedWriter:
    """Writes lines to a file descriptor and never blocks.

    Lines beyond ``lines_per_second``, and lines that come while the pipe is full, are
    dropped and counted. The count is logged as ``log_dropped`` with the next line that
    can be written.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._clock = clock
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last ``log_dropped`` event."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, or drop it if it exceeds the rate or would block."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second > self._lines_per_second or not self._flush():
            self._dropped += 1
            return
        report = ""
        if self._dropped:
            report = f"event=log_dropped lines={self._dropped}\n"
            self._dropped = 0
        self._unwritten = f"{report}{line}\n".encode()
        self._flush()

    def _flush(self) -> bool:
        """Write the unwritten bytes; return whether all of them were written."""
        try:
            while self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except OSError:
            # The reader is slow, or has closed its end.
            return False
        return True


def write_bounded_lines_to(descriptor: int, lines_per_second: int) -> BoundedWriter:
    """Write each event as one line to a file descriptor through a BoundedWriter."""
    writer = BoundedWriter(descriptor, lines_per_second)
    eliot.add_destinations(lambda message: writer.write(format_line(message)))
    return writer


class _LibraryLogHandler(logging.Handler):
    """Logs the records of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            "library_log",
            logger=record.name,
            level=record.levelname,
            message=record.getMessage(),
            error=repr(error) if error is not None else "",
        )


def log_library_records() -> None:
    """Log warnings and errors of libraries as events.

    Otherwise Python writes them to stderr with stack traces, without a bound and
    blocking, for example one for each malformed request.
    """
    logging.getLogger().addHandler(_LibraryLogHandler(logging.WARNING))


def format_line(message: dict[str, Any]) -> str:
    """Return the key=value line of an eliot message."""
    event = message.get("message_type") or message.get("action_type", "event")
    pairs = [f"time={message.get('timestamp', 0):.6f}", f"event={event}"]
    for name, value in message.items():
        if name in _ELIOT_FIELDS or name == "timestamp":
            continue
        if name in SECRET_FIELDS:
            value = REDACTED
        pairs.append(f"{name}={_format_value(value)}")
    return " ".join(pairs)


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if not text or any(c in text for c in ' "=\n\r\t'):
        return json.dumps(text)
    return text
