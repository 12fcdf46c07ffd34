"""Events that the policy (`policy.Sender`) takes, actions that it returns, and its settings.

Data types and their validation only. All times and durations are in milliseconds. Messages, endpoints,
destinations and keys are numbers; classes, tenants and kinds are indexes into the tuples of Settings.
"""

import math
from dataclasses import dataclass, replace
from enum import IntEnum


class Outcome(IntEnum):
    """The result of one delivery attempt."""

    OK = 0  # delivered
    ERROR = 1  # error response; may have taken effect
    FULL = 2  # refused by the endpoint before any processing
    TIMEOUT = 3  # no response in time; may have taken effect, or may yet do so
    CONNECT_FAILED = 4  # no connection to the endpoint
    RESET = 5  # connection lost during the call; may have taken effect
    CANCELLED = 6  # cancelled by the policy; may have taken effect
    MOOT = 7  # never sent, and counts as no result of the endpoint

    @property
    def never_ran(self) -> bool:
        """Whether the attempt certainly had no effect at the receiver."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

    @property
    def may_still_run(self) -> bool:
        """Whether the receiver may still be working on the attempt, which ended without its answer."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class Effect(IntEnum):
    """How the receiver treats repeated deliveries of a message of a class."""

    SAFE = 0  # may be repeated without limit
    KEYED = 1  # the receiver drops repeats of a key within `repeat_window`
    UNSAFE = 2  # must never take effect twice


class Condition(IntEnum):
    """The state of an endpoint according to endpoint discovery."""

    GONE = 0  # removed
    READY = 1
    DRAINING = 2  # gets no new calls


class ListKind(IntEnum):
    """The contents of a ListChange: what changed, all endpoints, a cached copy, or a failed read."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # all endpoints, as of an earlier read
    FAILED = 3


# Which endpoints remember keys together, the strictest last: all, those of a cell, those of a zone.
# A destination is in one cell, so that "cell" differs from "all" only in that nothing is handed back.
GROUPS = ("all", "cell", "zone")


@dataclass(slots=True, frozen=True)
class MessageClass:
    """The delivery rules that messages of one class share."""

    name: str = ""
    worth: float = 1.0  # value of a delivery, relative to those of other classes
    aim: float = 1000.0  # full worth when delivered within this time after the submission
    deadline: float = 10000.0  # given up this long after its first submission
    late_worth: float = 0.0  # fraction of the worth that remains at the deadline
    effect: Effect = Effect.SAFE
    group: str = "all"  # KEYED: which endpoints remember keys together, one of GROUPS
    repeat_window: float = 0.0  # KEYED: how long a receiver remembers a key
    in_order: bool = False  # messages of a key are sent one at a time, in the order of their acceptance

    def bound_by(self, effect: Effect, group: str, repeat_window: float) -> "MessageClass":
        """Returns the class for a message that was accepted under other rules: the stricter ones apply."""
        if effect < self.effect or effect is Effect.SAFE:
            return self
        if effect > self.effect:
            return replace(self, effect=effect, group=group, repeat_window=repeat_window)
        window, stricter = min(repeat_window, self.repeat_window), max(group, self.group, key=GROUPS.index)
        return replace(self, repeat_window=window, group=stricter)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A client organisation whose messages share one quota."""

    name: str = ""
    quota_per_s: float = 0.0  # messages a second over all senders; 0: no quota


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of endpoints: how many messages a call to them carries, and what shares a limit."""

    name: str = ""
    batch: int = 1  # most messages in one call
    # Each endpoint has a send rate, window and circuit breaker of its own. Otherwise all endpoints of a
    # destination share them (destination.DestinationState).
    apart: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of the policy, fixed at start except for `classes` (see ClassesChange)."""

    classes: tuple[MessageClass, ...] = (MessageClass(),)
    tenants: tuple[Tenant, ...] = ()
    kinds: tuple[Kind, ...] = (Kind(),)
    senders: int = 1  # size of the fleet
    ordinal: int = 0  # number of this sender in the fleet, from 0
    zone: int = 0  # zone of this sender
    slots: int = 8  # most calls in flight at once
    max_open: int = 1000  # most incomplete messages at once, sent or not
    max_attempts: int = 12  # of each message
    late_halves: bool = False  # worth halves with each further `aim`, instead of falling linearly
    over_share_worth: float = 1.0  # fraction of the worth that a message above its tenant's quota keeps
    must_ask: bool = False  # endpoints are sent only on request (WatchList, ReadList)
    may_probe: bool = False  # Probe is allowed; this policy does not use it
    may_cancel: bool = False  # Cancel is allowed
    parallel_tries: bool = False  # several attempts of a message at once are allowed; not used either
    connect_timeout: float = 1000.0  # to open a connection
    keep_alive: float = 15000.0  # idle connections are closed after this
    tick: float = 1.0  # least time between rounds
    answer_grace: float = 0.0  # time after a deadline within which the final status is reported
    drain_grace: float = 0.0  # time after the notice of a drain in which calls may still begin
    overload_factor: float = 2.0  # a cold destination fails at this multiple of its current capacity
    fall: float = 3000.0  # time that it has to be overloaded for before it fails; above 0
    cold_from: float = 0.2  # fraction of its capacity that a cold destination starts with
    cold: float = 10000.0  # time until a cold destination has its full capacity
    turn_gap: float = 0.0  # pause of a key after an attempt that may still be running
    # By zone: cost of a message accepted by a kind with `apart`. Costs are only compared: the lowest is used.
    # A zone without one costs as much as the dearest.
    zone_fee: tuple[float, ...] = ()
    report_fields: tuple[str, ...] = ()  # names of the values in Result.report, in their order
    rates_rough: bool = False  # the rates from endpoint discovery are approximate
    ends_answered: bool = False  # EndAnswered follows a final status; until then the key is blocked

    def __post_init__(self) -> None:
        """Checks the ranges; ValueError names the setting that is out of range."""
        for name in ("slots", "max_open", "max_attempts", "senders"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1, not {getattr(self, name)}")
        for name in ("connect_timeout", "keep_alive", "tick", "answer_grace", "drain_grace",
                     "overload_factor", "cold", "turn_gap", "cold_from"):  # fmt: skip
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name} must be at least 0, not {getattr(self, name)}")
        if not self.fall > 0:
            raise ValueError(f"fall must be above 0, not {self.fall}")
        for cls in self.classes:
            if not (cls.aim >= 0 and cls.deadline > 0 and cls.repeat_window >= 0):
                raise ValueError(
                    f"classes: {cls.name} must have a deadline above 0 and an aim and repeat_window of at "
                    f"least 0, not {cls.deadline}, {cls.aim} and {cls.repeat_window} ms"
                )
            if cls.group not in GROUPS:
                raise ValueError(f"classes: {cls.name} must have a group of {GROUPS}, not {cls.group!r}")
        for kind in self.kinds:
            if kind.batch < 1:
                raise ValueError(f"kinds: {kind.name} must have a batch of at least 1, not {kind.batch}")


# --- events ---

NO_TENANT = -1  # messages of this tenant count against no quota
UNKNOWN_ZONE = -1  # of an attempt in a zone that is not known any more; no endpoint is in it


@dataclass(slots=True, frozen=True)
class Arrival:
    """A message was submitted. `deadline` is an absolute time."""

    message: int
    cls: int
    destination: int
    deadline: float
    key: int = 0  # 0: none
    tenant: int = 0  # index into Settings.tenants, or NO_TENANT
    # Flags of the submission, which the policy does not use.
    repeated: bool = False
    inherited: bool = False


@dataclass(slots=True, frozen=True)
class Result:
    """An attempt ended."""

    message: int
    attempt: int  # number of the message's attempt, from 0
    endpoint: int
    outcome: Outcome
    elapsed: float = 0.0  # from the sending of the call to its end
    closed: bool = False  # the message is complete
    wait: float = 0.0  # retry-after time that the endpoint asked for; 0: none
    report: tuple[float, ...] = ()  # values of Settings.report_fields
    fresh: bool = False  # on a new connection, so that the outcome says nothing about kept-alive ones


@dataclass(slots=True, frozen=True)
class Resumed:
    """A message that an earlier process of this sender accepted. These come in the order of acceptance."""

    arrival: Arrival
    attempts: int = 0  # attempts made so far
    risky_at: float = math.inf  # when the first attempt that may have taken effect was sent; infinity: none
    risky_zone: int = 0  # zone of the endpoint of that attempt, or UNKNOWN_ZONE
    interrupted: bool = False  # an attempt was in flight when that process ended
    ended: bool = False  # its final status is decided but not yet acknowledged: it only blocks its key
    effect: Effect = Effect.SAFE  # rules at acceptance (with `group` and `repeat_window`); they still apply
    group: str = "all"
    repeat_window: float = 0.0


@dataclass(slots=True, frozen=True)
class ZoneLost:
    """The zone of the first attempt of a message that may have taken effect is not known any more."""

    message: int


@dataclass(slots=True, frozen=True)
class EndAnswered:
    """The final status was acknowledged and no attempt is in flight: the message is complete."""

    message: int
    key: int


@dataclass(slots=True, frozen=True)
class KeyPaused:
    """A call ended that may still be running at its receiver: the key's next message waits for `duration`.

    Counted from the end of the call, which may follow the Result of the attempt: a message at its deadline
    gets its Result while its call goes on for others.
    """

    key: int
    duration: float


@dataclass(slots=True, frozen=True)
class ClassesChange:
    """Replaces the classes: existing classes keep their numbers, new ones are appended."""

    classes: tuple[MessageClass, ...]


@dataclass(slots=True, frozen=True)
class DestinationsGone:
    """Destinations were removed: waiting messages end now, those in flight end with their attempt."""

    destinations: frozenset[int]


@dataclass(slots=True, frozen=True)
class Remembered:
    """What an earlier process of this sender recorded about an endpoint (see OutageChange)."""

    endpoint: int
    wait: float = 0.0  # time left until the retry-after deadline; 0: none
    down: bool = False  # its circuit breaker was open


@dataclass(slots=True, frozen=True)
class Stopping:
    """The process stops: calls still in flight at the time `at` are cut off."""

    at: float


@dataclass(slots=True, frozen=True)
class Stalled:
    """Attempts cannot be recorded, so that none may begin (`on`), or can be recorded again."""

    on: bool


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """A message needs no delivery any more: withdrawn, not accepted, or completed by the node itself.

    With Settings.ends_answered its key stays blocked until EndAnswered, which follows.
    """

    message: int


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint in a ListChange."""

    endpoint: int
    destination: int
    zone: int = 0
    kind: int = 0
    condition: Condition = Condition.READY
    rate: float | None = None  # calls a second that the destination takes from all senders; None: unknown
    added: float = 0.0  # Unix time at which the endpoint started; 0: unknown


@dataclass(slots=True, frozen=True)
class ListChange:
    """An endpoint update; its entries replace earlier ones of the same endpoints."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """A call of Probe ended."""

    endpoint: int
    outcome: Outcome
    elapsed: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class StreamOpened:
    """The response to an attempt has begun; `elapsed` counts from the sending."""

    message: int
    attempt: int
    endpoint: int
    elapsed: float = 0.0


@dataclass(slots=True, frozen=True)
class PeerNote:
    """Data from another sender of the fleet (see TellPeer)."""

    peer: int
    data: bytes


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer of SetTimer expired."""

    token: int


Event = (
    Arrival | Resumed | Result | ZoneLost | EndAnswered | KeyPaused | ClassesChange | DestinationsGone
    | Remembered | Stopping | Stalled | Withdrawn | ListChange | ProbeResult | StreamOpened | PeerNote
    | TimerDue
)  # fmt: skip


# --- actions ---


@dataclass(slots=True, frozen=True)
class Send:
    """Starts an attempt."""

    message: int
    endpoint: int
    timeout: float = 0.0  # 0: no limit other than that of the transport


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final status: not known to be delivered; the message can safely be submitted again."""

    message: int
    retry_after: float = 0.0  # the client should wait this long


@dataclass(slots=True, frozen=True)
class Fail:
    """Final status: given up; the message may have taken effect."""

    message: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancels an attempt in flight."""

    message: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Asks for TimerDue after `delay`."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Makes a probe call, which carries no message."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Closes the idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Forget:
    """Discards what is recorded about an endpoint that was removed. Its number is not used again."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class OutageChange:
    """Reports that the circuit breaker that an endpoint is under opened (`down`) or closed."""

    endpoint: int
    down: bool


@dataclass(slots=True, frozen=True)
class TellPeer:
    """Sends data to other senders of the fleet."""

    peer: int | None  # None: all other senders
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Writes a log line."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchList:
    """Starts or stops the watch on endpoint updates."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class ReadList:
    """Asks for all endpoints."""

    pass


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | Forget
    | OutageChange
    | TellPeer
    | Log
    | WatchList
    | ReadList
)
