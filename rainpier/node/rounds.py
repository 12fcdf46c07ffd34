"""Scheduling of rounds: in each, the policy decides on the events queued since the last one."""

import asyncio
import math
from collections.abc import Callable

from .. import interface as i


class Rounds:
    """Queues events for the next round. Two rounds begin at least one tick apart."""

    def __init__(self, tick: float, run: Callable[[list[i.Event]], None]) -> None:
        """`tick`: ms. `run`: runs one round with the events since the last one, in their order."""
        self.loop = asyncio.get_running_loop()
        self.tick, self.run = tick, run
        self.events: list[i.Event] = []
        self.next_round: asyncio.TimerHandle | None = None
        self.last_begun_at = -math.inf  # loop time, s
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by the policy's timer token

    def push(self, event: i.Event) -> None:
        """Queues an event and schedules a round if none is scheduled."""
        self.events.append(event)
        if self.next_round is None:
            at = max(self.loop.time(), self.last_begun_at + self.tick / 1000)
            self.next_round = self.loop.call_at(at, self.begin)

    def begin(self) -> None:
        """Runs the scheduled round with the events queued so far."""
        self.next_round, self.last_begun_at = None, self.loop.time()
        events, self.events = self.events, []
        self.run(events)

    def set_timer(self, token: int, delay: float) -> None:
        """Pushes TimerDue after `delay` ms.

        Replaces an earlier timer of the same token: the policy asks for the earliest time that it needs, so a
        superseded timer would only cause an empty round.
        """
        if token in self.timers:
            self.timers[token].cancel()
        self.timers[token] = self.loop.call_later(delay / 1000, self.push, i.TimerDue(token))

    def close(self) -> None:
        """Cancels the scheduled round and all timers."""
        for timer in self.timers.values():
            timer.cancel()
        if self.next_round is not None:
            self.next_round.cancel()
