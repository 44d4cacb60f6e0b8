"""Checks the promises by what callers, servers and the operator observe.

A fault disturbs routers, the store or servers for a time. Promises with a time bound
hold only for a router that has been undisturbed for ``CONTACT_S``; ownership, truthful
refusals, whole responses and a single run of each non-idempotent request always hold.
"""

import time
from collections import Counter, defaultdict
from enum import Enum

import msgspec

from standins.edgeserver import Execution
from standins.keyedservers import KeyedServers

from .options import END_S

CONTACT_S = 3.0
"""Time after the end of a disturbance from which on time bounds hold again."""
CHANGE_APPLIES_S = 2.0
"""Time after its acknowledgement in which a change of routes is in force."""
DRAIN_S = 2.0
"""Time after a server has reported that it leaves in which it may get requests."""
OVERLAP_S = 0.5
"""Time for which two servers may have a grant of the same key without requests."""
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
SERVED_SHARE = 0.95
"""Share of the requests that have to be served at the end of a run."""
EARLY_CLOSE_S = 0.2
"""Time after a request in which a stopping router may close its connection unread."""
RELATIVE_SHARE = 2 / 3
"""Share of requests served at routers cut off from the servers, to that elsewhere."""
FAILURES_SLACK = 10
FAILED_SHARE = 0.02
"""Requests that may fail at these routers: ``FAILURES_SLACK`` and this share of all."""
CRASHES = 3
"""Crashes after which a request that causes them is known."""
MAX_LATE_ARRIVALS = 3
"""Arrivals of it allowed from ``CONTACT_S`` after these crashes on."""
STORE = "store"
SERVERS = "servers"
TRUE_REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses which promise that the request has not run and never will."""


class Rule(Enum):
    """A promise that a run checks."""

    ONE_OWNER = "one-owner"
    RUNS_ONCE = "runs-once"
    TRUE_REFUSAL = "true-refusal"
    OWN_RESPONSE = "own-response"
    CHANGE_IN_FORCE = "change-in-force"
    NO_REVERT = "no-revert"
    DRAIN = "drain"
    GRACEFUL_STOP = "graceful-stop"
    LIMIT = "limit"
    CUT_OFF = "cut-off"
    POISON = "poison"
    RECOVERY = "recovery"
    KEEPS_RUNNING = "keeps-running"


class Violation(msgspec.Struct, frozen=True):
    """A broken promise."""

    rule: Rule
    at_s: float
    """Seconds from the start of the run."""
    detail: str


class CallResult(msgspec.Struct, frozen=True):
    """What a caller got for one request; times of the steady clock."""

    request_id: str
    router: str
    path: str
    is_idempotent: bool
    sent_s: float
    ended_s: float
    status: int | None
    """None if the connection ended without a complete response."""


class _Span(msgspec.Struct):
    start_s: float
    end_s: float
    is_planned: bool


class Disturbances:
    """When which part of the system was disturbed."""

    def __init__(self) -> None:
        self._spans: dict[str, list[_Span]] = defaultdict(list)

    def add(
        self, part: str, start_s: float, end_s: float, is_planned: bool = False
    ) -> None:
        """Record a disturbance of a router, ``STORE`` or ``SERVERS``."""
        self._spans[part].append(_Span(start_s, end_s, is_planned))

    def is_calm(
        self, part: str, start_s: float, end_s: float, ignores_planned: bool = False
    ) -> bool:
        """Return whether a part was undisturbed from ``CONTACT_S`` before to an end."""
        return not any(
            span.start_s <= end_s and span.end_s >= start_s - CONTACT_S
            for span in self._spans[part]
            if not (ignores_planned and span.is_planned)
        )

    def are_routers_calm(self, start_s: float, end_s: float) -> bool:
        """Return whether neither the store nor any router was disturbed."""
        return all(
            self.is_calm(part, start_s, end_s)
            for part in list(self._spans)
            if part != SERVERS
        )


class Checks:
    """Records observations and the promises that they break."""

    def __init__(self, servers: KeyedServers) -> None:
        self.disturbances = Disturbances()
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.results: list[CallResult] = []
        self._servers = servers
        self._started_s = time.monotonic()
        self._executions: dict[str, list[Execution]] = defaultdict(list)
        self._contested: dict[tuple[int, int, int], float] = {}
        """Requests begun on a key, by the server and another one that had it too."""
        self._overlaps: dict[tuple[int, str, str], float] = {}
        self._seen: set[tuple[Rule, str]] = set()

    def break_rule(self, rule: Rule, detail: str, subject: str = "") -> None:
        """Record a violation, once for each subject if there is one."""
        if subject:
            if (rule, subject) in self._seen:
                return
            self._seen.add((rule, subject))
        at_s = time.monotonic() - self._started_s
        self.violations.append(Violation(rule, round(at_s, 3), detail))

    def record_execution(self, execution: Execution) -> None:
        """Check that no other server runs requests on the key, and record it."""
        self.counts["executions"] += 1
        self._executions[execution.request_id].append(execution)
        if execution.key is None:
            return
        for other in self._servers.incarnations:
            if other is execution.server or not other.has_grant(execution.key):
                continue
            here, there = execution.server, other
            self._contested[execution.key, id(here), id(there)] = execution.began_s
            if (execution.key, id(there), id(here)) in self._contested:
                names = f"{here.entry.server} and {there.entry.server}"
                self.break_rule(
                    Rule.ONE_OWNER,
                    f"key {execution.key}: {names} began requests while both had it",
                    names,
                )

    def watch_grants(self) -> None:
        """Check for how long two servers have had a grant of the same key."""
        now_s = time.monotonic()
        current: dict[tuple[int, str, str], float] = {}
        for key, names in self._servers.overlaps():
            overlap = (key, str(names[0]), str(names[1]))
            current[overlap] = self._overlaps.get(overlap, now_s)
            if now_s - current[overlap] > OVERLAP_S:
                self.break_rule(
                    Rule.ONE_OWNER,
                    f"key {key}: {names} had it for over {OVERLAP_S} s",
                    f"{names}",
                )
        self._overlaps = current

    def record_result(self, result: CallResult) -> None:
        """Record what a caller got."""
        self.results.append(result)
        self.counts[f"status {result.status}"] += 1

    def check_added_route(
        self, router: str, sent_s: float, is_served: bool, is_expected: bool, path: str
    ) -> None:
        """Check a request on a route that has been there, or not, for a while."""
        self.counts["route checks"] += 1
        now_s = time.monotonic()
        parts = (router, STORE)
        if not all(self.disturbances.is_calm(part, sent_s, now_s) for part in parts):
            return
        if is_served != is_expected:
            detail = f"{path} at {router}: served {is_served}, expected {is_expected}"
            self.break_rule(Rule.CHANGE_IN_FORCE, detail, f"{router}{path}")

    def check_drained(
        self, server: str, left_s: float, arrivals_s: list[float]
    ) -> None:
        """Check that a server got no requests long after it reported that it leaves."""
        late = [time_s for time_s in arrivals_s if time_s > left_s + DRAIN_S]
        self.counts["drained servers"] += 1
        for time_s in late:
            if self.disturbances.are_routers_calm(time_s - DRAIN_S, time_s):
                self.break_rule(
                    Rule.DRAIN,
                    f"{server} got a request {time_s - left_s:.2f} s after it left",
                    server,
                )

    def check_limit(
        self, server: str, limit_per_s: float, told_s: float, arrivals_s: list[float]
    ) -> None:
        """Check how many requests a server got after it had stated a limit.

        A router that was disturbed may send one request before it is told.
        """
        allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        times_s = [time_s for time_s in arrivals_s if time_s >= told_s + CONTACT_S]
        self.counts["limited servers"] += 1
        for start_s in times_s:
            end_s = start_s + LIMIT_WINDOW_S
            most = sum(start_s <= time_s < end_s for time_s in times_s)
            if most > allowed and self.disturbances.are_routers_calm(start_s, end_s):
                self.break_rule(
                    Rule.LIMIT,
                    f"{server} got {most} requests in {LIMIT_WINDOW_S} s, "
                    f"allowed {allowed:.0f}",
                    server,
                )

    def check_cut_off(
        self,
        routers: frozenset[str],
        intact: set[str],
        start_s: float,
        end_s: float,
    ) -> None:
        """Check that callers of routers without links to the servers were served.

        ``intact`` are routers that had all their links meanwhile.
        """
        start_s += CONTACT_S
        parts = (STORE, SERVERS)
        if not all(self.disturbances.is_calm(part, start_s, end_s) for part in parts):
            return
        sent = [r for r in self.results if start_s <= r.sent_s and r.ended_s <= end_s]
        here = [r for r in sent if r.router in routers]
        elsewhere = [r for r in sent if r.router in intact]
        if not elsewhere:
            return
        self.counts["requests at routers cut off"] += len(here)
        failed = sum(result.status != 200 for result in here)
        is_worse = _served_share(here) < RELATIVE_SHARE * _served_share(elsewhere)
        if is_worse and failed > FAILURES_SLACK + FAILED_SHARE * len(sent):
            statuses = dict(Counter(str(result.status) for result in here))
            self.break_rule(
                Rule.CUT_OFF,
                f"{failed} of {len(here)} failed at {sorted(routers)}: {statuses}, "
                f"{_served_share(elsewhere):.2f} of {len(elsewhere)} served elsewhere",
            )

    def check_poison(self, path: str, crashes_s: list[float], end_s: float) -> None:
        """Check a request that has crashed servers, and those beside it.

        It is known as long as one router has gone on.
        """
        self.counts["crashes by poison requests"] += len(crashes_s)
        if len(crashes_s) < CRASHES:
            return
        known_s = crashes_s[CRASHES - 1] + CONTACT_S
        late_s = [time_s for time_s in crashes_s if time_s > known_s]
        routers = {result.router for result in self.results}
        goes_on = any(
            self.disturbances.is_calm(router, crashes_s[0], end_s) for router in routers
        )
        if goes_on and len(late_s) > MAX_LATE_ARRIVALS:
            detail = f"{path} reached servers {len(late_s)} times once it was known"
            self.break_rule(Rule.POISON, detail)
        self.counts["poison requests known"] += 1
        beside = [r for r in self.results if known_s <= r.sent_s and r.ended_s <= end_s]
        is_calm = self.disturbances.are_routers_calm(known_s, end_s)
        if not is_calm or not self.disturbances.is_calm(SERVERS, known_s, end_s, True):
            return
        self.counts["requests beside poison requests"] += len(beside)
        if _served_share(beside) < SERVED_SHARE:
            statuses = dict(Counter(str(result.status) for result in beside))
            self.break_rule(Rule.POISON, f"requests beside {path}: {statuses}")

    def check_end(self, end_s: float) -> None:
        """Check everything that is known only at the end of a run."""
        idempotent = {r.request_id: r.is_idempotent for r in self.results}
        for request_id, executions in self._executions.items():
            if len(executions) > 1 and not idempotent.get(request_id, True):
                names = [run.server.entry.server for run in executions]
                self.break_rule(Rule.RUNS_ONCE, f"{request_id} ran at {names}")
        for result in self.results:
            self._check_result(result)
        last = [r for r in self.results if r.sent_s >= end_s - END_S]
        served = sum(result.status == 200 for result in last)
        self.counts["last requests"] = len(last)
        if not last or served < SERVED_SHARE * len(last):
            statuses = Counter(str(result.status) for result in last)
            self.break_rule(
                Rule.RECOVERY, f"{served} of {len(last)} served: {dict(statuses)}"
            )

    def _check_result(self, result: CallResult) -> None:
        has_run = bool(self._executions.get(result.request_id))
        if result.status in TRUE_REFUSALS and not result.is_idempotent and has_run:
            detail = f"{result.request_id} got {result.status} and has run"
            self.break_rule(Rule.TRUE_REFUSAL, detail)
        if result.status is not None:
            return
        took_s = result.ended_s - result.sent_s
        if took_s < EARLY_CLOSE_S and not has_run:
            return
        parts = (result.router, SERVERS)
        if all(
            self.disturbances.is_calm(part, result.sent_s, result.ended_s, True)
            for part in parts
        ):
            self.break_rule(
                Rule.GRACEFUL_STOP,
                f"{result.request_id} {result.path} at {result.router}: connection "
                f"ended after {took_s:.2f} s, run {has_run}",
            )


def _served_share(results: list[CallResult]) -> float:
    served = sum(result.status == 200 for result in results)
    return served / len(results) if results else 1.0
