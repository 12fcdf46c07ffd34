"""The policy decides the same as the naive policy without indexes, action for action, in random rounds."""

import random
from dataclasses import replace

import naive_policy
import pytest

from rainpier import interface as i
from rainpier import policy
from rainpier.policy import Sender

Effect, Outcome = i.Effect, i.Outcome
CLASSES = (
    i.MessageClass("safe", 1.0, 500.0, 6000.0, 0.3),
    i.MessageClass("keyed", 2.0, 800.0, 9000.0, 0.4, Effect.KEYED, "all", 3000.0),
    i.MessageClass("zoned", 2.0, 500.0, 6000.0, 0.0, Effect.KEYED, "zone", 2000.0),
    i.MessageClass("unsafe", 5.0, 500.0, 6000.0, 0.5, Effect.UNSAFE),
    i.MessageClass("ordered", 2.0, 900.0, 8000.0, 0.3, Effect.KEYED, "all", 3000.0, True),
    i.MessageClass("flat", 1.5, 300.0, 5000.0, 1.0, Effect.UNSAFE, in_order=True),
    i.MessageClass("prompt", 1.0, 0.0, 4000.0, 0.2),
)
KINDS = (i.Kind("plain"), i.Kind("other"), i.Kind("apart", apart=True))
BATCHED = (KINDS[0], i.Kind("batched", batch=3), KINDS[2])
STRICTER = tuple(c if n else i.MessageClass("safe", 1.0, 400.0, 6000.0, 0.3, Effect.KEYED, "all", 1500.0)
                 for n, c in enumerate(CLASSES))  # fmt: skip


class PolicyComparison:
    """Runs random rounds with both policies, and asserts that their actions are equal.

    It stands for clients, endpoints and endpoint discovery. settings: those that differ from the defaults.
    """

    def __init__(self, seed, **settings):
        self.rng = random.Random(seed)
        defaults = {"classes": CLASSES, "kinds": KINDS, "slots": 6, "max_open": 60, "max_attempts": 6, "tick": 5.0,
                 "turn_gap": 150.0, "may_cancel": True, "senders": 3, "zone_fee": (0.0, 0.05), "fall": 1500.0,
                 "cold": 4000.0, "tenants": (i.Tenant("a", 30.0), i.Tenant("b", 3.0)), "over_share_worth": 0.1}  # fmt: skip
        self.settings = i.Settings(**(defaults | settings))
        self.naive, self.sender = naive_policy.Sender(self.settings, seed), Sender(self.settings, seed)
        self.sender.max_open_circuit_slots = self.settings.slots + 1  # the naive policy has no such limit
        # now: ms; in_flight: endpoint and time of each attempt in flight, by message and attempt; attempts:
        # number of attempts by message; arrivals: by message.
        self.now, self.last_id, self.in_flight, self.attempts, self.arrivals = 5e8, 0, {}, {}, {}
        # destinations: their number; sent: attempts begun so far.
        self.destinations, self.condition, self.sent = 12, {}, 0
        self.unacknowledged = []  # completed messages with a key that are not acknowledged yet

    def listed(self, endpoint, condition=i.Condition.READY):
        """Returns the entry of an endpoint; every second destination has a listed rate (calls a second)."""
        destination = endpoint % self.destinations
        return i.EndpointEntry(
            endpoint,
            destination,
            endpoint // self.destinations % 2,
            destination % 3,
            condition,
            6.0 if destination % 2 else None,
        )

    def list_event(self):
        """Returns an endpoint update with up to 30 endpoints in random conditions."""
        some = self.rng.sample(range(3 * self.destinations), self.rng.choice([1, 3, 30]))
        states = [self.rng.choice([*i.Condition, i.Condition.READY, i.Condition.READY]) for _ in some]
        kind = self.rng.choice([i.ListKind.DELTA] * 4 + [i.ListKind.FULL])
        return i.ListChange(kind, tuple(self.listed(e, c) for e, c in zip(some, states, strict=True)))

    def arrival(self):
        """Returns the submission of a random message; nearly a third go to one destination."""
        self.last_id += 1
        cls = self.rng.randrange(len(CLASSES))
        destination = self.rng.randrange(self.destinations) if self.rng.random() < 0.7 else 3
        deadline = self.now + CLASSES[cls].deadline * self.rng.choice([1.0, 1.0, 0.5])
        number = self.rng.getrandbits(40) * 1000 + self.last_id % 1000
        event = i.Arrival(
            number, cls, destination, deadline, self.rng.choice([0, 0, 1, 2, 3]), self.rng.choice([-1, 0, 1])
        )
        self.arrivals[number] = event
        return event

    def result(self, bad):
        """Returns the result of a random attempt in flight; bad: probability of another outcome than OK."""
        attempt = self.rng.choice(list(self.in_flight))
        endpoint, sent = self.in_flight.pop(attempt)
        outcome = (
            self.rng.choice([o for o in Outcome if o is not Outcome.OK])
            if self.rng.random() < bad
            else Outcome.OK
        )
        wait = self.rng.choice([0, 0, 300.0, 1900.0]) if outcome is Outcome.FULL else 0.0
        return i.Result(
            *attempt,
            endpoint,
            outcome,
            self.now - sent,
            outcome is Outcome.OK,
            wait,
            (),
            self.rng.random() < 0.3,
        )

    def pauses(self, result):
        """Returns the pause of a message's key after its call ended without a complete answer, if any."""
        arrival = self.arrivals[result.message]
        paused = result.outcome is Outcome.ERROR and arrival.key and CLASSES[arrival.cls].in_order
        return [i.KeyPaused(arrival.key, 90.0 + result.message % 3 * 100.0)] if paused else []

    def events(self, busy, bad):
        """Returns the events of a round; busy: submissions in a quarter of the rounds; bad: see result."""
        found = [self.arrival() for _ in range(self.rng.choice([0, 0, 1, busy]))]
        results = [self.result(bad) for _ in range(min(len(self.in_flight), self.rng.choice([0, 1, 1, 4])))]
        found += results
        found += [pause for result in results for pause in self.pauses(result)]
        if self.rng.random() < 0.02:
            found.append(self.list_event())
        if self.rng.random() < 0.01 and self.arrivals:
            found.append(i.Withdrawn(self.rng.choice(list(self.arrivals))))
            self.await_acknowledgement(found[-1].message)
        while self.unacknowledged and self.rng.random() < 0.7:
            found.append(i.EndAnswered(*self.unacknowledged.pop(0)))
        return found

    def round(self, events):
        """Runs a round with both policies, and compares their actions and the count of slots."""
        naive, indexed = self.naive.handle(self.now, events), self.sender.handle(self.now, events)
        wanted, got = (self.comparable(actions) for actions in (naive, indexed))
        assert got == wanted, f"at {self.now}"
        states = [state for group in self.sender.states.values() for state in group]
        assert self.sender.open_circuit_slots == sum(
            state.in_flight for state in states if state.circuit_open
        )
        for action in indexed:
            if isinstance(action, i.Send):
                attempt = self.attempts.get(action.message, 0)
                self.attempts[action.message] = attempt + 1
                self.in_flight[action.message, attempt] = (action.endpoint, self.now)
                self.sent += 1
            elif isinstance(action, i.Refuse | i.Fail):
                self.await_acknowledgement(action.message)

    def await_acknowledgement(self, message):
        """Adds a message that has its final status to those that EndAnswered follows for, if it has a key."""
        arrival = self.arrivals[message]
        if self.settings.ends_answered and arrival.key and CLASSES[arrival.cls].in_order:
            self.unacknowledged.append((message, arrival.key))

    @staticmethod
    def comparable(actions):
        """Returns the actions to compare, and apart from them the endpoints that are forgotten, sorted.

        Timers are left out, since the policy sets fewer, and so is the order of Forget.
        """
        forgotten = sorted(a.endpoint for a in actions if isinstance(a, i.Forget))
        return [a for a in actions if not isinstance(a, i.SetTimer | i.Forget)], forgotten

    def play(self, rounds):
        """Runs rounds in phases of 120, with few and many submissions, failures and time between rounds."""
        self.round(
            [i.ListChange(i.ListKind.CACHED, tuple(self.listed(e) for e in range(2 * self.destinations)))]
        )
        for n in range(rounds):
            phase = n // 120 % 5
            busy, bad = ((1, 0.05), (7, 0.3), (2, 0.95), (4, 0.3), (0, 0.1))[phase]
            self.now += (
                self.rng.choice([5.0, 5.0, 5.0, 40.0, 300.0]) if phase != 4 else self.rng.choice([5.0, 900.0])
            )
            self.round(self.events(busy, bad))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("halves", [False, True])
def test_decisions_equal_those_of_the_naive_policy(seed, halves):
    comparison = PolicyComparison(seed, late_halves=halves, ends_answered=seed % 2 == 0)
    comparison.play(900)
    assert comparison.sent > 300


@pytest.mark.parametrize("seed", range(2))
def test_calls_of_several_messages_are_equal_where_none_waits_for_a_slot(seed):
    """Where calls wait, their order may be up to BATCH_REVIEW_MS old in the policy (docs/design/scale.md)."""
    comparison = PolicyComparison(seed, kinds=BATCHED, slots=100, late_halves=seed % 2 == 1)
    comparison.play(600)
    assert comparison.sent > 200


def test_decisions_are_equal_in_a_large_fleet_and_with_few_slots_or_messages():
    for settings in ({"senders": 60}, {"max_open": 8}, {"slots": 2, "max_open": 100}, {"slots": 40}):
        comparison = PolicyComparison(11, **settings)
        comparison.play(600)
        assert comparison.sent > 100


def test_decisions_are_equal_after_a_restart_a_configuration_change_and_a_shutdown():
    for seed in range(3):
        comparison = PolicyComparison(seed)
        comparison.round(
            [
                i.ListChange(
                    i.ListKind.CACHED, tuple(comparison.listed(e) for e in range(2 * comparison.destinations))
                )
            ]
        )
        resumed = []
        for n in range(40):
            arrival = comparison.arrival()
            # Some are past their aim.
            arrival = replace(arrival, deadline=arrival.deadline - 1500.0 * (n % 3))
            interrupted = n % 3 == 0
            maybe_ran_at = comparison.now - 300.0 if n % 4 else float("inf")
            resumed.append(i.Resumed(arrival, n % 4, maybe_ran_at, n % 2, interrupted, n % 13 == 0,
                                     CLASSES[arrival.cls].effect, "all", 2500.0))  # fmt: skip
            comparison.attempts[arrival.message] = n % 4
        comparison.round([*resumed, i.Remembered(3, 700.0, True), i.Remembered(5, 0.0, True)])
        for n in range(300):
            comparison.now += comparison.rng.choice([5.0, 60.0])
            events = comparison.events(2, 0.3)
            if n == 100:
                events.append(i.ClassesChange(STRICTER))
            if n == 150:
                events.append(i.DestinationsGone(frozenset({1, 2})))
            if n == 250:
                events.append(i.Stopping(comparison.now + 2000.0))
            comparison.round(events)


def test_the_comparison_fails_for_a_wrong_order_of_messages(monkeypatch):
    """Guards the comparison itself: with an order of messages that ignores their worth it has to fail."""
    selection_key = policy.Backlog.next_batch.__globals__["selection_key"]
    monkeypatch.setitem(
        policy.Backlog.next_batch.__globals__,
        "selection_key",
        lambda *a: (selection_key(*a)[0], *selection_key(*a)[2:1:-1], *selection_key(*a)[2:]),
    )
    with pytest.raises(AssertionError):
        PolicyComparison(3).play(1200)
