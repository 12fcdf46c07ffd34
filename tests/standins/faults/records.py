"""What clients, receivers and discovery saw in one run. Times are the loop's, s."""

from collections import deque
from dataclasses import dataclass, field

CAPACITY = 20.0  # calls a second that a destination takes when it is warm, as listed
RAN = ("ok", "error", "reset", "hang")  # outcomes of a call behind which the message may have run


@dataclass
class Message:
    """One message as its client handed it in."""

    id: str
    cls: str
    destination: int
    key: int
    token: str
    body: bytes
    span: float  # s for which it may be delivered
    sender: str
    sent: float = 0.0  # when its request's last byte was written
    life: int = 0  # of the sender, at that time
    answer: str | None = None  # "OK", "BUSY", "ERR"
    answered: float | None = None
    lost_by: str = ""  # how its connection ended without an answer: "eof", "reset", "timeout", "refused"
    tried_again: bool = False

    @property
    def deadline(self) -> float:
        return self.sent + self.span


@dataclass
class Call:
    """One message's share of one call that a receiver read whole."""

    message: str
    token: str
    body: bytes
    receiver: str
    destination: int
    begun: float  # when its head was read
    read: float  # when its last byte was read
    outcome: str = ""  # "ok", "error", "full", "wait", "reset", "hang"
    written: float | None = None  # when its answer was written
    closed: float | None = None  # from when on it was not out any more: answered, or its connection ended
    wait: float = 0.0  # s


@dataclass
class Notice:
    at: float
    sender: str
    message: str
    outcome: str


@dataclass
class Drain:
    at: float
    sender: str  # whose agent told it
    receiver: str


@dataclass
class Outage:
    """A destination that fails all calls from `since` to `until`, and is cold then."""

    destination: int
    since: float
    until: float
    taken: deque[float] = field(default_factory=deque)  # when it took a call, within the last second
    failed: dict[str, float] = field(default_factory=dict)  # by sender: when a call of it first failed there

    def full(self, now: float) -> bool:
        """Whether the destination refuses a call now: it takes CAPACITY in any second."""
        while self.taken and self.taken[0] <= now - 1:
            self.taken.popleft()
        if len(self.taken) >= CAPACITY:
            return True
        self.taken.append(now)
        return False


@dataclass
class Records:
    messages: dict[str, Message] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    outage: Outage | None = None
    worst_use: float = 0.0  # of the budget of the destination that was out
    lag: float = 0.0  # the longest time by which the observer itself was late, s
    unreadable: list[str] = field(default_factory=list)  # what came to a receiver and is no call

    def calls_of(self, message: str) -> list[Call]:
        return [call for call in self.calls if call.message == message]
