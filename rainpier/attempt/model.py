"""The model that explore.py checks: a few messages at a few endpoints, and all that can happen to them.

It uses the same state table and rules as the node. The model contains clients that submit messages; a policy
that may take any decision of its interface at any moment; connections that come up or end at any step;
endpoints that run a message or not, early, late, or after its call was given up; retry-after deadlines,
drains, repeat windows that close, and a restart of the process with the records that the store then has. Time
is not modelled: whatever takes time may take any amount of it. The pause of a key is a fact that begins with
the end of a call without an answer; the sender's knowledge of it is modelled apart.

Each property is checked at the steps that could violate it; "ends" and "ways" are checked by explore.py.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..interface import Effect, Outcome
from .rules import RULES, Rules
from .table import TABLE, Event, State, Step

PROPERTIES = {  # by the name that a violation is reported under
    "one end": "a message gets one final status, and no other one after it",
    "one at a time": "no two attempts of a message are in flight at once",
    "resend": "a message is sent again only if its class permits it",
    "twice": "no unsafe message takes effect twice",
    "refusal": "a message is refused only where submitting it again can't take effect twice",
    "wait": "nothing is written to an endpoint before its retry-after deadline",
    "drain": "nothing is written to an endpoint after the grace period of its drain",
    "order": "no message is written before earlier ones of its key are completed and their calls closed",
    "pause": "after a call without an answer the key's next message is not written before its pause is over",
    "proof": "an attempt that provably never ran does not count as one that may have run",
    "delivery": "a message that an endpoint confirmed counts as delivered",
    "record": "an attempt is recorded before its first byte, and a final status before it is reported",
    "ends": "from each reachable state all messages can still be completed",
    "ways": "all messages can be delivered and each can be refused, so the model is not safe by inaction",
}
NOT_SUBMITTED, HELD, DECIDED, COMPLETED = range(4)  # phase of a message
DELIVERED, REFUSED, FAILED = 1, 2, 3  # final statuses; 0: none yet
READY, DRAINING, DRAINED = range(3)  # of an endpoint; DRAINED: its grace period is over


class Message(NamedTuple):
    """State of a message.

    `begun`, `risky`, `end_recorded`: as recorded in the store. `ran`, `may_run_later`: the facts at the
    endpoints.
    """

    phase: int = NOT_SUBMITTED
    final: int = 0
    notified: bool = False  # its client has been notified of the final status
    begun: bool = False  # an attempt without an outcome
    risky: bool = False  # an attempt that may have run
    end_recorded: bool = False
    window_open: bool = True  # the repeat window: an endpoint that ran the message still knows its key
    ran: int = 0  # 1: it took effect at an endpoint; further runs are not counted
    may_run_later: bool = False  # an endpoint may still run it, after its call was given up
    attempts: int = 0


class Call(NamedTuple):
    """State of a call. `parts`: message number, whether it has an outcome, whether the endpoint ran it."""

    endpoint: int
    parts: tuple[tuple[int, bool, bool], ...]
    state: State = State.CONNECTING
    sent: bool = False  # the last byte was written
    status_200: bool = False  # the status line was 200
    confirmed: tuple[int, ...] = ()  # numbers of the messages that were confirmed while it went on

    @property
    def open_parts(self) -> list[int]:
        """Numbers of the messages that have no outcome yet."""
        return [number for number, has_outcome, _ in self.parts if not has_outcome]


class SystemState(NamedTuple):
    """State of the whole model."""

    messages: tuple[Message, ...]
    endpoints: tuple[tuple[bool, int], ...]  # retry-after deadline ahead; READY, DRAINING or DRAINED
    calls: tuple[Call, ...] = ()
    key_queue: tuple[int, ...] = ()  # messages of the one key, in the order accepted
    restart_count: int = 0  # restarts of the process until now
    pause_required: bool = (
        False  # the fact: a call of the one key ended without an answer, its pause is not over
    )
    key_paused: bool = False  # what the sender knows of it

    def in_flight(self, number: int) -> bool:
        """Whether an open call carries the message."""
        return any(number == part[0] for call in self.calls for part in call.parts)


@dataclass(frozen=True, slots=True)
class ModelSize:
    """Limits of the model.

    `effects`: one for each message. `keyed`: numbers of the messages that share the one key.
    `max_attempts`: of each message. `batch`: most messages in one call. `calls`: most open calls.
    `endpoints_change`: endpoints begin to drain, and refuse calls with a retry-after deadline.
    `in_flight`: if not empty, all messages are accepted in the first state, and these are in a written call.
    """

    effects: tuple[Effect, ...] = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
    keyed: tuple[int, ...] = (1, 2)
    endpoints: int = 2
    max_attempts: int = 2
    restarts: int = 1
    batch: int = 2
    calls: int = 2
    endpoints_change: bool = True
    in_flight: tuple[int, ...] = ()


class PropertyViolated(Exception):
    """A property does not hold. `name`: its key in PROPERTIES."""

    def __init__(self, name: str) -> None:
        super().__init__(PROPERTIES[name])
        self.name = name


Transitions = Iterator[tuple[str, SystemState]]


@dataclass(slots=True)
class Model:
    """Transitions of the model. `records`: the steps (begin, end) that are recorded before they are taken."""

    size: ModelSize = field(default_factory=ModelSize)
    table: dict[tuple[State, Event], Step] = field(default_factory=lambda: TABLE)
    rules: Rules = RULES
    records: frozenset[str] = frozenset({"begin", "end"})
    can_give_up: bool = True  # a message that may be neither sent nor refused is failed
    removes_blocked: bool = True  # a message that may not be written any more is removed from its call
    pauses_at_call_end: bool = True  # the pause of a key counts from there; False: from a message's outcome
    pauses_without_usable_answer: bool = True  # a key also pauses after an answer that can't be used
    records_pauses: bool = True  # the pause of a key outlasts the process

    def initial_state(self) -> SystemState:
        """Returns the first state, with all endpoints ready; see ModelSize.in_flight."""
        numbers, in_flight = range(len(self.size.effects)), self.size.in_flight
        endpoints = ((False, READY),) * self.size.endpoints
        if not in_flight:
            return SystemState((Message(),) * len(numbers), endpoints)
        held, begun = Message(HELD), Message(HELD, begun=True, attempts=1)
        messages = tuple(begun if number in in_flight else held for number in numbers)
        call = Call(0, tuple((number, False, False) for number in in_flight), State.WRITTEN, sent=True)
        return SystemState(messages, endpoints, (call,), self.size.keyed)

    def transitions(self, system: SystemState) -> Transitions:
        """Yields each possible next step as a text and the state after it."""
        yield from self.client_transitions(system)
        yield from self.policy_transitions(system)
        for call_index in range(len(system.calls)):
            yield from self.call_transitions(system, call_index)
        yield from self.environment_transitions(system)

    # --- clients and policy ---

    def client_transitions(self, system: SystemState) -> Transitions:
        """Yields submissions, notifications of final statuses, and their acknowledgements."""
        for number, message in enumerate(system.messages):
            if message.phase == NOT_SUBMITTED:
                key_queue = (*system.key_queue, number) if number in self.size.keyed else system.key_queue
                yield (
                    f"message {number} is accepted",
                    self.with_message(system, number, phase=HELD)._replace(key_queue=key_queue),
                )
            elif message.phase == DECIDED and not message.notified:
                if not message.end_recorded and "end" in self.records:
                    raise PropertyViolated("record")
                yield (
                    f"the client is notified of the final status of message {number}",
                    self.with_message(system, number, notified=True),
                )
            elif message.phase == DECIDED:
                yield (
                    f"the notification of message {number} is acknowledged",
                    self.with_message(system, number, phase=COMPLETED),
                )

    def policy_transitions(self, system: SystemState) -> Transitions:
        """Yields the sends, refusals and give-ups that the policy may decide.

        It may also refuse where the rules forbid it: `finalize` then sets FAILED, as the node does.
        """
        sendable = [number for number in range(len(system.messages)) if self.sendable(system, number)]
        if len(system.calls) < self.size.calls:
            groups = [(number,) for number in sendable]
            if self.size.batch > 1:
                groups += [(first, second) for first in sendable for second in sendable if first < second]
            for endpoint_index in range(self.size.endpoints):
                for group in groups:
                    call = Call(endpoint_index, tuple((number, False, False) for number in group))
                    after = system
                    for number in group:
                        after = self.with_message(after, number, attempts=after.messages[number].attempts + 1)
                    numbers = " and ".join(map(str, group))
                    yield (
                        f"message {numbers} is sent to endpoint {endpoint_index}",
                        after._replace(calls=(*system.calls, call)),
                    )
        for number, message in enumerate(system.messages):
            safe = self.rules.may_resubmit(
                self.size.effects[number], message.risky, message.window_open, True
            )
            if message.phase == HELD and not system.in_flight(number) and (safe or self.can_give_up):
                yield f"message {number} is refused", self.finalize(system, number, REFUSED)
            if message.phase == HELD and self.can_give_up:
                yield f"message {number} is given up", self.finalize(system, number, FAILED)

    def sendable(self, system: SystemState, number: int) -> bool:
        """Whether the policy may begin an attempt of the message."""
        message, rules = system.messages[number], self.rules
        if message.phase not in (HELD, DECIDED) or message.attempts >= self.size.max_attempts:
            return False
        if number in self.size.keyed and system.key_paused and not message.attempts:
            return False
        repeat = rules.may_repeat(self.size.effects[number], message.risky, message.window_open)
        if not rules.may_begin(system.in_flight(number), message.phase == DECIDED, repeat):
            return False
        earlier = system.key_queue[: system.key_queue.index(number)] if number in system.key_queue else ()
        return all(
            rules.releases_key(system.messages[other].phase == COMPLETED, system.in_flight(other))
            for other in earlier
        )

    def finalize(self, system: SystemState, number: int, final: int) -> SystemState:
        """Decides the final status, as the node does: FAILED where the rules forbid REFUSED."""
        message, effect = system.messages[number], self.size.effects[number]
        if final == REFUSED and not self.rules.may_resubmit(effect, message.risky, message.window_open, True):
            final = FAILED
        if (
            final == REFUSED
            and self.may_run(system, number)
            and (effect is Effect.UNSAFE or effect is Effect.KEYED and not message.window_open)
        ):
            raise PropertyViolated("refusal")
        return self.with_message(
            self.set_final_status(system, number, final),
            number,
            phase=DECIDED,
            end_recorded="end" in self.records,
        )

    def set_final_status(self, system: SystemState, number: int, final: int) -> SystemState:
        """Sets the final status. Raises PropertyViolated if another one was set before."""
        if system.messages[number].final and system.messages[number].final != final:
            raise PropertyViolated("one end")
        return self.with_message(system, number, final=final)

    @staticmethod
    def may_run(system: SystemState, number: int) -> bool:
        """Whether an endpoint has run the message or may still run it."""
        return system.messages[number].ran > 0 or system.messages[number].may_run_later

    # --- calls ---

    def call_transitions(self, system: SystemState, call_index: int) -> Transitions:
        """Yields what may happen next to one open call."""
        call = system.calls[call_index]
        where = f"call {call_index} to endpoint {call.endpoint}"
        match call.state:
            case State.CONNECTING | State.RECORDING:
                yield from self.permission_transitions(system, call_index, where)
            case State.WRITING | State.WRITTEN if call.sent:
                yield from self.endpoint_transitions(system, call_index, where)
            case State.ACCEPTED if call.sent:
                yield (
                    f"{where}: the complete answer arrives",
                    self.apply_event(system, call_index, Event.ANSWER),
                )
            case State.WRITING | State.ACCEPTED:
                after = self.with_call(system, call_index, call._replace(sent=True))
                yield f"{where}: the last byte is written", self.apply_event(after, call_index, Event.SENT)
        if call.state is State.WRITING and len(call.parts) == 1:  # an endpoint may run a part of the request
            number, has_outcome, _ = call.parts[0]
            after = self.with_call(
                self.run_message(system, number),
                call_index,
                call._replace(parts=((number, has_outcome, True),)),
            )
            yield (
                f"{where}: it runs early, its answer can't be parsed",
                self.apply_event(after, call_index, Event.UNREADABLE),
            )
        if call.state in (State.WRITING, State.WRITTEN, State.ACCEPTED) and len(call.parts) == 1:
            yield from self.accept_transitions(system, call_index, where)
        ends = {Event.DISCONNECTED: "its connection ends", Event.TIMED_OUT: "it times out",
                Event.CANCELLED: "it is cancelled", Event.UNREADABLE: "its answer can't be parsed",
                Event.NO_SOCKET: "the process has no socket left"}  # fmt: skip
        for event, text in ends.items():
            if event is Event.UNREADABLE and call.state in (State.CONNECTING, State.RECORDING):
                continue
            if event is Event.NO_SOCKET and call.state is not State.CONNECTING:
                continue
            yield f"{where}: {text}", self.apply_event(system, call_index, event)
        if len(call.parts) > 1:
            for number in call.open_parts:
                yield (
                    f"{where}: message {number} reaches its deadline",
                    self.expire(system, call_index, number),
                )

    def permission_transitions(self, system: SystemState, call_index: int, where: str) -> Transitions:
        """Yields how a call goes on that asks to write its first byte.

        It asks once its connection is up (CONNECTING), and again once its begin is recorded (RECORDING).
        """
        call = system.calls[call_index]
        waiting, drained = system.endpoints[call.endpoint][0], system.endpoints[call.endpoint][1] == DRAINED
        remaining = [part for part in call.parts if self.may_write_part(system, part, waiting, drained)]
        if not self.removes_blocked and not waiting and not drained:
            remaining = list(call.parts)
        if not remaining:
            yield f"{where}: held back", self.apply_event(system, call_index, Event.HELD_BACK)
            return
        for number, has_outcome, _ in call.parts:  # removed from the call: never ran
            if (number, has_outcome, False) not in remaining and not has_outcome:
                system = self.apply_outcome(system, number, Outcome.MOOT)
        system = self.with_call(system, call_index, call._replace(parts=tuple(remaining)))
        if call.state is State.RECORDING:
            yield (
                f"{where}: its begin is recorded",
                self.check_first_byte(self.apply_event(system, call_index, Event.RECORDED), call_index),
            )
            return
        yield f"{where}: the store has no room", self.apply_event(system, call_index, Event.HELD_BACK)
        for number, _, _ in remaining:
            system = self.with_message(system, number, begun="begin" in self.records)
        yield f"{where}: its connection comes up", self.apply_event(system, call_index, Event.CONNECTED)

    def may_write_part(
        self, system: SystemState, part: tuple[int, bool, bool], waiting: bool, drained: bool
    ) -> bool:
        """Whether the first byte of one message of a call may be written."""
        number, has_outcome, _ = part
        message = system.messages[number]
        repeat = self.rules.may_repeat(self.size.effects[number], message.risky, message.window_open)
        return self.rules.may_write(waiting, drained, has_outcome or message.phase != HELD, repeat)

    def check_first_byte(self, system: SystemState, call_index: int) -> SystemState:
        """Checks the properties that writing the first byte could violate, if the call now writes it."""
        if call_index >= len(system.calls) or system.calls[call_index].state is not State.WRITING:
            return system
        call = system.calls[call_index]
        if system.endpoints[call.endpoint][0]:
            raise PropertyViolated("wait")
        if system.endpoints[call.endpoint][1] == DRAINED:
            raise PropertyViolated("drain")
        for number, _, _ in call.parts:
            message, effect = system.messages[number], self.size.effects[number]
            if not message.begun:
                raise PropertyViolated("record")
            if any(
                number == part[0]
                for at, other in enumerate(system.calls)
                if at != call_index
                for part in other.parts
            ):
                raise PropertyViolated("one at a time")
            if message.phase != HELD:
                raise PropertyViolated("one end")
            if self.may_run(system, number) and (
                effect is Effect.UNSAFE or effect is Effect.KEYED and not message.window_open
            ):
                raise PropertyViolated("resend")
            earlier = system.key_queue[: system.key_queue.index(number)] if number in system.key_queue else ()
            if any(system.messages[other].phase != COMPLETED or system.in_flight(other) for other in earlier):
                raise PropertyViolated("order")
            if earlier and system.pause_required and message.attempts == 1:
                raise PropertyViolated("pause")
        return system

    def endpoint_transitions(self, system: SystemState, call_index: int, where: str) -> Transitions:
        """Yields what an endpoint may do once it has received the whole request."""
        call = system.calls[call_index]
        for at, (number, has_outcome, ran) in enumerate(call.parts):
            if not ran:
                parts = (*call.parts[:at], (number, has_outcome, True), *call.parts[at + 1 :])
                after = self.with_call(
                    self.run_message(system, number), call_index, call._replace(parts=parts)
                )
                yield f"{where}: message {number} runs", after
            elif not has_outcome and len(call.parts) > 1:
                yield (
                    f"{where}: message {number} is confirmed by itself",
                    self.end_part(system, call_index, number, Outcome.OK),
                )
        outcomes = {number: Outcome.OK if ran else Outcome.FULL for number, _, ran in call.parts}
        yield f"{where}: it is answered", self.apply_event(system, call_index, Event.ANSWER, outcomes)
        errors = dict.fromkeys(outcomes, Outcome.ERROR)
        yield (
            f"{where}: it is answered with an error",
            self.apply_event(system, call_index, Event.ANSWER, errors),
        )
        if not any(ran for _, _, ran in call.parts) and self.size.endpoints_change:
            endpoint_index = call.endpoint
            after = system._replace(
                endpoints=(
                    *system.endpoints[:endpoint_index],
                    (True, system.endpoints[endpoint_index][1]),
                    *system.endpoints[endpoint_index + 1 :],
                )
            )
            yield (
                f"{where}: refused, with a retry-after",
                self.apply_event(after, call_index, Event.ANSWER, outcomes),
            )

    def accept_transitions(self, system: SystemState, call_index: int, where: str) -> Transitions:
        """Yields that the status line 200 arrives: the message ran, maybe before the last byte was read."""
        call = system.calls[call_index]
        number, has_outcome, ran = call.parts[0]
        if not ran:
            system = self.run_message(system, number)
        system = self.with_call(
            system, call_index, call._replace(parts=((number, has_outcome, True),), status_200=True)
        )
        yield f"{where}: its status line is 200", self.apply_event(system, call_index, Event.ACCEPT)

    def apply_event(
        self, system: SystemState, call_index: int, event: Event, outcomes: dict[int, Outcome] | None = None
    ) -> SystemState:
        """Applies one transition of the table to the call and its messages."""
        call = system.calls[call_index]
        step = self.table.get((call.state, event))
        if step is None:
            if event is Event.ACCEPT and call.state is not State.ACCEPTED:  # no answer is read in this state
                return system
            step = Step(State.FINISHED, Outcome.RESET)
        if step.to is not State.FINISHED:
            return self.with_call(system, call_index, call._replace(state=step.to))
        if event in (Event.CONNECTED, Event.RECORDED, Event.SENT):  # these must not end an attempt
            raise PropertyViolated("ways")
        fully_sent = call.sent
        for number, has_outcome, ran in call.parts:
            refused = outcomes is not None and outcomes[number] is Outcome.FULL
            if fully_sent and not ran and not refused:
                # written and not answered: may still run
                system = self.with_message(system, number, may_run_later=True)
            if not has_outcome:
                outcome = outcomes[number] if step.by_answer and outcomes else step.outcome
                outcome = Outcome.RESET if outcome is None else outcome
                if call.status_200 and outcome is not Outcome.OK:
                    raise PropertyViolated("delivery")
                proven_not_run = refused or not fully_sent and event is not Event.UNREADABLE
                if proven_not_run and not ran and not outcome.never_ran:
                    raise PropertyViolated("proof")
                system = self.apply_outcome(system, number, outcome)
        if fully_sent and step.outcome is not Outcome.OK and not step.by_answer:
            system = self.end_unanswered(system, call, event)
        return system._replace(calls=(*system.calls[:call_index], *system.calls[call_index + 1 :]))

    def end_unanswered(self, system: SystemState, call: Call, event: Event) -> SystemState:
        """Begins the pause of the key, if one of its messages is in a call that ends without an answer."""
        keyed = [part for part in call.parts if part[0] in self.size.keyed and part[0] not in call.confirmed]
        if not keyed:
            return system
        known = self.pauses_at_call_end or any(not has_outcome for _, has_outcome, _ in keyed)
        known = known and (event is not Event.UNREADABLE or self.pauses_without_usable_answer)
        return system._replace(pause_required=True, key_paused=system.key_paused or known)

    def expire(self, system: SystemState, call_index: int, number: int) -> SystemState:
        """Ends the attempt of one message at its deadline while its call goes on."""
        begun = system.calls[call_index].state not in (State.CONNECTING, State.RECORDING)
        if not begun and self.removes_blocked:  # nothing was written, and nothing will be
            call = system.calls[call_index]
            system = self.with_call(
                system,
                call_index,
                call._replace(parts=tuple(part for part in call.parts if part[0] != number)),
            )
            return self.apply_outcome(system, number, Outcome.MOOT)
        if number in self.size.keyed and not self.pauses_at_call_end:
            system = system._replace(key_paused=True)
        return self.end_part(system, call_index, number, Outcome.TIMEOUT)

    def end_part(self, system: SystemState, call_index: int, number: int, outcome: Outcome) -> SystemState:
        """Gives one message its outcome while its call goes on."""
        call = system.calls[call_index]
        parts = tuple((other, has_outcome or other == number, ran) for other, has_outcome, ran in call.parts)
        confirmed = (*call.confirmed, number) if outcome is Outcome.OK else call.confirmed
        after = self.with_call(system, call_index, call._replace(parts=parts, confirmed=confirmed))
        return self.apply_outcome(after, number, outcome)

    def apply_outcome(self, system: SystemState, number: int, outcome: Outcome) -> SystemState:
        """Applies the outcome of an attempt to its message."""
        message = system.messages[number]
        if outcome is Outcome.OK:
            if self.rules.reports_delivery(message.final in (REFUSED, FAILED)):
                system = self.set_final_status(system, number, DELIVERED)
            return self.with_message(system, number, phase=COMPLETED, begun=False)
        risky = self.rules.risky(message.risky, outcome)
        if risky and outcome.never_ran and not message.risky:
            raise PropertyViolated("proof")
        return self.with_message(system, number, begun=False, risky=risky)

    # --- environment: endpoints, time and the process ---

    def environment_transitions(self, system: SystemState) -> Transitions:
        """Yields what happens outside the calls: deadlines, drains, late runs and a restart."""
        for endpoint_index, (wait, drain) in enumerate(system.endpoints):
            if wait:
                yield (
                    f"the retry-after deadline of endpoint {endpoint_index} passes",
                    self.with_endpoint(system, endpoint_index, (False, drain)),
                )
            if drain < DRAINED and self.size.endpoints_change:
                text = "begins to drain" if drain == READY else "has drained for longer than its grace period"
                yield (
                    f"endpoint {endpoint_index} {text}",
                    self.with_endpoint(system, endpoint_index, (wait, drain + 1)),
                )
            elif drain == DRAINED and all(phase == DRAINED for _, phase in system.endpoints):
                yield (
                    f"endpoint {endpoint_index} is ready again",
                    self.with_endpoint(system, endpoint_index, (wait, READY)),
                )
        for number, message in enumerate(system.messages):
            if message.may_run_later:
                yield (
                    f"message {number} runs after its call was given up",
                    self.with_message(self.run_message(system, number), number, may_run_later=False),
                )
            keyed = self.size.effects[number] is Effect.KEYED
            if keyed and message.window_open and (message.risky or message.begun or message.ran):
                yield (
                    f"the window of message {number} closes",
                    self.with_message(system, number, window_open=False),
                )
        if system.pause_required or system.key_paused:
            yield "the pause of the key ends", system._replace(pause_required=False, key_paused=False)
        if system.restart_count < self.size.restarts:
            yield "the process ends and starts again", self.restart(system)

    def restart(self, system: SystemState) -> SystemState:
        """Ends all calls; requests that were sent may still run. Messages continue as the store has them."""
        unanswered = [number for call in system.calls if call.sent for number, _, _ in call.parts]
        owed = system.pause_required or any(number in self.size.keyed for number in unanswered)
        begun = any(
            system.messages[number].begun and system.messages[number].phase == HELD
            for number in self.size.keyed
        )
        known = owed if self.records_pauses else begun
        for call in system.calls:
            for number, _, ran in call.parts:
                if call.sent and not ran:
                    system = self.with_message(system, number, may_run_later=True)
        for number, message in enumerate(system.messages):
            if message.phase == DECIDED and not message.end_recorded:
                system = self.with_message(system, number, phase=HELD)
            risky = self.rules.resumed_risky(message.risky, message.begun)
            if risky and not message.risky and not message.begun:
                raise PropertyViolated("proof")
            system = self.with_message(system, number, risky=risky, begun=False)
        # the platform's rule: a restart ends retry-after deadlines
        endpoints = tuple((False, drain) for _, drain in system.endpoints)
        return system._replace(
            calls=(), endpoints=endpoints, restart_count=system.restart_count + 1,
            pause_required=owed, key_paused=known or begun,
        )  # fmt: skip

    def run_message(self, system: SystemState, number: int) -> SystemState:
        """Lets the message take effect. Raises PropertyViolated for an unsafe one that ran before."""
        ran = system.messages[number].ran + 1
        if ran > 1 and self.size.effects[number] is Effect.UNSAFE:
            raise PropertyViolated("twice")
        return self.with_message(system, number, ran=min(ran, 1))

    # --- copies with one change ---

    @staticmethod
    def with_message(system: SystemState, number: int, **fields: object) -> SystemState:
        """Returns the state with some fields of one message replaced."""
        after = system.messages[number]._replace(**fields)  # type: ignore[arg-type]
        return system._replace(messages=(*system.messages[:number], after, *system.messages[number + 1 :]))

    @staticmethod
    def with_endpoint(system: SystemState, endpoint_index: int, endpoint: tuple[bool, int]) -> SystemState:
        """Returns the state with one endpoint replaced."""
        return system._replace(
            endpoints=(*system.endpoints[:endpoint_index], endpoint, *system.endpoints[endpoint_index + 1 :])
        )

    @staticmethod
    def with_call(system: SystemState, call_index: int, call: Call) -> SystemState:
        """Returns the state with one call replaced."""
        return system._replace(calls=(*system.calls[:call_index], call, *system.calls[call_index + 1 :]))
