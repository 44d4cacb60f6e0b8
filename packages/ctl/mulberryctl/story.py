"""Finds in log lines what became of one request, and what was going on around it."""

import shlex
from collections.abc import Iterable

import msgspec

# Events that change what a router believes, and so explain its later decisions.
CONTEXT_EVENTS = frozenset(
    {
        "history_lost",
        "leader_acquired",
        "leader_lost",
        "leader_released",
        "lease_troubled",
        "log_dropped",
        "move_completed",
        "ranges_applied",
        "routes_applied",
        "server_absent",
        "server_ejected",
        "server_gone",
        "server_listed",
        "server_replaced",
        "server_silent",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
    }
)
CONTEXT_BEFORE_S = 3.0


class LogLine(msgspec.Struct, frozen=True):
    """One event of a router."""

    time_s: float
    event: str
    fields: dict[str, str]
    source: str
    """What stands before the event, such as the name of a machine."""


def parse_line(line: str) -> LogLine | None:
    """Return the event of a line, or None if it has none."""
    start = line.find("time=")
    if start < 0:
        return None
    try:
        words = shlex.split(line[start:])
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    event = fields.pop("event", "")
    try:
        time_s = float(fields.pop("time"))
    except ValueError:
        return None
    return LogLine(time_s, event, fields, line[:start].strip())


def find_story(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the events of a request and those before it that may explain them.

    Of the others, only those count that name one of its servers or services, or none.
    """
    events = [event for line in lines if (event := parse_line(line)) is not None]
    own = [e for e in events if e.fields.get("request_id") == request_id]
    if not own:
        return []
    first_s = min(event.time_s for event in own) - CONTEXT_BEFORE_S
    last_s = max(event.time_s for event in own)
    servers = {e.fields["server"] for e in own if "server" in e.fields}
    services = {e.fields["service"] for e in own if "service" in e.fields}
    sources = {event.source for event in own}
    story = list(own)
    for event in events:
        if event.event not in CONTEXT_EVENTS or event.source not in sources:
            continue
        if not first_s <= event.time_s <= last_s:
            continue
        if event.fields.get("server", "") not in servers | {""}:
            continue
        if event.fields.get("service", "") not in services | {""}:
            continue
        story.append(event)
    return sorted(story, key=lambda event: event.time_s)


def story_text(story: list[LogLine]) -> str:
    """Return a story with times in seconds from its first event."""
    lines = []
    for event in story:
        fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
        elapsed_s = event.time_s - story[0].time_s
        lines.append(f"{elapsed_s:8.3f} s  {event.source} {event.event} {fields}")
    return "\n".join(lines)
