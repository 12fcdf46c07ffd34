"""Records of what clients, receivers and discovery servers observed in one run.

Times are loop times in seconds.
"""

from collections import deque
from dataclasses import dataclass, field

CAPACITY = 20.0  # calls a second that a warm destination accepts, as in the endpoint list
# Outcomes of calls (see Call.outcome) after which the message may have taken effect.
MAY_HAVE_RUN = ("ok", "error", "reset", "hang")


@dataclass
class Message:
    """One message as its client submitted it, and the reply that the client got."""

    id: str
    cls: str
    destination: int
    key: int  # of its per-key queue; 0: none
    token: str  # idempotency key; "": none
    body: bytes
    lifetime: float  # s for which it may be delivered
    sender: str  # name of the sender that it was submitted to
    sent: float = 0.0  # when its request's last byte was written
    incarnation: int = 0  # number of the sender's process at that time, from 1
    reply: str | None = None  # "OK" (accepted), "BUSY" (rejected) or "ERR" (any other error); None: no reply
    replied_at: float | None = None  # when the reply or the end of the connection was received
    no_reply_reason: str = ""  # why it got no reply: "eof", "reset", "timeout", "refused"
    retried: bool = False  # submitted a second time, after a reset

    @property
    def deadline(self) -> float:
        """The loop time of its deadline."""
        return self.sent + self.lifetime


@dataclass
class Call:
    """One message in one call that a receiver read completely; a batch gives one record for each message."""

    message: str  # id
    token: str  # idempotency key; "": none
    body: bytes
    receiver: str  # name
    destination: int
    started: float  # when its header was read
    read: float  # when its last byte was read
    # "ok" (status 200), "error" (500), "full" (503), "wait" (429 with a retry delay), "reset" (connection
    # closed without a response) or "hang" (no response until the sender closes the connection).
    outcome: str = ""
    written: float | None = None  # when its response was written; None: it was not written
    closed: float | None = None  # when it was no longer in flight: responded to, or its connection ended
    retry_after: float = 0.0  # s; the retry delay of the outcome "wait"


@dataclass
class Notification:
    """One notification of a final status as a discovery server received it."""

    at: float
    sender: str
    message: str  # id
    outcome: str  # the final status


@dataclass
class Drain:
    """The moment when a discovery server sent its sender the update that a receiver drains."""

    at: float
    sender: str  # whose discovery server sent the update
    receiver: str


@dataclass
class Outage:
    """An outage of one destination: all calls fail from `since` to `until`; then the destination is cold."""

    destination: int
    since: float
    until: float
    accepted_at: deque[float] = field(default_factory=deque)  # calls accepted within the last second
    first_failure: dict[str, float] = field(default_factory=dict)  # by sender: its first failed call in it

    def rejects_call(self, now: float) -> bool:
        """Returns whether a call is rejected now; counts it if not. Accepts CAPACITY calls in any second."""
        while self.accepted_at and self.accepted_at[0] <= now - 1:
            self.accepted_at.popleft()
        if len(self.accepted_at) >= CAPACITY:
            return True
        self.accepted_at.append(now)
        return False


@dataclass
class Records:
    """Everything observed in one run."""

    messages: dict[str, Message] = field(default_factory=dict)  # by id
    calls: list[Call] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    outage: Outage | None = None
    has_crowd: bool = False  # misbehaving clients run beside the others
    max_budget_use: float = 0.0  # highest share of its recovery budget that the returning destination got
    observer_lag: float = 0.0  # longest delay of the observing event loop, s
    invalid_requests: list[str] = field(default_factory=list)  # that receivers could not read as calls

    def calls_of(self, message: str) -> list[Call]:
        """Returns the calls with this message, in the order in which they were read."""
        return [call for call in self.calls if call.message == message]
