"""Formats responses of the administration API as text for operators."""

from collections.abc import Sequence
from datetime import UTC, datetime

from mulberryrelay_kernel.messages import (
    AdminError,
    EdgeStatus,
    RouterStatus,
    RulesCheckResponse,
    RulesPlan,
    RulesRow,
)


def format_check(check: RulesCheckResponse) -> str:
    """Return the findings and warnings of a check, one on each line."""
    lines = [*check.findings, *check.warnings]
    if not check.findings:
        lines.append("no findings")
    return "\n".join(lines)


def format_plan(plan: RulesPlan) -> str:
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


def format_status(status: RouterStatus) -> str:
    """Return a router's status, with the rules version of every router."""
    rules = status.rules
    stored = "unknown, the store is not reachable"
    if rules.store_reached:
        stored = _format_version(rules.stored) if rules.stored else "none"
    lines = [
        f"router {status.instance} ({status.data_centre}) of {status.tenant}:"
        f" {'ready' if status.ready else 'not ready'}",
        f"term {status.term}, assignment {status.assignment}, {status.servers} servers",
        f"rules stored: {stored}",
        f"rules applied by this router: {rules.applied}",
    ]
    if rules.rejected is not None:
        lines.append(f"rules rejected by this router: {rules.rejected}")
    in_force = "unknown" if rules.in_force is None else str(rules.in_force)
    lines.append(f"rules in force at every live router: {in_force}")
    for router in rules.routers:
        lease = f"routing lease {router.lease_left_ms:.0f} ms"
        if router.lease_left_ms <= 0:
            lease = "no routing lease"
        lines.append(f"  {router.instance}: version {router.version}, {lease}")
    return "\n".join(lines)


def format_edge_status(status: EdgeStatus) -> str:
    """Return an edge router's status with one line for each range."""
    store = "reachable"
    if not status.is_store_reachable:
        store = f"unreachable for {status.store_unreachable_ms / 1000:.1f} s"
    lines = [
        f"router {status.instance}: {status.role}, {status.in_flight} requests in"
        f" flight, {status.waiting} queued",
        f"leader: term {status.term} at {status.leader_url or 'no address'},"
        f" {status.routers} routers",
        f"store: {store}",
        f"routes: version {status.routes_version},"
        f" in force for {status.routes_age_ms / 1000:.1f} s; {status.servers} servers",
    ]
    if status.unreachable_servers:
        lines.append(f"servers without grants: {', '.join(status.unreachable_servers)}")
    for service in status.services:
        lines.append(f"{service.service}: ranges of row version {service.row_version}")
        for key_range in service.ranges:
            line = (
                f"  {key_range.first}-{key_range.last} {key_range.server}"
                f" fence {key_range.fence}"
            )
            if key_range.next_server:
                line += f", moving to {key_range.next_server}"
            if key_range.grant_left_ms is not None:
                line += f", grant expires within {key_range.grant_left_ms / 1000:.1f} s"
            lines.append(line)
    return "\n".join(lines)


def format_history(rows: Sequence[RulesRow]) -> str:
    """Return one line for each version of the rules."""
    return "\n".join(_format_version(row) for row in rows) or "no version was submitted"


def format_error(error: AdminError) -> str:
    """Return an error with its findings, or with the version that conflicts."""
    lines = [*error.findings, f"{error.error}: {error.detail}"]
    if error.current is not None:
        lines.append(f"current: {_format_version(error.current)}")
    if error.diff:
        lines.append(error.diff)
    return "\n".join(lines)


def _format_version(row: RulesRow) -> str:
    submitted = datetime.fromtimestamp(row.submitted_s, UTC)
    return f"version {row.version} by {row.submitter} at {submitted:%Y-%m-%dT%H:%M:%SZ}"
