"""State of a destination: send rate, window and circuit breaker of the endpoints that share a limit.

The state follows the results of its calls and decides when the next one may begin; the policy decides which
messages it carries. In a fleet of more than SMALL_FLEET senders each one sees few of the calls that use up a
limit, which is why several rules differ there (`DestinationState.large_fleet`).

This module does no input or output. Times are in ms and rates in calls a second.
"""

import math

from . import interface as i
from .backlog import BASE_RETRY_WAIT_MS
from .interface import Outcome

MAX_RETRY_WAIT_MS = 5000.0  # upper bound of a decorrelated jitter wait (docs/design)
# Multiple of the best recent latency up to which the window widens. Calls that take longer narrow it.
LATENCY_TOLERANCE = 2.0
# Weight of a new call in a running mean. It spans some seven calls, so that a single one hardly counts.
MEAN_WEIGHT = 0.15
# Growth of the best latency with each call: an old one has doubled, and is forgotten, after some 70 calls.
BEST_LATENCY_AGEING = 0.01
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
# The refused rate, from which a refusal decreases the rate, is taken to be this multiple of the sent rate at
# most.
MAX_SENT_RATE_MULTIPLE = 1.5
# Share of DestinationState.healthy_rate that is kept with each success while fewer calls are sent.
HEALTHY_RATE_FADE = 0.99
# Relative growth of the rate in a second, for each second since the last refusal: slow near a limit, faster
# later.
INCREASE_PER_S = 0.04
# Exponent of DestinationState.fleet_factor by which senders of a large fleet grow more slowly.
INCREASE_DAMPING_POWER = 1.3
# Share of the demand by which a rate equal to it would grow in a second (DestinationState.rate_for_demand).
DEMAND_GROWTH = 0.01
# A sender of a large fleet is back at this share of the refused rate RATE_RECOVERY_MS after a refusal.
PASSING_SHARE = 0.9
# Upper bound of the factor by which the recovery to the guaranteed rate is slowed down. Each decrease raises
# the factor, since a listed rate that is too high would undo the decrease within RATE_RECOVERY_MS.
MAX_LISTED_SLOWDOWN = 4.0
PASSES_TO_HALVE_SLOWDOWN = 4  # calls in a row without a refusal that halve that factor
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
# A calculated time is checked this long before it, so that rounding errors do not let a round miss it, or
# after it where it must have passed.
ROUNDING_MARGIN_MS = 0.001
# Share of the rate allowed by the overload rule that a sender uses in slow start.
SLOW_START_MARGIN = 0.9
# The slow-start rate of a sender in a large fleet rises or falls by up to this factor, as its calls pass or
# are refused.
MAX_SLOW_START_FACTOR = 3.0
# The state of a destination without calls is dropped after this time, and so is the assumption that a
# connection table is full.
IDLE_MS = 30000.0


class Endpoint:
    """An endpoint of an active destination, with its recent failures and refusals."""

    __slots__ = (
        "consecutive_failures",
        "in_flight",
        "consecutive_refusals",
        "entry",
        "opened_at",
        "tie_break",
        "state",
        "avoid_until",
        "used_at",
    )

    def __init__(self, entry: i.EndpointEntry, state: "DestinationState", tie_break: int) -> None:
        # in_flight: number of calls.
        self.entry, self.state, self.in_flight, self.consecutive_failures = entry, state, 0, 0
        # At random, so that senders do not all choose the same one of equal endpoints.
        self.tie_break = tie_break
        self.used_at = -math.inf  # when a call to it last succeeded
        self.opened_at = -math.inf  # when a call on a new connection to it last ended
        # consecutive_refusals: without a retry-after deadline; avoid_until: when other endpoints no longer
        # come first.
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

    def has_no_history(self, now: float, keep_alive: float) -> bool:
        """Tells whether no call, failure, refusal or idle connection (keep_alive, ms) of it still counts."""
        has_history = self.in_flight or self.consecutive_failures or self.consecutive_refusals
        return not has_history and now > max(self.avoid_until, self.used_at + keep_alive)


class DestinationState:
    """Send rate, window and circuit breaker of the endpoints that share a limit.

    These are all endpoints of a destination, or a single one where its kind is apart (Kind.apart).
    """

    __slots__ = (
        "best_latency", "connection_wait", "consecutive_failures", "consecutive_passes",
        "consecutive_refusals", "counted_at", "demand", "endpoints", "failure_share", "first_refusal_at",
        "fleet_factor", "healthy_rate", "in_flight", "increased_at", "large_fleet", "last_sent_at",
        "last_success_at", "listed_slowdown", "max_batch", "max_turn_wait", "memory_filled", "min_rate",
        "next_decrease_at", "next_turn_at", "passing_rate", "probe_at", "probe_wait", "rate",
        "log_at", "refusal_share", "relative_latency", "retry_after_until", "sent_rate", "settings",
        "slow_start_at", "slow_start_factor", "uncertain_share", "waited_for_turn", "window",
    )  # fmt: skip

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.endpoints = []
        self.in_flight = 0  # calls
        self.retry_after_until = 0.0  # the latest retry-after deadline
        self.last_sent_at = 0.0
        self.log_at = -math.inf  # when a refused call is logged again
        # The square root, since not all senders hold a message for this destination.
        self.fleet_factor = max(1.0, math.sqrt(settings.senders / SMALL_FLEET))
        # 0 for a small fleet, nearer to 1 the smaller this sender's part of all calls is likely to be.
        self.large_fleet = 1 - 1 / self.fleet_factor
        self.min_rate = 1000 / settings.fall / self.fleet_factor  # calls a second that are always allowed
        shortest = min((cls.deadline for cls in settings.classes), default=math.inf)
        # Longest wait (ms) of a sender in a large fleet for its next turn after a refusal: half of the
        # shortest deadline, but at least Settings.fall, since a single class with a short deadline must not
        # make all senders retry early.
        self.max_turn_wait = max(shortest / 2, settings.fall)
        self.reset()

    def reset(self) -> None:
        """Drops what was learnt from earlier calls; calls in flight and retry-after deadlines remain."""
        # Calls in flight at once. Not always whole, since a success changes it by a fraction.
        self.window = float(max(1, self.settings.slots // 2))
        # Mean of recent calls, and best recent mean, in multiples of the usual call time of the message's
        # class; 0: none yet.
        self.relative_latency, self.best_latency = 0.0, 0.0
        # The rate is infinite until a limit is met. By the rate the next call has its turn at next_turn_at,
        # and may begin BURST_MS earlier. Refusals before next_decrease_at do not decrease the rate again.
        # increased_at: when it last increased.
        self.rate, self.next_turn_at, self.next_decrease_at, self.increased_at = math.inf, 0.0, 0.0, 0.0
        # sent_rate and healthy_rate: calls a second sent recently, and sent while calls succeeded.
        # counted_at, memory_filled: when sent_rate was updated, and the part of its memory that is filled.
        self.sent_rate, self.healthy_rate, self.counted_at, self.memory_filled = 0.0, 0.0, 0.0, 0.0
        # first_refusal_at: time of the first of the consecutive refusals.
        self.consecutive_failures, self.consecutive_refusals, self.first_refusal_at = 0, 0, 0.0
        # Share of recent calls that failed, and of those that failed and may have taken effect.
        self.failure_share, self.uncertain_share = 0.0, 0.0
        self.connection_wait = BASE_RETRY_WAIT_MS  # last wait after a refused connection, ms
        # probe_wait: last wait between probe calls, ms; probe_at: when the next one is due; slow_start_at:
        # last sign of an outage, from which slow start is counted.
        self.probe_wait, self.probe_at, self.slow_start_at = BASE_RETRY_WAIT_MS, 0.0, -math.inf
        self.last_success_at = -math.inf
        self.max_batch = math.inf  # messages that may travel in one call
        # Calls in a row without a refusal; whether the last call waited for its turn.
        self.consecutive_passes, self.waited_for_turn = 0, False
        self.listed_slowdown = 1.0  # factor by which the recovery to the guaranteed rate is slowed down
        self.demand = 0.0  # calls a second that would deliver the waiting messages within their aim
        self.refusal_share = 0.0  # share of refused calls among the recent ones to its kind of endpoints
        self.passing_rate = (
            0.0  # calls a second likely to pass, a little below the refused rate; 0: none seen
        )
        # Factor on the slow-start rate, by the calls that passed and were refused since the outage.
        self.slow_start_factor = 1.0

    @property
    def circuit_open(self) -> bool:
        """Whether the destination is taken to be down: then one probe call is sent at a time."""
        return self.consecutive_failures >= OPEN_AFTER_FAILURES

    def is_idle(self, now: float) -> bool:
        """Tells whether it has been unused for IDLE_MS and no wait, call or slow start still applies."""
        idle = now - max(self.last_sent_at, self.retry_after_until, self.next_turn_at) > IDLE_MS
        return idle and not self.in_flight and not self.in_slow_start(now)

    def is_idle_and_healthy(self, now: float) -> bool:
        """Tells whether it is idle and its circuit breaker closed, so that its state may be dropped."""
        return self.is_idle(now) and not self.circuit_open

    @property
    def listed_share(self) -> float:
        """This sender's even share of the listed rate, in calls a second; 0: none is listed."""
        return max((e.entry.rate or 0.0 for e in self.endpoints), default=0.0) / self.settings.senders

    def in_slow_start(self, now: float) -> bool:
        """Tells whether the last sign of an outage is less than Settings.cold ago."""
        return now - self.slow_start_at < self.settings.cold

    def count_calls(self, now: float, calls: int) -> None:
        """Adds calls sent now to sent_rate, an exponential moving average over three times Settings.fall."""
        # Longer than the span of the overload rule (Settings.fall), so that a short time without calls does
        # not bring the mean near zero.
        memory_ms = 3 * self.settings.fall
        decay = math.exp(-(now - self.counted_at) / memory_ms) if self.memory_filled else 1.0
        # After a recent start the mean is taken over the part of the memory that is filled: otherwise the
        # rate would look too low. In a large fleet the part is at least `large_fleet`.
        filled = max(1 - (1 - self.memory_filled) * decay, 1000 / memory_ms, self.large_fleet)
        self.counted_at = now
        self.sent_rate = (self.sent_rate * self.memory_filled * decay + calls * 1000 / memory_ms) / filled
        self.memory_filled = filled

    @property
    def guaranteed_rate(self) -> float:
        """Calls a second that the destination is sure to take from this sender; 0: no rate is listed.

        This is the even share, reduced by LISTED_RATE_TOLERANCE if listed rates are approximate.
        """
        return self.listed_share / (LISTED_RATE_TOLERANCE if self.settings.rates_rough else 1)

    @property
    def own_rate(self) -> float:
        """Calls a second of this sender that a healthy destination is sure to take; 0: unknown."""
        return max(self.healthy_rate, self.guaranteed_rate)

    @property
    def recovery_interval(self) -> float:
        """Ms within which each sender of a large fleet makes one call after an outage, at a time of its own.

        The calls of all that have noticed the outage are then within the overload rule, at the capacity with
        which slow start begins. 0 where they are so if all come at once.
        """
        if not self.own_rate:
            return self.max_turn_wait
        listed_rate = max(self.healthy_rate, self.listed_share)
        # Senders that call at least once within an outage as long as slow start, if all call equally often.
        callers = self.settings.senders * (1 - math.exp(-listed_rate * self.settings.cold / 1000))
        if callers < self.cold_calls(listed_rate):
            return 0.0
        return self.settings.fall * callers / self.cold_calls(self.own_rate)

    def cold_calls(self, own_rate: float) -> float:
        """Returns how many calls of the fleet a cold destination takes within Settings.fall.

        own_rate: calls a second of this sender that it takes when it is healthy.
        """
        fleet_rate = own_rate * self.settings.senders
        allowed_rate = fleet_rate * self.settings.overload_factor * self.settings.cold_from
        return SLOW_START_MARGIN * calls_before_failure(allowed_rate * self.settings.fall / 1000)

    @property
    def rate_limit(self) -> float:
        """Calls a second that refusals allow, or the listed rate before the first one; infinity: no limit."""
        return self.rate if self.rate < math.inf else LISTED_RATE_TOLERANCE * self.listed_share or math.inf

    @property
    def turn_interval(self) -> float:
        """Ms from one call to the next while none is refused; at most Settings.fall in a large fleet.

        There a sender's rate may be so low that single messages and probe calls would wait too long.
        """
        return min(1000 / self.rate_limit, self.settings.fall if self.large_fleet else math.inf)

    def slow_start_rate(self, now: float) -> float:
        """Returns the calls a second while the circuit breaker is open, and in slow start after it.

        The rates of all senders together must keep the overload rule. Where the listed rate is far too low,
        so is the rate that follows from it. In a large fleet slow_start_factor corrects this by the calls of
        this sender that pass or are refused, since it does not know of the other senders' calls.
        """
        progress = 0.0 if self.circuit_open else max(0.0, now - self.slow_start_at) / self.settings.cold
        return self.recovery_rate(self.settings.cold_from + (1 - self.settings.cold_from) * progress)

    def recovery_rate(self, capacity_share: float) -> float:
        """Returns the calls a second to a destination that has this share of its usual capacity."""
        # Where a rate is listed the lower bound falls with the fleet's size (min_rate is divided by
        # fleet_factor again), so that those of all senders together keep the overload rule.
        lowest = self.min_rate / self.fleet_factor if self.listed_share else self.min_rate
        return max(
            self.own_rate
            * self.settings.overload_factor
            * capacity_share
            * SLOW_START_MARGIN
            * self.slow_start_factor,
            lowest,
        )

    def ready_at(self, now: float, slots_left: int) -> float:
        """Returns when the next call may be sent; infinity: not before a result arrives."""
        if self.in_flight >= (1 if self.circuit_open else int(self.window)) or slots_left <= 0:
            return math.inf
        if not self.circuit_open and not self.in_slow_start(now):
            return max(self.retry_after_until, self.next_turn_at - BURST_MS)
        # Probe calls of a large fleet are spaced by probe_at alone (see probe_wait in Sender.record_outcome).
        gap = 0.0 if self.circuit_open and self.large_fleet else 1000 / self.slow_start_rate(now)
        earliest = max(self.retry_after_until, self.next_turn_at, self.probe_at if self.circuit_open else 0.0)
        at = max(earliest, self.last_sent_at + gap)
        if self.circuit_open or at <= now:
            return at
        # The slow-start rate rises all the time, so that `at` would be too late. The exact time is calculated
        # so that no other rounds are needed to find it. After slow start other rules apply.
        slow_start_end = max(
            self.retry_after_until, self.next_turn_at - BURST_MS, self.slow_start_at + self.settings.cold
        )
        return min(at, slow_start_end, max(earliest, self.slow_start_turn_at()))

    def slow_start_turn_at(self) -> float:
        """Returns when the time since the last call reaches the interval of the slow-start rate at that time.

        The rate is that of recovery_rate.
        """
        rate_per_ms = (
            self.own_rate * self.settings.overload_factor * SLOW_START_MARGIN * self.slow_start_factor / 1000
        )
        lowest = self.min_rate / self.fleet_factor if self.listed_share else self.min_rate
        sent_after = self.last_sent_at - self.slow_start_at
        slope = rate_per_ms * (1 - self.settings.cold_from) / self.settings.cold
        initial = rate_per_ms * self.settings.cold_from
        # Solves (x - sent_after) * (initial + slope * x) = 1 for x, the ms since slow_start_at. sent_after: x
        # at the last call; initial + slope * x: calls a millisecond at x.
        linear, constant = initial - slope * sent_after, 1 + initial * sent_after
        if slope > 0:
            since = (math.sqrt(linear * linear + 4 * slope * constant) - linear) / (2 * slope)
        else:
            since = sent_after + 1 / initial if initial > 0 else math.inf
        return min(self.slow_start_at + since, self.last_sent_at + 1000 / lowest) - ROUNDING_MARGIN_MS

    def on_send(self, now: float) -> None:
        """Counts a call that is sent now, and sets the time of the next one."""
        if self.large_fleet and self.rate == math.inf and self.listed_share:
            # In a large fleet a sender begins at its share and grows from there: if each one went beyond its
            # share before it has seen that there is room, all would do so at once.
            self.rate = max(self.listed_share, self.min_rate)
            self.next_decrease_at = now
            self.increased_at = now
        self.count_calls(now, 1)
        self.in_flight += 1
        self.last_sent_at = now
        self.waited_for_turn = self.next_turn_at > now
        self.next_turn_at = max(self.next_turn_at, now) + 1000 / self.rate_limit

    def on_success(self, now: float, relative_latency: float) -> None:
        """Counts a success: increases the rate, and widens or narrows the window.

        The window widens while calls take about as long as the best recent ones, up to three quarters of the
        slots, and narrows as they take longer. relative_latency: duration of the call as a multiple of the
        usual one of its class.
        """
        self.count_calls(now, 0)
        if self.circuit_open:
            # The destination recovered at some time between the last failure and now. A sender of a large
            # fleet calls seldom, so that this may be long ago.
            self.slow_start_at = now - self.large_fleet * max(0.0, now - self.slow_start_at) / 2
            self.failure_share = min(self.failure_share, UNHEALTHY_FAILURE_SHARE)
        elif not self.in_slow_start(now):
            # Without the part of one call: a single call shows no rate.
            repeated_rate = self.sent_rate - 1000 / (3 * self.settings.fall * self.memory_filled)
            self.healthy_rate = max(
                self.healthy_rate * HEALTHY_RATE_FADE, repeated_rate * (1 - self.failure_share)
            )
        self.consecutive_failures = 0
        self.consecutive_refusals = 0
        self.probe_wait = BASE_RETRY_WAIT_MS
        self.connection_wait = BASE_RETRY_WAIT_MS
        self.last_success_at = now
        self.failure_share *= 1 - MEAN_WEIGHT
        self.uncertain_share *= 1 - MEAN_WEIGHT
        self.relative_latency += (
            MEAN_WEIGHT * (relative_latency - self.relative_latency)
            if self.relative_latency
            else relative_latency
        )
        self.best_latency = min(
            self.relative_latency, (self.best_latency or self.relative_latency) * (1 + BEST_LATENCY_AGEING)
        )
        near = self.relative_latency <= LATENCY_TOLERANCE * self.best_latency
        maximum, step = (self.settings.slots * 3 // 4, 1.0) if near else (self.settings.slots / 2, -1.0)
        self.window = max(1.0, min(self.window + step / self.window, maximum))
        self.consecutive_passes += 1
        if self.consecutive_passes >= PASSES_TO_HALVE_SLOWDOWN:
            self.consecutive_passes, self.listed_slowdown = 0, max(1.0, self.listed_slowdown / 2)
        if self.large_fleet and self.in_slow_start(now):
            self.slow_start_factor = min(
                self.slow_start_factor * (1 + MEAN_WEIGHT * self.large_fleet), MAX_SLOW_START_FACTOR
            )
        self.increase_rate(now)
        # Cuts a longer wait that earlier refusals have set, since calls are admitted again.
        self.next_turn_at = min(self.next_turn_at, now + self.turn_interval + BURST_MS)

    def increase_rate(self, now: float) -> None:
        """Increases the rate after a success.

        Growth is relative: slow at first, faster with the time since the last refusal. The rate also
        follows the demand, and recovers to the guaranteed share within seconds.
        """
        # The relative growth in a second is INCREASE_PER_S times the seconds since the last refusal, so the
        # logarithm of the rate grows with half of the time squared: 2e6 is twice the square of 1000 ms.
        increased = (
            max(0.0, now - self.next_decrease_at) ** 2
            - max(0.0, self.increased_at - self.next_decrease_at) ** 2
        )
        increased = self.rate * math.exp(
            min(1.0, INCREASE_PER_S / self.fleet_factor**INCREASE_DAMPING_POWER * increased / 2e6)
        )
        # The rate grows to twice the sent rate at most. A sender of a large fleet that waits for its turns
        # sends as much as the rate allows, so that this bound is not needed there.
        if not (self.large_fleet and self.waited_for_turn):
            increased = min(increased, 2 * self.sent_rate)
        # 0 in slow start: there the slow-start rate applies, and this rate does not recover.
        elapsed = (
            0.0 if self.in_slow_start(now) else max(0.0, now - max(self.next_decrease_at, self.increased_at))
        )
        increased = max(increased, self.rate_for_demand(elapsed))
        # Recovers to the guaranteed rate, and in a large fleet to passing_rate. Otherwise the rate would stay
        # low after a limit was lowered for a while, or used up by another sender's burst, a batch job or a
        # restart. Where a limit stays low this costs some refused calls, which does harm where refused calls
        # count towards the limit.
        guaranteed = min(1.0, GUARANTEED_SHARE * self.fleet_factor) * self.guaranteed_rate
        recovered = min(
            self.rate + guaranteed * elapsed / (RATE_RECOVERY_MS * self.listed_slowdown), guaranteed
        )
        recovered = (
            max(recovered, min(self.rate + self.passing_rate * elapsed / RATE_RECOVERY_MS, self.passing_rate))
            if self.large_fleet
            else recovered
        )
        self.rate, self.increased_at = max(self.rate, increased, recovered), now

    def rate_for_demand(self, elapsed: float) -> float:
        """Returns the rate increased towards what the waiting messages need; 0: no change.

        elapsed: ms since the last refusal or increase.

        In a large fleet the messages of some classes come to few senders, since all messages of a key go
        through one. An even share would starve such a class while other senders leave theirs unused, and the
        growth by time alone is too slow. Where a limit refuses the share r of the calls, decreases and this
        growth balance at a rate of demand * cube root(2 * DEMAND_GROWTH / r) at every sender, so all get the
        same multiple of their demand. Not used where a limit may count refused calls too, from
        HIGH_REFUSAL_SHARE on, nor in a small fleet.
        """
        if not self.large_fleet or self.demand <= self.rate:
            return 0.0
        growth = (
            DEMAND_GROWTH
            * self.demand**3
            / self.rate
            / self.listed_slowdown
            * max(0.0, 1 - self.refusal_share / HIGH_REFUSAL_SHARE)
        )
        return min(self.rate + growth * elapsed / 1000, 2 * self.rate, self.demand)

    def on_refused(self, now: float, wait: float) -> None:
        """Decreases the rate after a refusal, once in DECREASE_INTERVAL_MS, or counts it towards an outage.

        wait: ms until the retry-after deadline of the response, 0 without one.
        """
        self.first_refusal_at = self.first_refusal_at if self.consecutive_refusals else now
        self.consecutive_refusals += 1
        self.consecutive_passes = 0
        if self.large_fleet and self.in_slow_start(now) and now >= self.next_decrease_at:
            self.slow_start_factor = max(self.slow_start_factor / 2, 1 / MAX_SLOW_START_FACTOR)
        # A limit admits calls again after its interval, a destination that is shut down does not. In a large
        # fleet more refusals in a row are needed, since other senders use up the limit.
        many_refusals = self.consecutive_refusals >= OPEN_AFTER_FAILURES * self.fleet_factor
        if (
            self.circuit_open
            or many_refusals
            and now - self.first_refusal_at > self.settings.fall
            or wait > self.settings.fall
        ):
            self.consecutive_failures = max(self.consecutive_failures, OPEN_AFTER_FAILURES - 1)
            self.on_failure(now, Outcome.FULL, wait)
        elif now >= self.next_decrease_at:
            factor = DECREASE_FACTOR ** min(OPEN_AFTER_FAILURES, self.fleet_factor)
            # In a large fleet the rate may also fall below the listed share: otherwise all senders together
            # would stay above a limit that was lowered.
            share = (
                self.min_rate / self.fleet_factor if self.large_fleet else self.listed_share or self.min_rate
            )
            lowest = min(1000 / self.settings.fall, share)
            current = (
                self.rate_limit
                if self.large_fleet and self.waited_for_turn
                else min(self.rate_limit, MAX_SENT_RATE_MULTIPLE * self.sent_rate)
            )
            self.passing_rate = max(lowest, PASSING_SHARE * current)
            self.listed_slowdown = min(self.listed_slowdown * (1 + self.large_fleet), MAX_LISTED_SLOWDOWN)
            self.rate = max(lowest, factor * current)
            self.next_decrease_at = now + max(wait, DECREASE_INTERVAL_MS)
            # In a large fleet each sender waits for its next turn. If all retried at once, they would use up
            # the limit, and keep it used up where refused calls count.
            turn_ms = 1000 * self.large_fleet / self.rate
            # Among hundreds of senders the share of one may be a call a minute, which is longer than messages
            # may wait.
            if self.large_fleet:
                turn_ms = min(turn_ms, self.max_turn_wait)
                self.next_turn_at = min(self.next_turn_at, now + self.max_turn_wait)
            self.next_turn_at = max(self.next_turn_at, now + turn_ms)

    def on_failure(self, now: float, outcome: Outcome, wait: float = 0.0) -> None:
        """Narrows the window, counts a failure towards an outage and sets the time of the next probe call.

        wait: ms until the retry-after deadline of the response, 0 without one.
        """
        # One failed connection opens the circuit breaker in a fleet of more than 16 senders (large_fleet
        # above 0.5): a sender may see no other, and all of them together would overload the destination.
        conclusive = outcome is Outcome.CONNECT_FAILED and self.large_fleet > 0.5
        # Keeps the circuit breaker closed where a share of calls breaks or slow calls are cancelled.
        recent_success = now - self.last_success_at < RECENT_SUCCESS_MS and outcome is not Outcome.FULL
        if conclusive:
            self.consecutive_failures = OPEN_AFTER_FAILURES
        elif recent_success:
            self.consecutive_failures = min(self.consecutive_failures + 1, OPEN_AFTER_FAILURES - 1)
        else:
            self.consecutive_failures += 1
        self.failure_share += MEAN_WEIGHT * (1 - self.failure_share)
        self.uncertain_share += 0.0 if outcome.never_ran else MEAN_WEIGHT * (1 - self.uncertain_share)
        self.decrease_window()
        # From the deadline, which is the same instant for all senders of the fleet.
        self.probe_at = now + wait + self.probe_wait
        if self.large_fleet:
            self.next_turn_at = min(self.next_turn_at, now + self.turn_interval + BURST_MS)
        unhealthy = (
            self.failure_share > UNHEALTHY_FAILURE_SHARE
            or self.in_slow_start(now)
            and self.consecutive_failures > 1
        )
        if self.circuit_open or unhealthy and not recent_success:
            self.slow_start_at, self.slow_start_factor = now + wait, 1.0

    def may_have_been_out(self, now: float) -> bool:
        """Whether a call that failed or was refused now may be a sign of an outage."""
        return not self.circuit_open and now - self.last_success_at >= RECENT_SUCCESS_MS

    def spread_next_call(self, now: float, outcome: Outcome | None, wait: float, fraction: float) -> None:
        """Delays the next call after one that failed or was refused, until a time of its own.

        A sender of a large fleet calls too seldom to tell an outage from a limit or from chance. All senders
        that have noticed an outage would otherwise call again at about the same time: soon, or at the common
        end of their retry-after deadlines. outcome: of the call; None if an earlier process made it. wait: ms
        until the deadline, 0 without one. fraction: of recovery_interval, at random.
        """
        interval = self.recovery_interval
        if outcome is Outcome.FULL and not wait:
            # More likely a limit: the message needs another turn in its time.
            interval = min(interval, self.max_turn_wait)
        elif outcome is not None and outcome is not Outcome.FULL:
            # At no common time: each sender calls once an interval in the mean.
            fraction += 0.5
        self.next_turn_at = max(self.next_turn_at, now + wait + fraction * interval)

    def adapt_batch(self, size: int, outcome: Outcome) -> None:
        """Halves max_batch when a call of several messages is reset; doubles it when one of that size passes.

        Where responses get lost in part, a call of more messages is more likely to break, and all of them
        count as lost: calls of twenty never passed where two in three of single messages did.
        """
        if outcome is Outcome.RESET and size > 1:
            self.max_batch = min(self.max_batch, size / 2)
        elif outcome is Outcome.OK and size + 1 > self.max_batch:
            self.max_batch *= 2

    def on_batch_reset(self) -> None:
        """Counts a reset call of several messages in uncertain_share, but not towards an outage.

        Its size is the likely cause, and adapt_batch has reduced it. Otherwise the circuit breaker would
        open, with a slow start after it, where only large responses get lost.
        """
        self.uncertain_share += MEAN_WEIGHT * (1 - self.uncertain_share)

    def decrease_window(self) -> None:
        """Narrows the window by one call, and to at most half of the slots, but not below one call."""
        self.window = max(1.0, min(self.window - 1, self.settings.slots / 2))


def calls_before_failure(expected: float) -> float:
    """Returns the calls from which on a cold destination fails, where `expected` are allowed in the mean."""
    deviations = 3 if expected < 30 else 2
    return expected + deviations * (math.sqrt(expected) + 1)
