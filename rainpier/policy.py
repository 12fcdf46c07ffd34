"""Decides what a sender does: which message goes to which endpoint, when, and what is refused.

A sender is one process of a fleet whose senders share the limits of the destinations, and do not know of each
other's calls. It works in rounds: `Sender.handle` takes the events since the last round, and returns actions.

Each destination has a send rate, a window (calls in flight at once) and a circuit breaker, which follow the
results of its calls (`DestinationState`). A call carries one or several messages and uses one of the slots
(Settings.slots) while it is in flight. Free slots go to the calls with the most worth for the time that they
are expected to take. After an outage the rate begins low and grows (slow start): a destination that has just
recovered fails again if it gets more than Settings.overload_factor times its current capacity for the time
Settings.fall (the overload rule).

In a fleet of more than SMALL_FLEET senders each one sees few of the calls that use up a limit, which is why
several rules differ there (`DestinationState.large_fleet`).

This module does no input or output. interface.py defines its events, actions and settings. Times are in ms
and rates in calls a second.
"""

import heapq
import math
import random
from collections import Counter
from dataclasses import replace

from . import interface as i
from .backlog import BASE_RETRY_WAIT_MS, Backlog, LeastWorth, Message
from .destination import (
    BURST_MS,
    HIGH_REFUSAL_SHARE,
    IDLE_MS,
    MAX_RETRY_WAIT_MS,
    MEAN_WEIGHT,
    OPEN_AFTER_FAILURES,
    ROUNDING_MARGIN_MS,
    SMALL_FLEET,
    UNHEALTHY_FAILURE_SHARE,
    DestinationState,
    Endpoint,
)
from .interface import Outcome
from .key_queues import KeyQueues
from .structures.kinetic import RELATIVE_TOLERANCE, Kinetic, Line
from .structures.schedule import Schedule

# A waiting message gets its final status this long before its deadline, as that may take some rounds.
DEADLINE_MARGIN_MS = 30.0
# Weight of a new call in the usual call time of its class, which spans some fifty calls.
USUAL_CALL_WEIGHT = 0.02
# Multiple of the expected call time at which a call times out. Wide, since a call that timed out may still be
# running at the endpoint.
TIMEOUT_FACTOR = 8.0
MIN_TIMEOUT_MS = 2000.0  # lower bound of a call's time-out
# Share of the slots that all destinations with an open circuit breaker may hold together.
MAX_OPEN_CIRCUIT_SLOT_SHARE = 0.5
QUOTA_BURST_S = 2.0  # seconds of a tenant's quota that may be used at once
# Upper bound of the wait after a connection was refused: about the time that a call holds a place in a full
# connection table (the connections that an endpoint accepts at once).
MAX_CONNECTION_WAIT_MS = 2000.0
# Share of calls on kept-alive connections to a kind of endpoints that are reset, above which idle connections
# to it are closed rather than reused.
UNTRUSTED_RESET_SHARE = 0.4
# Idle connections are closed for this long after such a reset, and reused again after it.
UNTRUSTED_MS = 10000.0
# Share of new connections to a kind of endpoints that fail or are refused, below which their connection
# tables are taken to have room.
LOW_CONNECT_FAILURE_SHARE = 0.04
# A call begins only if this many usual calls fit in before the process ends: most calls take less.
SHUTDOWN_MARGIN_CALLS = 3.0
# An evicted message may be submitted again after this time: a full store empties over seconds.
EVICTED_RETRY_AFTER_MS = 1000.0
REFUSAL_LOG_INTERVAL_MS = 1000.0  # between two log lines on refused calls to a destination
FORGET_INTERVAL_MS = 1000.0  # interval between checks for endpoints that are gone for good
MASK_64 = (1 << 64) - 1  # `scatter` calculates with 64-bit integers
# The worth of a waiting call of several messages is calculated anew after this time, since until then it is
# taken to fall evenly (Sender.worth_line).
BATCH_REVIEW_MS = 250.0
# Number of endpoints, or idle destinations, that one round checks at most: rounds stay short where many leave
# at once.
MAX_PER_ROUND = 64
# Share of Settings.max_open above which the message with the least worth is evicted, so that there is room
# for messages of more worth.
EVICTION_THRESHOLD = 0.95


class Call:
    """One call to an endpoint, with one attempt of each message that travels in it."""

    __slots__ = ("endpoint", "results_due", "number", "attempts", "sent_at", "size")

    def __init__(self, number: int, endpoint: Endpoint, sent_at: float, size: int) -> None:
        self.number = number
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.size = size  # messages
        self.results_due = size  # messages whose result has not arrived yet
        self.attempts: list[tuple[int, int]] = []  # pairs of message and attempt number


def scatter(seed: int, number: int) -> int:
    """Returns a 64-bit hash of the number, which differs by seed: SplitMix64 (Steele, Lea, Flood, 2014)."""
    x = (seed + (number + 1) * 0x9E3779B97F4A7C15) & MASK_64
    x = ((x ^ x >> 30) * 0xBF58476D1CE4E5B9) & MASK_64
    x = ((x ^ x >> 27) * 0x94D049BB133111EB) & MASK_64
    return x ^ x >> 31


class Sender:
    """Decides for one sender: takes the events of a round and returns the actions, to be done in order.

    Worth is the value of a delivery relative to others; it falls once the aim has passed. A round checks only
    the destinations that something happened to or whose time has come (`destinations_to_check`,
    `check_times`), and those that wait for a slot, by worth (`waiting_by_class`).
    """

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng, self.seed = settings, random.Random(seed), seed
        self.messages: dict[int, Message] = {}  # by number; those that have no final status yet
        self.earlier_attempts: Counter[int] = Counter()  # by destination: attempts made by an earlier process
        self.spread_destinations: set[int] = set()  # those of spread_after_restart so far
        self.accepted_count = 0  # messages accepted so far, which numbers their order
        # By message and attempt: its call, and its key where messages are delivered in order.
        self.calls_by_attempt: dict[tuple[int, int], tuple[Call, int]] = {}
        # Number of calls so far; by number of the call: when it may be cancelled for its slot.
        self.sent_count, self.overdue = 0, Schedule[int]()
        self.calls_in_flight: dict[int, Call] = {}  # by number of the call
        # An idle destination has nothing but its endpoint entries; an active one has states and endpoints.
        self.idle_entries: dict[int, tuple[i.EndpointEntry, ...]] = {}
        self.destination_of: dict[int, int] = {}  # by endpoint
        self.endpoints: dict[int, Endpoint] = {}  # by number, those of active destinations only
        self.states: dict[int, list[DestinationState]] = {}  # by active destination
        self.idle_checks: Schedule[int] = Schedule()  # when to check whether a destination is idle again
        self.departed_endpoints: dict[int, None] = {}  # endpoints that are gone, but not forgotten yet
        self.emptied_destinations: dict[int, None] = {}  # destinations with a state that has no endpoint left
        # Endpoints (True) and destinations (False) that forget_departed has yet to check, the next one last.
        self.forget_queue: list[tuple[bool, int]] = []
        self.backlogs: dict[int, Backlog] = {}  # by destination: messages not in flight
        self.key_queues = KeyQueues()
        self.least_worth: LeastWorth | None = None  # None: not so many messages that one may be evicted
        self.equal_classes: dict[i.MessageClass, i.MessageClass] = {}  # see canonical_class
        # Mean ms of a successful call of one message, by class; None: none yet.
        self.usual_call_ms: list[float | None] = [None] * len(settings.classes)
        # By tenant: messages counted against its quota, and when (ms) that was updated.
        self.quota_used = [(0.0, 0.0)] * len(settings.tenants)
        # By kind of endpoint: shares among recent calls, of which those on kept-alive connections (kept) are
        # counted apart from those on new ones, and times until which idle connections are closed.
        per_kind = [0.0] * len(settings.kinds)
        self.refusal_shares = per_kind[:]
        self.kept_reset_shares = per_kind[:]
        self.new_reset_shares = per_kind[:]
        # Refusals without a retry-after deadline.
        self.kept_refusal_shares, self.new_refusal_shares = per_kind[:], per_kind[:]
        self.tables_full_until = per_kind[:]
        self.kept_untrusted_until = per_kind[:]
        self.connect_failure_shares = per_kind[:]  # among the new connections
        # Number of free slots, and of those in use by destinations with an open circuit breaker.
        self.free_slots, self.open_circuit_slots = settings.slots, 0
        self.max_open_circuit_slots = max(1, int(settings.slots * MAX_OPEN_CIRCUIT_SLOT_SHARE))
        self.deadlines: Schedule[int] = Schedule()  # by message: when it ends unless it is in flight
        self.destinations_to_check: dict[int, None] = {}  # in this round
        self.check_times: Schedule[int] = Schedule()  # when to check a destination again
        # The same, only while the destination waits for a slot.
        self.waiting_check_times: Schedule[int] = Schedule()
        self.waiting_by_class: dict[int, Kinetic] = {}  # by class of the next call: destinations by worth
        self.waiting_class: dict[int, int] = {}  # by waiting destination: the class of its next call
        # Destinations that wait for a slot for a probe call, by the time since when.
        self.probe_queue: Schedule[int] = Schedule()
        # wake_at: when the next round is needed; timer_at: when the timer that was asked for expires.
        self.now, self.wake_at, self.timer_at, self.actions = 0.0, math.inf, math.inf, []
        self.watching_list = not settings.must_ask  # whether endpoint updates come without another request
        self.list_retry_at = 0.0
        self.list_retry_wait = BASE_RETRY_WAIT_MS
        # stop_at: when the process ends; stalled: whether attempts cannot be recorded.
        self.stop_at, self.next_forget_at, self.stalled = math.inf, 0.0, False
        self.removed_destinations: frozenset[int] = frozenset()  # nothing is sent there any more
        self.handlers = {
            i.Arrival: self.on_arrival,
            i.Result: self.on_result,
            i.ListChange: self.on_list_change,
            i.Resumed: self.on_resumed,
            i.Stopping: self.on_stopping,
            i.ClassesChange: self.on_classes,
            i.DestinationsGone: self.on_destinations_gone,
            i.Remembered: self.on_remembered,
            i.Stalled: self.on_stalled,
            i.EndAnswered: lambda event: self.leave_key_queue(event.key, event.message),
            i.KeyPaused: lambda event: self.pause_key(event.key, event.duration),
            i.Withdrawn: self.on_withdrawn,
            i.ZoneLost: self.on_zone_lost,
        }

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Applies the events of a round in order, then sends what may be sent; now: time of the round, ms."""
        self.now, self.actions, self.wake_at = now, [], math.inf
        # The host rounds timers, so that one may fire up to a tick early: it counts as fired, and another
        # is set below.
        self.timer_at = self.timer_at if self.timer_at > now + self.settings.tick else math.inf
        for event in events:  # others, as TimerDue, only start a round
            if type(event) in self.handlers:
                self.handlers[type(event)](event)
        self.expire_overdue()
        self.forget_departed()
        self.deactivate_idle()
        if not self.watching_list and now >= self.list_retry_at:
            self.watching_list = True
            self.actions.append(i.WatchList())
        self.wake_at = min(self.wake_at, math.inf if self.watching_list else self.list_retry_at)
        if not self.stalled:
            self.dispatch()
            self.wake_at = min(self.wake_at, self.check_times.first())
        if self.wake_at < self.timer_at:  # one timer is enough
            self.timer_at = max(self.wake_at, now + self.settings.tick)
            self.actions.append(i.SetTimer(0, self.timer_at - now))
        return self.actions

    # --- endpoint updates, idle and departed destinations ---

    def on_list_change(self, event: i.ListChange) -> None:
        """Applies an endpoint update, or sets when to ask for updates again after a failed one."""
        if event.kind is i.ListKind.FAILED:
            self.watching_list = not self.settings.must_ask
            self.list_retry_wait = self.draw_wait(self.list_retry_wait)
            self.list_retry_at = self.now + self.list_retry_wait
        elif event.kind is not i.ListKind.CACHED:
            self.list_retry_wait = BASE_RETRY_WAIT_MS
        if event.kind in (i.ListKind.FULL, i.ListKind.CACHED):  # a complete list: what it lacks is gone
            present = {entry.endpoint for entry in event.entries}
            for endpoint in [endpoint for endpoint in self.destination_of if endpoint not in present]:
                self.remove_endpoint(endpoint)
        for entry in event.entries:
            if entry.condition is i.Condition.GONE:
                self.remove_endpoint(entry.endpoint, entry)
            else:
                self.update_endpoint(entry)

    def update_endpoint(self, entry: i.EndpointEntry) -> None:
        """Adds an endpoint, or replaces the entry of a known one."""
        endpoint = entry.endpoint
        self.departed_endpoints.pop(endpoint, None)
        if endpoint in self.endpoints:
            self.endpoints[endpoint].entry = entry
        elif endpoint not in self.destination_of and (
            entry.destination in self.states or entry.destination in self.backlogs
        ):
            self.activate(entry.destination)
            self.attach_endpoint(entry)
            self.idle_checks.set(entry.destination, self.now + IDLE_MS)
        else:
            destination = self.destination_of.get(endpoint, entry.destination)
            self.idle_entries[destination] = (
                *(other for other in self.idle_entries.get(destination, ()) if other.endpoint != endpoint),
                entry,
            )
        self.destination_of.setdefault(endpoint, entry.destination)
        self.destinations_to_check[self.destination_of[endpoint]] = None

    def remove_endpoint(self, endpoint: int, entry: i.EndpointEntry | None = None) -> None:
        """Marks an endpoint as gone; forget_departed drops it later. entry: its last one, if there is one."""
        if endpoint not in self.destination_of:
            return
        destination = self.destination_of[endpoint]
        # Its state is kept: a retry-after deadline or an outage still applies.
        if endpoint in self.endpoints:
            known_entry = entry or self.endpoints[endpoint].entry
            self.endpoints[endpoint].entry = replace(known_entry, condition=i.Condition.GONE)
        elif remaining := tuple(
            other for other in self.idle_entries.get(destination, ()) if other.endpoint != endpoint
        ):
            self.idle_entries[destination] = remaining
        else:
            self.idle_entries.pop(destination, None)
        self.departed_endpoints[endpoint] = None
        self.destinations_to_check[destination] = None

    def attach_endpoint(self, entry: i.EndpointEntry) -> None:
        """Adds an endpoint to an active destination, with the state that it shares or one of its own."""
        states = self.states.setdefault(entry.destination, [])
        if not states or self.settings.kinds[entry.kind].apart:
            states.append(DestinationState(self.settings))
        endpoint = Endpoint(entry, states[-1], scatter(self.seed, entry.endpoint))
        self.endpoints[entry.endpoint] = endpoint
        states[-1].endpoints.append(endpoint)

    def activate(self, destination: int) -> None:
        """Creates the states and endpoints of an idle destination from its endpoint entries."""
        if destination in self.idle_entries:
            for entry in self.idle_entries.pop(destination):
                self.attach_endpoint(entry)
            self.idle_checks.set(destination, self.now + IDLE_MS)

    def deactivate_idle(self) -> None:
        """Reduces destinations that are idle again, with no state that matters, to their endpoint entries."""
        for destination in self.idle_checks.due(self.now, MAX_PER_ROUND):
            if not self.deactivate(destination):
                self.idle_checks.set(destination, self.now + IDLE_MS)

    def deactivate(self, destination: int) -> bool:
        """Drops the state of a destination if nothing in it still applies; returns whether it was dropped."""
        states = self.states.get(destination, [])
        endpoints = [e for state in states for e in state.endpoints]
        if destination in self.backlogs or not all(
            state.is_idle_and_healthy(self.now) and state.endpoints for state in states
        ):
            return False
        for e in endpoints:
            if e.entry.condition is i.Condition.GONE or not e.has_no_history(
                self.now, self.settings.keep_alive
            ):
                return False
        for e in endpoints:
            del self.endpoints[e.entry.endpoint]
        if endpoints:
            self.idle_entries[destination] = tuple(e.entry for e in endpoints)
        for state in states:
            # Leaves no reference cycle for a garbage collector that may not run here
            # (node/endpoint_updates.py).
            state.endpoints = []
        self.states.pop(destination, None)
        return True

    def forget_departed(self) -> None:
        """Drops endpoints that are gone, and states without endpoints.

        An endpoint with a shared state is dropped at once, one with its own when nothing in it still
        applies.
        """
        if not self.forget_queue and self.now >= self.next_forget_at:
            self.next_forget_at = self.now + FORGET_INTERVAL_MS
            queue = [(True, key) for key in self.departed_endpoints] + [
                (False, destination) for destination in self.emptied_destinations
            ]
            self.forget_queue = queue[::-1]
        # MAX_PER_ROUND of them: otherwise a round would take too long where many endpoints leave at once.
        for _ in range(min(MAX_PER_ROUND, len(self.forget_queue))):
            is_endpoint, number = self.forget_queue.pop()
            if is_endpoint and number in self.departed_endpoints:
                self.forget_endpoint(number)
            elif not is_endpoint and number in self.emptied_destinations:
                self.forget_states(number)

    def forget_endpoint(self, number: int) -> None:
        """Forgets an endpoint that is gone, unless calls or a state of its own still apply."""
        if endpoint := self.endpoints.get(number):
            if (
                endpoint.in_flight
                or self.settings.kinds[endpoint.entry.kind].apart
                and not endpoint.state.is_idle(self.now)
            ):
                return
            endpoint.state.endpoints.remove(self.endpoints.pop(number))
        del self.departed_endpoints[number]
        destination = self.destination_of.pop(number)
        self.actions.append(i.Forget(number))
        if endpoint and not endpoint.state.endpoints:
            self.emptied_destinations[destination] = None
            self.forget_states(destination)

    def forget_states(self, destination: int) -> None:
        """Drops a destination's states that have no endpoint left and in which nothing still applies."""
        kept = [
            state
            for state in self.states.get(destination, ())
            if state.endpoints or not state.is_idle(self.now)
        ]
        if all(state.endpoints for state in kept):
            del self.emptied_destinations[destination]
        if kept:
            self.states[destination] = kept
        else:
            self.states.pop(destination, None)
            self.idle_checks.drop(destination)

    # --- messages ---

    def on_arrival(self, event: i.Arrival) -> None:
        """Accepts a message, and evicts the one with the least worth when too many are held."""
        if event.message in self.messages:
            return
        self.enqueue(self.accept(event))
        if len(self.messages) > max(1.0, EVICTION_THRESHOLD * self.settings.max_open):
            if self.least_worth is None:
                self.least_worth = LeastWorth()
                for message in self.messages.values():
                    if not message.in_flight and message.maybe_ran_at == math.inf:
                        self.least_worth.add(message)
            self.refuse_or_fail(
                self.least_worth.find(self.messages, self.now, self.settings.late_halves),
                EVICTED_RETRY_AFTER_MS,
            )
        elif self.least_worth and len(self.messages) < self.settings.max_open / 2:
            self.least_worth = None

    def accept(self, event: i.Arrival) -> Message:
        """Registers a message with its per-key queue and its deadline."""
        cls = self.settings.classes[event.cls]
        self.accepted_count += 1
        worth = cls.worth * self.tenant_share(event.tenant)
        message = self.messages[event.message] = Message(event, cls, worth, self.accepted_count)
        if message.key:
            self.key_queues.append(message.key, message.id)
        self.deadlines.set(message.id, message.deadline - DEADLINE_MARGIN_MS)
        self.activate(message.destination)
        return message

    def enqueue(self, message: Message) -> None:
        """Adds a message to its destination's backlog."""
        backlog = self.backlogs.get(message.destination)
        if backlog is None:
            backlog = self.backlogs[message.destination] = Backlog()
        backlog.messages[message.id] = message
        if self.least_worth and message.maybe_ran_at == math.inf:
            self.least_worth.add(message)
        self.schedule(message, backlog)
        self.destinations_to_check[message.destination] = None

    def dequeue(self, message: Message) -> None:
        """Removes a message that is sent or completed from its destination's backlog."""
        if backlog := self.backlogs.get(message.destination):
            backlog.remove(message)
        if self.least_worth:
            self.least_worth.drop(message)

    def schedule(self, message: Message, backlog: Backlog) -> None:
        """Updates when a message may be sent: after others in its per-key queue, after a wait, or now."""
        if message.key and self.key_queues.head(message.key) != message.id:
            return backlog.unschedule(message)
        paused_until = 0.0 if message.attempts else self.key_queues.pause_end(message.key)
        at = max(message.not_before, paused_until)
        backlog.schedule(message, at if at > self.now else -math.inf)

    def on_resumed(self, event: i.Resumed) -> None:
        """Resumes a message that an earlier process accepted; an attempt of it may have taken effect."""
        if event.arrival.message in self.messages or event.arrival.message in self.key_queues:
            return
        if event.ended:  # it only holds its place in its per-key queue until EndAnswered
            if event.arrival.key and self.settings.classes[event.arrival.cls].in_order:
                self.key_queues.append(event.arrival.key, event.arrival.message)
            return
        message = self.accept(event.arrival)
        message.cls = self.canonical_class(
            message.cls.bound_by(event.effect, event.group, event.repeat_window)
        )
        message.attempts = event.attempts
        message.maybe_ran_at, message.maybe_ran_zone = event.risky_at, event.risky_zone
        # A message that was not tried before a restart counts as on time until its first try. Its aim passed
        # while no process could try it, and as a late one it would wait behind all new messages until its
        # deadline.
        message.resumed_untried = not event.attempts
        if event.risky_at < math.inf and not event.interrupted:
            self.suspect_outage(message.destination, event.attempts)
        if event.attempts > int(event.interrupted):
            self.spread_after_restart(message.destination)
        if event.interrupted:  # as after Outcome.RESET: the next try waits, and the key is paused
            message.retry_wait = self.draw_wait(message.retry_wait)
            message.not_before = self.now + max(message.retry_wait, self.settings.turn_gap)
            if message.key:
                self.pause_key(message.key, self.settings.turn_gap)
        self.enqueue(message)
        if self.now > message.repeat_until or message.attempts >= self.settings.max_attempts:
            self.refuse_or_fail(message)

    def canonical_class(self, cls: i.MessageClass) -> i.MessageClass:
        """Returns one object for all equal classes, since lanes are told apart by its identity."""
        return self.equal_classes.setdefault(cls, cls)

    def pause_key(self, key: int, duration: float) -> None:
        """Delays the key's next message by `duration` ms at least, since an attempt may still be running."""
        self.key_queues.pause(key, self.now + duration + 1)
        head = self.messages.get(self.key_queues.head(key))
        if head and (backlog := self.backlogs.get(head.destination)) and head.id in backlog.messages:
            self.schedule(head, backlog)

    def on_classes(self, event: i.ClassesChange) -> None:
        """Applies changed classes to waiting messages: a message keeps the stricter rules of both."""
        self.settings = replace(self.settings, classes=event.classes)
        self.usual_call_ms += [None] * (len(event.classes) - len(self.usual_call_ms))
        self.least_worth, self.equal_classes = None, {}
        for message in list(self.messages.values()):
            bound = event.classes[message.class_number].bound_by(
                message.cls.effect, message.cls.group, message.cls.repeat_window
            )
            message.cls = self.canonical_class(bound)
            if message.in_flight:
                continue
            self.destinations_to_check[message.destination] = None
            self.schedule(message, self.backlogs[message.destination])
            if self.now > message.repeat_until:
                self.refuse_or_fail(message)  # it may have taken effect, and must not be sent again

    def on_destinations_gone(self, event: i.DestinationsGone) -> None:
        """Ends the messages for removed destinations, which would otherwise wait until their deadlines."""
        self.removed_destinations = event.destinations
        messages = [
            message
            for destination in self.removed_destinations
            if destination in self.backlogs
            for message in self.backlogs[destination].messages.values()
        ]
        for message in sorted(messages, key=lambda message: message.sequence):
            self.refuse_or_fail(message)

    def on_remembered(self, event: i.Remembered) -> None:
        """Restores retry-after deadlines and outages that an earlier process knew of.

        Otherwise a destination that is down would get full traffic, and unsafe messages, after a restart.
        """
        if event.endpoint in self.destination_of:
            self.activate(self.destination_of[event.endpoint])
            state = self.endpoints[event.endpoint].state
            state.retry_after_until = max(state.retry_after_until, self.now + event.wait)
            state.uncertain_share = max(state.uncertain_share, UNHEALTHY_FAILURE_SHARE if event.down else 0.0)
            if event.down and state.guaranteed_rate:  # slow start needs a listed rate to begin at
                state.consecutive_failures, state.slow_start_at = OPEN_AFTER_FAILURES, self.now + event.wait
            if state.large_fleet:  # senders that are restarted together would call at the same time
                state.spread_next_call(self.now, None, event.wait, self.rng.random())
            self.destinations_to_check[self.destination_of[event.endpoint]] = None

    def suspect_outage(self, destination: int, attempts: int) -> None:
        """Begins slow start where an earlier process may have ended in an outage that it had not detected.

        attempts: the number that a resumed message for the destination has had.
        """
        self.earlier_attempts[destination] += attempts
        if self.earlier_attempts[destination] >= OPEN_AFTER_FAILURES:
            for state in self.states.get(destination, ()):
                if state.guaranteed_rate and not state.in_slow_start(self.now):
                    state.slow_start_at = self.now

    def spread_after_restart(self, destination: int) -> None:
        """Delays the first call to a destination at which a call of an earlier process failed or was refused.

        Many senders of a large fleet may be restarted at once, in an outage that they had noticed.
        """
        if destination in self.spread_destinations:
            return
        self.spread_destinations.add(destination)
        for state in self.states.get(destination, ()):
            if state.large_fleet and state.may_have_been_out(self.now):
                state.spread_next_call(self.now, None, 0.0, self.rng.random())

    def on_withdrawn(self, event: i.Withdrawn) -> None:
        """Drops a message; its key waits for EndAnswered, or else for the end of its attempt."""
        self.complete(event.message, acknowledged=not self.settings.ends_answered)

    def on_zone_lost(self, event: i.ZoneLost) -> None:
        """Ends a message that may be sent again in one zone only, if it is not known which one that is."""
        message = self.messages.get(event.message)
        if message is None or message.maybe_ran_at == math.inf:
            return
        message.maybe_ran_zone = i.UNKNOWN_ZONE
        if not message.in_flight:
            self.schedule(message, self.backlogs[message.destination])
            if self.now > message.repeat_until:
                self.refuse_or_fail(message)

    def on_stalled(self, event: i.Stalled) -> None:
        """Stops sending while attempts cannot be recorded: each one counts towards Settings.max_attempts."""
        self.stalled = event.on

    def on_stopping(self, event: i.Stopping) -> None:
        """Notes when the process ends."""
        self.stop_at = event.at

    def tenant_share(self, tenant: int) -> float:
        """Counts a tenant's next message against its quota, and returns the share of its worth that counts.

        This is 1 within the quota, otherwise Settings.over_share_worth. The quota is a leaky bucket of
        QUOTA_BURST_S. It is divided by the number of senders, but by SMALL_FLEET at most: otherwise the
        quota of a small tenant would hardly allow a sender of a large fleet any message.
        """
        known = 0 <= tenant < len(self.settings.tenants)
        rate = (
            self.settings.tenants[tenant].quota_per_s / min(self.settings.senders, SMALL_FLEET)
            if known
            else 0.0
        )
        if rate <= 0:
            return 1.0
        used = max(0.0, self.quota_used[tenant][0] - rate * (self.now - self.quota_used[tenant][1]) / 1000)
        within_quota = used <= QUOTA_BURST_S * rate
        self.quota_used[tenant] = (used + within_quota, self.now)
        return 1.0 if within_quota else self.settings.over_share_worth

    def complete(self, number: int, acknowledged: bool = True) -> None:
        """Removes a message that has its final status.

        The next message of its per-key queue may be sent, unless an attempt is in flight or the final status
        is not acknowledged yet (acknowledged is False; see EndAnswered).
        """
        if message := self.messages.pop(number, None):
            self.deadlines.drop(number)
            if not message.in_flight:
                self.dequeue(message)
                self.destinations_to_check[message.destination] = None
                if acknowledged:
                    self.leave_key_queue(message.key, number)

    def leave_key_queue(self, key: int, message: int) -> None:
        """Removes a message from its per-key queue and makes the next one ready."""
        first = self.messages.get(self.key_queues.remove(key, message))
        if first and not first.in_flight:
            self.schedule(first, self.backlogs[first.destination])
            self.destinations_to_check[first.destination] = None

    def refuse_or_fail(self, message: Message, min_wait: float = 0.0) -> None:
        """Ends a message: refused where submitting it again is harmless, otherwise failed.

        min_wait: least retry-after time of a refusal, in ms.
        """
        until = message.repeat_until
        harmless = until == math.inf or message.cls.group == "all" and self.now < until
        earliest = min(
            (state.retry_after_until for state in self.states.get(message.destination, ())), default=0.0
        )
        retry_after = max(min_wait, message.retry_wait, message.not_before - self.now, earliest - self.now)
        self.actions.append(i.Refuse(message.id, retry_after) if harmless else i.Fail(message.id))
        self.complete(message.id, acknowledged=not self.settings.ends_answered)

    def expire_overdue(self) -> None:
        """Ends waiting messages at their deadlines; messages in flight end with their call's time-out.

        Also drops the pauses of keys that are over.
        """
        for key in self.deadlines.due(self.now):
            message = self.messages.get(key)
            if message and not message.in_flight:
                self.refuse_or_fail(message)
        self.wake_at = min(self.wake_at, self.deadlines.first())
        self.key_queues.drop_ended_pauses(self.now)

    def draw_wait(self, previous: float, maximum: float = MAX_RETRY_WAIT_MS) -> float:
        """Draws a wait in ms by decorrelated jitter: min(maximum, random(base, previous * 3))."""
        return min(maximum, self.rng.uniform(BASE_RETRY_WAIT_MS, previous * 3))

    def expected_call_ms(self, class_number: int, state: DestinationState, size: int = 1) -> float:
        """Returns the ms that a call is expected to take by its class, its destination and its size.

        It grows with the square root of the size (messages), and is BASE_RETRY_WAIT_MS times that before the
        first success of the class.
        """
        return (
            (self.usual_call_ms[class_number] or BASE_RETRY_WAIT_MS)
            * (state.relative_latency or 1.0)
            * math.sqrt(size)
        )

    # --- results ---

    def on_result(self, event: i.Result) -> None:
        """Applies the result of an attempt: completes the message, or lets it wait for its next try."""
        if (event.message, event.attempt) not in self.calls_by_attempt:
            return
        call, key = self.calls_by_attempt.pop((event.message, event.attempt))
        outcome, state, call.results_due = event.outcome, call.endpoint.state, call.results_due - 1
        if call.results_due == 0:
            self.free_slots, state.in_flight = self.free_slots + 1, state.in_flight - 1
            call.endpoint.in_flight -= 1
            self.open_circuit_slots -= state.circuit_open
            del self.calls_in_flight[call.number]
            self.overdue.drop(call.number)
        self.destinations_to_check[self.destination_of[call.endpoint.entry.endpoint]] = None
        # Each result of a call has a retry-after deadline of its own. Hosts round times, so a tick is added.
        if event.wait > 0:
            state.retry_after_until = max(state.retry_after_until, self.now + event.wait + self.settings.tick)
        # The messages of a call share one outcome, which is counted once.
        if call.results_due == call.size - 1 and outcome is not Outcome.MOOT:
            self.record_outcome(event, call)
        if key and outcome.may_still_run:
            self.pause_key(key, self.settings.turn_gap)
        message = self.messages.get(event.message)
        if message is None:  # withdrawn meanwhile
            return None if self.settings.ends_answered else self.leave_key_queue(key, event.message)
        message.in_flight = False
        if outcome is Outcome.OK or event.closed:
            return self.complete(message.id)
        if not outcome.never_ran and message.maybe_ran_at == math.inf:
            message.maybe_ran_at, message.maybe_ran_zone = call.sent_at, call.endpoint.entry.zone
        # Waits with jitter, or ends where no further attempt is allowed.
        message.retry_wait = self.draw_wait(message.retry_wait)
        # Where endpoints have states of their own, the message may go to the one that is available first.
        earliest = min(other.retry_after_until for other in self.states.get(message.destination) or [state])
        message.not_before = max(self.now + message.retry_wait, earliest)
        latest = min(
            message.deadline - self.expected_call_ms(message.class_number, state), message.repeat_until
        )
        self.enqueue(message)
        exhausted = (
            message.attempts >= self.settings.max_attempts or message.destination in self.removed_destinations
        )
        if message.not_before > latest or exhausted:
            self.refuse_or_fail(message)

    def record_outcome(self, event: i.Result, call: Call) -> None:
        """Updates state and endpoint with the outcome of a call, once whatever its size.

        Also updates what is known of connections to its kind of endpoints, and closes idle ones where they
        should not be reused.
        """
        endpoint, state, message = call.endpoint, call.endpoint.state, self.messages.get(event.message)
        was_open, kind = state.circuit_open, endpoint.entry.kind
        state.adapt_batch(call.size, event.outcome)
        connection_refused = self.is_connection_refusal(event, state, kind)
        if not connection_refused:
            self.refusal_shares[kind] += MEAN_WEIGHT * (
                (event.outcome is Outcome.FULL) - self.refusal_shares[kind]
            )
            state.refusal_share = self.refusal_shares[kind]
        reset_shares = self.new_reset_shares if event.fresh else self.kept_reset_shares
        was_reset = event.outcome is Outcome.RESET
        reset_shares[kind] += MEAN_WEIGHT * (was_reset - reset_shares[kind])
        # A failed connection where few calls are refused may be due to a full connection table.
        table_may_be_full = (
            event.outcome is Outcome.CONNECT_FAILED
            and state.large_fleet
            and self.refusal_shares[kind] < HIGH_REFUSAL_SHARE / 2
        )
        # Kept-alive connections are not reused where they are reset: many senders may fill a connection
        # table, or something on the way may drop idle ones. Where new connections are reset as often, opening
        # one for each call takes time and gains nothing.
        kept_one_broke = (
            was_reset
            and not event.fresh
            and self.kept_reset_shares[kind] > max(UNTRUSTED_RESET_SHARE, 2 * self.new_reset_shares[kind])
        )
        connect_failed = event.outcome is Outcome.CONNECT_FAILED
        if event.fresh or connect_failed:
            self.connect_failure_shares[kind] += MEAN_WEIGHT * (
                connect_failed - self.connect_failure_shares[kind]
            )
        if table_may_be_full:
            self.tables_full_until[kind] = self.now + IDLE_MS
        elif (
            event.fresh
            and max(self.connect_failure_shares[kind], self.new_refusal_shares[kind])
            < LOW_CONNECT_FAILURE_SHARE
        ):
            # It was an outage, not a full table: new connections are accepted again.
            self.tables_full_until[kind] = 0.0
        if kept_one_broke:
            self.kept_untrusted_until[kind] = self.now + UNTRUSTED_MS
        elif event.fresh and self.new_reset_shares[kind] > self.kept_reset_shares[kind] / 2:
            # New connections are reset at least half as often: kept-alive ones are reused again. Their resets
            # were chance, as where responses get lost on any connection. A new one gains nothing there, and
            # holds a slot for twice as long, since it has to be opened.
            self.kept_untrusted_until[kind] = 0.0
            self.kept_reset_shares[kind] = min(self.kept_reset_shares[kind], self.new_reset_shares[kind])
        endpoint.opened_at = self.now if event.fresh else endpoint.opened_at
        # In a large fleet the senders that came first must not keep a connection table full. They would not
        # notice, since only new connections are refused.
        long_open = state.large_fleet and self.now - endpoint.opened_at > self.settings.keep_alive
        if long_open or self.now < max(self.tables_full_until[kind], self.kept_untrusted_until[kind]):
            self.actions.append(i.CloseIdle(endpoint.entry.endpoint))
        # Probe calls are spread by random waits, so that senders do not probe at the same times.
        if was_open or state.large_fleet:
            # All senders of a large fleet together probe about as often as a fleet of SMALL_FLEET.
            max_wait = min(self.settings.fall / 4 * state.fleet_factor**2, 2 * self.settings.cold)
            # Waits are also limited so that each of hundreds of senders notices the end of an outage of a
            # large destination during slow start: at the mean wait, half of the maximum, probe calls come as
            # often as calls will at the start of slow start.
            max_wait = min(max_wait, 2000 / state.recovery_rate(self.settings.cold_from))
            state.probe_wait = self.draw_wait(
                max(state.probe_wait, max_wait * state.large_fleet / 3), max_wait
            )
        if event.outcome is Outcome.OK:
            endpoint.consecutive_failures, endpoint.consecutive_refusals, endpoint.used_at = 0, 0, self.now
            relative_latency, elapsed = 1.0, event.elapsed / math.sqrt(call.size)
            if message is not None:
                usual = self.usual_call_ms[message.class_number] or elapsed or 1.0
                relative_latency = elapsed / usual
                self.usual_call_ms[message.class_number] = usual + USUAL_CALL_WEIGHT * (
                    elapsed / (state.relative_latency or 1.0) - usual
                )
            state.on_success(self.now, relative_latency)
        elif connection_refused:
            endpoint.on_refused(self.now, event.wait)
            state.connection_wait = self.draw_wait(state.connection_wait, MAX_CONNECTION_WAIT_MS)
            turn_ms = max(state.connection_wait, 1000 / state.rate_limit)
            state.next_turn_at = max(state.next_turn_at, self.now + turn_ms + BURST_MS)
        elif event.outcome is Outcome.FULL:
            endpoint.on_refused(self.now, event.wait)
            state.on_refused(self.now, event.wait)
        elif event.outcome is Outcome.CANCELLED and call.sent_at < state.last_success_at:
            endpoint.on_failure(self.now, event.elapsed)
            state.decrease_window()  # slow, but no sign of an outage: other calls succeeded meanwhile
        elif was_reset and call.size > 1:
            endpoint.on_failure(self.now, event.elapsed)
            state.on_batch_reset()
        else:
            endpoint.on_failure(self.now, event.elapsed)
            state.on_failure(self.now, event.outcome)
        failed = event.outcome is not Outcome.OK
        if failed and state.large_fleet and state.may_have_been_out(self.now):
            state.spread_next_call(self.now, event.outcome, event.wait, self.rng.random())
        if event.outcome is Outcome.FULL and self.now >= state.log_at:
            state.log_at = self.now + REFUSAL_LOG_INTERVAL_MS
            self.log_refusal(event, call)
        if state.circuit_open != was_open:
            self.open_circuit_slots += state.in_flight if state.circuit_open else -state.in_flight
            change = (
                "answers again, ramping" if was_open else f"down ({event.outcome.name.lower()}), trials only"
            )
            self.actions.append(i.OutageChange(endpoint.entry.endpoint, state.circuit_open))
            self.actions.append(i.Log(f"destination {endpoint.entry.destination} {change}"))

    def log_refusal(self, event: i.Result, call: Call) -> None:
        """Logs a refused call, with its retry-after deadline and when the next one may begin."""
        state, destination = call.endpoint.state, call.endpoint.entry.destination
        next_call_at = max(state.retry_after_until, state.next_turn_at - BURST_MS)
        if state.circuit_open:
            next_call_at = max(next_call_at, state.probe_at)
        next_call_in = max(0.0, next_call_at - self.now)
        breaker = "open" if state.circuit_open else "closed"
        text = f"destination {destination} refused a call, retry after {event.wait:.0f} ms"
        self.actions.append(i.Log(f"{text}, next call in {next_call_in:.0f} ms, circuit breaker {breaker}"))

    def is_connection_refusal(self, event: i.Result, state: DestinationState, kind: int) -> bool:
        """Tells whether a connection was refused, not the call; closes idle ones where tables seem full.

        The sign is that refusals come on new connections only. Without this rule some senders of a large
        fleet would keep all connections that an endpoint accepts, while the others are refused each time and
        take that for the destination's limit or for an outage.
        """
        if not state.large_fleet or event.outcome is Outcome.CONNECT_FAILED or event.wait:
            return False
        refused = event.outcome is Outcome.FULL
        shares = self.new_refusal_shares if event.fresh else self.kept_refusal_shares
        shares[kind] += MEAN_WEIGHT * (refused - shares[kind])
        if not refused or not event.fresh or self.kept_refusal_shares[kind] > HIGH_REFUSAL_SHARE / 2:
            return False
        if self.new_refusal_shares[kind] > max(HIGH_REFUSAL_SHARE / 2, 2 * self.kept_refusal_shares[kind]):
            if self.now >= self.tables_full_until[kind]:  # frees places that this sender holds in the tables
                self.actions.extend(i.CloseIdle(k) for k, e in self.endpoints.items() if e.entry.kind == kind)
            self.tables_full_until[kind] = self.now + IDLE_MS
        return True

    # --- sending ---

    def dispatch(self) -> None:
        """Sends calls, the most worth for their expected time first, until no slot is free."""
        # A heap of (-worth per expected ms, destination, endpoint, messages), at most one for a destination.
        candidates: list[tuple] = []
        for destination in self.check_times.due(self.now) + self.waiting_check_times.due(self.now):
            self.destinations_to_check[destination] = None
        for destination in self.probe_queue.due(
            self.now, max(0, self.max_open_circuit_slots - self.open_circuit_slots)
        ):
            self.destinations_to_check[destination] = None
        destinations, self.destinations_to_check = self.destinations_to_check, {}
        for destination in destinations:
            self.offer_next_call(candidates, destination)
        while self.free_slots > 0:
            self.promote_waiting(candidates)
            if not candidates and not self.admit_probe(candidates):
                break
            _, destination, endpoint, batch = heapq.heappop(candidates)
            if endpoint.state.circuit_open and self.open_circuit_slots >= self.max_open_circuit_slots:
                self.enqueue_probe(destination)
                continue
            self.send(endpoint, batch)
            self.offer_next_call(candidates, destination)
        self.enqueue_waiting(candidates)
        if self.waiting_class and self.settings.may_cancel and self.overdue.first() < self.now:
            # Cancels the most overdue call. Otherwise calls that are never answered would hold all slots.
            number = self.overdue.peek()
            assert number is not None
            self.overdue.drop(number)
            self.actions.extend(
                i.Cancel(*part)
                for part in self.calls_in_flight[number].attempts
                if part in self.calls_by_attempt
            )

    def offer_next_call(self, candidates: list, destination: int) -> None:
        """Adds a destination's next call to the candidates if it may be sent now; sets the next check."""
        self.dequeue_waiting(destination)
        backlog, now, check_at = self.backlogs.get(destination), self.now, math.inf
        if not backlog:
            self.backlogs.pop(destination, None)
            return self.check_times.drop(destination)
        for key in backlog.delayed.due(now):
            self.schedule(backlog.messages[key], backlog)
        states, ready = self.states.get(destination, []), []
        slots_left = max(1, self.settings.slots * 3 // 4) - sum(state.in_flight for state in states)
        for state in states:
            if state.is_idle_and_healthy(now):
                state.reset()  # what was learnt more than IDLE_MS ago says nothing of the next call
            at = state.ready_at(now, slots_left)
            if at > now:
                check_at = min(check_at, at)
            elif state.circuit_open and self.open_circuit_slots >= self.max_open_circuit_slots:
                self.enqueue_probe(destination)
            elif endpoint := self.choose_endpoint(state):
                is_apart = self.settings.kinds[endpoint.entry.kind].apart
                fee = self.zone_fee(endpoint.entry.zone) if is_apart else 0.0
                # In the order of preference: the state with the smallest tuple is used.
                ready.append(
                    (
                        state.circuit_open,
                        state.in_slow_start(now),
                        fee,
                        state.in_flight,
                        endpoint.tie_break,
                        endpoint,
                    )
                )
        *_, preferred = min(ready, default=(None,))
        if preferred:
            uncertain = self.is_uncertain(preferred.state)
            endpoint, batch = preferred, self.pick_messages(backlog, preferred, uncertain)
            if not batch and backlog.has_bound_messages():
                endpoint, batch = self.pick_bound_messages(backlog, [row[-1] for row in sorted(ready)])
            if batch:
                worth = sum(m.worth_at(now, self.settings.late_halves) for m in batch)
                call_ms = self.expected_call_ms(batch[0].class_number, endpoint.state, len(batch))
                heapq.heappush(candidates, (-worth / call_ms, destination, endpoint, batch))
            elif backlog.lanes:
                # The messages may be bound to a zone without a ready endpoint: checked again on a change.
                check_at = min(check_at, min(self.order_changes_at(row[-1].state) for row in ready))
            check_at = min(check_at, backlog.next_at(now, uncertain))
        self.check_times.set(destination, check_at)

    def zone_fee(self, zone: int) -> float:
        """Returns the cost of a message in the zone; the highest one where settings have none for it."""
        fees = self.settings.zone_fee
        return fees[zone] if zone < len(fees) else max(fees, default=0.0)

    def choose_endpoint(self, state: DestinationState) -> Endpoint | None:
        """Returns the endpoint for the next call; None: none is ready.

        It has the fewest failures, among these the fewest calls in flight, and among these it was used so
        recently that an idle connection may be reused.
        """
        return min(self.ready_endpoints(state), key=self.preference, default=None)

    @staticmethod
    def ready_endpoints(state: DestinationState) -> list[Endpoint]:
        """Returns the endpoints that may get calls."""
        return [e for e in state.endpoints if e.entry.condition is i.Condition.READY]

    def preference(self, endpoint: Endpoint) -> tuple:
        """Returns the sort key of choose_endpoint, the smallest first."""
        idle_before = self.now - self.settings.keep_alive
        return *endpoint.selection_key(self.now), endpoint.used_at < idle_before, endpoint.tie_break

    @staticmethod
    def is_uncertain(state: DestinationState) -> bool:
        """Whether calls fail and may have taken effect; see Lane.in_order_of_worth."""
        return state.circuit_open or state.uncertain_share > UNHEALTHY_FAILURE_SHARE / 2

    def pick_bound_messages(
        self, backlog: Backlog, preferred: list[Endpoint]
    ) -> tuple[Endpoint, list[Message]]:
        """Returns a call with a message that may not go to the preferred endpoint; an empty one if none fits.

        preferred: the endpoint chosen for each state, in the order of preference. Without this, messages that
        are bound to a zone would wait for as long as an endpoint in another one is preferred.
        """
        tried = {preferred[0].entry.zone}
        for first in preferred:
            for endpoint in sorted(self.ready_endpoints(first.state), key=self.preference):
                if endpoint.entry.zone in tried:
                    continue
                batch = self.pick_messages(backlog, endpoint, self.is_uncertain(first.state))
                if any(message.bound_zone is not None for message in batch):
                    return endpoint, batch
                tried.add(endpoint.entry.zone)
        return preferred[0], []

    def order_changes_at(self, state: DestinationState) -> float:
        """Returns when the order of endpoints, or of a destination's states, may change by time alone."""
        idle_at = (
            max(state.last_sent_at, state.retry_after_until, state.next_turn_at)
            + IDLE_MS
            + ROUNDING_MARGIN_MS
        )
        times = [idle_at, state.slow_start_at + self.settings.cold, *(e.avoid_until for e in state.endpoints)]
        return min((at for at in times if at > self.now), default=math.inf)

    def pick_messages(self, backlog: Backlog, endpoint: Endpoint, uncertain: bool) -> list[Message]:
        """Returns the messages of the next call: the most worth first, of equals the one nearest its aim.

        uncertain: unsafe messages are held back until half of their life is over (Lane.in_order_of_worth).
        """
        state, fitting_classes = endpoint.state, None
        # Probe calls carry messages that may be repeated, if there are any.
        is_probe = state.circuit_open or endpoint.consecutive_failures > 0
        if self.stop_at < math.inf:  # a call cut off by the end of the process may have taken effect
            time_left = self.stop_at - self.now
            fitting_classes = {
                n
                for n in range(len(self.usual_call_ms))
                if SHUTDOWN_MARGIN_CALLS * self.expected_call_ms(n, state) <= time_left
            }
        size = min(state.max_batch, self.settings.kinds[endpoint.entry.kind].batch)
        # The square root: a probe call should take hardly longer than one of a single message.
        size = int(math.sqrt(size) if state.circuit_open else size)
        return backlog.next_batch(
            self.now,
            size,
            endpoint.entry.zone,
            is_probe,
            uncertain,
            self.settings.late_halves,
            fitting_classes,
        )

    def send(self, endpoint: Endpoint, batch: list[Message]) -> None:
        """Starts a call with these messages, and an attempt of each."""
        self.sent_count += 1
        state, call = endpoint.state, Call(self.sent_count, endpoint, self.now, len(batch))
        self.free_slots, endpoint.in_flight = self.free_slots - 1, endpoint.in_flight + 1
        self.open_circuit_slots += state.circuit_open
        self.calls_in_flight[call.number] = call
        state.on_send(self.now)
        if state.large_fleet:
            state.demand = self.estimate_demand(state, endpoint, batch)
        for message in batch:
            timeout = max(
                MIN_TIMEOUT_MS,
                TIMEOUT_FACTOR * self.expected_call_ms(message.class_number, state, len(batch)),
            )
            # After half of its time-out a call may be cancelled if its slot is needed (dispatch).
            self.overdue.set(call.number, self.now + timeout / 2)
            self.dequeue(message)
            self.calls_by_attempt[message.id, message.attempts] = (call, message.key)
            call.attempts.append((message.id, message.attempts))
            message.in_flight, message.attempts, message.resumed_untried = True, message.attempts + 1, False
            timeout = max(1.0, min(timeout, message.deadline - self.now - 2 * self.settings.tick))
            self.actions.append(i.Send(message.id, endpoint.entry.endpoint, timeout))

    def estimate_demand(self, state: DestinationState, endpoint: Endpoint, batch: list[Message]) -> float:
        """Returns the calls a second that would deliver a destination's waiting messages within their aim.

        It follows from their number, divided by the size of a batch and the number of states, or from the
        length of the longest per-key queue in the batch if that is larger.
        """
        size = min(state.max_batch, self.settings.kinds[endpoint.entry.kind].batch)
        calls = len(self.backlogs[batch[0].destination]) / size / len(self.states[batch[0].destination])
        # A call carries one message of each key.
        queue_length = max((self.key_queues.lengths[m.key] for m in batch if m.key), default=0)
        # A shorter aim counts as BASE_RETRY_WAIT_MS: no rate could meet it.
        return 1000 * max(calls, queue_length) / max(BASE_RETRY_WAIT_MS, batch[0].cls.aim)

    # --- waiting for a slot ---

    def enqueue_probe(self, destination: int) -> None:
        """Lets a destination with an open circuit breaker wait for a slot.

        All of these hold max_open_circuit_slots at most. Otherwise many destinations that are down would take
        the slots from the healthy ones.
        """
        if destination not in self.probe_queue:
            self.probe_queue.set(destination, self.now)

    def admit_probe(self, candidates: list) -> bool:
        """Adds the next call of the probe queue to the candidates; returns whether there is one."""
        while (
            self.open_circuit_slots < self.max_open_circuit_slots
            and (destination := self.probe_queue.peek()) is not None
        ):
            self.probe_queue.drop(destination)
            self.offer_next_call(candidates, destination)
            if candidates:
                return True
        return False

    def promote_waiting(self, candidates: list) -> None:
        """Offers the waiting destinations whose next call is worth more than the best candidate."""
        while (waiting := self.best_waiting()) is not None:
            worth, destination = waiting
            best = (-candidates[0][0], candidates[0][1]) if candidates else (-math.inf, 0)
            equal = abs(worth - best[0]) <= RELATIVE_TOLERANCE * abs(worth)
            if worth < best[0] and not equal or equal and destination > best[1]:
                return
            # The worth is that of the call chosen when it began to wait; the next call is chosen anew.
            self.offer_next_call(candidates, destination)

    def best_waiting(self) -> tuple[float, int] | None:
        """Returns the most worth for the expected time among waiting calls, with its destination."""
        best: tuple[float, int] | None = None
        for number, tree in self.waiting_by_class.items():
            if (destination := tree.best(self.now)) is not None:
                value = tree.value(destination, self.now)
                worth = (math.exp(value) if self.settings.late_halves else value) / (
                    self.usual_call_ms[number] or BASE_RETRY_WAIT_MS
                )
                if best is None or (worth, -destination) > (best[0], -best[1]):
                    best = (worth, destination)
        return best

    def enqueue_waiting(self, candidates: list) -> None:
        """Lets the candidates left over wait for a slot, ordered by their worth at any later time."""
        lines_by_class: dict[int, list[tuple[int, Line]]] = {}
        for _, destination, endpoint, batch in candidates:
            number = self.waiting_class[destination] = batch[0].class_number
            line, change_at = self.worth_line(destination, endpoint.state, batch)
            lines_by_class.setdefault(number, []).append((destination, line))
            self.waiting_check_times.set(
                destination,
                min(change_at, min(self.order_changes_at(state) for state in self.states[destination])),
            )
        for number, waiting in lines_by_class.items():
            tree = self.waiting_by_class.get(number)
            if tree is None:
                tree = self.waiting_by_class[number] = Kinetic()
            # Many changes at once cost less than each by itself: see Kinetic.set_all.
            if len(waiting) > 8 and 4 * len(waiting) > len(tree):
                tree.set_all(self.now, waiting)
            else:
                for destination, line in waiting:
                    tree.set(destination, self.now, *line)

    def dequeue_waiting(self, destination: int) -> None:
        """Removes a destination from those that wait for a slot."""
        if (number := self.waiting_class.pop(destination, None)) is not None:
            self.waiting_by_class[number].drop(destination, self.now)
            self.waiting_check_times.drop(destination)

    def worth_line(
        self, destination: int, state: DestinationState, batch: list[Message]
    ) -> tuple[Line, float]:
        """Returns the worth of a call as a line over time (see Kinetic), and when to calculate it anew.

        The worth is divided by the destination's part of the expected time: best_waiting divides it by the
        part of the class. With Settings.late_halves the line is that of the logarithm of the worth. The worth
        of a call of several messages is taken to fall as it does now until the next of them is late.
        """
        now, halving, backlog = self.now, self.settings.late_halves, self.backlogs[destination]
        scale = (state.relative_latency or 1.0) * math.sqrt(len(batch))
        value = sum(m.worth_at(now, halving) for m in batch)
        loss = sum(worth_loss_per_ms(m, now, halving) for m in batch if now >= m.aim_until)
        aims = [m.aim_until for m in batch if m.aim_until > now]
        change_at, since = min(aims, default=math.inf) if len(backlog) > 1 else math.inf, now
        if len(batch) > 1:
            change_at = min(change_at, now + BATCH_REVIEW_MS)
        if len(batch) == 1 and aims:
            loss, since = worth_loss_per_ms(batch[0], aims[0], halving), aims[0]
        if len(backlog.lanes) > 1 and not aims:
            change_at = self.overtaken_at(backlog, batch[0], value, loss, halving)
        if halving:
            floors = [floor_reached_at(m) for m in batch]
            change_at = min(change_at, min((at for at in floors if at > now), default=math.inf))
            # 1e-300 keeps the logarithm finite where the worth is 0.
            return (math.log(max(value, 1e-300) / scale), loss / max(value, 1e-300), since), change_at
        return (value / scale, loss / scale, since), change_at

    def overtaken_at(
        self, backlog: Backlog, best: Message, value: float, loss: float, halving: bool
    ) -> float:
        """Returns when the best message of another lane is worth more than `best`; infinity: never.

        value, loss: worth now, and its loss in a ms, of the call that carries `best`.
        """
        at = math.inf
        for lane in backlog.lanes.values():
            other = next(lane.in_order_of_worth(self.now, halving, False), None)
            if other is None or other is best:
                continue
            closing = loss - (
                worth_loss_per_ms(other, self.now, halving) if self.now >= other.aim_until else 0.0
            )
            lead = value - other.worth_at(self.now, halving)
            at = min(at, self.now + max(lead / closing, self.settings.tick)) if closing > 0 else at
        return at


def floor_reached_at(message: Message) -> float:
    """Returns when a worth that halves with each aim reaches its lower bound, late_worth; infinity: never."""
    floor = message.cls.late_worth
    until_floor = -math.log2(floor) * max(message.cls.aim, 1.0) if floor > 0 else math.inf
    return message.aim_until + until_floor


def worth_loss_per_ms(message: Message, at: float, halving: bool) -> float:
    """Returns the worth that a late message loses in a ms at time `at`; 0 at the lower bound of its worth."""
    if message.resumed_untried:
        return 0.0
    if halving:
        floor = message.worth * message.cls.late_worth
        value = message.worth_at(at, halving)
        return value * math.log(2) / max(message.cls.aim, 1.0) if value > floor else 0.0
    return message.worth * (1 - message.cls.late_worth) / max(message.deadline - message.aim_until, 1.0)
