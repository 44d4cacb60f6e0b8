"""Bounded model checker: unrolls the specification and uses z3 to find a violation.

Each step of a run has its own copy of the state variables. The solver selects the time
and the action of each step.
"""

from typing import Any, NamedTuple

import z3

from .spec import (
    MAX_WAIT,
    UNREAD,
    WIDTH,
    Fault,
    State,
    actions,
    initial,
    variables,
    violations,
)


class Violation(NamedTuple):
    """A run of the specification whose last state violates an invariant."""

    invariant: str
    trace: list[str]
    """One string ``time: action`` per step."""


def find_violation(
    fault: Fault, bound: int, checks_grants: bool = True
) -> Violation | None:
    """Return a shortest violation within ``bound`` steps, or None if there is none."""
    solver = z3.SolverFor("QF_BV")
    states = [variables(0)]
    choices: list[Any] = []
    action_names: list[str] = []
    solver.add(*initial(states[0]))
    for step in range(bound):
        after = variables(step + 1)
        choice = z3.BitVec(f"choice@{step}", WIDTH)
        action_names = _add_step(
            solver, states[-1], after, choice, fault, checks_grants
        )
        states.append(after)
        choices.append(choice)
        negated_invariants = violations(after, checks_grants)
        solver.push()
        solver.add(z3.Or(*negated_invariants.values()))
        if solver.check() == z3.sat:
            return _violation_from_model(
                solver.model(), states, choices, action_names, negated_invariants
            )
        solver.pop()
        # The invariants hold so far; stating this speeds up the check of later steps.
        solver.add(z3.Not(z3.Or(*negated_invariants.values())))
    return None


def _add_step(
    solver: Any,
    before: State,
    after: State,
    choice: Any,
    fault: Fault,
    checks_grants: bool,
) -> list[str]:
    """Add the constraints of one step; return action names, indexed by ``choice``."""
    solver.add(after["now"] >= before["now"])
    solver.add(after["now"] <= before["now"] + MAX_WAIT)
    # Keeps sums of a time and durations below UNREAD, the time of an unread row.
    solver.add(after["now"] < UNREAD - 2 * MAX_WAIT)
    current = before | {"now": after["now"]}
    step_actions = list(actions(current, fault, checks_grants))
    solver.add(z3.ULT(choice, len(step_actions)))
    for index, action in enumerate(step_actions):
        solver.add(z3.Implies(choice == index, action.guard))
    for name, variable in after.items():
        if name == "now":
            continue
        value = before[name]
        for index, action in enumerate(step_actions):
            if name in action.updates:
                value = z3.If(choice == index, action.updates[name], value)
        solver.add(variable == value)
    return [action.name for action in step_actions]


def _violation_from_model(
    model: Any,
    states: list[State],
    choices: list[Any],
    action_names: list[str],
    negated_invariants: dict[str, Any],
) -> Violation:
    """Read the times, actions and the violated invariant from the solver's model."""
    trace = []
    for choice, after in zip(choices, states[1:], strict=True):
        time = model.eval(after["now"], model_completion=True)
        index = model.eval(choice, model_completion=True)
        trace.append(f"{time}: {action_names[index.as_long()]}")
    (invariant, *_) = [
        name
        for name, formula in negated_invariants.items()
        if z3.is_true(model.eval(formula, model_completion=True))
    ]
    return Violation(invariant, trace)
