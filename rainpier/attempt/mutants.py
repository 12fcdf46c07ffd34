"""Mutants of the model: the state table, the rules or the model itself with one deliberate fault. No I/O.

Each has to violate a property, which shows that the properties cover every part of the table and the rules.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from ..interface import Effect, Outcome
from .explore import ExplorationResult, explore
from .model import Model, ModelSize
from .rules import Rules
from .table import TABLE, Event, State, Step

# an outcome that proves that the message never ran, and one that leaves open whether it ran
PROVEN_NOT_RUN, MAY_HAVE_RUN = Outcome.CONNECT_FAILED, Outcome.RESET


@dataclass(frozen=True, slots=True)
class Mutant:
    """A model with one fault.

    `equivalent`: the fault changes no transition and no outcome's proof, so no exploration can detect it.
    """

    name: str
    apply: Callable[[Model], Model]
    equivalent: bool = False


def table_mutants() -> Iterator[Mutant]:
    """Yields mutants of each transition: it is missing, proves the opposite or changes nothing."""

    def with_step(key: tuple[State, Event], step: Step | None) -> Callable[[Model], Model]:
        """Returns a function that replaces one transition of a model's table; None removes it."""
        table = {other: kept for other, kept in TABLE.items() if other != key} | ({key: step} if step else {})
        return lambda model: replace(model, table=table)

    for key, step in TABLE.items():
        name = f"{key[0].name} {key[1].name}"
        # Without the transition the attempt counts as one that may have run: equivalent if the step says so.
        equivalent = (
            step.outcome is not None and not step.outcome.never_ran and step.outcome is not Outcome.OK
        )
        yield Mutant(f"{name} is missing", with_step(key, None), equivalent)
        if step.by_answer:
            for outcome in (PROVEN_NOT_RUN, MAY_HAVE_RUN):
                yield Mutant(f"{name} is {outcome.name}", with_step(key, Step(State.FINISHED, outcome)))
        elif step.outcome is not None:
            other = MAY_HAVE_RUN if step.outcome.never_ran else PROVEN_NOT_RUN
            yield Mutant(f"{name} is {other.name}", with_step(key, Step(State.FINISHED, other)))
        elif step.to is not key[0]:
            yield Mutant(f"{name} is ignored", with_step(key, Step(key[0])))


def rule_mutants() -> Iterator[Mutant]:
    """Yields mutants of the rules: one that always or never holds, or ignores a fact."""
    for name in (n for n in vars(Rules) if not n.startswith("_")):
        for answer in (True, False):
            replacement = type("MutatedRules", (Rules,), {name: lambda self, *facts, a=answer: a})()
            yield Mutant(f"{name} is always {answer}", lambda model, r=replacement: replace(model, rules=r))
    unchanged = Rules()
    argument_mutants: dict[str, Callable[..., bool]] = {
        "may_repeat ignores the window": lambda effect, risky, _: unchanged.may_repeat(effect, risky, True),
        "may_repeat treats unsafe as keyed": lambda effect, risky, in_window: unchanged.may_repeat(
            Effect.KEYED if effect is Effect.UNSAFE else effect, risky, in_window
        ),
        "may_begin ignores open attempts": lambda _, ended, repeat: unchanged.may_begin(False, ended, repeat),
        "may_write ignores retry-after deadlines": lambda _, drained, ended, repeat: unchanged.may_write(
            False, drained, ended, repeat
        ),
        "may_write ignores drains": lambda waiting, _, ended, repeat: unchanged.may_write(
            waiting, False, ended, repeat
        ),
        "may_write ignores final statuses": lambda waiting, drained, _, repeat: unchanged.may_write(
            waiting, drained, False, repeat
        ),
        "may_write ignores the class": lambda waiting, drained, ended, _: unchanged.may_write(
            waiting, drained, ended, True
        ),
        "may_resubmit ignores the window": lambda effect, risky, _, known_everywhere: unchanged.may_resubmit(
            effect, risky, True, known_everywhere
        ),
        "releases_key ignores open calls": lambda completed, _: unchanged.releases_key(completed, False),
        "releases_key ignores open messages": lambda _, call_open: unchanged.releases_key(True, call_open),
        "resumed_risky ignores the attempt": lambda risky, _: unchanged.resumed_risky(risky, False),
        "resumed_risky ignores earlier attempts": lambda _, begun: unchanged.resumed_risky(False, begun),
        "risky ignores earlier attempts": lambda _, outcome: unchanged.risky(False, outcome),
    }
    for name, rule in argument_mutants.items():
        method = name.split()[0]
        replacement = type("MutatedRules", (Rules,), {method: lambda self, *facts, r=rule: r(*facts)})()
        yield Mutant(name, lambda model, r=replacement: replace(model, rules=r))


def mutants() -> list[Mutant]:
    """Returns all mutants, in a fixed order."""
    model_mutants = [
        Mutant("the begin is not recorded", lambda model: replace(model, records=frozenset({"end"}))),
        Mutant(
            "the final status is not recorded", lambda model: replace(model, records=frozenset({"begin"}))
        ),
        Mutant("no message is given up", lambda model: replace(model, can_give_up=False)),
        Mutant(
            "a message that may not be written stays in its call",
            lambda model: replace(model, removes_blocked=False),
        ),
        Mutant(
            "the pause of a key counts from the outcome of a message",
            lambda model: replace(model, pauses_at_call_end=False),
        ),
        Mutant(
            "a key does not pause after an answer that can't be used",
            lambda model: replace(model, pauses_without_usable_answer=False),
        ),
        Mutant(
            "the pause of a key ends with the process", lambda model: replace(model, records_pauses=False)
        ),
    ]
    return [*table_mutants(), *rule_mutants(), *model_mutants]


# The smallest first: a mutant is explored in each until a property is violated. The fields are effects,
# keyed, endpoints, max_attempts, restarts, batch, calls, endpoints_change and in_flight.
MODEL_SIZES = (
    ModelSize((Effect.UNSAFE,), (), 1, 2, 1, 1, 1),
    ModelSize((Effect.KEYED,), (), 1, 2, 1, 1, 1),
    ModelSize((Effect.UNSAFE,), (), 1, 2, 0, 1, 2),
    ModelSize((Effect.UNSAFE, Effect.KEYED), (0, 1), 1, 1, 0, 1, 2),
    ModelSize((Effect.SAFE, Effect.UNSAFE), (), 1, 1, 0, 2, 1),
    ModelSize((Effect.SAFE, Effect.SAFE), (0, 1), 1, 1, 1, 1, 1, False),
    ModelSize((Effect.SAFE, Effect.SAFE, Effect.SAFE), (0, 1), 1, 1, 0, 2, 1, False, (0, 2)),
)


def explore_mutant(mutant: Mutant) -> ExplorationResult:
    """Returns the result of the first model in which the mutant violates a property, else of the last one."""
    result = ExplorationResult(0, 0, True)
    for size in MODEL_SIZES:
        result = explore(mutant.apply(Model(size)))
        if result.violated:
            return result
    return result
