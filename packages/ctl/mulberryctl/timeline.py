"""Extracts the events of one request from log lines, and events that explain them."""

import shlex
from collections.abc import Iterable

import msgspec

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
"""Events that change a router's local view and so explain its later decisions."""
CONTEXT_BEFORE_S = 3.0
"""Time before the request's first event in which context events are included."""


class LogLine(msgspec.Struct, frozen=True):
    """One log event of a router."""

    time_s: float
    event: str
    fields: dict[str, str]
    source: str
    """Text before the event in the line, such as the name of a machine."""


def parse_line(line: str) -> LogLine | None:
    """Return the event of a log line, or None if the line contains none."""
    start = line.find("time=")
    if start < 0:
        return None
    try:
        tokens = shlex.split(line[start:])
    except ValueError:
        return None
    fields = dict(token.split("=", 1) for token in tokens if "=" in token)
    event = fields.pop("event", "")
    try:
        time_s = float(fields.pop("time"))
    except ValueError:
        return None
    return LogLine(time_s, event, fields, line[:start].strip())


def find_timeline(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the events of a request and the context events that may explain them.

    A context event is included if it is from the same source and not long before the
    request, and if its server and service, where it has them, are among the request's.
    """
    events = [event for line in lines if (event := parse_line(line)) is not None]
    request_events = [e for e in events if e.fields.get("request_id") == request_id]
    if not request_events:
        return []
    first_s = min(event.time_s for event in request_events) - CONTEXT_BEFORE_S
    last_s = max(event.time_s for event in request_events)
    servers = {e.fields["server"] for e in request_events if "server" in e.fields}
    services = {e.fields["service"] for e in request_events if "service" in e.fields}
    sources = {event.source for event in request_events}
    timeline = list(request_events)
    for event in events:
        if event.event not in CONTEXT_EVENTS or event.source not in sources:
            continue
        if not first_s <= event.time_s <= last_s:
            continue
        if event.fields.get("server", "") not in servers | {""}:
            continue
        if event.fields.get("service", "") not in services | {""}:
            continue
        timeline.append(event)
    return sorted(timeline, key=lambda event: event.time_s)


def format_timeline(timeline: list[LogLine]) -> str:
    """Return one line for each event, with the seconds since the first event."""
    lines = []
    for event in timeline:
        fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
        elapsed_s = event.time_s - timeline[0].time_s
        lines.append(f"{elapsed_s:8.3f} s  {event.source} {event.event} {fields}")
    return "\n".join(lines)
