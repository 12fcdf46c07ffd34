"""Messages that wait for a destination: which of them may be sent, and which have the most worth.

Part of the policy; without I/O. Times are in ms. A message that may not be sent before some time (its next
attempt, or the end of a pause of its key) is in a schedule by that time. A message behind another one in its
per-key queue is in neither schedule nor lane until it is at the head of that queue. All others are in lanes.

A lane has messages of one class and worth, ordered by aim. Worth falls with lateness, in the same way for
all messages of a lane, so that their order by worth is known without a check of each: messages that are not
late are worth the same, and the one nearest its aim goes first; behind them come the late ones, the least
late first. So the best message of a destination is one of the first messages of its lanes, and the time to
find it does not depend on how many messages wait.
"""

import heapq
import math
from collections.abc import Iterator

from sortedcontainers import SortedList

from . import interface as i
from .interface import Effect
from .structures.schedule import Schedule

BASE_RETRY_WAIT_MS = 100.0  # first previous wait of the decorrelated jitter (docs/design)
# A message is not sent again less than this before its key is forgotten, since the call takes time to arrive.
KEY_MARGIN_MS = 250.0


class Message:
    """A message from its acceptance to its final status.

    Times are on the timeline of the sender, in ms. `aim_until` is the time until which delivery has full
    worth.
    """

    __slots__ = (
        "aim_until", "attempts", "class_number", "cls", "deadline", "destination", "id", "in_flight",
        "key", "lane", "maybe_ran_at", "maybe_ran_zone", "not_before", "resumed_untried", "retry_wait",
        "sequence", "worth",
    )  # fmt: skip

    def __init__(self, event: i.Arrival, cls: i.MessageClass, worth: float, sequence: int) -> None:
        self.id = event.message
        self.destination = event.destination
        self.deadline = event.deadline
        self.sequence = sequence  # number in the order of acceptance
        # Only messages of classes that are delivered in order have a key here; 0: none.
        self.cls, self.worth, self.key = cls, worth, event.key if cls.in_order else 0
        # The number of its class. `cls` itself may be stricter: see Sender.on_classes.
        self.class_number = event.cls
        self.aim_until = event.deadline - cls.deadline + cls.aim
        # retry_wait: the last wait between attempts, ms; not_before: when the next attempt may begin;
        # attempts: number of those begun.
        self.retry_wait, self.not_before, self.attempts, self.in_flight = BASE_RETRY_WAIT_MS, 0.0, 0, False
        # Whether it was accepted before a restart and not tried yet: then it counts as on time.
        self.resumed_untried = False
        # Time (ms) and zone of the first attempt that may have taken effect; infinity: none.
        self.maybe_ran_at, self.maybe_ran_zone = math.inf, 0
        self.lane: Lane | None = None  # the lane that it is in

    def worth_at(self, now: float, halving: bool) -> float:
        """Returns the worth of a delivery now.

        halving: worth halves with each further aim; otherwise it falls linearly until the deadline.
        """
        late, floor = 0.0 if self.resumed_untried else max(0.0, now - self.aim_until), self.cls.late_worth
        if halving:
            return self.worth * max(floor, 0.5 ** (late / max(self.cls.aim, 1.0)))
        return self.worth * (1 - (1 - floor) * min(1.0, late / max(self.deadline - self.aim_until, 1.0)))

    @property
    def repeat_until(self) -> float:
        """Time (ms) until which it may be sent again, after an attempt that may have taken effect."""
        if self.maybe_ran_at == math.inf or self.cls.effect is Effect.SAFE:
            return math.inf
        zone_lost = self.cls.group == "zone" and self.maybe_ran_zone == i.UNKNOWN_ZONE
        if self.cls.effect is not Effect.KEYED or zone_lost:
            return -math.inf
        return self.maybe_ran_at + self.cls.repeat_window - KEY_MARGIN_MS

    @property
    def bound_zone(self) -> int | None:
        """The only zone that it may be sent to, since its key is known there; None: any."""
        return self.maybe_ran_zone if self.cls.group == "zone" and self.repeat_until < math.inf else None

    def half_life_at(self) -> float:
        """Returns the time at which half of its life, from its submission to its deadline, is over.

        Until then unsafe messages are not sent to a destination that is likely to fail.
        """
        return self.deadline - self.cls.deadline / 2


class Lane:
    """Messages of one class and worth, ordered by aim.

    They are also equal in their rules (Message.cls), bound_zone and resumed_untried; see Backlog.schedule.
    """

    __slots__ = ("cls", "key", "class_number", "by_aim", "resumed_untried", "zone")

    def __init__(self, key: tuple, message: Message) -> None:
        self.key = key
        self.cls = message.cls
        self.class_number = message.class_number
        self.zone = message.bound_zone
        self.by_aim: SortedList = SortedList()  # (aim_until, id, message)
        self.resumed_untried = message.resumed_untried

    def in_order_of_worth(self, now: float, halving: bool, uncertain: bool) -> Iterator[Message]:
        """Yields the messages that may be sent, the most worth first; of equals the one nearest its aim.

        These are the ones on time, then late ones from the least late on, then those whose worth falls no
        further. uncertain: unsafe messages are left out until half of their life is over, since calls to the
        destination fail and may have taken effect.
        """
        by_aim = self.by_aim
        stop = (
            self.count_past_half_life(now) if uncertain and self.cls.effect is Effect.UNSAFE else len(by_aim)
        )
        on_time_from = 0 if self.cls.late_worth >= 1 or self.resumed_untried else by_aim.bisect_left((now,))
        for n in range(on_time_from, stop):
            yield by_aim[n][2]
        late_stop = min(on_time_from, stop)
        floor_stop = min(late_stop, self.count_at_floor(now, halving))
        while late_stop > floor_stop:  # one aim at a time, since messages of equal aim go by their ids
            begin = max(floor_stop, by_aim.bisect_left((by_aim[late_stop - 1][0],)))
            for n in range(begin, late_stop):
                yield by_aim[n][2]
            late_stop = begin
        for n in range(floor_stop):
            yield by_aim[n][2]

    def count_past_half_life(self, now: float) -> int:
        """Returns the number of messages with half of their life over.

        Found by binary search, since the time from half of the life to the aim is the same for all messages
        of a lane.
        """
        by_aim, low, high = self.by_aim, 0, len(self.by_aim)
        while low < high:
            middle = (low + high) // 2
            low, high = (middle + 1, high) if by_aim[middle][2].half_life_at() <= now else (low, middle)
        return low

    def count_at_floor(self, now: float, halving: bool) -> int:
        """Returns the number of messages whose worth has halved down to its lower bound, late_worth."""
        floor = self.cls.late_worth
        if not halving or floor <= 0:
            return 0
        until_floor = -math.log2(floor) * max(self.cls.aim, 1.0)
        return self.by_aim.bisect_left((now - until_floor,))


class Backlog:
    """Messages that wait for one destination."""

    __slots__ = ("messages", "lanes", "delayed")

    def __init__(self) -> None:
        self.messages: dict[int, Message] = {}  # by id; those behind others of their key, too
        self.lanes: dict[tuple, Lane] = {}  # by Lane.key; none is empty
        self.delayed: Schedule[int] = Schedule()  # by id: when a message may be sent

    def __len__(self) -> int:
        return len(self.messages)

    def schedule(self, message: Message, at: float) -> None:
        """Lets a message be sent from time `at` on; -infinity: now; infinity: not before another event."""
        self.unschedule(message)
        if at > -math.inf:
            self.delayed.set(message.id, at)
            return
        key = (
            message.class_number,
            id(message.cls),
            message.worth,
            message.bound_zone,
            message.resumed_untried,
        )
        lane = self.lanes.get(key)
        if lane is None:
            lane = self.lanes[key] = Lane(key, message)
        lane.by_aim.add((message.aim_until, message.id, message))
        message.lane = lane

    def unschedule(self, message: Message) -> None:
        """Removes a message from its lane, or from the schedule of delayed messages."""
        lane, message.lane = message.lane, None
        if lane is None:
            return self.delayed.drop(message.id)
        lane.by_aim.remove((message.aim_until, message.id, message))
        if not lane.by_aim:
            del self.lanes[lane.key]

    def remove(self, message: Message) -> None:
        """Removes a message that waits no more."""
        if self.messages.pop(message.id, None):
            self.unschedule(message)

    def has_bound_messages(self) -> bool:
        """Whether messages that may be sent are bound to a zone."""
        return any(lane.zone is not None for lane in self.lanes.values())

    def next_at(self, now: float, uncertain: bool) -> float:
        """Returns the time at which one more message may be sent, if nothing happens before; infinity: none.

        uncertain: see Lane.in_order_of_worth.
        """
        at = self.delayed.first()
        for lane in self.lanes.values() if uncertain else ():
            if lane.cls.effect is Effect.UNSAFE and (n := lane.count_past_half_life(now)) < len(lane.by_aim):
                at = min(at, lane.by_aim[n][2].half_life_at())
        return at

    def next_batch(
        self,
        now: float,
        size: int,
        zone: int,
        is_probe: bool,
        uncertain: bool,
        halving: bool,
        fitting_classes: set[int] | None,
    ) -> list[Message]:
        """Returns the messages of the next call, the most worth first; probe calls prefer repeatable ones.

        size: most messages of the call; zone: where the call goes; fitting_classes: numbers of the classes
        whose calls still fit in before the process ends, None: all; uncertain: see Lane.in_order_of_worth.
        """
        # A heap with the next message of each lane: (*selection_key, message, the rest of its lane).
        heads: list[tuple] = []
        expired: list[Message] = []  # must not be sent again, see Message.repeat_until
        for lane in self.lanes.values():
            if (
                lane.zone not in (None, zone)
                or fitting_classes is not None
                and lane.class_number not in fitting_classes
            ):
                continue
            remaining = lane.in_order_of_worth(now, halving, uncertain)
            if (message := self.first_repeatable(remaining, now, expired)) is not None:
                heads.append(selection_key(message, now, is_probe, halving) + (message, remaining))
        found: list[Message] = []
        heapq.heapify(heads)
        while heads and len(found) < size:
            message, remaining = heads[0][-2:]
            found.append(message)
            if (
                len(found) < size
                and (following := self.first_repeatable(remaining, now, expired)) is not None
            ):
                heapq.heapreplace(
                    heads, selection_key(following, now, is_probe, halving) + (following, remaining)
                )
            else:
                heapq.heappop(heads)
        for message in expired:
            self.unschedule(message)
        return found

    @staticmethod
    def first_repeatable(remaining: Iterator[Message], now: float, expired: list[Message]) -> Message | None:
        """Returns the next message that may still be sent; appends those that may not to `expired`."""
        for message in remaining:
            if now <= message.repeat_until:
                return message
            expired.append(message)
        return None


def selection_key(message: Message, now: float, is_probe: bool, halving: bool) -> tuple:
    """Returns the sort key by which messages are chosen for a call, the smallest first.

    Probe calls (is_probe) take messages first that may be repeated. Then the most worth goes first, and of
    equals the one nearest its aim.
    """
    return (
        message.cls.effect if is_probe else 0,
        -message.worth_at(now, halving),
        message.aim_until,
        message.id,
    )


class LeastWorth:
    """Finds the message with the least worth, among those of which no attempt can have taken effect.

    Within a lane that is the one with the earliest aim, at any time. Sender.on_arrival builds it when nearly
    Settings.max_open messages are held, and drops it below half of them, so that it costs nothing otherwise.
    """

    def __init__(self) -> None:
        # By lane_key: (sequence, id) of each message, by aim. Messages of all destinations share a lane.
        self.lanes: dict[tuple, Schedule[tuple[int, int]]] = {}

    @staticmethod
    def lane_key(message: Message) -> tuple:
        """Returns what all messages of a lane have in common."""
        return (message.class_number, id(message.cls), message.worth, message.resumed_untried)

    def add(self, message: Message) -> None:
        """Adds a message of which no attempt can have taken effect."""
        lane = self.lanes.get(key := self.lane_key(message))
        if lane is None:
            lane = self.lanes[key] = Schedule()
        lane.set((message.sequence, message.id), message.aim_until)

    def drop(self, message: Message) -> None:
        """Removes the message, if it is there."""
        if lane := self.lanes.get(self.lane_key(message)):
            lane.drop((message.sequence, message.id))

    def find(self, messages: dict[int, Message], now: float, halving: bool) -> Message:
        """Returns the message with the least worth now; of equals the one with the earliest deadline."""
        firsts = (messages[key[1]] for lane in self.lanes.values() if (key := lane.peek()) is not None)
        return min(firsts, key=lambda m: (m.worth_at(now, halving), m.deadline, m.sequence))
