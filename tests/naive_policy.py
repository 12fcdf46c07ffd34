"""A reference version of the policy without indexes: each round checks all messages and all endpoints.

rainpier/policy.py must decide the same with its indexes, action for action; tests/test_same.py compares
them. The rules are repeated here, except for those of destination.DestinationState; rainpier/policy.py has their
reasons. Times are in ms and rates in calls a second.
"""

import heapq
import math
import random
from dataclasses import replace

from rainpier import interface as i
from rainpier import policy
from rainpier.interface import Effect, Outcome
from rainpier.policy import scatter

BASE_RETRY_WAIT_MS = 100.0  # first previous wait of the decorrelated jitter (docs/design)
MAX_RETRY_WAIT_MS = 5000.0  # upper bound of a decorrelated jitter wait (docs/design)
# A waiting message gets its final status this long before its deadline, as that may take some rounds.
DEADLINE_MARGIN_MS = 30.0
# A message is not sent again less than this before its key is forgotten, since the call takes time to arrive.
KEY_MARGIN_MS = 250.0
# Multiple of the best recent latency up to which the window widens. Calls that take longer narrow it.
LATENCY_TOLERANCE = 2.0
# Weight of a new call in a running mean. It spans some seven calls, so that a single one hardly counts.
MEAN_WEIGHT = 0.15
# Growth of the best latency with each call: an old one has doubled, and is forgotten, after some 70 calls.
BEST_LATENCY_AGEING = 0.01
# Weight of a new call in the usual call time of its class, which spans some fifty calls.
USUAL_CALL_WEIGHT = 0.02
# Multiple of the expected call time at which a call times out. Wide, since a call that timed out may still be
# running at the endpoint.
TIMEOUT_FACTOR = 8.0
MIN_TIMEOUT_MS = 2000.0  # lower bound of a call's time-out
BURST_MS = 300.0  # the calls that the send rate allows in this time may be sent at once
# Factor by which this sender's share may differ from its even share of the listed rate: lists are rough,
# and traffic is not spread evenly over the senders.
LISTED_RATE_TOLERANCE = 1.5
DECREASE_INTERVAL_MS = 500.0  # refusals within it decrease the rate once: they have the same cause
# Share of refused calls to a kind of endpoints from which on its limits are taken to count refused calls too.
HIGH_REFUSAL_SHARE = 0.4
# Number of senders up to which each may act as if it were alone. Beyond it, minimum rates fall with the
# square root of the fleet's size.
SMALL_FLEET = 4
DECREASE_FACTOR = 0.8  # share of the rate that is kept after a refusal above the limit
# Relative growth of the rate in a second, for each second since the last refusal: slow near a limit, faster
# later.
INCREASE_PER_S = 0.04
# Time since the last refusal or increase in which the rate recovers to the guaranteed share.
RATE_RECOVERY_MS = 2000.0
# Share of the guaranteed rate that a sender recovers to; ordinary limits do not lie below it. A large fleet
# recovers more of it, up to all.
GUARANTEED_SHARE = 0.5
OPEN_AFTER_FAILURES = 3  # consecutive failures that open the circuit breaker
# Failures this soon after a success do not open the circuit breaker: in a real outage nothing succeeds.
RECENT_SUCCESS_MS = 1000.0
# An endpoint that failed or refused comes after the others of its destination for at least this long, times
# the number of its consecutive failures or refusals. See Endpoint.on_refused and on_failure for the limits.
AVOID_PER_FAILURE_MS = 1000.0
# Share of failing calls among the recent ones above which a destination counts as unhealthy.
UNHEALTHY_FAILURE_SHARE = 0.5
# Share of the rate allowed by the overload rule that a sender uses in slow start.
SLOW_START_MARGIN = 0.9
QUOTA_BURST_S = 2.0  # seconds of a tenant's quota that may be used at once
# Share of calls on kept-alive connections to a kind of endpoints that are reset, above which idle connections
# to it are closed rather than reused.
UNTRUSTED_RESET_SHARE = 0.4
# Idle connections are closed for this long after such a reset, and reused again after it.
UNTRUSTED_MS = 10000.0
# The state of a destination without calls is dropped after this time, and so is the assumption that a
# connection table is full.
IDLE_MS = 30000.0
# A call begins only if this many usual calls fit in before the process ends: most calls take less.
SHUTDOWN_MARGIN_CALLS = 3.0
# An evicted message may be submitted again after this time: a full store empties over seconds.
EVICTED_RETRY_AFTER_MS = 1000.0
FORGET_INTERVAL_MS = 1000.0  # interval between checks for endpoints that are gone for good
# Share of Settings.max_open above which the message with the least worth is evicted, so that there is room
# for messages of more worth.
EVICTION_THRESHOLD = 0.95


class Message:
    """A message from its acceptance to its final status.

    Times are on the timeline of the sender, in ms. `aim_until` is the time until which delivery has full
    worth.
    """

    def __init__(self, event: i.Arrival, cls: i.MessageClass, worth: float) -> None:
        self.id, self.destination, self.deadline = event.message, event.destination, event.deadline
        # Only messages of classes that are delivered in order have a key here; 0: none.
        self.cls, self.worth, self.key = cls, worth, event.key if cls.in_order else 0
        # The number of its class. `cls` itself may be stricter: see Sender.on_classes.
        self.class_number = event.cls
        self.aim_until = event.deadline - cls.deadline + cls.aim
        self.retry_wait, self.not_before, self.attempts, self.in_flight, self.resumed_untried = (
            BASE_RETRY_WAIT_MS,
            0.0,
            0,
            False,
            False,
        )
        # Time (ms) and zone of the first attempt that may have taken effect; infinity: none.
        self.maybe_ran_at, self.maybe_ran_zone = math.inf, 0

    def worth_at(self, now: float, halving: bool) -> float:
        """Returns the worth of a delivery now.

        halving: worth halves with each further aim; otherwise it falls linearly until the deadline.
        """
        late, floor = 0.0 if self.resumed_untried else max(0.0, now - self.aim_until), self.cls.late_worth
        if halving:
            return self.worth * max(floor, 0.5 ** (late / max(self.cls.aim, 1.0)))
        return self.worth * (1 - (1 - floor) * min(1.0, late / max(self.deadline - self.aim_until, 1.0)))


class Endpoint:
    """An endpoint of an active destination, with its recent failures and refusals."""

    def __init__(self, entry: i.EndpointEntry, state: "DestinationState", tie_break: float) -> None:
        # in_flight: number of calls.
        self.entry, self.state, self.in_flight, self.consecutive_failures = entry, state, 0, 0
        # At random, so that senders do not all choose the same one of equal endpoints.
        self.tie_break = tie_break
        # When a call to it last succeeded, and when one on a new connection last ended.
        self.used_at, self.opened_at = -math.inf, -math.inf
        self.consecutive_refusals, self.avoid_until = 0, -math.inf

    def on_refused(self, now: float, wait: float) -> None:
        """Puts the endpoint behind others after a refusal without a retry-after deadline (wait, ms)."""
        # An endpoint may drain before the list says so, or be full while others have room. As it refuses at
        # once, it has the fewest calls in flight and would get all calls. A refusal with a retry-after
        # deadline delays calls to all endpoints of the state instead (Sender.on_result).
        if not wait:
            self.consecutive_refusals += 1
            self.avoid_until = max(
                self.avoid_until,
                now + min(MAX_RETRY_WAIT_MS, AVOID_PER_FAILURE_MS * self.consecutive_refusals),
            )

    def on_failure(self, now: float, elapsed: float) -> None:
        """Puts the endpoint behind the others of its destination; elapsed: ms that the call took.

        Each consecutive failure adds AVOID_PER_FAILURE_MS and twice the time of this call, up to
        MAX_RETRY_WAIT_MS.
        """
        self.consecutive_failures += 1
        self.avoid_until = now + self.consecutive_failures * min(
            MAX_RETRY_WAIT_MS, AVOID_PER_FAILURE_MS + 2 * elapsed
        )

    def selection_key(self, now: float) -> tuple[int, int, bool]:
        """Returns the sort key by which endpoints are chosen, the smallest first.

        The fewest failures go first, and among these the fewest calls in flight. So an endpoint that fails
        comes last, but after `avoid_until` it gets one call before the others. Otherwise endpoints that
        failed after restarts, broken connections or a slow phase would stay unused, with all calls to the one
        that did not fail. This costs one call every few seconds for each endpoint that stays down.
        """
        probe_due = not self.in_flight and now >= self.avoid_until
        # A single refusal does not count: other senders may have used up the limit.
        failures = self.consecutive_failures + max(0, self.consecutive_refusals - 1)
        return 0 if probe_due else failures, self.in_flight, not (probe_due and failures)


class Call:
    """One call to an endpoint, with one attempt of each message that travels in it."""

    def __init__(self, endpoint: Endpoint, sent_at: float, size: int) -> None:
        # size: messages; results_due: messages whose result has not arrived yet.
        self.endpoint, self.sent_at, self.size, self.results_due = endpoint, sent_at, size, size
        self.overdue_at = math.inf  # when it may be cancelled for its slot


class DestinationState(policy.DestinationState):
    """The state of the policy, whose rules use no index; only `ready_at` differs.

    It does not calculate when the rising rate of slow start allows a call, since each round asks again.
    """

    def ready_at(self, now: float, slots_left: int) -> float:
        """Returns when the next call may be sent; infinity: not before a result arrives."""
        if self.in_flight >= (1 if self.circuit_open else int(self.window)) or slots_left <= 0:
            return math.inf
        if not self.circuit_open and not self.in_slow_start(now):
            return max(self.retry_after_until, self.next_turn_at - BURST_MS)
        gap = 0.0 if self.circuit_open and self.large_fleet else 1000 / self.slow_start_rate(now)
        return max(
            self.retry_after_until,
            self.next_turn_at,
            self.probe_at if self.circuit_open else 0.0,
            self.last_sent_at + gap,
        )


class Sender:
    """Decides for one sender: takes the events of a round and returns the actions, to be done in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng, self.seed = settings, random.Random(seed), seed
        self.messages: dict[int, Message] = {}  # by number; those that have no final status yet
        self.spread_destinations = set()
        self.earlier_attempts: dict[int, int] = {}  # by destination: attempts made by an earlier process
        # By message and attempt: its call, and its key where messages are delivered in order.
        self.calls_by_attempt: dict[tuple[int, int], tuple[Call, int]] = {}
        self.endpoints: dict[int, Endpoint] = {}  # by number
        self.states: dict[int, list[DestinationState]] = {}  # by destination
        self.backlogs: dict[int, dict[int, Message]] = {}  # by destination: messages not in flight
        self.key_queues: dict[int, list[int]] = {}  # by key: messages in the order of their acceptance
        self.key_paused_until: dict[int, float] = {}  # by key: when the next message may be sent
        # Mean ms of a successful call of one message, by class; None: none yet.
        self.usual_call_ms: list[float | None] = [None] * len(settings.classes)
        # By tenant: messages counted against its quota, and when (ms) that was updated.
        self.quota_used = [(0.0, 0.0)] * len(settings.tenants)
        # By kind of endpoint: shares among recent calls, of which those on kept-alive connections (kept) are
        # counted apart from those on new ones, and times until which idle connections are closed.
        per_kind = [0.0] * len(settings.kinds)
        self.refusal_shares, self.kept_reset_shares, self.new_reset_shares = (
            per_kind[:],
            per_kind[:],
            per_kind[:],
        )
        self.kept_refusal_shares, self.new_refusal_shares = per_kind[:], per_kind[:]
        self.tables_full_until, self.kept_untrusted_until = per_kind[:], per_kind[:]
        # deadlines: a heap of the times at which messages end, with their numbers.
        self.free_slots, self.deadlines = settings.slots, list[tuple[float, int]]()
        # wake_at: when the next round is needed; timer_at: when the timer that was asked for expires.
        self.now, self.wake_at, self.timer_at, self.actions = 0.0, math.inf, math.inf, []
        self.watching_list, self.list_retry_at, self.list_retry_wait = (
            not settings.must_ask,
            0.0,
            BASE_RETRY_WAIT_MS,
        )
        self.stop_at, self.next_forget_at = math.inf, 0.0
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
            i.EndAnswered: lambda event: self.leave_key_queue(event.key, event.message),
            i.KeyPaused: lambda event: self.pause_key(event.key, event.duration),
            i.Withdrawn: lambda event: self.complete(event.message, not settings.ends_answered),
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
        if now >= self.next_forget_at:
            self.forget_departed()
        if not self.watching_list and now >= self.list_retry_at:
            self.watching_list = True
            self.actions.append(i.WatchList())
        self.wake_at = min(self.wake_at, math.inf if self.watching_list else self.list_retry_at)
        self.dispatch()
        if self.wake_at < self.timer_at:  # one timer is enough
            self.timer_at = max(self.wake_at, now + self.settings.tick)
            self.actions.append(i.SetTimer(0, self.timer_at - now))
        return self.actions

    def on_list_change(self, event: i.ListChange) -> None:
        """Applies an endpoint update, or sets when to ask for updates again after a failed one."""
        if event.kind is i.ListKind.FAILED:
            self.watching_list, self.list_retry_wait = (
                not self.settings.must_ask,
                self.draw_wait(self.list_retry_wait),
            )
            self.list_retry_at = self.now + self.list_retry_wait
        elif event.kind is not i.ListKind.CACHED:
            self.list_retry_wait = BASE_RETRY_WAIT_MS
        entries = {entry.endpoint: entry for entry in event.entries}
        if event.kind in (i.ListKind.FULL, i.ListKind.CACHED):  # a complete list: what it lacks is gone
            gone = i.Condition.GONE
            entries = {
                endpoint: replace(e.entry, condition=gone) for endpoint, e in self.endpoints.items()
            } | entries
        for endpoint, entry in entries.items():
            # An endpoint that is gone keeps its state: a retry-after deadline or an outage still applies.
            if endpoint in self.endpoints:
                self.endpoints[endpoint].entry = entry
            elif entry.condition is not i.Condition.GONE:
                states = self.states.setdefault(entry.destination, [])
                if not states or self.settings.kinds[entry.kind].apart:
                    states.append(DestinationState(self.settings))
                self.endpoints[endpoint] = Endpoint(entry, states[-1], scatter(self.seed, endpoint))
                states[-1].endpoints.append(self.endpoints[endpoint])

    def forget_departed(self) -> None:
        """Drops endpoints that are gone, and states without endpoints.

        An endpoint with a shared state is dropped at once, one with its own when nothing in it still
        applies.
        """
        self.next_forget_at = self.now + FORGET_INTERVAL_MS
        for key, e in list(self.endpoints.items()):
            if e.entry.condition is not i.Condition.GONE or e.in_flight:
                continue
            if not self.settings.kinds[e.entry.kind].apart or e.state.is_idle(self.now):
                e.state.endpoints.remove(self.endpoints.pop(key))
                self.actions.append(i.Forget(key))
        for destination, states in list(self.states.items()):
            self.states[destination] = [
                state for state in states if state.endpoints or not state.is_idle(self.now)
            ]
            if not self.states[destination] and not self.backlogs.get(destination):
                del self.states[destination]
                self.backlogs.pop(destination, None)

    def on_arrival(self, event: i.Arrival) -> None:
        """Accepts a message, and evicts the one with the least worth when too many are held."""
        if event.message in self.messages:
            return
        self.accept(event)
        if len(self.messages) > max(1.0, EVICTION_THRESHOLD * self.settings.max_open):
            waiting = [
                message
                for message in self.messages.values()
                if not message.in_flight and message.maybe_ran_at == math.inf
            ]
            self.refuse_or_fail(
                min(
                    waiting,
                    key=lambda message: (
                        message.worth_at(self.now, self.settings.late_halves),
                        message.deadline,
                    ),
                ),
                EVICTED_RETRY_AFTER_MS,
            )

    def accept(self, event: i.Arrival) -> Message:
        """Adds a message to its destination's backlog, its per-key queue and the deadlines."""
        cls = self.settings.classes[event.cls]
        message = self.messages[event.message] = Message(
            event, cls, cls.worth * self.tenant_share(event.tenant)
        )
        self.backlogs.setdefault(message.destination, {})[message.id] = message
        if message.key:
            self.key_queues.setdefault(message.key, []).append(message.id)
        heapq.heappush(self.deadlines, (message.deadline - DEADLINE_MARGIN_MS, message.id))
        return message

    def on_resumed(self, event: i.Resumed) -> None:
        """Resumes a message that an earlier process accepted; an attempt of it may have taken effect."""
        if event.ended:  # it only holds its place in its per-key queue until EndAnswered
            if event.arrival.key and self.settings.classes[event.arrival.cls].in_order:
                self.key_queues.setdefault(event.arrival.key, []).append(event.arrival.message)
            return
        message = self.accept(event.arrival)
        message.cls = message.cls.bound_by(event.effect, event.group, event.repeat_window)
        message.attempts = event.attempts
        message.maybe_ran_at, message.maybe_ran_zone = event.risky_at, event.risky_zone
        message.resumed_untried = not event.attempts
        if event.risky_at < math.inf and not event.interrupted:
            self.earlier_attempts[message.destination] = (
                self.earlier_attempts.get(message.destination, 0) + event.attempts
            )
            if self.earlier_attempts[message.destination] >= OPEN_AFTER_FAILURES:
                for state in self.states.get(message.destination, ()):
                    if state.guaranteed_rate and not state.in_slow_start(self.now):
                        state.slow_start_at = self.now
        if event.attempts > int(event.interrupted):
            policy.Sender.spread_after_restart(self, message.destination)
        if event.interrupted:  # as after Outcome.RESET: the next try waits, and the key is paused
            message.retry_wait = self.draw_wait(message.retry_wait)
            message.not_before = self.now + max(message.retry_wait, self.settings.turn_gap)
            if message.key:
                self.pause_key(message.key, self.settings.turn_gap)
        if self.now > self.repeat_until(message) or message.attempts >= self.settings.max_attempts:
            self.refuse_or_fail(message)

    def on_classes(self, event: i.ClassesChange) -> None:
        """Applies changed classes to waiting messages: a message keeps the stricter rules of both."""
        self.settings = replace(self.settings, classes=event.classes)
        self.usual_call_ms += [None] * (len(event.classes) - len(self.usual_call_ms))
        for message in list(self.messages.values()):
            message.cls = event.classes[message.class_number].bound_by(
                message.cls.effect, message.cls.group, message.cls.repeat_window
            )
            if not message.in_flight and self.now > self.repeat_until(message):
                self.refuse_or_fail(message)  # it may have taken effect, and must not be sent again

    def on_destinations_gone(self, event: i.DestinationsGone) -> None:
        """Ends the messages for removed destinations, which would otherwise wait until their deadlines."""
        self.removed_destinations = event.destinations
        for message in [
            message
            for message in self.messages.values()
            if message.destination in self.removed_destinations and not message.in_flight
        ]:
            self.refuse_or_fail(message)

    def on_remembered(self, event: i.Remembered) -> None:
        """Restores retry-after deadlines and outages that an earlier process knew of."""
        if event.endpoint in self.endpoints:
            state = self.endpoints[event.endpoint].state
            state.retry_after_until = max(state.retry_after_until, self.now + event.wait)
            state.uncertain_share = max(state.uncertain_share, UNHEALTHY_FAILURE_SHARE if event.down else 0.0)
            if event.down and state.guaranteed_rate:
                state.consecutive_failures, state.slow_start_at = OPEN_AFTER_FAILURES, self.now + event.wait
            if state.large_fleet:  # senders that are restarted together would call at the same time
                state.spread_next_call(self.now, None, event.wait, self.rng.random())

    def on_stopping(self, event: i.Stopping) -> None:
        """Notes when the process ends."""
        self.stop_at = event.at

    def tenant_share(self, tenant: int) -> float:
        """Counts a tenant's next message against its quota, and returns the share of its worth that counts.

        This is 1 within the quota, otherwise Settings.over_share_worth.
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
            self.backlogs.get(message.destination, {}).pop(number, None)
            if not message.in_flight and acknowledged:
                self.leave_key_queue(message.key, number)

    def leave_key_queue(self, key: int, message: int) -> None:
        """Removes a message from its per-key queue."""
        if rest := [other for other in self.key_queues.pop(key, ()) if other != message]:
            self.key_queues[key] = rest

    def pause_key(self, key: int, duration: float) -> None:
        """Delays the key's next message by `duration` ms at least."""
        until = max(self.key_paused_until.get(key, 0.0), self.now + duration + 1)
        self.key_paused_until[key] = until

    def refuse_or_fail(self, message: Message, min_wait: float = 0.0) -> None:
        """Ends a message: refused where submitting it again is harmless, otherwise failed.

        min_wait: least retry-after time of a refusal, in ms.
        """
        until = self.repeat_until(message)
        harmless = until == math.inf or message.cls.group == "all" and self.now < until
        earliest = min(
            (state.retry_after_until for state in self.states.get(message.destination, ())), default=0.0
        )
        retry_after = max(min_wait, message.retry_wait, message.not_before - self.now, earliest - self.now)
        self.actions.append(i.Refuse(message.id, retry_after) if harmless else i.Fail(message.id))
        self.complete(message.id, acknowledged=not self.settings.ends_answered)

    def repeat_until(self, message: Message) -> float:
        """Returns the time until which a message may be sent again; -infinity: never, infinity: no limit."""
        if message.maybe_ran_at == math.inf or message.cls.effect is Effect.SAFE:
            return math.inf
        until = message.maybe_ran_at + message.cls.repeat_window - KEY_MARGIN_MS
        return until if message.cls.effect is Effect.KEYED else -math.inf

    def expire_overdue(self) -> None:
        """Ends waiting messages at their deadlines; messages in flight end with their call's time-out.

        Also drops the pauses of keys that are over.
        """
        while self.deadlines and self.deadlines[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.deadlines)[1])
            if message and not message.in_flight:
                self.refuse_or_fail(message)
        self.wake_at = min(self.wake_at, self.deadlines[0][0] if self.deadlines else math.inf)
        self.key_paused_until = {
            key: until for key, until in self.key_paused_until.items() if until > self.now
        }

    def draw_wait(self, previous: float, maximum: float = MAX_RETRY_WAIT_MS) -> float:
        """Draws a wait in ms by decorrelated jitter: min(maximum, random(base, previous * 3))."""
        return min(maximum, self.rng.uniform(BASE_RETRY_WAIT_MS, previous * 3))

    def expected_call_ms(self, message: Message, state: DestinationState, size: int = 1) -> float:
        """Returns the ms that a call is expected to take by its class, its destination and its size."""
        return (
            (self.usual_call_ms[message.class_number] or BASE_RETRY_WAIT_MS)
            * (state.relative_latency or 1.0)
            * math.sqrt(size)
        )

    def on_result(self, event: i.Result) -> None:
        """Applies the result of an attempt: completes the message, or lets it wait for its next try."""
        if (event.message, event.attempt) not in self.calls_by_attempt:
            return
        call, key = self.calls_by_attempt.pop((event.message, event.attempt))
        outcome, state, call.results_due = event.outcome, call.endpoint.state, call.results_due - 1
        if call.results_due == 0:
            self.free_slots, state.in_flight = self.free_slots + 1, state.in_flight - 1
            call.endpoint.in_flight -= 1
        # Each result of a call has a retry-after deadline of its own. Hosts round times, so a tick is added.
        if event.wait > 0:
            state.retry_after_until = max(state.retry_after_until, self.now + event.wait + self.settings.tick)
        # The messages of a call share one outcome, which is counted once.
        if call.results_due == call.size - 1 and outcome is not Outcome.MOOT:
            self.record_outcome(event, call)
        if key and outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.pause_key(key, self.settings.turn_gap)
        message = self.messages.get(event.message)
        if message is None:
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
        latest = min(message.deadline - self.expected_call_ms(message, state), self.repeat_until(message))
        self.backlogs.setdefault(message.destination, {})[message.id] = message
        exhausted = (
            message.attempts >= self.settings.max_attempts or message.destination in self.removed_destinations
        )
        if message.not_before > latest or exhausted:
            self.refuse_or_fail(message)

    def record_outcome(self, event: i.Result, call: Call) -> None:
        """Updates state and endpoint with the outcome of a call, once whatever its size."""
        endpoint, state, message = call.endpoint, call.endpoint.state, self.messages.get(event.message)
        was_open, kind = state.circuit_open, endpoint.entry.kind
        state.adapt_batch(call.size, event.outcome)
        connection_refused = policy.Sender.is_connection_refusal(self, event, state, kind)
        if not connection_refused:
            self.refusal_shares[kind] += MEAN_WEIGHT * (
                (event.outcome is Outcome.FULL) - self.refusal_shares[kind]
            )
            state.refusal_share = self.refusal_shares[kind]
        reset_shares, was_reset = (
            self.new_reset_shares if event.fresh else self.kept_reset_shares,
            event.outcome is Outcome.RESET,
        )
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
        if table_may_be_full:
            self.tables_full_until[kind] = self.now + IDLE_MS
        if kept_one_broke:
            self.kept_untrusted_until[kind] = self.now + UNTRUSTED_MS
        elif event.fresh and self.new_reset_shares[kind] > self.kept_reset_shares[kind] / 2:
            # New connections are reset at least half as often: kept-alive ones are reused again. Their resets
            # were chance, as where responses get lost on any connection. A new one gains nothing there, and
            # holds a slot for twice as long, since it has to be opened.
            self.kept_untrusted_until[kind], self.kept_reset_shares[kind] = (
                0.0,
                min(self.kept_reset_shares[kind], self.new_reset_shares[kind]),
            )
        endpoint.opened_at = self.now if event.fresh else endpoint.opened_at
        long_open = state.large_fleet and self.now - endpoint.opened_at > self.settings.keep_alive
        if long_open or self.now < max(self.tables_full_until[kind], self.kept_untrusted_until[kind]):
            self.actions.append(i.CloseIdle(endpoint.entry.endpoint))
        # Probe calls are spread by random waits, so that senders do not probe at the same times.
        if was_open or state.large_fleet:
            # All senders of a large fleet together probe about as often as a fleet of SMALL_FLEET.
            max_wait = min(self.settings.fall / 4 * state.fleet_factor**2, 2 * self.settings.cold)
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
            state.connection_wait = self.draw_wait(state.connection_wait, policy.MAX_CONNECTION_WAIT_MS)
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
        if event.outcome is not Outcome.OK and state.large_fleet and state.may_have_been_out(self.now):
            state.spread_next_call(self.now, event.outcome, event.wait, self.rng.random())
        if event.outcome is Outcome.FULL and self.now >= state.log_at:
            state.log_at = self.now + policy.REFUSAL_LOG_INTERVAL_MS
            policy.Sender.log_refusal(self, event, call)
        if state.circuit_open != was_open:
            change = (
                "answers again, ramping" if was_open else f"down ({event.outcome.name.lower()}), trials only"
            )
            self.actions.append(i.OutageChange(endpoint.entry.endpoint, state.circuit_open))
            self.actions.append(i.Log(f"destination {endpoint.entry.destination} {change}"))

    def dispatch(self) -> None:
        """Sends calls, the most worth for their expected time first, until no slot is free."""
        candidates: list[tuple] = []
        for destination in self.backlogs:
            self.offer_next_call(candidates, destination)
        while candidates and self.free_slots > 0:
            _, destination, endpoint, batch = heapq.heappop(candidates)
            self.send(endpoint, batch)
            self.offer_next_call(candidates, destination)
        oldest = min(
            (call for call, _ in self.calls_by_attempt.values()), key=lambda c: c.overdue_at, default=None
        )
        if candidates and oldest and oldest.overdue_at < self.now and self.settings.may_cancel:
            # Cancels the most overdue call. Otherwise calls that are never answered would hold all slots.
            self.actions.extend(
                i.Cancel(*key) for key, (call, _) in self.calls_by_attempt.items() if call is oldest
            )
            oldest.overdue_at = math.inf

    def offer_next_call(self, candidates: list, destination: int) -> None:
        """Adds a destination's best next call to the candidates if it may be sent now."""
        messages, states, ready = self.backlogs[destination], self.states.get(destination, []), []
        slots_left, now = (
            max(1, self.settings.slots * 3 // 4) - sum(state.in_flight for state in states),
            self.now,
        )
        for state in states if messages else ():
            if state.is_idle_and_healthy(now):
                state.reset()  # what was learnt more than IDLE_MS ago says nothing of the next call
            at = state.ready_at(self.now, slots_left)
            if at > self.now:
                self.wake_at = min(self.wake_at, at)
            elif endpoint := self.choose_endpoint(state):
                zone, kind = endpoint.entry.zone, self.settings.kinds[endpoint.entry.kind]
                fee = self.settings.zone_fee[zone] if kind.apart and self.settings.zone_fee else 0.0
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
        *_, endpoint = min(ready, default=(None,))
        batch = self.pick_messages(messages, endpoint) if endpoint else []
        if endpoint and not batch:
            endpoint, batch = self.pick_bound_messages(messages, [row[-1] for row in sorted(ready)])
        if batch:
            worth = sum(m.worth_at(now, self.settings.late_halves) for m in batch)
            call_ms = self.expected_call_ms(batch[0], endpoint.state, len(batch))
            heapq.heappush(candidates, (-worth / call_ms, destination, endpoint, batch))

    def choose_endpoint(self, state: DestinationState) -> Endpoint | None:
        """Returns the endpoint for the next call; None: none is ready.

        It has the fewest failures, among these the fewest calls in flight, and among these it was used so
        recently that an idle connection may be reused.
        """
        return min(self.in_order(state), key=self.preference, default=None)

    def in_order(self, state: DestinationState) -> list[Endpoint]:
        """Returns the ready endpoints, the preferred one first."""
        ready = [e for e in state.endpoints if e.entry.condition is i.Condition.READY]
        return sorted(ready, key=self.preference)

    def preference(self, endpoint: Endpoint) -> tuple:
        """Returns the sort key of endpoints, the smallest first."""
        idle_before = self.now - self.settings.keep_alive
        return *endpoint.selection_key(self.now), endpoint.used_at < idle_before, endpoint.tie_break

    def pick_bound_messages(
        self, messages: dict[int, Message], preferred: list[Endpoint]
    ) -> tuple[Endpoint, list[Message]]:
        """Returns a call with a message that is bound to a zone; an empty one if there is none."""
        for first in preferred:
            for endpoint in self.in_order(first.state):
                batch = self.pick_messages(messages, endpoint)
                if any(m.cls.group == "zone" and self.repeat_until(m) < math.inf for m in batch):
                    return endpoint, batch
        return preferred[0], []

    def pick_messages(self, messages: dict[int, Message], endpoint: Endpoint) -> list[Message]:
        """Returns the messages of the next call: the most worth first, of equals the one nearest its aim."""
        state, candidates = endpoint.state, []
        is_probe = state.circuit_open or endpoint.consecutive_failures > 0
        # Unsafe messages are held back until half of their life is over where calls fail and may have taken
        # effect.
        uncertain = state.circuit_open or state.uncertain_share > UNHEALTHY_FAILURE_SHARE / 2
        for m in messages.values():
            paused_until = 0.0 if m.attempts else self.key_paused_until.get(m.key, 0.0)
            half_life_at = (
                m.deadline - m.cls.deadline / 2 if uncertain and m.cls.effect is Effect.UNSAFE else 0.0
            )
            at, until = max(m.not_before, paused_until, half_life_at), self.repeat_until(m)
            elsewhere = until < math.inf and m.cls.group == "zone" and m.maybe_ran_zone != endpoint.entry.zone
            if at > self.now:
                self.wake_at = min(self.wake_at, at)
            elif self.now + SHUTDOWN_MARGIN_CALLS * self.expected_call_ms(m, state) > self.stop_at:
                continue  # a call that is cut off by the end of the process may have taken effect
            elif not (m.key and self.key_queues[m.key][0] != m.id or self.now > until or elsewhere):
                # Probe calls carry messages that may be repeated, if there are any.
                first = m.cls.effect if is_probe else 0
                candidates.append(
                    (first, -m.worth_at(self.now, self.settings.late_halves), m.aim_until, m.id, m)
                )
        size = min(state.max_batch, self.settings.kinds[endpoint.entry.kind].batch)
        # The square root: a probe call should take hardly longer than one of a single message.
        size = int(math.sqrt(size) if state.circuit_open else size)
        return [a[-1] for a in heapq.nsmallest(size, candidates)]

    def send(self, endpoint: Endpoint, batch: list[Message]) -> None:
        """Starts a call with these messages, and an attempt of each."""
        state, call = endpoint.state, Call(endpoint, self.now, len(batch))
        self.free_slots, endpoint.in_flight = self.free_slots - 1, endpoint.in_flight + 1
        state.on_send(self.now)
        if state.large_fleet:
            waiting, size = (
                self.backlogs[batch[0].destination],
                min(state.max_batch, self.settings.kinds[endpoint.entry.kind].batch),
            )
            queue_length = max(
                (len(self.key_queues[message.key]) for message in batch if message.key), default=0
            )
            calls = max(len(waiting) / size / len(self.states[batch[0].destination]), queue_length)
            state.demand = 1000 * calls / max(BASE_RETRY_WAIT_MS, batch[0].cls.aim)
        for message in batch:
            timeout = max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * self.expected_call_ms(message, state, len(batch)))
            # After half of its time-out a call may be cancelled if its slot is needed (dispatch).
            call.overdue_at = self.now + timeout / 2
            del self.backlogs[message.destination][message.id]
            self.calls_by_attempt[message.id, message.attempts] = (call, message.key)
            message.in_flight, message.attempts, message.resumed_untried = True, message.attempts + 1, False
            timeout = max(1.0, min(timeout, message.deadline - self.now - 2 * self.settings.tick))
            self.actions.append(i.Send(message.id, endpoint.entry.endpoint, timeout))
