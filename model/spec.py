"""Specification of the ownership protocol, for bounded model checking with z3.

Three routers compete for the coordinator lease. Router 0 holds it initially, and each
holder names the two others as successors. One router routes requests for one unit, and
two servers either check grants or do not. In each step any time may pass before one
action. Failures need no actions of their own: a lost message, a crash, a pause or a
store outage is an action that never happens. All clocks run at the same rate, so the
margin for clock drift is 0.

Times are small bit vectors: they are large enough for the time span of a bounded run,
and z3 decides them much faster than integers.
"""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

import z3

ROUTERS = range(3)
SERVERS = range(2)

# Durations in ticks; their order is that of the real durations.
LEASE = 3
"""Duration of the coordinator lease."""
BRIDGE = 2
"""How long routing leases and grants may outlive the coordinator lease."""
PROMISE = 4
"""How long a successor promises not to take over the coordinator lease."""
MAX_WAIT = LEASE + BRIDGE
"""Longest time between two actions; waiting longer expires nothing more."""

WIDTH = 7
"""Number of bits of times, terms, epochs and indexes."""
UNREAD = 63
"""Read time of a lease row that a successor has not read yet; later than any time in
a run."""


class Fault(Enum):
    """A protection to leave out of the specification, to test that it is necessary."""

    NONE = "none"
    BRIDGE_NOT_AWAITED = "a new coordinator does not wait for BRIDGE"
    EPOCH_UNCHECKED = "servers do not compare epochs"
    LOST_REPLY_AS_FAILURE = "a lost reply is taken for a failed commit"
    PROMISE_IGNORED = "a successor ignores its promise"
    PROMISE_FROM_ARRIVAL = "the holder counts a promise from its arrival"
    RELEASE_NOT_AWAITED = "the waits after a release are those after an expiry"
    """A new coordinator omits the additional wait of LEASE after a release."""
    LATE_GRANT_ACCEPTED = "a server accepts a late grant after a revocation"


class Action(NamedTuple):
    """An atomic step: enabled if ``guard`` holds; changes only ``updates``."""

    name: str
    guard: Any
    updates: dict[str, Any]


State = dict[str, Any]
"""z3 variables or formulas by name; per-router and per-server names end in an index."""


def _split_names(text: str) -> list[str]:
    return text.split()


# Common state: the clock, the stored lease row and unit, the routing view of the
# router that routes requests, its request, and the last request for promises.
NUMBERS = _split_names(
    "now term holder owner epoch next view_until view_owner view_epoch view_term "
    "request_epoch request_server promise_requested_at promise_request_term "
    "promise_requester"
)
FLAGS = _split_names("released moving view_moving request_sent outdated_request_ran")
# State of each router: its lease and promises, the latest expiry of its routing leases
# and grants, and its cached copy of the stored unit.
ROUTER_NUMBERS = _split_names(
    "own_term lease_until first_read_at promised_until received_promise_until "
    "bridge_start granted_until routing_lease_until cached_owner cached_epoch "
    "cached_next"
)
ROUTER_FLAGS = _split_names(
    "promise_requested promise_replied cached_moving owner_grant_ended commit_unknown"
)
# State of each server: its grant, the lowest epoch that it accepts in a grant, and one
# grant that was sent to it and has not arrived.
SERVER_NUMBERS = _split_names(
    "grant_until grant_epoch grant_term min_epoch pending_until pending_epoch "
    "pending_term"
)
SERVER_FLAGS = _split_names("grant_pending")


def variables(step: int) -> State:
    """Return the z3 variables of the state before a step."""
    state: State = {}

    def add(name: str, is_flag: bool) -> None:
        label = f"{name}@{step}"
        state[name] = z3.Bool(label) if is_flag else z3.BitVec(label, WIDTH)

    for numbers, flags, indexes in (
        (ROUTER_NUMBERS, ROUTER_FLAGS, ROUTERS),
        (SERVER_NUMBERS, SERVER_FLAGS, SERVERS),
    ):
        for index in indexes:
            for name in numbers:
                add(f"{name}{index}", False)
            for name in flags:
                add(f"{name}{index}", True)
    for name in NUMBERS:
        add(name, False)
    for name in FLAGS:
        add(name, True)
    return state


def initial(state: State) -> list[Any]:
    """Return the constraints of the initial state.

    Router 0 has just renewed its lease, granted the unit to server 0 and given the
    router its routing lease. All other variables are 0 or false.
    """
    initial_values = {
        "term": 1,
        "epoch": 1,
        "own_term0": 1,
        "lease_until0": LEASE,
        "granted_until0": LEASE + BRIDGE,
        "routing_lease_until0": LEASE + BRIDGE,
        "cached_epoch0": 1,
        "grant_until0": LEASE + BRIDGE,
        "grant_epoch0": 1,
        "grant_term0": 1,
        "view_until": LEASE + BRIDGE,
        "view_epoch": 1,
        "view_term": 1,
    }
    return [
        z3.Not(variable)
        if z3.is_bool(variable)
        else variable == initial_values.get(name, 0)
        for name, variable in state.items()
    ]


def actions(state: State, fault: Fault, checks_grants: bool) -> Iterator[Action]:
    """Yield every action in ``state``, whose ``now`` is the time of the action."""
    for router in ROUTERS:
        yield from _lease_actions(state, router, fault)
        yield from _promise_actions(state, router, fault)
        yield from _routing_lease_and_grant_actions(state, router)
        yield from _move_actions(state, router, fault, checks_grants)
    yield from _request_actions(state, fault)


def violations(state: State, checks_grants: bool) -> dict[str, Any]:
    """Return the negated invariants by the name of the violation."""
    now = state["now"]
    is_holder = [state[f"lease_until{router}"] > now for router in ROUTERS]
    if not checks_grants:
        # Such a server runs every request that it receives, so only the routing lease
        # prevents a router from sending requests to a former owner.
        may_send = z3.And(state["view_until"] > now, z3.Not(state["view_moving"]))
        return {
            "two lease holders": z3.AtLeast(*is_holder, 2),
            "router sends requests with an outdated epoch": z3.And(
                may_send, state["view_epoch"] != state["epoch"]
            ),
        }
    has_grant = [state[f"grant_until{server}"] > now for server in SERVERS]
    return {
        "two lease holders": z3.AtLeast(*is_holder, 2),
        "two servers with a valid grant": z3.AtLeast(*has_grant, 2),
        "valid grant differs from the stored unit": z3.Or(
            *(
                z3.And(
                    has_grant[server],
                    z3.Or(
                        state["owner"] != server,
                        state[f"grant_epoch{server}"] != state["epoch"],
                    ),
                )
                for server in SERVERS
            )
        ),
        "request with an outdated epoch ran": state["outdated_request_ran"],
    }


def _maximum(left: Any, right: Any) -> Any:
    return z3.If(left > right, left, right)


def _minimum(left: Any, right: Any) -> Any:
    return z3.If(left < right, left, right)


def _invalidate_row_reads(router: int) -> State:
    """Return the updates that make the other routers read the lease row again."""
    return {f"first_read_at{other}": UNREAD for other in ROUTERS if other != router}


def _lease_actions(state: State, router: int, fault: Fault) -> Iterator[Action]:
    """Yield renewal, release and takeover of the coordinator lease."""
    now = state["now"]
    own_term = state[f"own_term{router}"]
    is_current_holder = z3.And(state["holder"] == router, own_term == state["term"])
    yield Action(
        f"router {router} renews the lease",
        z3.And(is_current_holder, state[f"lease_until{router}"] > now),
        {f"lease_until{router}": _maximum(state[f"lease_until{router}"], now + LEASE)}
        | _invalidate_row_reads(router),
    )
    yield Action(
        f"router {router} renews the lease, reply lost",
        z3.And(is_current_holder, state[f"lease_until{router}"] > now),
        _invalidate_row_reads(router),
    )
    yield Action(
        f"router {router} reads the lease row",
        z3.And(state["holder"] != router, state[f"first_read_at{router}"] == UNREAD),
        {f"first_read_at{router}": now},
    )
    yield Action(
        f"router {router} releases the lease",
        z3.And(
            is_current_holder,
            state[f"lease_until{router}"] > now,
            z3.Not(state["released"]),
        ),
        {f"lease_until{router}": z3.BitVecVal(0, WIDTH), "released": z3.BoolVal(True)}
        | _invalidate_row_reads(router),
    )
    takeover_conditions = [
        state[f"first_read_at{router}"] != UNREAD,
        now >= state[f"first_read_at{router}"] + LEASE,
    ]
    if fault is not Fault.PROMISE_IGNORED:
        takeover_conditions.append(now >= state[f"promised_until{router}"])
    # Routing leases of a holder that released may be based on a full lease.
    bridge_start = now + z3.If(state["released"], z3.BitVecVal(LEASE, WIDTH), 0)
    if fault is Fault.RELEASE_NOT_AWAITED:
        bridge_start = now
    yield Action(
        f"router {router} takes over the lease",
        z3.And(
            state["holder"] != router,
            z3.Or(state["released"], z3.And(*takeover_conditions)),
        ),
        {
            "released": z3.BoolVal(False),
            "term": state["term"] + 1,
            "holder": z3.BitVecVal(router, WIDTH),
            f"own_term{router}": state["term"] + 1,
            f"lease_until{router}": now + LEASE,
            f"bridge_start{router}": bridge_start,
            f"granted_until{router}": z3.BitVecVal(0, WIDTH),
            f"routing_lease_until{router}": z3.BitVecVal(0, WIDTH),
            f"owner_grant_ended{router}": z3.BoolVal(False),
        }
        | _cache_stored_unit(state, router)
        | _invalidate_row_reads(router),
    )


def _cache_stored_unit(state: State, router: int) -> State:
    """Return the updates that copy the stored unit to the router's cache."""
    return {
        f"cached_owner{router}": state["owner"],
        f"cached_epoch{router}": state["epoch"],
        f"cached_next{router}": state["next"],
        f"cached_moving{router}": state["moving"],
        f"commit_unknown{router}": z3.BoolVal(False),
    }


def _promise_actions(state: State, router: int, fault: Fault) -> Iterator[Action]:
    """Yield requests for promises, promises, and the extension of the lease by them.

    Only the last request is modelled; messages of earlier ones count as lost.
    """
    now = state["now"]
    others = [other for other in ROUTERS if other != router]
    zero = z3.BitVecVal(0, WIDTH)
    yield Action(
        f"router {router} requests promises",
        z3.And(state[f"own_term{router}"] > 0, state[f"lease_until{router}"] > now),
        {
            "promise_requested_at": now,
            "promise_request_term": state[f"own_term{router}"],
            "promise_requester": z3.BitVecVal(router, WIDTH),
        }
        | {
            f"promise_requested{other}": z3.BoolVal(other != router)
            for other in ROUTERS
        }
        | {f"promise_replied{other}": z3.BoolVal(False) for other in ROUTERS}
        | {f"received_promise_until{other}": zero for other in ROUTERS},
    )
    yield Action(
        f"router {router} promises",
        z3.And(
            state[f"promise_requested{router}"],
            state[f"own_term{router}"] <= state["promise_request_term"],
        ),
        {
            f"promised_until{router}": _maximum(
                state[f"promised_until{router}"], now + PROMISE
            ),
            f"promise_requested{router}": z3.BoolVal(False),
            f"promise_replied{router}": z3.BoolVal(True),
        },
    )
    counts_from_arrival = fault is Fault.PROMISE_FROM_ARRIVAL
    yield Action(
        f"promise of router {router} arrives",
        state[f"promise_replied{router}"],
        {
            f"promise_replied{router}": z3.BoolVal(False),
            f"received_promise_until{router}": (
                now if counts_from_arrival else state["promise_requested_at"]
            )
            + PROMISE,
        },
    )
    until = _minimum(*(state[f"received_promise_until{other}"] for other in others))
    yield Action(
        f"router {router} extends the lease by promises",
        z3.And(
            state["promise_requester"] == router,
            state["promise_request_term"] == state[f"own_term{router}"],
            state[f"lease_until{router}"] > now,
            until > state[f"lease_until{router}"],
        ),
        {f"lease_until{router}": until},
    )


def _routing_lease_and_grant_actions(state: State, router: int) -> Iterator[Action]:
    """Yield the routing leases and grants that a coordinator gives."""
    now = state["now"]
    lease_left = state[f"lease_until{router}"] - now
    may_issue = z3.And(
        state[f"lease_until{router}"] > now, z3.Not(state[f"commit_unknown{router}"])
    )
    until = now + _minimum(z3.BitVecVal(LEASE, WIDTH), lease_left) + BRIDGE
    own_term = state[f"own_term{router}"]
    yield Action(
        f"router {router} gives a routing lease",
        z3.And(may_issue, own_term >= state["view_term"]),
        {
            "view_until": _maximum(state["view_until"], until),
            "view_term": own_term,
            "view_owner": state[f"cached_owner{router}"],
            "view_epoch": state[f"cached_epoch{router}"],
            "view_moving": state[f"cached_moving{router}"],
            f"routing_lease_until{router}": _maximum(
                state[f"routing_lease_until{router}"], until
            ),
        },
    )
    for server in SERVERS:
        may_grant = z3.And(
            may_issue,
            z3.Not(state[f"owner_grant_ended{router}"]),
            state[f"cached_owner{router}"] == server,
        )
        granted = {
            f"granted_until{router}": _maximum(state[f"granted_until{router}"], until)
        }
        yield Action(
            f"router {router} sends a grant to server {server}",
            may_grant,
            {
                f"grant_pending{server}": z3.BoolVal(True),
                f"pending_until{server}": until,
                f"pending_epoch{server}": state[f"cached_epoch{router}"],
                f"pending_term{server}": own_term,
            }
            | granted,
        )
        if router == 0:
            yield _grant_arrives(state, server)


def _grant_arrives(state: State, server: int) -> Action:
    """Return the arrival of a grant; the server rejects outdated terms and epochs."""
    return Action(
        f"grant arrives at server {server}",
        z3.And(
            state[f"grant_pending{server}"],
            state[f"pending_term{server}"] >= state[f"grant_term{server}"],
            state[f"pending_epoch{server}"] >= state[f"min_epoch{server}"],
            state[f"pending_epoch{server}"] >= state[f"grant_epoch{server}"],
        ),
        {
            f"grant_pending{server}": z3.BoolVal(False),
            f"grant_until{server}": _maximum(
                state[f"grant_until{server}"], state[f"pending_until{server}"]
            ),
            f"grant_epoch{server}": state[f"pending_epoch{server}"],
            f"grant_term{server}": state[f"pending_term{server}"],
        },
    )


def _move_actions(
    state: State, router: int, fault: Fault, checks_grants: bool
) -> Iterator[Action]:
    """Yield the steps of a move: commit as moving, revoke or wait, commit the owner."""
    now = state["now"]
    own_term = state[f"own_term{router}"]
    moving = state[f"cached_moving{router}"]
    # A commit requires the stored term to be unchanged and a valid lease at its start.
    can_commit = z3.And(
        own_term == state["term"],
        state[f"lease_until{router}"] > now,
        z3.Not(state[f"commit_unknown{router}"]),
    )
    for server in SERVERS:
        # A move to the same server models an override: only the epoch increases.
        target = z3.BitVecVal(server, WIDTH)
        yield Action(
            f"router {router} commits move to server {server}",
            z3.And(can_commit, z3.Not(moving)),
            {
                "moving": z3.BoolVal(True),
                "next": target,
                f"cached_moving{router}": z3.BoolVal(True),
                f"cached_next{router}": target,
            },
        )
    bridge_over = now >= state[f"bridge_start{router}"] + BRIDGE
    if fault is Fault.BRIDGE_NOT_AWAITED:
        bridge_over = z3.BoolVal(True)
    routing_leases_over = z3.And(
        bridge_over, now >= state[f"routing_lease_until{router}"]
    )
    router_drained = z3.And(
        state["view_term"] == own_term,
        state["view_moving"],
        z3.Not(state["request_sent"]),
    )
    grant_ended = {f"owner_grant_ended{router}": z3.BoolVal(True)}
    for server in SERVERS:
        min_epoch = state[f"cached_epoch{router}"] + 1
        if fault is Fault.LATE_GRANT_ACCEPTED:
            min_epoch = state[f"min_epoch{server}"]
        yield Action(
            f"router {router} revokes the grant of server {server}",
            z3.And(
                can_commit,
                moving,
                state[f"cached_owner{router}"] == server,
                own_term >= state[f"grant_term{server}"],
                z3.Or(router_drained, routing_leases_over),
            ),
            {
                f"grant_until{server}": z3.BitVecVal(0, WIDTH),
                f"grant_term{server}": own_term,
                f"min_epoch{server}": min_epoch,
            }
            | grant_ended,
        )
    grants_over = z3.And(bridge_over, now >= state[f"granted_until{router}"])
    if not checks_grants:
        grants_over = z3.Or(router_drained, routing_leases_over)
    yield Action(
        f"router {router} has waited for expiry",
        z3.And(can_commit, moving, grants_over),
        grant_ended,
    )
    can_commit_owner = z3.And(can_commit, moving, state[f"owner_grant_ended{router}"])
    stored_unit = {
        "owner": state[f"cached_next{router}"],
        "epoch": state["epoch"] + 1,
        "moving": z3.BoolVal(False),
    }
    move_finished = {f"cached_moving{router}": z3.BoolVal(False)} | {
        f"owner_grant_ended{router}": z3.BoolVal(False)
    }
    cached_unit = {
        f"cached_owner{router}": state[f"cached_next{router}"],
        f"cached_epoch{router}": state["epoch"] + 1,
    }
    yield Action(
        f"router {router} commits the new owner",
        can_commit_owner,
        stored_unit | move_finished | cached_unit,
    )
    commit_unknown = {f"commit_unknown{router}": z3.BoolVal(True)}
    yield Action(
        f"router {router} commits the new owner, reply lost",
        can_commit_owner,
        stored_unit
        | (move_finished if fault is Fault.LOST_REPLY_AS_FAILURE else commit_unknown),
    )
    yield Action(
        f"router {router} reads the unit back",
        z3.And(state[f"commit_unknown{router}"], own_term == state["term"]),
        move_finished | _cache_stored_unit(state, router),
    )


def _request_actions(state: State, fault: Fault) -> Iterator[Action]:
    """Yield sending a request with the routing view, and running it at a server."""
    now = state["now"]
    yield Action(
        "request sent",
        z3.And(
            state["view_until"] > now,
            z3.Not(state["view_moving"]),
            z3.Not(state["request_sent"]),
        ),
        {
            "request_sent": z3.BoolVal(True),
            "request_epoch": state["view_epoch"],
            "request_server": state["view_owner"],
        },
    )
    for server in SERVERS:
        accepted = [
            state["request_sent"],
            state["request_server"] == server,
            state[f"grant_until{server}"] > now,
        ]
        if fault is not Fault.EPOCH_UNCHECKED:
            accepted.append(state[f"grant_epoch{server}"] == state["request_epoch"])
        yield Action(
            f"request runs at server {server}",
            z3.And(*accepted),
            {
                "request_sent": z3.BoolVal(False),
                "outdated_request_ran": state["request_epoch"] != state["epoch"],
            },
        )
