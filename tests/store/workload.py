"""A random workload for the store, what the store confirmed during it, and what must hold after a recovery.

Kinds of confirmations of a message: `accepted` or `rejected`; `begun`: an attempt may be sent; `cleared`:
that attempt never ran; `notified`: its final status may be sent; `completed`.
"""

import random

from rainpier.interface import Outcome
from rainpier.store.entry import AttemptPlace, Entry
from rainpier.store.store import Store

DISK = 300_000  # bytes
CLASSES = {"safe": 0, "keyed": 1, "unsafe": 2}  # Effect by class name
START = 1_000_000.0  # Unix ms
PLACE, OTHER_PLACE = AttemptPlace("north", 11), AttemptPlace("south", 12)  # of attempts


class Confirmation:
    """What the store confirmed of a message, and after how many calls to the disk."""

    def __init__(self, after, kind, name):
        self.after, self.kind, self.name = after, kind, name  # name: the message's id

    def __repr__(self):
        return f"{self.kind} {self.name} after call {self.after}"


class Workload:
    """Submits, attempts, ends and completes messages at random, using the store as the node does."""

    def __init__(self, disk, seed=1, size=DISK, now=START, fsync_required=False, segment=0):
        """`size`: disk limit, bytes; `now`: Unix time, ms; `segment`: segment size, bytes; 0: the default."""
        self.disk, self.random, self.now = disk, random.Random(seed), now
        # submitted: body, key, class and number by id; count: messages submitted
        self.confirmations, self.submitted, self.count = [], {}, 0
        self.deferred_ids = set()  # ids whose record was deferred when it would have been confirmed
        self.current_ids = set()  # ids that the current step is about
        self.store, self.segment, self.steps = Store(disk, size, now, fsync_required), segment, 0
        # with a small size, rotation and compaction occur in a short run
        self.store.segment_size = segment or self.store.segment_size
        self.in_flight = {}  # by number: messages with an attempt that has no outcome

    def confirm(self, kind, name):
        """Notes a confirmation once the store's records are durable; a rejection, which has none, at once."""
        if kind == "rejected":
            self.confirmations.append(Confirmation(self.disk.calls, kind, name))
        else:
            self.store.when_durable(
                lambda: self.confirmations.append(Confirmation(self.disk.calls, kind, name))
            )

    def submit(self, max_body=60):
        """Submits a message of a random class with a body of fewer than `max_body` bytes."""
        store, cls = self.store, self.random.choice(list(CLASSES))
        body = self.random.randbytes(self.random.randrange(max_body))
        name = f"{self.count:08x}" if self.count % 3 else f"m-{self.count}"
        self.count += 1
        number, store.next_number = store.next_number, store.next_number + 1
        key = self.random.randrange(3) if cls == "keyed" else 0
        entry = Entry(number, name, cls, 3, key, "ab12" if cls == "keyed" else "", self.now + 20_000, body,
                      effect=CLASSES[cls], window=5000.0 if cls == "keyed" else 0.0)  # fmt: skip
        self.submitted[name] = (body, key, cls, number)
        self.current_ids = {name}
        if store.has_room(body) and store.accept(entry):
            self.confirm("accepted", name)
        else:
            self.confirm("rejected", name)

    def begin_attempts(self):
        """Begins an attempt of each of up to three messages that have none in flight."""
        idle = [
            e
            for e in self.store.entries.values()
            if not e.begun and not e.end and e.number not in self.in_flight
        ]
        chosen = idle[: self.random.randrange(1, 4)]
        self.current_ids = {entry.id for entry in chosen}
        for entry in chosen:
            entry.attempts += 1
        if chosen and self.store.record_attempts(chosen, self.now, OTHER_PLACE):
            for entry in chosen:
                self.in_flight[entry.number] = entry
                self.confirm("begun", entry.id)

    def resolve_attempt(self):
        """Records a random outcome of an attempt in flight, and completes or ends its message accordingly."""
        if not self.in_flight:
            return
        number = self.random.choice(list(self.in_flight))
        entry = self.in_flight.pop(number)
        if number not in self.store.entries:
            return
        self.current_ids = {entry.id}
        outcome = self.random.choice([Outcome.OK, Outcome.OK, Outcome.RESET, Outcome.FULL])
        if outcome is Outcome.OK:
            self.store.complete([entry])
            self.confirm_unless_deferred("completed", entry.id)
            return
        self.store.record_outcomes([(entry, outcome)])
        if outcome is Outcome.FULL and not entry.risky_at:
            self.confirm_unless_deferred("cleared", entry.id)
        elif entry.effect == 2:  # unsafe: it may have run and can't be repeated
            self.decide_final_status(entry)

    def decide_final_status(self, entry):
        """Gives a message up; confirms it once the record is durable."""
        self.store.record_final_status(entry, "given_up", 0, lambda: self.confirm("notified", entry.id))

    def complete_ended(self):
        """Completes up to two messages that have a final status, unless a record is deferred."""
        ended = [e for e in self.store.entries.values() if e.end and not self.store.deferred]
        self.current_ids = {entry.id for entry in ended[:2]}
        if ended:
            self.store.complete(ended[:2])
            for entry in ended[:2]:
                self.confirm_unless_deferred("completed", entry.id)

    def confirm_unless_deferred(self, kind, name):
        """Notes a confirmation if no record is deferred: a crash may lose a deferred one."""
        if not self.store.deferred:
            self.confirm(kind, name)
        else:
            self.deferred_ids.add(name)

    def change_routes_and_names(self):
        """Changes the names, a retry-after deadline, an outage or a class, with a chance of 3 % each."""
        draw = self.random.random()
        if draw < 0.03:
            self.store.record_destination_names({"a": self.random.randrange(3), "b": 3})
        elif draw < 0.06:
            self.store.record_retry_after("d3", self.now + 1000)
        elif draw < 0.09:
            self.store.record_outage("d3", self.now if draw < 0.075 else 0.0)
        elif draw < 0.12:
            entries = [e for e in self.store.entries.values() if e.cls == "safe"][:2]
            self.store.rebind_class(entries, 2, "all", 0.0)

    def step(self):
        """Does a random operation and then the round's maintenance, 5 ms after the last step."""
        self.now += 5.0
        operations = (
            self.submit,
            self.submit,
            self.begin_attempts,
            self.begin_attempts,
            self.resolve_attempt,
            self.resolve_attempt,
            self.complete_ended,
            self.change_routes_and_names,
        )
        self.random.choice(operations)()
        self.store.reclaim(self.now)
        self.steps += 1
        if self.segment and self.steps % 15 == 0:
            self.store.compact(self.now, 2000)

    def run(self, steps):
        """Does so many steps; returns the workload."""
        for _ in range(steps):
            self.step()
        return self


def confirmed_by_id(confirmations, before_call=10**9):
    """Returns, by id, the kinds confirmed before that call, in their order."""
    known = {}
    for confirmation in confirmations:
        if confirmation.after < before_call:
            known.setdefault(confirmation.name, []).append(confirmation.kind)
    return known


def check_confirmed(known, entries, submitted, uncertain=frozenset()):
    """Asserts that the recovered entries agree with each confirmation.

    `known`: kinds by id; `submitted`: as in Workload; `uncertain`: ids for which something was being
    recorded, so that the state before or after it is right.
    """
    by_name = {entry.id: entry for entry in entries.values()}
    assert list(entries) == sorted(entries)
    for name, kinds in known.items():
        entry = by_name.get(name)
        if "rejected" in kinds or "completed" in kinds:
            assert entry is None, f"{name} came back: {kinds}"
            continue
        if "accepted" not in kinds:
            continue
        if name in uncertain and entry is None:
            continue
        assert entry is not None, f"{name} is lost: {kinds}"
        body, key, cls, number = submitted[name]
        assert (entry.body, entry.key, entry.cls, entry.number) == (body, key, cls, number)
        last = [kind for kind in kinds if kind in ("begun", "cleared")][-1:]
        if last == ["begun"] and name not in uncertain:
            assert entry.begun or entry.risky_at, f"{name} may have run, and the store does not know: {kinds}"
        if "notified" in kinds:
            assert entry.end, f"{name} would get a second final status: {kinds}"


def ids_confirmed_since(confirmations, call):
    """Returns the ids confirmed at or after that call: a crash there may leave part of their record."""
    return {confirmation.name for confirmation in confirmations if confirmation.after >= call}
