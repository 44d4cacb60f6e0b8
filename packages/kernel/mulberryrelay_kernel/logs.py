"""Logs: one line of key=value pairs for each event, written through eliot."""

import json
import sys
from typing import Any, TextIO

import eliot

SECRET_FIELDS = frozenset({"credential", "authorization"})
REDACTED = "[redacted]"

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
