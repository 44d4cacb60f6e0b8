"""Bounded model check of the coordinator lease, promises, grants and moves."""

from model.check import find_violation
from model.spec import Fault

# Maximum number of steps, by whether servers check grants. ``make model`` checks more
# steps, which takes longer.
BOUNDS_WITHOUT_FAULT = {True: 7, False: 6}

# Number of steps of the shortest violation of each seeded fault, and its name.
EXPECTED_VIOLATIONS = {
    Fault.BRIDGE_NOT_AWAITED: (4, "valid grant differs from the stored unit"),
    Fault.LOST_REPLY_AS_FAILURE: (6, "valid grant differs from the stored unit"),
    Fault.LATE_GRANT_ACCEPTED: (6, "valid grant differs from the stored unit"),
    Fault.RELEASE_NOT_AWAITED: (5, "valid grant differs from the stored unit"),
    Fault.PROMISE_IGNORED: (7, "two lease holders"),
    Fault.PROMISE_FROM_ARRIVAL: (7, "two lease holders"),
    Fault.EPOCH_UNCHECKED: (8, "request with an outdated epoch ran"),
}


def test_protocol_holds_within_the_bound() -> None:
    """Guards against a protocol in which a short run violates an invariant."""
    for checks_grants, bound in BOUNDS_WITHOUT_FAULT.items():
        violation = find_violation(Fault.NONE, bound, checks_grants)
        assert violation is None, violation


def test_seeded_faults_are_found() -> None:
    """Guards against a model that does not detect that a protection is missing."""
    assert set(EXPECTED_VIOLATIONS) == set(Fault) - {Fault.NONE}
    for fault, (steps, invariant) in EXPECTED_VIOLATIONS.items():
        violation = find_violation(fault, steps)
        assert violation is not None, fault
        assert violation.invariant == invariant, (fault, violation)
        assert len(violation.trace) == steps, (fault, violation)
