"""Answers of ``mulberryctl`` as text for people."""

from collections.abc import Sequence
from datetime import UTC, datetime

from mulberryrelay_kernel.messages import (
    AdminError,
    EdgeStatus,
    RouterStatus,
    RulesChecked,
    RulesPlan,
    RulesRow,
)


def checked_text(answer: RulesChecked) -> str:
    """Return the findings and warnings, or a line that there are none."""
    lines = [*answer.findings, *answer.warnings]
    if not answer.findings:
        lines.append("no findings")
    return "\n".join(lines)


def plan_text(plan: RulesPlan) -> str:
    """Return the changes and moves of a plan."""
    lines = list(plan.warnings)
    if not plan.changes:
        lines.append(f"no changes against version {plan.base}")
        return "\n".join(lines)
    lines.append(f"changes against version {plan.base}:")
    for change in plan.changes:
        before, after = change.before or "none", change.after or "none"
        lines.append(f"  {change.kind} {change.subject}: {before} -> {after}")
    lines.append(f"units that would move: {len(plan.moves)}")
    for move in plan.moves:
        target = move.target or "any server"
        when = f" from {move.starts}" if move.starts else ""
        lines.append(
            f"  {move.service} {move.unit}: {move.owner or 'no owner'} ->"
            f" {target} ({move.reason}){when}"
        )
    return "\n".join(lines)


def status_text(status: RouterStatus) -> str:
    """Return the status of a router and the rules of all routers."""
    rules = status.rules
    stored = "not known, the store does not answer"
    if rules.store_reached:
        stored = _row_text(rules.stored) if rules.stored else "none"
    lines = [
        f"router {status.instance} ({status.data_centre}) of {status.tenant}:"
        f" {'ready' if status.ready else 'not ready'}",
        f"term {status.term}, assignment {status.assignment}, {status.servers} servers",
        f"rules stored: {stored}",
        f"rules applied by this router: {rules.applied}",
    ]
    if rules.rejected is not None:
        lines.append(f"rules that this router could not apply: {rules.rejected}")
    in_force = "not known" if rules.in_force is None else str(rules.in_force)
    lines.append(f"rules in force at every live router: {in_force}")
    for router in rules.routers:
        lease = f"routing lease {router.lease_left_ms:.0f} ms"
        if router.lease_left_ms <= 0:
            lease = "no routing lease"
        lines.append(f"  {router.instance}: version {router.version}, {lease}")
    return "\n".join(lines)


def edge_status_text(status: EdgeStatus) -> str:
    """Return an edge router's status with one line for each range."""
    store = "answers"
    if not status.store_answers:
        store = f"silent for {status.store_silent_ms / 1000:.1f} s"
    lines = [
        f"router {status.instance}: {status.role}, {status.in_flight} requests in"
        f" flight, {status.waiting} waiting",
        f"leader: term {status.term} at {status.leader_url or 'no address'},"
        f" {status.routers} routers",
        f"store: {store}",
        f"routes: version {status.routes_version},"
        f" in force for {status.routes_age_ms / 1000:.1f} s; {status.servers} servers",
    ]
    if status.silent_servers:
        lines.append(f"servers without grants: {', '.join(status.silent_servers)}")
    for service in status.services:
        lines.append(f"{service.service}: ranges of row version {service.row_version}")
        for part in service.ranges:
            line = f"  {part.first}-{part.last} {part.server} fence {part.fence}"
            if part.next_server:
                line += f", moves to {part.next_server}"
            if part.hold_left_ms is not None:
                line += f", held for at most {part.hold_left_ms / 1000:.1f} s"
            lines.append(line)
    return "\n".join(lines)


def history_text(rows: Sequence[RulesRow]) -> str:
    """Return one line for each version."""
    return "\n".join(_row_text(row) for row in rows) or "no version was submitted"


def error_text(error: AdminError) -> str:
    """Return an error with the findings or the other operator's change."""
    lines = [*error.findings, f"{error.error}: {error.detail}"]
    if error.current is not None:
        lines.append(f"current: {_row_text(error.current)}")
    if error.diff:
        lines.append(error.diff)
    return "\n".join(lines)


def _row_text(row: RulesRow) -> str:
    time = datetime.fromtimestamp(row.submitted_s, UTC)
    return f"version {row.version} by {row.submitter} at {time:%Y-%m-%dT%H:%M:%SZ}"
