"""When the next round is due, and what it will be told."""

import asyncio
import math
from collections.abc import Callable

from .. import interface as i


class Rounds:
    """Events wait for the next round, which comes a tick after the last one at the soonest."""

    def __init__(self, tick: float, run: Callable[[list[i.Event]], None]) -> None:
        """`tick`: ms; `run`: one round, with the events since the last one in their order."""
        self.loop = asyncio.get_running_loop()
        self.tick, self.run = tick, run
        self.events: list[i.Event] = []
        self.next: asyncio.TimerHandle | None = None
        self.last = -math.inf  # loop time of the last one
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by the module's token

    def push(self, event: i.Event) -> None:
        self.events.append(event)
        if self.next is None:
            at = max(self.loop.time(), self.last + self.tick / 1000)
            self.next = self.loop.call_at(at, self.begin)

    def begin(self) -> None:
        self.next, self.last = None, self.loop.time()
        events, self.events = self.events, []
        self.run(events)

    def set_timer(self, token: int, delay: float) -> None:
        """The module asks for the soonest it needs: guards against rounds for timers that are superseded."""
        if token in self.timers:
            self.timers[token].cancel()
        self.timers[token] = self.loop.call_later(delay / 1000, self.push, i.TimerDue(token))

    def close(self) -> None:
        for timer in self.timers.values():
            timer.cancel()
        if self.next is not None:
            self.next.cancel()
