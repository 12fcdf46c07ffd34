"""Simulates many senders that share destinations, each of which has one limit for all senders.

The decisions are those of the real policy; clients, calls, limits and connection tables are simple models.
A limit counts the calls of the last `limit_window` ms, refused ones too if `counts_refused`. A destination
with few connections refuses calls on new ones while its connection table is full. During an outage calls fail
as its kind says (OutageKind). After it the capacity starts low and grows, and calls beyond the capacity are
refused. Each destination has one endpoint of the same number. Times are simulated ms from the start.
"""

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from rainpier import interface as i
from rainpier.policy import Sender

CLASSES = (
    i.MessageClass("safe", 1.0, 2500.0, 12000.0, 0.3),
    i.MessageClass("ordered", 2.0, 4000.0, 12000.0, 0.3, i.Effect.KEYED, "all", 7500.0, in_order=True),
    i.MessageClass("unsafe", 5.0, 2500.0, 12000.0, 0.5, i.Effect.UNSAFE),
)
SHARES = (0.6, 0.22, 0.18)  # of the messages, by class
KINDS = (i.Kind("bulk", batch=20), i.Kind("plain"), i.Kind("apart", apart=True))
NETWORK_DELAY = 30.0  # ms one way
DEMAND_INTERVAL = 2000.0  # ms for which the demand stays constant
COLD_SHARE = 0.13  # share of its capacity that a destination has at the end of an outage
COLD_MS = 12000.0  # ms from the end of an outage until a destination has all of its capacity
RESUBMIT_WAIT = 660.0  # ms, at least, until a client submits a refused message again
RESTART_TIME = 1200.0  # ms from the end of a sender's process to the start of the next
SETTLING_TIME = 14000.0  # ms after the last submission, in which all messages get their final status
MEDIAN_CALL_MS = 220.0  # ms that an admitted call takes


INFORMED_SHARE = 2 / 3  # of the calls before a failure, above which the senders have broken the overload rule
SILENT_CALL_MS = 60_000.0  # longer than any time-out of a call


class OutageKind(Enum):
    """What happens to the calls that arrive during an outage."""

    DOWN = "down"  # connections are refused
    SHUT = "shut"  # calls are refused, with a retry-after deadline at its end if one is sent
    HUNG = "hung"  # no response
    FAILING = "failing"  # status 500


@dataclass
class Destination:
    """A destination and its limit, which may change over time."""

    number: int
    limit: Callable[[float], float]  # calls a second, by the time in ms from the start
    kind: int = 1
    listed_rate: float = 0.0  # calls a second in the endpoint entry; 0: the limit at the start
    demand: float = 0.8  # mean calls a second that its messages need, as a share of the limit at the start
    limit_window: float = 1000.0  # ms
    counts_refused: bool = True  # whether refused calls count towards the limit
    max_connections: int = 1_000_000  # size of its connection table
    retry_after_share: float = 0.3  # share of refusals with a retry-after deadline
    demand_deviation: float = 0.5  # standard deviation of the logarithm of the demand
    outage: tuple[float, float] = (math.inf, math.inf)  # begin and end, ms
    outage_kind: OutageKind = OutageKind.DOWN
    cold_share: float = COLD_SHARE  # share of its capacity at the end of the outage
    cold_ms: float = COLD_MS  # ms from then until it has all of it
    shut_retry_after_share: float = 0.8  # share of the refusals of a SHUT outage with a retry-after deadline
    call_size: float = 1.0  # messages in a call, by which the number of submitted messages is multiplied
    hot_keys: int = 0  # number of keys that share a part of its ordered messages (SimulatedFleet.hot_share)
    classes: frozenset[int] = frozenset()  # class numbers that are sent here; empty: all
    counted_calls: deque[float] = field(default_factory=deque)  # times (ms) of the calls within the window
    open_connections: int = 0
    informed: set[int] = field(default_factory=set)  # senders that had a call fail during the outage
    calls_after_outage: list[tuple[float, int]] = field(default_factory=list)  # time of arrival, sender

    def accepts_class(self, cls: int) -> bool:
        """Tells whether messages of the class with this number are sent here."""
        return not self.classes or cls in self.classes

    def capacity(self, now: float) -> float:
        """Returns the calls a second at `now`: `cold_share` of the limit after an outage, all after `cold_ms`."""
        recovered = (
            min(1.0, max(0.0, (now - self.outage[1]) / self.cold_ms)) if now >= self.outage[1] else 1.0
        )
        return self.limit(now) * (
            self.cold_share + (1 - self.cold_share) * recovered if recovered < 1 else 1.0
        )

    def overload(self, factor: float, span: float) -> float:
        """Returns the largest share of the calls that the overload rule allows after the outage.

        factor, span (ms): Settings.overload_factor and Settings.fall. Above 1 the destination fails again. Only
        spans count in which over INFORMED_SHARE of the calls came from informed senders.
        """
        largest, first = 0.0, 0
        for last, (arrived_at, _) in enumerate(self.calls_after_outage):
            while self.calls_after_outage[first][0] <= arrived_at - span:
                first += 1
            within = self.calls_after_outage[first : last + 1]
            informed = sum(sender in self.informed for _, sender in within)
            if informed > INFORMED_SHARE * len(within):
                expected = factor * self.capacity(arrived_at) * span / 1000
                largest = max(largest, len(within) / allowed_calls(expected))
        return largest

    def admit(self, now: float) -> bool:
        """Returns whether the limit admits a call that arrives at `now`, and counts the call."""
        while self.counted_calls and self.counted_calls[0] <= now - self.limit_window:
            self.counted_calls.popleft()
        admitted = len(self.counted_calls) < self.capacity(now) * self.limit_window / 1000
        if admitted or self.counts_refused:
            self.counted_calls.append(now)
        return admitted


def allowed_calls(expected: float) -> float:
    """Returns the calls from which on a cold destination fails, where the rule allows `expected` in the mean."""
    deviations = 3 if expected < 30 else 2
    return expected + deviations * (math.sqrt(expected) + 1)


@dataclass
class FleetResult:
    """Totals of a simulation over all senders."""

    worth_submitted: float = 0.0
    worth_delivered: float = 0.0
    messages: int = 0  # created by clients; submitting one again does not count
    calls: int = 0
    delivered: int = 0  # messages
    connections_opened: int = 0
    connections_refused: int = 0  # of those opened: the connection table was full
    outcomes: Counter[str] = field(default_factory=Counter)  # calls by outcome
    worth_by_class: dict[int, list[float]] = field(default_factory=dict)  # worth submitted and delivered
    # Submissions ("in") and results by outcome, by destination and second.
    by_second: dict[tuple[int, int], Counter[str]] = field(default_factory=dict)

    @property
    def worth_share(self) -> float:
        """Returns the delivered share of the submitted worth."""
        return self.worth_delivered / max(self.worth_submitted, 1e-9)

    def class_worth_share(self, cls: int) -> float:
        """Returns the delivered share of the worth submitted in a class."""
        submitted, delivered = self.worth_by_class[cls]
        return delivered / submitted

    def count(self, destination: int, now: float, name: str) -> None:
        """Counts a submission ("in") or an outcome in `by_second`."""
        self.by_second.setdefault((destination, int(now // 1000)), Counter())[name] += 1


@dataclass(slots=True)
class ClientMessage:
    """A message of a client, which submits it again after a refusal."""

    cls: int
    submitted_at: float  # ms, the first time
    deadline: float  # ms
    key: int = 0
    resubmissions: int = 0


class SimulatedFleet:
    """Senders, clients and destinations on one queue of simulated events.

    shares: of the messages, by class; slots: of each sender, 0: 5 in a fleet of more than ten, otherwise 30.
    first_share: share of all messages that the first sender has; 0: the same as the others.
    configured_senders: size of the fleet in the settings; 0: the real one.
    rules: settings of the overload rule, in place of the defaults.
    hot_share: share of a destination's ordered messages that its hot keys have.
    """

    def __init__(
        self,
        senders: int,
        destinations: list[Destination],
        seed: int = 1,
        first_share: float = 0.0,
        configured_senders: int = 0,
        hot_share: float = 0.0,
        classes: tuple[i.MessageClass, ...] = CLASSES,
        shares: tuple[float, ...] = SHARES,
        kinds: tuple[i.Kind, ...] = KINDS,
        slots: int = 0,
        **rules: float,
    ) -> None:
        self.rng, self.result = random.Random(seed), FleetResult()
        self.classes, self.shares, self.seed = classes, shares, seed
        self.hot_share = hot_share
        # Pairs of sender and hot key, by destination.
        self.hot_keys = {d.number: self.draw_hot_keys(d, senders) for d in destinations if d.hot_keys}
        self.settings = i.Settings(
            classes=classes, kinds=kinds, senders=configured_senders or senders,
            slots=slots or (5 if senders > 10 else 30), max_open=76 if senders > 10 else 900, tick=5.0,
            rates_rough=True, may_cancel=True,
            **({"overload_factor": 2.5, "cold_from": COLD_SHARE, "cold": COLD_MS} | rules),
        )  # fmt: skip
        self.destinations = {d.number: d for d in destinations}
        entries = [
            i.EndpointEntry(d.number, d.number, kind=d.kind, rate=d.listed_rate or d.limit(0))
            for d in destinations
        ]
        self.endpoint_update = i.ListChange(i.ListKind.FULL, tuple(entries))
        self.senders = [Sender(self.settings, seed * 1000 + n) for n in range(senders)]
        even_share = (1 - first_share) / (senders - 1) if first_share else 1 / senders
        # Share of messages by sender.
        self.weights = [first_share or even_share] + [even_share] * (senders - 1)
        self.queue: list[tuple] = []  # (time in ms, number, function, arguments)
        self.last_number = 0  # of queue entries and messages
        self.started_at = [-math.inf] * senders  # ms at which the sender's process started
        self.last_round_at = [-math.inf] * senders  # ms
        self.events: list[list[i.Event]] = [[] for _ in self.senders]  # for the next round
        self.timers = [0] * senders  # number of the timer in force: a new one replaces it
        self.idle_connections: Counter[tuple[int, int]] = Counter()  # by sender and destination
        self.client_messages: dict[int, ClientMessage] = {}  # by message id: those without a final status
        for n in range(senders):
            self.add_event(0.0, n, self.endpoint_update)

    def draw_hot_keys(self, destination: Destination, senders: int) -> list[tuple[int, int]]:
        """Returns pairs of sender and key; all messages of a key go through one sender."""
        return [
            (self.rng.randrange(senders), 1_000_000 * destination.number + n)
            for n in range(destination.hot_keys)
        ]

    def schedule(self, time: float, function: Callable, *args: object) -> None:
        """Calls `function(time, *args)` at the simulated time (ms)."""
        self.last_number += 1
        heapq.heappush(self.queue, (time, self.last_number, function, args))

    def add_event(self, now: float, index: int, event: i.Event) -> None:
        """Queues an event for the sender at `index`; its next round is at least a tick after its last one."""
        if not self.events[index]:
            self.schedule(max(now, self.last_round_at[index] + self.settings.tick), self.run_round, index)
        self.events[index].append(event)

    def run(self, span: float) -> FleetResult:
        """Submits messages for `span` ms, and runs SETTLING_TIME longer, so that each gets a final status."""
        for destination in self.destinations.values():
            now, rate = 0.0, destination.limit(0.0) * destination.demand * destination.call_size / 1000
            factors = [
                self.rng.lognormvariate(-(destination.demand_deviation**2) / 2, destination.demand_deviation)
                for _ in range(int(span / DEMAND_INTERVAL) + 1)
            ]
            while (now := now + self.rng.expovariate(rate * factors[int(now / DEMAND_INTERVAL)])) < span:
                self.schedule(now, self.create_message, destination)
        while self.queue and self.queue[0][0] < span + SETTLING_TIME:
            now, _, function, args = heapq.heappop(self.queue)
            function(now, *args)
        return self.result

    # --- clients ---

    def create_message(self, now: float, destination: Destination) -> None:
        """Draws a message's class, sender and key, and submits it."""
        shares = [
            share if destination.accepts_class(cls_number) else 0.0
            for cls_number, share in enumerate(self.shares)
        ]
        number = self.rng.choices(range(len(self.classes)), shares)[0]
        index = self.rng.choices(range(len(self.senders)), self.weights)[0]
        cls, key = self.classes[number], 0
        if cls.in_order:
            key = index * 1000 + self.rng.randrange(1, 400)
            if destination.hot_keys and self.rng.random() < self.hot_share:
                index, key = self.rng.choice(self.hot_keys[destination.number])
        self.result.worth_submitted += cls.worth
        self.result.messages += 1
        self.result.worth_by_class.setdefault(number, [0.0, 0.0])[0] += cls.worth
        self.submit(now, index, destination, ClientMessage(number, now, now + cls.deadline, key))

    def submit(self, now: float, index: int, destination: Destination, message: ClientMessage) -> None:
        """Submits a message, under a new id each time, to the sender at `index`."""
        self.last_number += 1
        self.client_messages[self.last_number] = message
        self.add_event(
            now,
            index,
            i.Arrival(self.last_number, message.cls, destination.number, message.deadline, message.key),
        )
        self.result.count(destination.number, now, "in")

    def on_not_delivered(
        self, now: float, index: int, action: i.Refuse | i.Fail, destination: Destination
    ) -> None:
        """Submits a refused message again after its wait, up to twice and before its deadline."""
        message = self.client_messages.pop(action.message, None)
        if message is None:  # it was delivered, but the sender was killed before it got the result
            return
        retry_at = now + max(RESUBMIT_WAIT, action.retry_after if isinstance(action, i.Refuse) else 0.0)
        if isinstance(action, i.Refuse) and message.resubmissions < 2 and retry_at < message.deadline:
            message.resubmissions += 1
            self.schedule(retry_at, self.submit, index, destination, message)

    # --- senders ---

    def run_round(self, now: float, index: int) -> None:
        """Passes the queued events to the sender at `index`, and carries out its actions."""
        sender = self.senders[index]
        events, self.events[index] = self.events[index], []
        self.last_round_at[index] = now
        destination_of = {e.message: e.destination for e in events if isinstance(e, i.Arrival)}
        destination_of |= {
            e.arrival.message: e.arrival.destination for e in events if isinstance(e, i.Resumed)
        }
        destination_of |= {number: message.destination for number, message in sender.messages.items()}
        calls: dict[int, list[tuple[int, int]]] = {}
        timeouts: dict[int, float] = {}  # ms, by endpoint
        for action in sender.handle(now, events):
            match action:
                case i.Send(message, endpoint, timeout):
                    timeouts[endpoint] = timeout
                    calls.setdefault(endpoint, []).append((message, sender.messages[message].attempts - 1))
                case i.Refuse(message) | i.Fail(message):
                    self.on_not_delivered(now, index, action, self.destinations[destination_of[message]])
                case i.SetTimer(delay=delay):
                    self.timers[index] += 1
                    self.schedule(now + delay, self.fire_timer, index, self.timers[index])
                case i.CloseIdle(endpoint):
                    self.close_idle(index, self.destinations[endpoint])
        for endpoint, attempts in calls.items():
            self.begin_call(now, index, self.destinations[endpoint], attempts, timeouts[endpoint])

    def fire_timer(self, now: float, index: int, number: int) -> None:
        """Queues TimerDue, unless a newer timer has replaced this one."""
        if number == self.timers[index]:
            self.add_event(now, index, i.TimerDue(0))

    def restart(self, now: float, index: int) -> None:
        """Kills the sender at `index`. A new process starts after RESTART_TIME with the same messages.

        Attempts in flight may have taken effect, and their results are lost.
        """
        old = self.senders[index]
        self.senders[index] = Sender(self.settings, self.seed * 1000 + index + 500_000)
        self.events[index], self.timers[index] = [], self.timers[index] + 1
        self.started_at[index] = self.last_round_at[index] = now + RESTART_TIME
        for key in [key for key in self.idle_connections if key[0] == index]:
            self.close_idle(index, self.destinations[key[1]])
        self.add_event(now, index, self.endpoint_update)
        for states in old.states.values():
            for endpoint in (
                endpoint for state in states if state.circuit_open for endpoint in state.endpoints
            ):
                self.add_event(now, index, i.Remembered(endpoint.entry.endpoint, 0.0, True))
        for message in sorted(old.messages.values(), key=lambda message: message.sequence):
            arrival = i.Arrival(
                message.id, message.class_number, message.destination, message.deadline, message.key
            )
            maybe_ran_at = now if message.in_flight else message.maybe_ran_at
            effect, window = message.cls.effect, message.cls.repeat_window
            self.add_event(
                now,
                index,
                i.Resumed(
                    arrival,
                    message.attempts,
                    maybe_ran_at,
                    0,
                    message.in_flight,
                    False,
                    effect,
                    "all",
                    window,
                ),
            )

    # --- calls ---

    def close_idle(self, index: int, destination: Destination) -> None:
        """Closes the idle connections of the sender at `index` to a destination."""
        destination.open_connections -= self.idle_connections.pop((index, destination.number), 0)

    def begin_call(
        self,
        now: float,
        index: int,
        destination: Destination,
        attempts: list[tuple[int, int]],
        timeout: float,
    ) -> None:
        """Sends a call with these messages and attempt numbers, on an idle connection if there is one."""
        fresh = not self.idle_connections[index, destination.number]
        if fresh:
            self.result.connections_opened += 1
        else:
            self.idle_connections[index, destination.number] -= 1
        # The handshake of a new connection takes one round trip (two delays) more.
        self.schedule(
            now + NETWORK_DELAY * (3 if fresh else 1),
            self.on_request,
            index,
            destination,
            attempts,
            now,
            fresh,
            now + timeout,
        )

    def on_request(
        self,
        now: float,
        index: int,
        destination: Destination,
        attempts: list,
        sent_at: float,
        fresh: bool,
        give_up_at: float,
    ) -> None:
        """Handles a call that arrives at its destination: it fails, is refused, or succeeds after a while."""
        if destination.outage[0] <= now < destination.outage[1]:
            return self.fail_request(now, index, destination, attempts, sent_at, fresh, give_up_at)
        if now >= destination.outage[1]:
            destination.calls_after_outage.append((now, index))
        table_full = fresh and destination.open_connections >= destination.max_connections
        destination.open_connections += fresh and not table_full  # a refused connection is closed
        admitted = not table_full and destination.admit(now)
        self.result.connections_refused += table_full
        # Log-normal, and longer by 15 % for each further message.
        duration = (
            self.rng.lognormvariate(math.log(MEDIAN_CALL_MS), 0.6) * (1 + 0.15 * (len(attempts) - 1))
            if admitted
            else 0.0
        )
        wait = (
            self.rng.uniform(200, 900)
            if not admitted and not table_full and self.rng.random() < destination.retry_after_share
            else 0.0
        )
        outcome = i.Outcome.OK if admitted else i.Outcome.FULL
        self.schedule(
            now + duration + NETWORK_DELAY,
            self.on_response,
            index,
            destination,
            attempts,
            sent_at,
            outcome,
            wait,
            fresh,
            table_full,
        )

    def fail_request(
        self,
        now: float,
        index: int,
        destination: Destination,
        attempts: list,
        sent_at: float,
        fresh: bool,
        give_up_at: float,
    ) -> None:
        """Handles a call that arrives during an outage of its destination."""
        responds_at, wait = now + NETWORK_DELAY, 0.0
        match destination.outage_kind:
            case OutageKind.DOWN:
                outcome, responds_at = i.Outcome.CONNECT_FAILED, now
                self.close_idle(index, destination)
            case OutageKind.SHUT:
                outcome = i.Outcome.FULL
                if self.rng.random() < destination.shut_retry_after_share:
                    wait = destination.outage[1] - now
            case OutageKind.HUNG:
                outcome, responds_at = i.Outcome.TIMEOUT, max(now, give_up_at)
            case OutageKind.FAILING:
                outcome = i.Outcome.ERROR
        broken = outcome in (i.Outcome.CONNECT_FAILED, i.Outcome.TIMEOUT)  # its connection is closed
        destination.open_connections += fresh - broken
        self.schedule(
            responds_at, self.on_response, index, destination, attempts, sent_at, outcome, wait, fresh, broken
        )

    def on_response(
        self,
        now: float,
        index: int,
        destination: Destination,
        attempts: list,
        sent_at: float,
        outcome: i.Outcome,
        wait: float,
        fresh: bool,
        closed: bool,
    ) -> None:
        """Handles the end of a call; its connection becomes idle unless it was refused or is closed."""
        if (
            now - NETWORK_DELAY < destination.outage[1]
            and outcome is not i.Outcome.OK
            and sent_at > destination.outage[0]
        ):
            destination.informed.add(index)
        self.idle_connections[index, destination.number] += not closed
        self.finish_call(now, index, destination, attempts, sent_at, outcome, wait, fresh)

    def finish_call(
        self,
        now: float,
        index: int,
        destination: Destination,
        attempts: list,
        sent_at: float,
        outcome: i.Outcome,
        wait: float,
        fresh: bool,
    ) -> None:
        """Counts a call and queues its results for its sender; `wait`: ms until the retry-after deadline."""
        if sent_at < self.started_at[index]:  # the process that sent it has ended
            return
        self.result.calls += 1
        self.result.outcomes[outcome.name] += 1
        self.result.count(destination.number, now, outcome.name)
        for message, attempt in attempts:
            client_message = self.client_messages.get(message)
            if outcome is i.Outcome.OK and client_message is not None:
                del self.client_messages[message]
                cls = self.classes[client_message.cls]
                lateness = max(0.0, now - client_message.submitted_at - cls.aim) / (cls.deadline - cls.aim)
                worth = cls.worth * (1 - (1 - cls.late_worth) * min(1.0, lateness))
                self.result.worth_delivered += worth
                self.result.worth_by_class[client_message.cls][1] += worth
                self.result.delivered += 1
            closed = outcome is i.Outcome.OK
            self.add_event(
                now,
                index,
                i.Result(
                    message, attempt, destination.number, outcome, now - sent_at, closed, wait, (), fresh
                ),
            )
