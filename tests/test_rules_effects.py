"""Effects of rules in deployments of real processes: each kind, and start times."""

import signal
import statistics
import sys
import time

from .fixtures.cluster import (
    KEYS,
    SERVICE_WITH_GRANT_CHECKS,
    SERVICE_WITHOUT_GRANT_CHECKS,
    Cluster,
    cluster,
    run_concurrently,
)
from .fixtures.operators import (
    CLASSES,
    IN_FORCE_S,
    SETTINGS_WITH_RULES,
    UNKEYED,
    limit,
    limited_classes,
    owner_of,
    request,
    rule,
    rules_status,
    submit,
    wait_for,
    wait_for_limits,
)

SERVERS = {
    "s1": SERVICE_WITH_GRANT_CHECKS,
    "s2-b": SERVICE_WITH_GRANT_CHECKS,
    "s3-b": SERVICE_WITH_GRANT_CHECKS,
    "p1": SERVICE_WITHOUT_GRANT_CHECKS,
    "b1": UNKEYED,
    "b2": UNKEYED,
}
PAYMENT, BOOKING = CLASSES
TO_SERVER, TO_DATA_CENTRE = KEYS[:2]
# Time until overrides of removed pins are merged into their ranges: the cool-down of
# 5 s under the settings, and time for the request rates of the keys to fall.
MERGED_S = 5.0 + 5.0
# Service time of requests whose order is checked: so long that most of them are queued
# before the first ones end, even if a busy machine starts them one by one.
ORDERED_WORK_MS = 150
# Number of other keys that get requests, so that no key has a large share of them.
SPREAD_KEYS = 200


def test_rules_take_effect_and_are_undone() -> None:
    """Guards against confirmed rules without effect, and effects of removed rules."""
    with cluster(SERVERS, SETTINGS_WITH_RULES) as running:
        router = next(iter(running.routers))
        pins = rule(f"pin key {SERVICE_WITH_GRANT_CHECKS} {TO_SERVER} to server s3-b")
        pins += rule(
            f"pin key {SERVICE_WITH_GRANT_CHECKS} {TO_DATA_CENTRE} to data-centre b"
        )
        submit(running, router, 0, pins + rule("drain server b1"))
        check_pins(running)
        check_drained(running, {"b1"})
        assert order_of_classes(running) == [PAYMENT, BOOKING]

        order = rule(f"order {UNKEYED} {BOOKING} {PAYMENT}")
        submit(running, router, 1, pins + order + rule("drain server s1"))
        check_pins(running)
        check_drained(running, {"s1"})
        assert order_of_classes(running) == [BOOKING, PAYMENT]

        replace_coordinator(running)
        check_pins(running)
        running.servers["s2-b"].kill()
        wait_for(lambda: owner_of(running, TO_DATA_CENTRE) == "s3-b", IN_FORCE_S)

        router = next(iter(running.routers))
        submit(running, router, 2, rule("drain server s3-b") + limit(BOOKING))
        check_drained(running, {"s3-b"})
        assert {owner_of(running, key) for key in KEYS} == {"s1"}
        wait_for_limits(running, [BOOKING])
        assert order_of_classes(running, classes=[PAYMENT]) == [PAYMENT]

        submit(running, router, 3, "")
        wait_for_limits(running, [])
        wait_for(lambda: unkeyed_servers(running) == {"b1", "b2"}, IN_FORCE_S)
        wait_for(
            lambda: are_merged(running),
            MERGED_S,
            "overrides of removed pins still exist",
        )
        check_rule_that_starts_later(running, 4)


def check_rule_that_starts_later(running: Cluster, version: int) -> None:
    """Submit a rule that starts later, then replace the coordinator and all routers.

    The rule must take effect on time and remain in force.
    """
    # A submission may take seconds on a busy machine.
    start_delay_s = 10.0
    start_s = time.monotonic() + start_delay_s
    submit(running, "e1", version, limit(PAYMENT, starts_in_s=start_delay_s))
    assert all(limited_classes(r) == frozenset() for r in running.routers.values())
    assert time.monotonic() < start_s - 1, (
        "the submission took too long to check that the rule waits"
    )
    wait_for(lambda: time.monotonic() >= start_s, start_delay_s)
    wait_for_limits(running, [PAYMENT])
    lateness_s = time.monotonic() - start_s
    assert lateness_s <= IN_FORCE_S, lateness_s
    print(f"rule with start time in effect after {lateness_s:.2f} s", file=sys.stderr)
    replace_coordinator(running)
    for number, old in enumerate(list(running.routers)):
        running.start_routers([f"n{number}"])
        running.routers[f"n{number}"].wait_for("event=ready")
        running.routers[old].signal(signal.SIGTERM)
        assert running.routers.pop(old).wait() == 0
        for router in running.routers.values():
            assert limited_classes(router) == frozenset({PAYMENT}), running.logs()
    for router in running.routers.values():
        assert rules_status(router)["applied"] == version + 1


def replace_coordinator(running: Cluster) -> None:
    """Kill the coordinator and start a new process with its name."""
    name = running.coordinator()
    running.routers.pop(name).kill()
    running.serve_all(next(iter(running.routers.values())))
    running.start_routers([name])
    running.wait_until_ready()


def check_pins(running: Cluster) -> None:
    """Check that pinned keys are moved to their targets and stay there under load."""
    wait_for(lambda: owner_of(running, TO_SERVER) == "s3-b", IN_FORCE_S)
    target_servers = {"s2-b", "s3-b"}
    wait_for(lambda: owner_of(running, TO_DATA_CENTRE) in target_servers, IN_FORCE_S)
    for _ in range(20):
        assert owner_of(running, TO_SERVER) == "s3-b"
        assert owner_of(running, TO_DATA_CENTRE) in target_servers


def check_drained(running: Cluster, drained: set[str]) -> None:
    """Check that drained servers get no requests, with or without a key."""
    wait_for(lambda: not drained & {owner_of(running, key) for key in KEYS}, IN_FORCE_S)
    before = {server: len(running.executions(server)) for server in drained}
    assert not drained & {owner_of(running, key) for key in KEYS}
    assert not drained & unkeyed_servers(running)
    assert before == {server: len(running.executions(server)) for server in drained}


def unkeyed_servers(running: Cluster) -> set[str]:
    """Return the servers that requests without a key are sent to."""
    return {
        request(router, request_class=PAYMENT).owner
        for router in running.routers.values()
        for _ in range(10)
    }


def are_merged(running: Cluster) -> bool:
    """Return whether the keys that were pinned are part of their ranges again.

    Sends requests for many other keys, since a key with a large share of all requests
    gets an override even without a rule.
    """
    router = next(iter(running.routers.values()))
    for number in range(SPREAD_KEYS):
        request(router, SERVICE_WITH_GRANT_CHECKS, f"client-{number}")
    units = {
        unit["unit"]
        for unit in running.row(f"overrides/{SERVICE_WITH_GRANT_CHECKS}")["units"]
    }
    return not units & {f"k:{TO_SERVER}", f"k:{TO_DATA_CENTRE}"}


def order_of_classes(running: Cluster, classes: list[str] | None = None) -> list[str]:
    """Return the classes in the order in which their queued requests are run."""
    router = next(iter(running.routers.values()))
    ends: dict[str, list[float]] = {name: [] for name in classes or CLASSES}

    def send(name: str) -> None:
        reply = request(
            router, request_class=name, work_ms=ORDERED_WORK_MS, deadline_ms=8000
        )
        assert reply.outcome == "ran", reply
        ends[name].append(time.monotonic())

    run_concurrently([(send, (name,)) for name in [*ends] * 16])
    assert all(len(times) == 16 for times in ends.values()), ends
    return sorted(ends, key=lambda name: statistics.fmean(ends[name]))
