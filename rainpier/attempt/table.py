"""An attempt as a table of states: what may happen in each, and what it proves. No input or output.

An attempt is one try of the messages that travel in one call. Its one question is whether a message may
have run. The proof that it did not is that the endpoint never had the whole of it, or that it said so
itself. So:

- until its connection is there nothing has left, and nothing of it is on record;
- then leave is asked for: a told wait or a drain holds it back, else its begin is recorded, and leave is
  asked once more where the record took time;
- from the first byte on an end of the connection before the last byte is proof that it never ran; after it,
  none;
- a first line of 200 is true whatever comes behind it, and also ahead of the last byte: an endpoint may
  answer before it has read all. Not so ahead of the last byte on a connection that carried another call
  before: there it may be a copy of that one's answer, and proves nothing. It stands for a call of one
  message; of several, each has its own word in the body;
- what is called off or timed out is closed at once, so that no byte of it leaves any more.

HTTP goes by the whole table. AMQP shares it up to the last byte; behind that each publish has a word of its
own (carriers/amqp/outcomes.py). Every pair of a state and an event that can meet stands below; any other is
a fault of the carrier's, and counts as what may have run.
"""

from dataclasses import dataclass
from enum import Enum

from ..interface import Outcome


class State(Enum):
    """How far an attempt has come."""

    CONNECTING = "its connection is not there"
    RECORDING = "its begin is being recorded"
    WRITING = "bytes may have left, not all"
    WRITTEN = "the last byte has left"
    ACCEPTED = "the first line of the answer says 200"
    OVER = "it has its outcome"


class Event(Enum):
    """What can happen to it."""

    UP = "its connection is there, and nothing holds it back"
    HELD_BACK = "a wait, a drain or a lack of room for its record holds it back, or its messages may not go"
    RECORDED = "its begin is on record, and nothing holds it back"
    SENT = "the last byte was written"
    ACCEPT = "the first line says 200, for one message alone"
    ANSWER = "a whole answer"
    SPOILT = "an answer that can't be read"
    BROKE = "the connection did not come up, or ended"
    NO_SOCKET = "this process has no socket left"
    TIMED_OUT = "its time is up"
    CALLED_OFF = "the module calls it off"


@dataclass(frozen=True, slots=True)
class Step:
    """Where an event leads; an outcome where it ends the attempt. `by_answer`: the answer says which."""

    to: State
    outcome: Outcome | None = None
    by_answer: bool = False


def over(outcome: Outcome) -> Step:
    return Step(State.OVER, outcome)


S, E, O = State, Event, Outcome  # noqa: E741 - the table is read by its columns
TABLE: dict[tuple[State, Event], Step] = {
    (S.CONNECTING, E.UP): Step(S.RECORDING),
    (S.CONNECTING, E.HELD_BACK): over(O.MOOT),
    (S.CONNECTING, E.BROKE): over(O.CONNECT_FAILED),
    (S.CONNECTING, E.NO_SOCKET): over(O.MOOT),  # a lack of this process's own says nothing of the endpoint
    (S.CONNECTING, E.TIMED_OUT): over(O.CONNECT_FAILED),
    (S.CONNECTING, E.CALLED_OFF): over(O.CONNECT_FAILED),  # else a silent one is never found out
    (S.RECORDING, E.RECORDED): Step(S.WRITING),
    (S.RECORDING, E.HELD_BACK): over(O.MOOT),  # told while the record was made sure
    (S.RECORDING, E.BROKE): over(O.CONNECT_FAILED),
    (S.RECORDING, E.TIMED_OUT): over(O.CONNECT_FAILED),
    (S.RECORDING, E.CALLED_OFF): over(O.MOOT),
    (S.WRITING, E.SENT): Step(S.WRITTEN),
    (S.WRITING, E.ACCEPT): Step(S.ACCEPTED),
    (S.WRITING, E.SPOILT): over(O.ERROR),  # it answers calls that it has
    (S.WRITING, E.BROKE): over(O.CONNECT_FAILED),
    (S.WRITING, E.TIMED_OUT): over(O.CONNECT_FAILED),
    (S.WRITING, E.CALLED_OFF): over(O.MOOT),
    (S.WRITTEN, E.ACCEPT): Step(S.ACCEPTED),
    (S.WRITTEN, E.ANSWER): Step(S.OVER, by_answer=True),
    (S.WRITTEN, E.SPOILT): over(O.ERROR),
    (S.WRITTEN, E.BROKE): over(O.RESET),
    (S.WRITTEN, E.TIMED_OUT): over(O.TIMEOUT),
    (S.WRITTEN, E.CALLED_OFF): over(O.CANCELLED),
    (S.ACCEPTED, E.SENT): Step(S.ACCEPTED),
    (S.ACCEPTED, E.ACCEPT): Step(S.ACCEPTED),
    (S.ACCEPTED, E.ANSWER): over(O.OK),
    (S.ACCEPTED, E.SPOILT): over(O.OK),
    (S.ACCEPTED, E.BROKE): over(O.OK),
    (S.ACCEPTED, E.TIMED_OUT): over(O.OK),
    (S.ACCEPTED, E.CALLED_OFF): over(O.OK),
}


class Attempt:
    """One call's place in the table. Cheap: one for each call."""

    __slots__ = ("outcome", "state")

    def __init__(self) -> None:
        self.state, self.outcome = State.CONNECTING, None

    def feed(self, event: Event) -> Outcome | None:
        """The outcome, where it has one now; None: it goes on, or the answer says which.

        An event that the state does not have is a fault of the carrier's: what is not proved may have run.
        """
        step = TABLE.get((self.state, event))
        if step is None:
            step = over(Outcome.RESET)
        self.state, self.outcome = step.to, step.outcome
        return step.outcome

    @property
    def begun(self) -> bool:
        """A byte may have left."""
        return self.state not in (State.CONNECTING, State.RECORDING)
