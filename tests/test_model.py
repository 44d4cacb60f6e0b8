"""Bounded model check of the lease, promises, grants and moves."""

from model.check import find_violation
from model.spec import Fault

# Bounds by whether servers check grants; the deeper ones of ``make model`` take longer.
CORRECT_BOUNDS = {True: 7, False: 6}

# Steps of the shortest violation of each seeded fault, and the invariant it breaks.
EXPECTED = {
    Fault.BRIDGE_DROPPED: (4, "server other than stored"),
    Fault.LOST_REPLY_FAILS: (6, "server other than stored"),
    Fault.REVOCATION_FORGOTTEN: (6, "server other than stored"),
    Fault.RELEASE_NOT_AWAITED: (5, "server other than stored"),
    Fault.PROMISE_DROPPED: (7, "two holders"),
    Fault.PROMISE_FROM_ARRIVAL: (7, "two holders"),
    Fault.EPOCH_UNCHECKED: (8, "request of an earlier epoch has run"),
}


def test_protocol_holds_within_the_bound() -> None:
    """Guards against a protocol with a short run that breaks an invariant."""
    for checks_grants, bound in CORRECT_BOUNDS.items():
        violation = find_violation(Fault.NONE, bound, checks_grants)
        assert violation is None, violation


def test_seeded_faults_are_found() -> None:
    """Guards against a specification in which a protection has no effect."""
    assert set(EXPECTED) == set(Fault) - {Fault.NONE}
    for fault, (steps, invariant) in EXPECTED.items():
        violation = find_violation(fault, steps)
        assert violation is not None, fault
        assert violation.invariant == invariant, (fault, violation)
        assert len(violation.trace) == steps, (fault, violation)
