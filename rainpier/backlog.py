"""Messages that are held: which of one destination may go, and which are worth the most. Part of the policy.

A message that waits (for its next try, or for its key to rest) stands in a schedule by the time of that;
one behind another of its key stands nowhere until the key's line has moved on; all others stand in lanes.
A lane has messages of one class and worth, ordered by aim. Worth falls with lateness, alike for all of a
lane, so its order by worth is known without looking: those that are not late are worth the same, and the
one nearest its aim goes first; behind them the late ones, the least late first. So the best of a
destination is found among the first ones of its lanes, however many are held.
"""

import heapq
import math
from collections.abc import Iterator

from sortedcontainers import SortedList

from . import interface as i
from .interface import Effect
from .structures.schedule import Schedule

BASE = 100.0  # ms; first previous wait of the decorrelated jitter (design page)
KEY_MARGIN = 250.0  # ms before a key is forgotten after which it is not sent again: a call's way there


class Message:
    """A message held, from arrival to final answer."""

    __slots__ = (
        "aim_at", "attempts", "cls", "dest", "due", "id", "key", "lane", "not_before", "number", "out",
        "renewed", "risky_at", "risky_zone", "seq", "wait", "worth",
    )  # fmt: skip

    def __init__(self, event: i.Arrival, cls: i.MessageClass, worth: float, seq: int) -> None:
        self.id, self.dest, self.due, self.seq = event.message, event.destination, event.deadline, seq
        self.cls, self.worth, self.key = cls, worth, event.key if cls.in_order else 0
        self.number = event.cls  # of its class; cls itself may be stricter: see on_classes
        self.aim_at = event.deadline - cls.deadline + cls.aim
        self.wait, self.not_before, self.attempts, self.out = BASE, 0.0, 0, False
        self.renewed = False  # found untried at a restart: on time until its first try
        self.risky_at, self.risky_zone = math.inf, 0  # sending of the first attempt that may have run
        self.lane: Lane | None = None  # that it stands in

    def value(self, now: float, halves: bool) -> float:
        """What delivery now would earn."""
        late, floor = 0.0 if self.renewed else max(0.0, now - self.aim_at), self.cls.late_worth
        if halves:
            return self.worth * max(floor, 0.5 ** (late / max(self.cls.aim, 1.0)))
        return self.worth * (1 - (1 - floor) * min(1.0, late / max(self.due - self.aim_at, 1.0)))

    @property
    def repeat_until(self) -> float:
        """Until when it may be sent again, after an attempt that may have run."""
        if self.risky_at == math.inf or self.cls.effect is Effect.SAFE:
            return math.inf
        until = self.risky_at + self.cls.repeat_window - KEY_MARGIN
        return until if self.cls.effect is Effect.KEYED else -math.inf

    @property
    def bound_zone(self) -> int:
        """The zone that it may only go to; -1: any."""
        return self.risky_zone if self.cls.group == "zone" and self.repeat_until < math.inf else -1

    def spare_at(self) -> float:
        """When half its life is over."""
        return self.due - self.cls.deadline / 2


class Lane:
    """Messages of one class and worth, those nearest their aim first."""

    __slots__ = ("cls", "key", "number", "order", "renewed", "zone")

    def __init__(self, key: tuple, message: Message) -> None:
        self.key, self.cls, self.number, self.zone = key, message.cls, message.number, message.bound_zone
        self.order: SortedList = SortedList()  # (aim, id, message)
        self.renewed = message.renewed

    def sendable(self, now: float, halves: bool, doubtful: bool) -> Iterator[Message]:
        """Those that may go, the most worth first; of equals the one nearest its aim."""
        order = self.order
        top = self.spared(now) if doubtful and self.cls.effect is Effect.UNSAFE else len(order)
        fresh = 0 if self.cls.late_worth >= 1 or self.renewed else order.bisect_left((now,))
        for n in range(fresh, top):
            yield order[n][2]
        end = min(fresh, top)
        low = min(end, self.sunk(now, halves))
        while end > low:  # those of one aim, in order of their ids
            begin = max(low, order.bisect_left((order[end - 1][0],)))
            for n in range(begin, end):
                yield order[n][2]
            end = begin
        for n in range(low):
            yield order[n][2]

    def spared(self, now: float) -> int:
        """How many have half their life over: all of a lane live equally long past their aim."""
        order, low, high = self.order, 0, len(self.order)
        while low < high:
            middle = (low + high) // 2
            low, high = (middle + 1, high) if order[middle][2].spare_at() <= now else (low, middle)
        return low

    def sunk(self, now: float, halves: bool) -> int:
        """How many are so late that their worth falls no further."""
        floor = self.cls.late_worth
        if not halves or floor <= 0:
            return 0
        span = -math.log2(floor) * max(self.cls.aim, 1.0)
        return self.order.bisect_left((now - span,))


class Backlog:
    """What is held for one destination."""

    __slots__ = ("held", "lanes", "later")

    def __init__(self) -> None:
        self.held: dict[int, Message] = {}
        self.lanes: dict[tuple, Lane] = {}
        self.later: Schedule[int] = Schedule()

    def __len__(self) -> int:
        return len(self.held)

    def place(self, message: Message, at: float) -> None:
        """It may go from then on; at infinity: not before something happens."""
        self.unplace(message)
        if at > -math.inf:
            self.later.set(message.id, at)
            return
        key = (message.number, id(message.cls), message.worth, message.bound_zone, message.renewed)
        lane = self.lanes.get(key)
        if lane is None:
            lane = self.lanes[key] = Lane(key, message)
        lane.order.add((message.aim_at, message.id, message))
        message.lane = lane

    def unplace(self, message: Message) -> None:
        lane, message.lane = message.lane, None
        if lane is None:
            return self.later.drop(message.id)
        lane.order.remove((message.aim_at, message.id, message))
        if not lane.order:
            del self.lanes[lane.key]

    def remove(self, message: Message) -> None:
        if self.held.pop(message.id, None):
            self.unplace(message)

    def next_at(self, now: float, doubtful: bool) -> float:
        """When one more may go, by time alone; infinity: never."""
        at = self.later.first()
        for lane in self.lanes.values() if doubtful else ():
            if lane.cls.effect is Effect.UNSAFE and (n := lane.spared(now)) < len(lane.order):
                at = min(at, lane.order[n][2].spare_at())
        return at

    def best(
        self,
        now: float,
        size: int,
        zone: int,
        trial: bool,
        doubtful: bool,
        halves: bool,
        able: set[int] | None,
    ) -> list[Message]:
        """The messages of the next call, the most valuable first; trials take first what may be repeated.

        `zone`: where the call goes; `able`: numbers of the classes whose calls still fit, None: all.
        """
        heads: list[tuple] = []
        spent: list[Message] = []  # may not be sent again any more
        for lane in self.lanes.values():
            if lane.zone not in (-1, zone) or able is not None and lane.number not in able:
                continue
            waiting = lane.sendable(now, halves, doubtful)
            if (message := self.first(waiting, now, spent)) is not None:
                heads.append(rank(message, now, trial, halves) + (message, waiting))
        found: list[Message] = []
        heapq.heapify(heads)
        while heads and len(found) < size:
            message, waiting = heads[0][-2:]
            found.append(message)
            if len(found) < size and (after := self.first(waiting, now, spent)) is not None:
                heapq.heapreplace(heads, rank(after, now, trial, halves) + (after, waiting))
            else:
                heapq.heappop(heads)
        for message in spent:
            self.unplace(message)
        return found

    @staticmethod
    def first(waiting: Iterator[Message], now: float, spent: list[Message]) -> Message | None:
        for message in waiting:
            if now <= message.repeat_until:
                return message
            spent.append(message)
        return None


def rank(message: Message, now: float, trial: bool, halves: bool) -> tuple:
    return (message.cls.effect if trial else 0, -message.value(now, halves), message.aim_at, message.id)


class Least:
    """The held message that is worth the least, among those that surely never ran.

    In a class that is the one with the earliest aim, whatever the time. Built when the store runs full and
    dropped when it is half empty again, so that it costs nothing else.
    """

    def __init__(self) -> None:
        self.lanes: dict[tuple, Schedule[tuple[int, int]]] = {}

    @staticmethod
    def key(message: Message) -> tuple:
        return (message.number, id(message.cls), message.worth, message.renewed)

    def add(self, message: Message) -> None:
        lane = self.lanes.get(key := self.key(message))
        if lane is None:
            lane = self.lanes[key] = Schedule()
        lane.set((message.seq, message.id), message.aim_at)

    def drop(self, message: Message) -> None:
        if lane := self.lanes.get(self.key(message)):
            lane.drop((message.seq, message.id))

    def find(self, live: dict[int, Message], now: float, halves: bool) -> Message:
        firsts = (live[key[1]] for lane in self.lanes.values() if (key := lane.peek()) is not None)
        return min(firsts, key=lambda m: (m.value(now, halves), m.due, m.seq))
