"""Tests of store outages and of replacing all routers, with real processes."""

import signal
import sys
import time
import uuid

from standins.deployment import Process

from .fixtures.cluster import (
    KEYS,
    SERVED_AGAIN_S,
    SERVICE_WITH_GRANT_CHECKS,
    SERVICE_WITHOUT_GRANT_CHECKS,
    Cluster,
    cluster,
    load,
    run_concurrently,
    send_request,
)
from .fixtures.operators import (
    CLASSES,
    IN_FORCE_S,
    SETTINGS_WITH_RULES,
    UNKEYED,
    Reply,
    limit,
    limited_classes,
    request,
    submit,
    wait_for,
)
from .fixtures.traces import check, record

SERVERS = {
    "s1": SERVICE_WITH_GRANT_CHECKS,
    "s2": SERVICE_WITH_GRANT_CHECKS,
    "p1": SERVICE_WITHOUT_GRANT_CHECKS,
    "b1": UNKEYED,
}
PAYMENT, BOOKING = CLASSES
# Longer than ``lease_ms`` and ``bridge_ms`` together. Everything that was based on the
# store's last replies has expired by then.
OUTAGE_S = 5.0
OUTAGES: tuple[dict[str, object], ...] = (
    {"mode": "refusing"},
    {"mode": "silent"},
    {"delay_ms": 400},
)
OUTAGE_CAP_MS = 1500
SETTINGS_WITH_SHORT_CAP = {
    **SETTINGS_WITH_RULES,
    "services": {
        name: {**service, "churn_weight": 1.0}
        for name, service in SETTINGS_WITH_RULES["services"].items()
    },
    "timing": {"settle_ms": 100, "outage_cap_ms": OUTAGE_CAP_MS},
}
THREADS = 4
# Keys that ``load`` requests with this many threads.
LOADED = set(KEYS[: THREADS // 2])
# Time until keys are served after all routers were killed. The new routers are not
# successors, so they take over after ``outage_cap_ms``, ``lease_ms`` (500),
# ``margin_ms`` (50) and ``promise_ms`` (1000).
TAKEOVER_AFTER_KILL_S = (OUTAGE_CAP_MS + 500 + 50 + 1000) / 1000 + 2 * SERVED_AGAIN_S


def test_store_outage_stops_only_what_needs_the_store() -> None:
    """Guards against requests that fail in a store outage without needing the store,
    and against payments that run twice."""
    with cluster(SERVERS, SETTINGS_WITH_RULES) as running:
        submit(running, "e1", 0, limit(BOOKING))
        for faults in OUTAGES:
            check_requests_during_outage(running, faults)
        check_router_start_during_outage(running)
        check_server_loss_during_outage(running)
        check_coordinator_loss_during_outage(running)


def check_requests_during_outage(running: Cluster, faults: dict[str, object]) -> None:
    """Check requests during and after an outage that is longer than all leases."""
    name = running.others()[0]
    router = running.routers[name]
    owners = {
        key: send_request(router, SERVICE_WITH_GRANT_CHECKS, key).owner for key in KEYS
    }
    running.deployment.set_faults(**faults)
    begin_s = time.monotonic()
    idempotency_key = uuid.uuid4().hex
    sent = 0
    before = len(running.executions("b1"))
    while time.monotonic() < begin_s + OUTAGE_S:
        for each in running.routers.values():
            for key, owner in list(owners.items())[:8]:
                response = send_request(each, SERVICE_WITH_GRANT_CHECKS, key)
                assert (response.outcome, response.owner) == ("ran", owner), response
            reply = request(each, request_class=PAYMENT)
            assert reply.outcome == "ran", (faults, reply)
            sent += 1
        reply = request(router, request_class=PAYMENT, idempotency_key=idempotency_key)
        assert (reply.status, reply.outcome) == (503, "unknown"), (faults, reply)
    assert len(running.executions("b1")) - before == sent, faults
    assert limited_classes(router) == frozenset({BOOKING})
    running.deployment.set_faults()
    wait_for(lambda: pay(router, idempotency_key).outcome == "ran", SERVED_AGAIN_S)
    pay(router, idempotency_key)
    runs = [
        r for r in running.executions("b1") if r["idempotency_key"] == idempotency_key
    ]
    assert len(runs) == 1, (faults, runs)


def check_router_start_during_outage(running: Cluster) -> None:
    """Start routers that find the coordinator by settings, instance list or not at all.

    No router may serve requests before it has the rules in force.
    """
    peers = [f"127.0.0.1:{r.port('peer_port')}" for r in running.routers.values()]
    running.deployment.set_faults(mode="refusing")
    alone = running.deployment.start_router("alone", "b", wait=False)
    begin_s = time.monotonic()
    joined = running.deployment.start_router("joined", "b", wait=False, peers=peers)
    joined.wait_for("event=ready")
    print_duration("router started during an outage: ready", time.monotonic() - begin_s)
    listed = running.deployment.start_router("listed", "b", wait=False)
    assert limited_classes(alone) is None
    running.deployment.set_faults(mode="refusing", keep_list=True)
    listed.wait_for("event=ready")
    for router in (joined, listed):
        assert send_request(router, SERVICE_WITH_GRANT_CHECKS, KEYS[0]).outcome == "ran"
        assert limited_classes(router) == frozenset({BOOKING})
    running.deployment.set_faults()
    wait_for(lambda: limited_classes(alone) == frozenset({BOOKING}), IN_FORCE_S)
    for router in (joined, alone, listed):
        router.signal(signal.SIGTERM)
        assert router.wait() == 0
    running.wait_until_ready()


def check_server_loss_during_outage(running: Cluster) -> None:
    """Kill a server while the store is down, so that no unit can change its owner."""
    router = running.routers[running.others()[0]]
    owners = {
        key: send_request(router, SERVICE_WITH_GRANT_CHECKS, key).owner for key in KEYS
    }
    running.deployment.set_faults(mode="silent")
    time.sleep(1)
    running.servers["s2"].kill()
    time.sleep(1.5)
    for key, owner in owners.items():
        outcome = send_request(
            router, SERVICE_WITH_GRANT_CHECKS, key, deadline_ms=200
        ).outcome
        assert (outcome == "ran") == (owner == "s1"), (key, owner, outcome)
    running.deployment.set_faults()
    print_duration(
        "store back: keys of a lost server served", running.serve_all(router)
    )


def check_coordinator_loss_during_outage(running: Cluster) -> None:
    """Kill the coordinator while the store is down, so that no router can take over.

    Routers refuse requests once their leases have expired, and serve again soon after
    the store is back.
    """
    name = running.coordinator()
    running.deployment.set_faults(mode="silent")
    time.sleep(1)
    running.routers.pop(name).kill()
    killed_s = time.monotonic()
    router = next(iter(running.routers.values()))
    wait_for(
        lambda: (
            send_request(router, SERVICE_WITH_GRANT_CHECKS, KEYS[0]).outcome
            == "not-run"
        ),
        2,
    )
    print_duration(
        "coordinator lost in an outage: refused", time.monotonic() - killed_s
    )
    time.sleep(2)
    for each in running.routers.values():
        for key in KEYS[:4]:
            assert (
                send_request(
                    each, SERVICE_WITH_GRANT_CHECKS, key, deadline_ms=200
                ).outcome
                == "not-run"
            )
        assert limited_classes(each) is None
    running.deployment.set_faults()
    served_s = max(running.serve_all(each) for each in running.routers.values())
    print_duration("store back without coordinator: served again", served_s)


def test_assignment_is_recovered_after_all_routers_are_replaced() -> None:
    """Guards against keys that move, get two owners or are no longer served after all
    routers were replaced."""
    with cluster(SERVERS, SETTINGS_WITH_SHORT_CAP) as running:
        submit(running, "e1", 0, limit(BOOKING))
        with load(running, SERVICE_WITH_GRANT_CHECKS, threads=THREADS) as responses:
            for number, orderly in enumerate((True, False)):
                replace_all_routers(running, number, orderly)
            time.sleep(0.5)
        assert sum(response.outcome == "ran" for response in responses) > 100
        trace = record(running, SERVICE_WITH_GRANT_CHECKS, ["s1", "s2"], "")
        assert len(trace.terms) >= 3 and len(trace.runs) > 100
        assert not check(trace), check(trace)


def replace_all_routers(running: Cluster, number: int, orderly: bool) -> None:
    """Stop or kill all routers at once, then start new ones."""
    router = next(iter(running.routers.values()))
    owners = {
        key: send_request(router, SERVICE_WITH_GRANT_CHECKS, key).owner for key in KEYS
    }
    commits = len(record(running, SERVICE_WITH_GRANT_CHECKS, [], "").owners)
    old = dict(running.routers)
    if orderly:
        for router in old.values():
            router.signal(signal.SIGTERM)
        assert [router.wait() for router in old.values()] == [0, 0, 0]
    else:
        run_concurrently([(router.kill, ()) for router in old.values()])
    begin_s = time.monotonic()
    running.start_routers([f"n{number}{letter}" for letter in "abc"])
    for name in old:
        del running.routers[name]
    limit_s = IN_FORCE_S if orderly else TAKEOVER_AFTER_KILL_S
    for router in running.routers.values():
        running.serve_all(router, limit_s)
    kind = "stopped" if orderly else "killed"
    print_duration(
        f"all routers {kind}: served by new ones", time.monotonic() - begin_s
    )
    # Recovery commits no unit; only placement may move the keys under load.
    recorded = record(running, SERVICE_WITH_GRANT_CHECKS, [], "").owners[commits:]
    assert len(recorded) <= 2 * len(LOADED), (recorded[:40], running.logs())
    for router in running.routers.values():
        moved = [
            key
            for key in KEYS
            if send_request(router, SERVICE_WITH_GRANT_CHECKS, key).owner != owners[key]
        ]
        assert not set(moved) - LOADED, (owners, moved)
        assert limited_classes(router) == frozenset({BOOKING})


def pay(router: Process, idempotency_key: str) -> Reply:
    """Send a payment with an idempotency key."""
    return request(router, request_class=PAYMENT, idempotency_key=idempotency_key)


def print_duration(name: str, seconds: float) -> None:
    """Print a measured duration."""
    print(f"{name} after {seconds:.2f} s", file=sys.stderr)
