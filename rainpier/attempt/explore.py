"""Model checker: explores all states of a model (model.py), breadth first.

So the first violation found has the shortest trace.
"""

from collections import deque
from dataclasses import dataclass, field

from .model import COMPLETED, DELIVERED, REFUSED, Model, PropertyViolated, SystemState


@dataclass(slots=True)
class ExplorationResult:
    """Result of an exploration: the violated property and its trace, if any.

    `complete`: all reachable states were visited, none was left out because of the limit.
    """

    states: int
    depth: int
    complete: bool
    violated: str = ""
    trace: list[str] = field(default_factory=list)


def canonical(system: SystemState) -> SystemState:
    """Returns one representative of the states that differ only in how endpoints and calls are numbered."""
    calls = sorted(system.calls, key=lambda c: (c.parts, c.state.value))
    order: list[int] = []
    for call in calls:
        if call.endpoint not in order:
            order.append(call.endpoint)
    order += sorted(
        (endpoint_index for endpoint_index in range(len(system.endpoints)) if endpoint_index not in order),
        key=lambda endpoint_index: system.endpoints[endpoint_index],
    )
    position = {endpoint_index: at for at, endpoint_index in enumerate(order)}
    moved = tuple(call._replace(endpoint=position[call.endpoint]) for call in calls)
    return system._replace(
        calls=moved, endpoints=tuple(system.endpoints[endpoint_index] for endpoint_index in order)
    )


def explore(model: Model, max_states: int = 10_000_000) -> ExplorationResult:
    """Explores breadth first from the initial state, until a violation or more than `max_states` states."""
    first = model.initial_state()
    # by state: the state from which it was first reached, and the text of that step
    reached_by: dict[SystemState, tuple[SystemState, str] | None] = {first: None}
    depths, queue, deepest = {first: 0}, deque([first]), 0
    successors: dict[SystemState, list[SystemState]] = {}
    while queue:
        system = queue.popleft()
        deepest = depths[system]
        next_states = successors[system] = []
        try:
            for text, raw in model.transitions(system):
                next_state = canonical(raw)
                next_states.append(next_state)
                if next_state not in reached_by:
                    reached_by[next_state], depths[next_state] = (system, text), deepest + 1
                    queue.append(next_state)
        except PropertyViolated as violation:
            return ExplorationResult(
                len(reached_by), deepest, False, violation.name, trace_to(reached_by, system)
            )
        if len(reached_by) > max_states:
            return ExplorationResult(len(reached_by), deepest, False)
    if not all_final_statuses_reachable(successors, len(model.size.effects)):
        return ExplorationResult(
            len(reached_by), deepest, True, "ways", ["no reachable state has these final statuses"]
        )
    dead_end = find_dead_end(successors)
    if dead_end is not None:
        return ExplorationResult(len(reached_by), deepest, True, "ends", trace_to(reached_by, dead_end))
    return ExplorationResult(len(reached_by), deepest, True)


def trace_to(reached_by: dict[SystemState, tuple[SystemState, str] | None], system: SystemState) -> list[str]:
    """Returns the texts of the steps from the initial state to this one, numbered."""
    lines = []
    while (step := reached_by[system]) is not None:
        system, text = step
        lines.append(text)
    return [f"{at}. {text}" for at, text in enumerate(reversed(lines), 1)]


def all_final_statuses_reachable(successors: dict[SystemState, list[SystemState]], messages: int) -> bool:
    """Whether all messages are delivered in one of the states, and each is refused in one."""
    delivered = any(all(message.final == DELIVERED for message in system.messages) for system in successors)
    refused = {
        number
        for system in successors
        for number in range(messages)
        if system.messages[number].final == REFUSED
    }
    return delivered and len(refused) == messages


def find_dead_end(successors: dict[SystemState, list[SystemState]]) -> SystemState | None:
    """Returns a state from which not all messages can be completed any more; None if there is none."""
    predecessors: dict[SystemState, list[SystemState]] = {}
    for system, next_states in successors.items():
        for next_state in next_states:
            predecessors.setdefault(next_state, []).append(system)
    completable = {
        system
        for system in successors
        if not system.calls and all(message.phase == COMPLETED for message in system.messages)
    }
    queue = deque(completable)
    while queue:
        for system in predecessors.get(queue.popleft(), ()):
            if system not in completable:
                completable.add(system)
                queue.append(system)
    return next((system for system in successors if system not in completable), None)
