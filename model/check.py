"""Bounded model check: unrolls the specification and asks z3 for a violation."""

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
    """A run of the specification that ends with a broken invariant."""

    invariant: str
    trace: list[str]
    """``time: action`` for each step."""


def find_violation(
    fault: Fault, bound: int, checks_grants: bool = True
) -> Violation | None:
    """Return a shortest violation within ``bound`` steps, or None if there is none."""
    solver = z3.SolverFor("QF_BV")
    states = [variables(0)]
    choices: list[Any] = []
    names: list[str] = []
    solver.add(*initial(states[0]))
    for step in range(bound):
        after = variables(step + 1)
        choice = z3.BitVec(f"choice@{step}", WIDTH)
        names = _add_step(solver, states[-1], after, choice, fault, checks_grants)
        states.append(after)
        choices.append(choice)
        broken = violations(after, checks_grants)
        solver.push()
        solver.add(z3.Or(*broken.values()))
        if solver.check() == z3.sat:
            return _violation(solver.model(), states, choices, names, broken)
        solver.pop()
        # Known from here on, which helps the deeper steps.
        solver.add(z3.Not(z3.Or(*broken.values())))
    return None


def _add_step(
    solver: Any,
    before: State,
    after: State,
    choice: Any,
    fault: Fault,
    checks_grants: bool,
) -> list[str]:
    """Add one step; return the names of the actions by their choice."""
    solver.add(after["now"] >= before["now"])
    solver.add(after["now"] <= before["now"] + MAX_WAIT)
    # Sums of a time and a duration stay below the value for an unread row.
    solver.add(after["now"] < UNREAD - 2 * MAX_WAIT)
    advanced = before | {"now": after["now"]}
    found = list(actions(advanced, fault, checks_grants))
    solver.add(z3.ULT(choice, len(found)))
    for index, action in enumerate(found):
        solver.add(z3.Implies(choice == index, action.guard))
    for name, variable in after.items():
        if name == "now":
            continue
        value = before[name]
        for index, action in enumerate(found):
            if name in action.updates:
                value = z3.If(choice == index, action.updates[name], value)
        solver.add(variable == value)
    return [action.name for action in found]


def _violation(
    model: Any,
    states: list[State],
    choices: list[Any],
    names: list[str],
    broken: dict[str, Any],
) -> Violation:
    trace = []
    for choice, after in zip(choices, states[1:], strict=True):
        time = model.eval(after["now"], model_completion=True)
        index = model.eval(choice, model_completion=True)
        trace.append(f"{time}: {names[index.as_long()]}")
    (invariant, *_) = [
        name
        for name, formula in broken.items()
        if z3.is_true(model.eval(formula, model_completion=True))
    ]
    return Violation(invariant, trace)
