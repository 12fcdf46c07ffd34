"""State machine of an attempt: the events of each state, and what they prove about the messages. No I/O.

An attempt is one call with its messages. The table decides whether a message may have run. It surely did not
if the endpoint never received the whole request, or if the endpoint says so itself. Therefore:

- Until the connection is up nothing has been written, and the attempt is not recorded.
- Then permission is requested: a retry-after deadline or a drain holds the attempt back. Otherwise its
  begin is recorded, and permission is checked again where the record took time.
- If the connection ends after the first and before the last byte, the messages did not run. After the last
  byte this is unknown.
- A status line of 200 proves delivery whatever follows it, also before the last byte: an endpoint may answer
  before it has read the whole request. On a connection that carried a call before it proves nothing until the
  last byte was written, since it may be a duplicate of that call's answer. It holds only for a call of one
  message: in a batch each message has its own status in the body.
- The connection of an attempt that is cancelled or times out is closed at once, so that no further byte is
  written.

HTTP uses the whole table. AMQP shares it up to the last byte; after that each publish has an outcome of its
own (carriers/amqp/outcomes.py). The table lists every pair of state and event that can occur. Any other is a
fault of the transport, after which the messages count as ones that may have run.
"""

from dataclasses import dataclass
from enum import Enum

from ..interface import Outcome


class State(Enum):
    """Progress of an attempt."""

    CONNECTING = "its connection is not up"
    RECORDING = "its begin is being recorded"
    WRITING = "some bytes may have been written, not all"
    WRITTEN = "the last byte has been written"
    ACCEPTED = "the status line of the answer is 200"
    FINISHED = "it has its outcome"


class Event(Enum):
    """What can happen to an attempt."""

    CONNECTED = "its connection is up, and nothing holds it back"
    HELD_BACK = "a retry-after deadline, a drain or a full store holds it back, or no message may be sent"
    RECORDED = "its begin is recorded, and nothing holds it back"
    SENT = "the last byte was written"
    ACCEPT = "the status line is 200, in a call of one message"
    ANSWER = "a complete answer"
    UNREADABLE = "an answer that can't be parsed"
    DISCONNECTED = "the connection could not be opened, or ended"
    NO_SOCKET = "this process has no socket left"
    TIMED_OUT = "its time-out has passed"
    CANCELLED = "the policy cancels it"


@dataclass(frozen=True, slots=True)
class Step:
    """A transition: the next state, and the outcome if it ends the attempt.

    `by_answer`: the outcome depends on the content of the answer.
    """

    to: State
    outcome: Outcome | None = None
    by_answer: bool = False


def finished(outcome: Outcome) -> Step:
    """Returns the transition that ends the attempt with the outcome."""
    return Step(State.FINISHED, outcome)


S, E, O = State, Event, Outcome  # noqa: E741 - short names keep the table's columns readable
TABLE: dict[tuple[State, Event], Step] = {
    (S.CONNECTING, E.CONNECTED): Step(S.RECORDING),
    (S.CONNECTING, E.HELD_BACK): finished(O.MOOT),
    (S.CONNECTING, E.DISCONNECTED): finished(O.CONNECT_FAILED),
    (S.CONNECTING, E.NO_SOCKET): finished(O.MOOT),  # a local shortage says nothing about the endpoint
    (S.CONNECTING, E.TIMED_OUT): finished(O.CONNECT_FAILED),
    # not MOOT as in the other states before the last byte: a silent endpoint would never count as failing
    (S.CONNECTING, E.CANCELLED): finished(O.CONNECT_FAILED),
    (S.RECORDING, E.RECORDED): Step(S.WRITING),
    (S.RECORDING, E.HELD_BACK): finished(O.MOOT),  # a drain or retry-after arrived during the fsync
    (S.RECORDING, E.DISCONNECTED): finished(O.CONNECT_FAILED),
    (S.RECORDING, E.TIMED_OUT): finished(O.CONNECT_FAILED),
    (S.RECORDING, E.CANCELLED): finished(O.MOOT),
    (S.WRITING, E.SENT): Step(S.WRITTEN),
    (S.WRITING, E.ACCEPT): Step(S.ACCEPTED),
    (S.WRITING, E.UNREADABLE): finished(O.ERROR),  # an endpoint that answers may have the request
    (S.WRITING, E.DISCONNECTED): finished(O.CONNECT_FAILED),
    (S.WRITING, E.TIMED_OUT): finished(O.CONNECT_FAILED),
    (S.WRITING, E.CANCELLED): finished(O.MOOT),
    (S.WRITTEN, E.ACCEPT): Step(S.ACCEPTED),
    (S.WRITTEN, E.ANSWER): Step(S.FINISHED, by_answer=True),
    (S.WRITTEN, E.UNREADABLE): finished(O.ERROR),
    (S.WRITTEN, E.DISCONNECTED): finished(O.RESET),
    (S.WRITTEN, E.TIMED_OUT): finished(O.TIMEOUT),
    (S.WRITTEN, E.CANCELLED): finished(O.CANCELLED),
    (S.ACCEPTED, E.SENT): Step(S.ACCEPTED),
    (S.ACCEPTED, E.ACCEPT): Step(S.ACCEPTED),
    (S.ACCEPTED, E.ANSWER): finished(O.OK),
    (S.ACCEPTED, E.UNREADABLE): finished(O.OK),
    (S.ACCEPTED, E.DISCONNECTED): finished(O.OK),
    (S.ACCEPTED, E.TIMED_OUT): finished(O.OK),
    (S.ACCEPTED, E.CANCELLED): finished(O.OK),
}


class Attempt:
    """The state of one call's attempt. Kept small, since each call has one."""

    __slots__ = ("outcome", "state")

    def __init__(self) -> None:
        self.state, self.outcome = State.CONNECTING, None

    def feed(self, event: Event) -> Outcome | None:
        """Applies an event. Returns the outcome; None if the attempt goes on or the answer decides.

        An event that the state does not expect is a fault of the transport; the outcome is then RESET, since
        the messages may have run.
        """
        step = TABLE.get((self.state, event))
        if step is None:
            step = finished(Outcome.RESET)
        self.state, self.outcome = step.to, step.outcome
        return step.outcome

    @property
    def begun(self) -> bool:
        """Whether a byte may have been written."""
        return self.state not in (State.CONNECTING, State.RECORDING)
