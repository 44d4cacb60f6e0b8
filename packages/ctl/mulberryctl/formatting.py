"""Formats responses of the administration API as text for operators."""

from collections.abc import Sequence
from datetime import UTC, datetime

from mulberryrelay_kernel.messages import (
    AdminError,
    EdgeDecision,
    EdgeExplanation,
    EdgeServerExplanation,
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


def format_edge_explanation(explanation: EdgeExplanation) -> str:
    """Return where an edge router would send a request, with a line per server."""
    lines = [
        f"router {explanation.instance}: route {explanation.route or 'none matches'}"
        f" (routes version {explanation.routes_version},"
        f" in force for {explanation.routes_age_ms / 1000:.1f} s)",
        f"servers as of {explanation.view_age_ms / 1000:.1f} s ago",
    ]
    if explanation.store_unreachable_ms > 0:
        silent_s = explanation.store_unreachable_ms / 1000
        lines.append(f"store: unreachable for {silent_s:.1f} s")
    if explanation.evacuated:
        lines.append(f"evacuated: {', '.join(explanation.evacuated)}")
    for decision in explanation.decisions:
        lines.extend(_format_decision(decision))
    return "\n".join(lines)


def _format_decision(decision: EdgeDecision) -> list[str]:
    target = f" to {decision.server}" if decision.server else ""
    lines = [
        f"{decision.service} (weight {decision.weight}): {decision.outcome}{target},"
        f" {decision.reason}",
        f"  {decision.queued} queued, expected wait {decision.expected_wait_ms:.0f} of"
        f" {decision.allowed_wait_ms:.0f} ms",
    ]
    if decision.key is not None:
        moving = f", moving to {decision.next_owner}" if decision.next_owner else ""
        owner = decision.owner or "nobody"
        lines.append(f"  key {decision.key} owned by {owner}{moving}")
    ordered = sorted(
        decision.servers, key=lambda s: (not s.is_chosen, not s.is_candidate, s.server)
    )
    lines.extend(_format_explained_server(server) for server in ordered)
    return lines


def _format_explained_server(server: EdgeServerExplanation) -> str:
    mark = "*" if server.is_chosen else " "
    age = "no report"
    if server.load_age_ms is not None:
        age = f"{server.load_age_ms / 1000:.1f} s old"
    line = (
        f" {mark} {server.server} ({server.data_centre}): load {server.load:.1f} of"
        f" {server.slots} slots ({age}), {server.in_flight} of {server.window:.1f} in"
        f" flight here, slowdown {server.slowdown:.1f}"
    )
    if server.limit_per_s is not None:
        line += f", limit {server.limit_per_s:.1f}/s"
    if server.is_cold:
        line += ", cold"
    return f"{line}: {'; '.join(server.reasons)}" if server.reasons else line


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
