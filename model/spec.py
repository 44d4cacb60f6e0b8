"""Small specification of the ownership protocol, for bounded checking with z3.

Three routers contend for the coordinator lease (router 0 holds it at first, each names
the two others as successors), one router routes requests for one unit, and two servers
check grants or do not. A step lets any time pass and takes one action. Whatever may
fail does so by not happening: a lost message, a crash, a pause or a store outage is an
action that is never taken. All clocks run at the same rate, so that MARGIN is 0 here.

Times are small bit vectors: the horizon of a bounded run fits, and z3 decides them much
faster than integers.
"""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

import z3

ROUTERS = range(3)
SERVERS = range(2)

# Durations in ticks, in the order of the real ones.
LEASE = 3
BRIDGE = 2
PROMISE = 4
MAX_WAIT = LEASE + BRIDGE
"""Longest time between two actions; more brings no further expiry."""

WIDTH = 7
UNREAD = 63
"""Stands for a lease row that a successor has not read yet; beyond every horizon."""


class Fault(Enum):
    """A protection that the specification leaves out."""

    NONE = "none"
    BRIDGE_DROPPED = "a new coordinator does not wait for BRIDGE"
    EPOCH_UNCHECKED = "servers do not compare epochs"
    LOST_REPLY_FAILS = "a lost reply is taken for a failed commit"
    PROMISE_DROPPED = "a successor ignores its promise"
    PROMISE_FROM_ARRIVAL = "the holder counts a promise from its arrival"
    RELEASE_NOT_AWAITED = "the waits after a release are those after an expiry"
    REVOCATION_FORGOTTEN = "a server accepts a late grant after a revocation"


class Action(NamedTuple):
    """An atomic step: possible if ``guard`` holds; the rest of the state stays."""

    name: str
    guard: Any
    updates: dict[str, Any]


State = dict[str, Any]


def _names(text: str) -> list[str]:
    return text.split()


NUMBERS = _names(
    "now term holder owner epoch next view_until view_owner view_epoch view_term "
    "request_epoch request_server asked_at asked_term asker"
)
FLAGS = _names("released moving view_moving request_sent ran_outdated")
ROUTER_NUMBERS = _names(
    "own_term valid first_read promised got taken_over granted_until leased_until "
    "m_owner m_epoch m_next"
)
ROUTER_FLAGS = _names("asked replied m_moving m_revoked m_unknown")
SERVER_NUMBERS = _names(
    "grant_until grant_epoch grant_term least late_until late_epoch late_term"
)
SERVER_FLAGS = _names("late")


def variables(step: int) -> State:
    """Return the variables of the state before a step."""
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
    """Router 0 has just renewed, granted the unit to server 0 and leased the view."""
    known = {
        "term": 1,
        "epoch": 1,
        "own_term0": 1,
        "valid0": LEASE,
        "granted_until0": LEASE + BRIDGE,
        "leased_until0": LEASE + BRIDGE,
        "m_epoch0": 1,
        "grant_until0": LEASE + BRIDGE,
        "grant_epoch0": 1,
        "grant_term0": 1,
        "view_until": LEASE + BRIDGE,
        "view_epoch": 1,
        "view_term": 1,
    }
    return [
        z3.Not(variable) if z3.is_bool(variable) else variable == known.get(name, 0)
        for name, variable in state.items()
    ]


def actions(state: State, fault: Fault, checks_grants: bool) -> Iterator[Action]:
    """Yield every action in ``state``, in which ``now`` has advanced already."""
    for router in ROUTERS:
        yield from _lease_actions(state, router, fault)
        yield from _promise_actions(state, router, fault)
        yield from _lending_actions(state, router)
        yield from _move_actions(state, router, fault, checks_grants)
    yield from _request_actions(state, fault)


def violations(state: State, checks_grants: bool) -> dict[str, Any]:
    """Return the invariants' negations."""
    now = state["now"]
    held = [state[f"valid{router}"] > now for router in ROUTERS]
    if not checks_grants:
        # Such a server runs whatever a router sends, so that the routing lease alone
        # has to keep a router from sending to an earlier owner.
        may_send = z3.And(state["view_until"] > now, z3.Not(state["view_moving"]))
        return {
            "two holders": z3.AtLeast(*held, 2),
            "router sends under an earlier epoch": z3.And(
                may_send, state["view_epoch"] != state["epoch"]
            ),
        }
    served = [state[f"grant_until{server}"] > now for server in SERVERS]
    return {
        "two holders": z3.AtLeast(*held, 2),
        "two servers": z3.AtLeast(*served, 2),
        "server other than stored": z3.Or(
            *(
                z3.And(
                    served[server],
                    z3.Or(
                        state["owner"] != server,
                        state[f"grant_epoch{server}"] != state["epoch"],
                    ),
                )
                for server in SERVERS
            )
        ),
        "request of an earlier epoch has run": state["ran_outdated"],
    }


def _maximum(left: Any, right: Any) -> Any:
    return z3.If(left > right, left, right)


def _minimum(left: Any, right: Any) -> Any:
    return z3.If(left < right, left, right)


def _row_written(router: int) -> State:
    """Return the updates by which the other routers have to read the row again."""
    return {f"first_read{other}": UNREAD for other in ROUTERS if other != router}


def _lease_actions(state: State, router: int, fault: Fault) -> Iterator[Action]:
    now = state["now"]
    own_term = state[f"own_term{router}"]
    in_term = z3.And(state["holder"] == router, own_term == state["term"])
    yield Action(
        f"renew {router}",
        z3.And(in_term, state[f"valid{router}"] > now),
        {f"valid{router}": _maximum(state[f"valid{router}"], now + LEASE)}
        | _row_written(router),
    )
    yield Action(
        f"renew {router}, reply lost",
        z3.And(in_term, state[f"valid{router}"] > now),
        _row_written(router),
    )
    yield Action(
        f"read row {router}",
        z3.And(state["holder"] != router, state[f"first_read{router}"] == UNREAD),
        {f"first_read{router}": now},
    )
    yield Action(
        f"release {router}",
        z3.And(in_term, state[f"valid{router}"] > now, z3.Not(state["released"])),
        {f"valid{router}": z3.BitVecVal(0, WIDTH), "released": z3.BoolVal(True)}
        | _row_written(router),
    )
    unchanged = [
        state[f"first_read{router}"] != UNREAD,
        now >= state[f"first_read{router}"] + LEASE,
    ]
    if fault is not Fault.PROMISE_DROPPED:
        unchanged.append(now >= state[f"promised{router}"])
    # The released holder's routing leases may be based on a full lease.
    begun = now + z3.If(state["released"], z3.BitVecVal(LEASE, WIDTH), 0)
    if fault is Fault.RELEASE_NOT_AWAITED:
        begun = now
    yield Action(
        f"take over {router}",
        z3.And(state["holder"] != router, z3.Or(state["released"], z3.And(*unchanged))),
        {
            "released": z3.BoolVal(False),
            "term": state["term"] + 1,
            "holder": z3.BitVecVal(router, WIDTH),
            f"own_term{router}": state["term"] + 1,
            f"valid{router}": now + LEASE,
            f"taken_over{router}": begun,
            f"granted_until{router}": z3.BitVecVal(0, WIDTH),
            f"leased_until{router}": z3.BitVecVal(0, WIDTH),
            f"m_revoked{router}": z3.BoolVal(False),
        }
        | _memory(state, router)
        | _row_written(router),
    )


def _memory(state: State, router: int) -> State:
    """Return the updates by which a coordinator knows the stored unit."""
    return {
        f"m_owner{router}": state["owner"],
        f"m_epoch{router}": state["epoch"],
        f"m_next{router}": state["next"],
        f"m_moving{router}": state["moving"],
        f"m_unknown{router}": z3.BoolVal(False),
    }


def _promise_actions(state: State, router: int, fault: Fault) -> Iterator[Action]:
    """Only the last question is followed; earlier messages count as lost."""
    now = state["now"]
    others = [other for other in ROUTERS if other != router]
    zero = z3.BitVecVal(0, WIDTH)
    yield Action(
        f"ask {router}",
        z3.And(state[f"own_term{router}"] > 0, state[f"valid{router}"] > now),
        {
            "asked_at": now,
            "asked_term": state[f"own_term{router}"],
            "asker": z3.BitVecVal(router, WIDTH),
        }
        | {f"asked{other}": z3.BoolVal(other != router) for other in ROUTERS}
        | {f"replied{other}": z3.BoolVal(False) for other in ROUTERS}
        | {f"got{other}": zero for other in ROUTERS},
    )
    yield Action(
        f"promise {router}",
        z3.And(
            state[f"asked{router}"], state[f"own_term{router}"] <= state["asked_term"]
        ),
        {
            f"promised{router}": _maximum(state[f"promised{router}"], now + PROMISE),
            f"asked{router}": z3.BoolVal(False),
            f"replied{router}": z3.BoolVal(True),
        },
    )
    from_arrival = fault is Fault.PROMISE_FROM_ARRIVAL
    yield Action(
        f"promise of {router} arrives",
        state[f"replied{router}"],
        {
            f"replied{router}": z3.BoolVal(False),
            f"got{router}": (now if from_arrival else state["asked_at"]) + PROMISE,
        },
    )
    until = _minimum(*(state[f"got{other}"] for other in others))
    yield Action(
        f"extend {router}",
        z3.And(
            state["asker"] == router,
            state["asked_term"] == state[f"own_term{router}"],
            state[f"valid{router}"] > now,
            until > state[f"valid{router}"],
        ),
        {f"valid{router}": until},
    )


def _lending_actions(state: State, router: int) -> Iterator[Action]:
    """Routing leases and grants of a coordinator."""
    now = state["now"]
    left = state[f"valid{router}"] - now
    held = z3.And(state[f"valid{router}"] > now, z3.Not(state[f"m_unknown{router}"]))
    until = now + _minimum(z3.BitVecVal(LEASE, WIDTH), left) + BRIDGE
    own_term = state[f"own_term{router}"]
    yield Action(
        f"routing lease of {router}",
        z3.And(held, own_term >= state["view_term"]),
        {
            "view_until": _maximum(state["view_until"], until),
            "view_term": own_term,
            "view_owner": state[f"m_owner{router}"],
            "view_epoch": state[f"m_epoch{router}"],
            "view_moving": state[f"m_moving{router}"],
            f"leased_until{router}": _maximum(state[f"leased_until{router}"], until),
        },
    )
    for server in SERVERS:
        may_grant = z3.And(
            held,
            z3.Not(state[f"m_revoked{router}"]),
            state[f"m_owner{router}"] == server,
        )
        issued = {
            f"granted_until{router}": _maximum(state[f"granted_until{router}"], until)
        }
        yield Action(
            f"grant of {router} sent to {server}",
            may_grant,
            {
                f"late{server}": z3.BoolVal(True),
                f"late_until{server}": until,
                f"late_epoch{server}": state[f"m_epoch{router}"],
                f"late_term{server}": own_term,
            }
            | issued,
        )
        if router == 0:
            yield _grant_arrives(state, server)


def _grant_arrives(state: State, server: int) -> Action:
    """A server accepts a grant of a term and an epoch that are not outdated."""
    return Action(
        f"grant arrives at {server}",
        z3.And(
            state[f"late{server}"],
            state[f"late_term{server}"] >= state[f"grant_term{server}"],
            state[f"late_epoch{server}"] >= state[f"least{server}"],
            state[f"late_epoch{server}"] >= state[f"grant_epoch{server}"],
        ),
        {
            f"late{server}": z3.BoolVal(False),
            f"grant_until{server}": _maximum(
                state[f"grant_until{server}"], state[f"late_until{server}"]
            ),
            f"grant_epoch{server}": state[f"late_epoch{server}"],
            f"grant_term{server}": state[f"late_term{server}"],
        },
    )


def _move_actions(
    state: State, router: int, fault: Fault, checks_grants: bool
) -> Iterator[Action]:
    now = state["now"]
    own_term = state[f"own_term{router}"]
    moving = state[f"m_moving{router}"]
    # Commits are conditional on the term row, and need the lease when they start.
    commits = z3.And(
        own_term == state["term"],
        state[f"valid{router}"] > now,
        z3.Not(state[f"m_unknown{router}"]),
    )
    for server in SERVERS:
        # A move to the same server stands for an override: only the epoch increases.
        target = z3.BitVecVal(server, WIDTH)
        yield Action(
            f"{router} commits move to {server}",
            z3.And(commits, z3.Not(moving)),
            {
                "moving": z3.BoolVal(True),
                "next": target,
                f"m_moving{router}": z3.BoolVal(True),
                f"m_next{router}": target,
            },
        )
    bridged = now >= state[f"taken_over{router}"] + BRIDGE
    if fault is Fault.BRIDGE_DROPPED:
        bridged = z3.BoolVal(True)
    unleased = z3.And(bridged, now >= state[f"leased_until{router}"])
    drained = z3.And(
        state["view_term"] == own_term,
        state["view_moving"],
        z3.Not(state["request_sent"]),
    )
    revoked = {f"m_revoked{router}": z3.BoolVal(True)}
    for server in SERVERS:
        least = state[f"m_epoch{router}"] + 1
        if fault is Fault.REVOCATION_FORGOTTEN:
            least = state[f"least{server}"]
        yield Action(
            f"{router} revokes at {server}",
            z3.And(
                commits,
                moving,
                state[f"m_owner{router}"] == server,
                own_term >= state[f"grant_term{server}"],
                z3.Or(drained, unleased),
            ),
            {
                f"grant_until{server}": z3.BitVecVal(0, WIDTH),
                f"grant_term{server}": own_term,
                f"least{server}": least,
            }
            | revoked,
        )
    expired = z3.And(bridged, now >= state[f"granted_until{router}"])
    if not checks_grants:
        expired = z3.Or(drained, unleased)
    yield Action(
        f"{router} waits for expiry", z3.And(commits, moving, expired), revoked
    )
    ready = z3.And(commits, moving, state[f"m_revoked{router}"])
    stored = {
        "owner": state[f"m_next{router}"],
        "epoch": state["epoch"] + 1,
        "moving": z3.BoolVal(False),
    }
    done = {f"m_moving{router}": z3.BoolVal(False)} | {
        f"m_revoked{router}": z3.BoolVal(False)
    }
    known = {
        f"m_owner{router}": state[f"m_next{router}"],
        f"m_epoch{router}": state["epoch"] + 1,
    }
    yield Action(f"{router} commits owner", ready, stored | done | known)
    unknown = {f"m_unknown{router}": z3.BoolVal(True)}
    yield Action(
        f"{router} commits owner, reply lost",
        ready,
        stored | (done if fault is Fault.LOST_REPLY_FAILS else unknown),
    )
    yield Action(
        f"{router} reads back",
        z3.And(state[f"m_unknown{router}"], own_term == state["term"]),
        done | _memory(state, router),
    )


def _request_actions(state: State, fault: Fault) -> Iterator[Action]:
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
            f"request runs at {server}",
            z3.And(*accepted),
            {
                "request_sent": z3.BoolVal(False),
                "ran_outdated": state["request_epoch"] != state["epoch"],
            },
        )
