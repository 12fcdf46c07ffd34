"""Shares the event loop among the clients of all listeners. No I/O.

A client with requests to handle waits for its turn, in which it handles a few of them. One iteration of the
event loop gives turns for a limited time, so that reads, timers and responses of receivers are not delayed. A
client that has just sent something comes before those that are still busy with what they sent earlier: one
that sends at full speed waits behind itself.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

ITERATION_S = 0.005  # of turns in one iteration of the event loop
TURN_S = 0.0005  # after which a turn ends, with the request that it is at


class Runnable(Protocol):
    """A client that takes turns."""

    def run_turn(self) -> bool:
        """Handles a few requests; returns whether there may be more, for which it needs another turn."""
        ...


class Turns:
    """The queues of clients that wait for a turn.

    `clock`: s; `call_soon(function)`: calls it in the next iteration of the event loop.
    """

    def __init__(self, clock: Callable[[], float], call_soon: Callable[[Callable[[], None]], object]) -> None:
        self.clock, self.call_soon = clock, call_soon
        self.fresh: deque[Runnable] = deque()  # have just sent something
        self.busy: deque[Runnable] = deque()  # have had a turn for what they sent
        self.scheduled = False

    def start(self, client: Runnable) -> bool:
        """Gives a client that has just sent something its turn: at once if no other waits, else soon.

        Returns whether it waits for a turn now.
        """
        if not self.fresh and not self.busy:
            if not client.run_turn():
                return False
            self.busy.append(client)
        else:
            self.fresh.append(client)
        self.schedule()
        return True

    def resume(self, client: Runnable) -> None:
        """Adds a client that can go on with what it sent earlier."""
        self.busy.append(client)
        self.schedule()

    def schedule(self) -> None:
        """Has the waiting clients run in the next iteration."""
        if not self.scheduled:
            self.scheduled = True
            self.call_soon(self.run)

    def run(self) -> None:
        """Gives turns for ITERATION_S: to all fresh clients first, but at least one to a busy one."""
        self.scheduled = False
        end = self.clock() + ITERATION_S
        try:
            if self.busy:
                self.run_next(self.busy)
            while (self.fresh or self.busy) and self.clock() < end:
                self.run_next(self.fresh or self.busy)
        finally:  # the others go on also if one client's turn fails
            if self.fresh or self.busy:
                self.schedule()

    def run_next(self, queue: deque[Runnable]) -> None:
        """Gives the first client of a queue its turn."""
        client = queue.popleft()
        if client.run_turn():
            self.busy.append(client)
