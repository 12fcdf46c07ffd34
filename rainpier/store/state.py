"""The state that the store's records add up to. Does no I/O: records go in, the state comes out."""

import json
import struct
from dataclasses import dataclass, field

from ..interface import Effect, Outcome
from . import records as codec
from .clock import ClockAnchor, ClockReading
from .destinations import Destinations, decode, moved_ids
from .entry import Entry
from .records import Kind
from .routes import destination_of, move_destinations

ClassTerms = tuple[str, int, str, float]  # a class version: name, effect, group, repeat window in ms
UNKNOWN_TIME = 1.0  # Unix ms, long ago: stands for the start of an attempt whose time is not known any more
# For which the id of a message that may have run, and may not run again, is remembered beyond its deadline: a
# copy of its submission may be read late, or come again from a client that gave up waiting.
RESUBMISSION_TIME_MS = 30_000.0
CLOCK_TOLERANCE_MS = 1000.0  # a clock this far behind the last record does not count as set back


@dataclass(slots=True, frozen=True)
class KeyPause:
    """Pause of an ordering key after a call that may still be running at its receiver.

    `call_end`: when the call ended, or by when it ends at the latest, Unix ms; `duration`: ms from then on.
    """

    call_end: float
    duration: float

    @property
    def until(self) -> float:
        """The end of the pause, Unix ms."""
        return self.call_end + self.duration


@dataclass
class State:
    """Everything that the store keeps, and for each part the segment that holds its record."""

    entries: dict[int, Entry] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)  # by message id
    # By id of a completed message: until when it is remembered, Unix ms.
    completed_until: dict[str, float] = field(default_factory=dict)
    classes: dict[int, ClassTerms] = field(default_factory=dict)  # by the number that records refer to
    destinations: Destinations = field(default_factory=dict)  # by name; removed ones while they are in use
    numbers_by_destination_id: dict[int, int] = field(default_factory=dict)
    retry_after: dict[str, float] = field(default_factory=dict)  # retry-after deadlines by route, Unix ms
    outages: dict[str, float] = field(default_factory=dict)  # by route: when last observed, Unix ms
    key_pauses: dict[int, KeyPause] = field(default_factory=dict)  # by ordering key, the oldest record first
    next_number: int = 1  # for the next message
    start_count: int = 0  # processes that have used this store
    latest_time: float = 0.0  # latest time in any record, Unix ms
    imported_journal: tuple[int, int] | None = None  # size and checksum of the journal of 0.1.0
    anchor: ClockAnchor | None = None  # of the latest process that could identify its boot
    home_segment: dict[int, int] = field(default_factory=dict)  # by message: segment of its MESSAGE record
    record_seq: dict[int, int] = field(default_factory=dict)  # by message: that record's sequence number
    completed_id_segment: dict[str, int] = field(default_factory=dict)  # by id: segment that remembers it
    names_segment: int = 0  # the segment with the latest NAMES record
    orphans: set[int] = field(default_factory=set)  # messages that records refer to without a MESSAGE record
    # The ids in completed_until, the oldest first, by whether a second run of the message would do harm.
    repeatable_ids: dict[str, None] = field(default_factory=dict)
    guarded_ids: dict[str, None] = field(default_factory=dict)
    max_completed_ids: int = 10_000  # limit for repeatable_ids: the latest are kept
    max_guarded_ids: int = 20_000  # limit for guarded_ids: the latest are kept
    # Limit for retry-after deadlines, for outages and for pauses of keys: the latest are kept.
    max_routes: int = 4096
    clock_rollback_ms: float = 0.0  # total by which the clock was set back

    def class_number(self, terms: ClassTerms) -> int | None:
        """Returns the number of a class version; None if no record has declared it."""
        return next((number for number, known in self.classes.items() if known == terms), None)

    # --- records ---

    def apply(self, kind: int, data: bytes, segment: int, seq: int) -> None:
        """Applies one record. Raises Unreadable or another ValueError if the payload does not fit it."""
        try:
            self.HANDLERS[Kind(kind)](self, data, segment, seq)
        except (struct.error, KeyError, IndexError, TypeError) as error:
            raise codec.Unreadable(repr(error)) from error

    def on_class(self, data: bytes, segment: int, seq: int) -> None:
        """Declares a class version under its number."""
        number, effect, group, window = codec.CLASS.unpack_from(data)
        self.classes[number] = (data[codec.CLASS.size :].decode(), effect, codec.GROUPS[group], window)

    def on_message(self, data: bytes, segment: int, seq: int) -> None:
        """Adds a message."""
        self.add(codec.decode_message(data, self.classes), segment, seq)

    def add(self, entry: Entry, segment: int, seq: int) -> None:
        """Adds a message, whose MESSAGE record is in that segment under that sequence number."""
        self.entries[entry.number], self.numbers[entry.id] = entry, entry.number
        self.home_segment[entry.number], self.record_seq[entry.number] = segment, seq
        self.next_number = max(self.next_number, entry.number + 1)
        self.orphans.discard(entry.number)

    def entry_or_orphan(self, number: int) -> Entry | None:
        """Returns the message a record refers to; None if its MESSAGE record has not been read (yet).

        That is normal for a relocated message: its newer MESSAGE record includes all earlier progress.
        """
        entry = self.entries.get(number)
        if entry is None:
            self.orphans.add(number)
        return entry

    def on_begin(self, data: bytes, segment: int, seq: int) -> None:
        """Marks attempts as begun by an earlier build, which did not record where."""
        self.begin_attempts(codec.decode_attempt(Kind.BEGIN, data))

    def on_attempt(self, data: bytes, segment: int, seq: int) -> None:
        """Marks attempts as begun, without an outcome so far."""
        self.begin_attempts(codec.decode_attempt(Kind.ATTEMPT, data))

    def begin_attempts(self, record: codec.AttemptRecord) -> None:
        """Marks the attempts of a record as begun."""
        self.latest_time = max(self.latest_time, record.time)
        for number, attempts in record.attempts:
            if entry := self.entry_or_orphan(number):
                entry.attempts, entry.begun, entry.begun_place = attempts, record.time, record.place

    def on_result(self, data: bytes, segment: int, seq: int) -> None:
        """Notes the outcomes of attempts."""
        for number, outcome in codec.unpack_items(data, codec.RESULT):
            if entry := self.entry_or_orphan(number):
                entry.record_outcome(Outcome(outcome))

    def on_end(self, data: bytes, segment: int, seq: int) -> None:
        """Sets a final status that was decided and may not have been reported yet."""
        number, end, retry = codec.END.unpack(data)
        if entry := self.entry_or_orphan(number):
            entry.end, entry.retry = codec.ENDS[end], retry

    def on_over(self, data: bytes, segment: int, seq: int) -> None:
        """Drops messages that are completed."""
        for number in codec.decode_numbers(data):
            self.forget(number)

    def forget(self, number: int) -> None:
        """Drops a completed message; its id is remembered until the message's deadline at least."""
        self.orphans.discard(number)
        entry = self.entries.pop(number, None)
        if entry is None:
            return
        self.numbers.pop(entry.id, None)
        self.record_seq.pop(number, None)
        repeatable = entry.effect == Effect.SAFE
        may_return = not repeatable and entry.end != codec.HANDED_BACK
        until = entry.deadline + RESUBMISSION_TIME_MS * may_return
        self.remember_completed(entry.id, until, self.home_segment.pop(number), repeatable)

    def remember_completed(
        self, message_id: str, until: float, segment: int, repeatable: bool = False
    ) -> None:
        """Remembers a completed id, and drops the oldest of its kind beyond the limit.

        `repeatable`: a second run of the message does no harm. Such ids never displace the others.
        """
        self.forget_completed(message_id)
        self.completed_until[message_id], self.completed_id_segment[message_id] = until, segment
        ids, limit = (
            (self.repeatable_ids, self.max_completed_ids)
            if repeatable
            else (self.guarded_ids, self.max_guarded_ids)
        )
        ids[message_id] = None
        if len(ids) > limit:
            self.forget_completed(next(iter(ids)))

    def forget_completed(self, message_id: str) -> None:
        """Drops a completed id, if it is remembered."""
        self.completed_until.pop(message_id, None)
        self.completed_id_segment.pop(message_id, None)
        self.repeatable_ids.pop(message_id, None)
        self.guarded_ids.pop(message_id, None)

    def can_guard(self, now: float) -> bool:
        """Whether the id of one more message can be remembered without dropping one before its deadline.

        Drops one beyond its deadline if that is needed.
        """
        if len(self.guarded_ids) + len(self.entries) < self.max_guarded_ids:
            return True
        oldest = next(iter(self.guarded_ids), None)
        if oldest is None or self.completed_until[oldest] - RESUBMISSION_TIME_MS > now:
            return False
        self.forget_completed(oldest)
        return True

    def on_seen(self, data: bytes, segment: int, seq: int) -> None:
        """Remembers the id of a completed message."""
        until, repeatable = codec.SEEN.unpack_from(data)
        message_id = data[codec.SEEN.size :].decode()
        if (number := self.numbers.get(message_id)) is not None:  # its OVER record was lost by a failed fsync
            self.forget(number)
        self.remember_completed(message_id, until, segment, bool(repeatable))

    def on_next(self, data: bytes, segment: int, seq: int) -> None:
        """Raises the number of the next message, so that no number is used twice."""
        self.next_number = max(self.next_number, codec.U64.unpack(data)[0])

    def on_names(self, data: bytes, segment: int, seq: int) -> None:
        """Sets the destinations."""
        self.apply_destinations(decode(json.loads(data)), segment)

    def apply_destinations(self, destinations: Destinations, segment: int) -> None:
        """Replaces the destinations; moves messages and routes of those that have got another id."""
        moved = moved_ids(self.destinations, destinations)
        if moved:
            for entry in self.entries.values():
                entry.destination = moved.get(entry.destination, entry.destination)
            self.retry_after = move_destinations(self.retry_after, moved)
            self.outages = move_destinations(self.outages, moved)
        self.destinations, self.names_segment = destinations, segment
        self.numbers_by_destination_id = {known.id: known.number for known in destinations.values()}

    @property
    def destination_numbers(self) -> dict[str, int]:
        """The destinations' numbers by name."""
        return {name: destination.number for name, destination in self.destinations.items()}

    def destination_ids_in_use(self) -> set[int]:
        """Returns the ids of destinations that messages or routes refer to; of routes that still matter."""
        waiting = (route for route, until in self.retry_after.items() if until > self.latest_time)
        of_routes = {destination_of(route) for route in (*waiting, *self.outages)}
        return {entry.destination for entry in self.entries.values()} | (of_routes - {None})

    def on_bind(self, data: bytes, segment: int, seq: int) -> None:
        """Replaces the effect, group and window of messages."""
        _, effect, group, window = self.classes[codec.BIND.unpack_from(data)[0]]
        for number in codec.decode_numbers(data, codec.BIND.size):
            if entry := self.entry_or_orphan(number):
                entry.effect, entry.group, entry.window = effect, group, window

    def on_wait(self, data: bytes, segment: int, seq: int) -> None:
        """Sets a route's retry-after deadline."""
        (until,) = codec.TIME.unpack_from(data)
        self.set_route_time(self.retry_after, data[codec.TIME.size :].decode(), until)

    def on_outage(self, data: bytes, segment: int, seq: int) -> None:
        """Notes that a route's outage was observed, or (time 0) that it ended."""
        (time,) = codec.TIME.unpack_from(data)
        route = data[codec.TIME.size :].decode()
        self.latest_time = max(self.latest_time, time)
        if time:
            self.set_route_time(self.outages, route, time)
        else:
            self.outages.pop(route, None)

    def set_route_time(self, times: dict[str, float], route: str, time: float) -> None:
        """Sets a route's time in `times`, and drops the entry that was set longest ago beyond the limit."""
        times.pop(route, None)
        times[route] = time
        if len(times) > self.max_routes:
            del times[next(iter(times))]

    def on_key_pause(self, data: bytes, segment: int, seq: int) -> None:
        """Sets the pause of an ordering key."""
        key, call_end, duration = codec.KEY_PAUSE.unpack(data)
        self.set_key_pause(key, KeyPause(call_end, duration))

    def set_key_pause(self, key: int, pause: KeyPause) -> None:
        """Sets a key's pause. Drops those that are over, and the one set longest ago beyond the limit."""
        pauses = self.key_pauses
        pauses.pop(key, None)
        pauses[key] = pause
        while pauses and self.is_droppable(oldest := next(iter(pauses))):
            del pauses[oldest]

    def is_droppable(self, key: int) -> bool:
        """Whether the pause of this key is over, or there are more pauses than are kept."""
        return self.key_pauses[key].until <= self.latest_time or len(self.key_pauses) > self.max_routes

    def on_start(self, data: bytes, segment: int, seq: int) -> None:
        """Notes the start of a process and its time."""
        start_count, time = codec.START.unpack(data)
        self.start_count = max(self.start_count, start_count)
        self.apply_start_time(time)

    def time_at(self, reading: ClockReading | None, wall: float) -> float:
        """Returns the timeline's time, ms: by the monotonic clock within one boot, else by the wall clock."""
        time = self.anchor.timeline_at(reading) if self.anchor is not None and reading is not None else None
        return wall if time is None else max(time, self.latest_time)

    def apply_start_time(self, now: float) -> None:
        """Takes the time at which a process started, ms.

        If the clock was set back, the time that passed since the last record is unknown: deadlines are
        shifted as if none had passed, and attempts that may have run get a time long ago.
        """
        rollback = self.latest_time - now
        if rollback <= CLOCK_TOLERANCE_MS:
            self.latest_time = max(self.latest_time, now)
            return
        self.latest_time, self.clock_rollback_ms = now, self.clock_rollback_ms + rollback
        for entry in self.entries.values():
            entry.deadline -= rollback  # as if no time had passed, so that no message lives longer
            if entry.risky_at:  # repeat windows count from here, and nothing proves that one is still open
                entry.risky_at = UNKNOWN_TIME
            if entry.begun:
                entry.begun = UNKNOWN_TIME
        self.retry_after = {route: until - rollback for route, until in self.retry_after.items()}
        self.outages = dict.fromkeys(self.outages, now)
        self.key_pauses = {
            key: KeyPause(pause.call_end - rollback, pause.duration) for key, pause in self.key_pauses.items()
        }

    def on_clock(self, data: bytes, segment: int, seq: int) -> None:
        """Sets the clock anchor."""
        self.anchor = codec.decode_anchor(data)

    def on_upgraded(self, data: bytes, segment: int, seq: int) -> None:
        """Notes the journal of 0.1.0 that the store was converted from."""
        self.imported_journal = codec.UPGRADED.unpack(data)

    HANDLERS = {
        Kind.CLASS: on_class, Kind.MESSAGE: on_message, Kind.BEGIN: on_begin, Kind.RESULT: on_result,
        Kind.END: on_end, Kind.OVER: on_over, Kind.SEEN: on_seen, Kind.NEXT: on_next, Kind.NAMES: on_names,
        Kind.BIND: on_bind, Kind.WAIT: on_wait, Kind.OUTAGE: on_outage, Kind.START: on_start,
        Kind.UPGRADED: on_upgraded, Kind.CLOCK: on_clock, Kind.KEY_PAUSE: on_key_pause,
        Kind.ATTEMPT: on_attempt,
    }  # fmt: skip
