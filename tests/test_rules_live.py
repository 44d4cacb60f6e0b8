"""Versions of rules in deployments of real processes.

Of two submissions one wins, the version is in force at every live router, and no router
serves under an older version.
"""

import itertools
import signal
import sys
import time

from .fixtures.cluster import (
    SERVICE_WITH_GRANT_CHECKS,
    SERVICE_WITHOUT_GRANT_CHECKS,
    Cluster,
    cluster,
    run_concurrently,
)
from .fixtures.operators import (
    AMA,
    CLASSES,
    IN_FORCE_S,
    KOFI,
    MAX_ADMITTED_PROBES,
    SETTINGS_WITH_RULES,
    UNKEYED,
    Reply,
    Submission,
    limit,
    limited_classes,
    request,
    rules_status,
    submit,
    wait_for,
    wait_for_limits,
)

SERVERS = {
    "s1": SERVICE_WITH_GRANT_CHECKS,
    "s2-b": SERVICE_WITH_GRANT_CHECKS,
    "p1": SERVICE_WITHOUT_GRANT_CHECKS,
    "b1": UNKEYED,
}
PAYMENT, BOOKING = CLASSES
# A routing lease lasts at least this long after the last heartbeat.
MIN_LEASE_S = 0.5


def test_versions_are_in_force_everywhere_and_never_revert() -> None:
    """Guards against two accepted submissions and routers with an older version."""
    with cluster(SERVERS, SETTINGS_WITH_RULES) as running:
        version = submit_concurrently(running)
        for stage in (
            submit_while_router_is_paused,
            submit_while_router_is_partitioned,
            kill_coordinator_after_acceptance,
            lose_reply_to_commit,
        ):
            version = stage(running, version)


def submit_concurrently(running: Cluster) -> int:
    """Submit two versions through two routers at the same time, repeatedly.

    The store is slow, so that both read the current version before either commits.
    """
    running.deployment.set_faults(delay_ms=100)
    version = 0
    for first, second in itertools.islice(
        itertools.permutations(running.routers, 2), 4
    ):
        texts = {AMA: limit(BOOKING, AMA), KOFI: limit(PAYMENT, KOFI)}
        submissions = {
            operator: Submission(running, router, version, texts[operator], operator)
            for operator, router in ((AMA, first), (KOFI, second))
        }
        results = {operator: s.finish() for operator, s in submissions.items()}
        codes = {operator: code for operator, (code, _, _) in results.items()}
        assert sorted(codes.values()) == [0, 3], results
        winner, loser = sorted(codes, key=lambda operator: codes[operator])
        version += 1
        _, output, elapsed_s = results[winner]
        assert f"version {version} is in force at every live router" in output
        assert elapsed_s <= IN_FORCE_S, elapsed_s
        assert f"version {version} by {winner}" in results[loser][1], results[loser]
        # The loser gets a diff; it is empty if the previous version had this text.
        wait_for_limits(running, [BOOKING if winner == AMA else PAYMENT])
        print_duration("submission in force with a slow store", elapsed_s)
    running.deployment.set_faults()
    for router in running.routers.values():
        status = rules_status(router)
        assert status["in_force"] == status["applied"] == version, status
        assert len(status["routers"]) == 3, status
    return version


def submit_while_router_is_paused(running: Cluster, version: int) -> int:
    """Submit while another router is stopped, then while the coordinator is."""
    version = submit_while_paused(running, version, running.others()[0])
    return submit_while_paused(running, version, running.coordinator())


def submit_while_paused(running: Cluster, version: int, name: str) -> int:
    """Submit while a router is stopped (SIGSTOP) and requests wait in its socket.

    Its routing lease has expired when it continues, so it must refuse these requests
    until it has the new version.
    """
    paused = running.routers[name]
    base = submit_limit(running, version, name, BOOKING)
    paused.signal(signal.SIGSTOP)
    paused_s = time.monotonic()
    replies: list[Reply] = []
    pause_durations_s: list[float] = []

    def send() -> None:
        replies.append(request(paused, request_class=PAYMENT, deadline_ms=5000))

    def submit_then_resume() -> None:
        submit_limit(running, base, name, PAYMENT)
        # If the version were reported as in force earlier, the paused router could
        # still serve under the previous one.
        pause_durations_s.append(time.monotonic() - paused_s)
        paused.signal(signal.SIGCONT)

    run_concurrently([(submit_then_resume, ()), *[(send, ())] * 12])
    assert pause_durations_s and pause_durations_s[0] >= MIN_LEASE_S, (
        pause_durations_s,
        running.logs(),
    )
    check_refused_or_limited(replies)
    wait_for_limits(running, [PAYMENT])
    # Two successors must be named again before the next router is lost.
    running.wait_until_ready()
    return base + 1


def submit_while_router_is_partitioned(running: Cluster, version: int) -> int:
    """Partition a router from the store and replace the coordinator, then submit.

    The router cannot find the new coordinator. It must refuse requests, and after the
    partition it may serve only under the new version.
    """
    name = running.others()[0]
    partitioned = running.routers[name]
    holder = running.coordinator()
    running.deployment.set_faults(blocked=[name])
    coordinator = running.routers.pop(holder)
    coordinator.kill()
    wait_for(lambda: running.coordinator() != holder, IN_FORCE_S)
    time.sleep(1)
    version = submit_limit(running, version, name, BOOKING)
    replies = [request(partitioned, request_class=BOOKING) for _ in range(10)]
    assert all((r.status, r.outcome) == (503, "not-run") for r in replies), replies
    running.deployment.set_faults()
    replies = sample_until_limited(running, name, BOOKING)
    check_refused_or_limited(replies)
    running.start_routers([holder])
    running.wait_until_ready()
    wait_for_limits(running, [BOOKING])
    return version


def kill_coordinator_after_acceptance(running: Cluster, version: int) -> int:
    """Kill the coordinator once a version is committed, which must come into force."""
    holder = running.coordinator()
    other = running.others()[0]
    submission = Submission(running, other, version, limit(PAYMENT), wait=False)
    wait_for(lambda: running.row("rules/current")["version"] > version, IN_FORCE_S)
    running.routers.pop(holder).kill()
    killed_s = time.monotonic()
    code, output, _ = submission.finish()
    assert code == 0, output
    wait_for_limits(running, [PAYMENT])
    for router in running.routers.values():
        wait_for(
            lambda router=router: rules_status(router)["in_force"] == version + 1,  # type: ignore[misc]
            IN_FORCE_S,
        )
    elapsed_s = time.monotonic() - killed_s
    assert elapsed_s <= IN_FORCE_S, elapsed_s
    print_duration("coordinator killed after acceptance: in force", elapsed_s)
    running.start_routers([holder])
    running.wait_until_ready()
    assert limited_classes(running.routers[holder]) == frozenset({PAYMENT})
    return version + 1


def lose_reply_to_commit(running: Cluster, version: int) -> int:
    """Lose the reply to the commit of a version, which must still be accepted."""
    running.deployment.set_faults(lose_replies=1, lose_pattern="rules/current")
    elapsed_s = submit(running, running.others()[0], version, limit(BOOKING))
    print_duration("reply to the submission lost: in force", elapsed_s)
    wait_for_limits(running, [BOOKING])
    return version + 1


def submit_limit(running: Cluster, version: int, avoided: str, name: str) -> int:
    """Submit a limit of class ``name`` through another router than ``avoided``."""
    router = next(other for other in running.routers if other != avoided)
    print_duration(
        "submission while a router is unreachable: in force",
        submit(running, router, version, limit(name)),
    )
    return version + 1


def sample_until_limited(running: Cluster, name: str, limited: str) -> list[Reply]:
    """Send requests of the limited class until the router enforces the limit."""
    replies: list[Reply] = []

    def is_limited() -> bool:
        replies.append(request(running.routers[name], request_class=limited))
        return replies[-1].status == 429

    wait_for(is_limited, IN_FORCE_S)
    return replies


def check_refused_or_limited(replies: list[Reply]) -> None:
    """Check that a router refused requests or enforced the limit of the new version."""
    ran = [reply for reply in replies if reply.outcome == "ran"]
    assert len(ran) <= MAX_ADMITTED_PROBES, replies
    others = [reply for reply in replies if reply.outcome != "ran"]
    assert all(r.outcome == "not-run" and r.status in (429, 503) for r in others), (
        replies
    )


def print_duration(name: str, seconds: float) -> None:
    """Print a measured duration."""
    print(f"{name} after {seconds:.2f} s", file=sys.stderr)
