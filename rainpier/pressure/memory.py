"""One account of the memory that clients fill, shared by the connections of all listeners. No I/O.

A connection may hold CONNECTION_ALLOWANCE bytes of its own: input that is not handled, and replies that are
not sent. What it holds beyond that comes out of a pool. A connection without room is not read until others
have released some, so that small requests are never affected, and the sum has a limit whatever clients send.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

CONNECTION_ALLOWANCE = 4096  # bytes
CONNECTION_MEMORY = 6144  # bytes of one connection beside what it holds: transport, session, selector
CALL_MEMORY = 24 << 10  # bytes of one call in flight: its request, its response and its connection
MESSAGE_MEMORY = 1024  # bytes of a held message beside its body
USABLE_SHARE = 0.6  # of the free memory; the rest is for fragmentation and short-lived copies
MESSAGES_SHARE = 0.7  # of the usable memory, for held messages; the rest is for clients
DEFAULT_POOL_SIZE = 64 << 20  # bytes; of a listener without a shared pool
MIN_POOL = 256 << 10  # bytes; enough for one request of the largest size
POLL_INTERVAL_S = 0.05  # between attempts of all waiting connections to go on
POLL_TIME_S = 0.005  # of such attempts in a row; then others have the event loop for POLL_PAUSE_S
POLL_PAUSE_S = 0.005
INCOMPLETE_GRACE_S = 0.3  # after which an incomplete request may be given up while others wait for memory


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How the free memory of the process is divided, in bytes."""

    clients: int  # of all connections of clients together, beyond their allowances
    messages: int  # of all held messages


def plan_memory(limit: int, resident: int, calls: int, connections: int) -> MemoryPlan:
    """Divides what the limit leaves free.

    `limit`, `resident`: bytes that the process may use and uses at its start; `calls`, `connections`: largest
    numbers of calls in flight and of connections from clients.
    """
    fixed = resident + calls * CALL_MEMORY + connections * (CONNECTION_MEMORY + CONNECTION_ALLOWANCE)
    usable = max(0.0, USABLE_SHARE * (limit - fixed))
    messages = int(MESSAGES_SHARE * usable)
    return MemoryPlan(max(MIN_POOL, int(usable) - messages), max(MIN_POOL, messages))


class Holder(Protocol):
    """A connection that holds memory of the pool, or waits for some."""

    def try_resume(self) -> bool:
        """Goes on reading if that is possible now; returns whether it no longer waits."""
        ...

    def incomplete_since(self) -> float | None:
        """Returns when the request began of which a part is held, in s; None if there is none."""
        ...

    def shed(self) -> None:
        """Gives up the incomplete request, and releases its memory."""
        ...


class MemoryPool:
    """Memory beyond the connections' allowances. `size`: bytes; `call_later(s, function)`: sets a timer."""

    def __init__(
        self, size: int, clock: Callable[[], float], call_later: Callable[[float, Callable[[], None]], object]
    ) -> None:
        self.size, self.used = size, 0  # bytes
        self.clock, self.call_later = clock, call_later
        self.holders: dict[Share, Holder] = {}  # those that hold more than their allowance
        self.waiting: dict[Holder, None] = {}  # those without room, in the order in which they began to wait
        self.polling = False

    @property
    def available(self) -> int:
        """Bytes that are free; 0 while more is held than the pool has."""
        return max(0, self.size - self.used)

    def wait(self, holder: Holder) -> None:
        """Calls `holder.try_resume` at intervals until it returns True."""
        self.waiting.setdefault(holder)
        if not self.polling:
            self.polling = True
            self.call_later(POLL_INTERVAL_S, self.poll)

    def poll(self) -> None:
        """Lets the waiting connections go on, in order; if memory stays short, sheds one request."""
        self.polling, end = False, self.clock() + POLL_TIME_S
        unseen = deque(self.waiting)
        while unseen and self.clock() < end:
            holder = unseen.popleft()
            if holder in self.waiting:
                del self.waiting[holder]
                if not holder.try_resume():
                    self.waiting[holder] = None  # behind those that this poll does not get to
        if self.waiting and not self.available:
            self.shed_largest()
        if self.waiting and not self.polling:
            self.polling = True
            self.call_later(POLL_PAUSE_S if unseen else POLL_INTERVAL_S, self.poll)

    def shed_largest(self) -> None:
        """Gives up the largest request that has been incomplete for longer than INCOMPLETE_GRACE_S."""
        latest = self.clock() - INCOMPLETE_GRACE_S
        stalled = [
            share
            for share, holder in self.holders.items()
            if (since := holder.incomplete_since()) is not None and since < latest
        ]
        if stalled:
            self.holders[max(stalled, key=lambda share: share.held)].shed()


class Share:
    """What one connection holds. It does not refer to its connection, which is freed at once when it ends."""

    __slots__ = ("held", "pool")

    def __init__(self, pool: MemoryPool) -> None:
        self.pool, self.held = pool, 0  # held: bytes

    @property
    def room(self) -> int:
        """Bytes that the connection may take on in addition."""
        return max(0, CONNECTION_ALLOWANCE - self.held) + self.pool.available

    def resize(self, size: int, holder: Holder) -> None:
        """Sets how many bytes the connection `holder` holds."""
        if size == self.held:
            return
        before, after = max(0, self.held - CONNECTION_ALLOWANCE), max(0, size - CONNECTION_ALLOWANCE)
        self.held = size
        if before == after:
            return
        self.pool.used += after - before
        if after and not before:
            self.pool.holders[self] = holder
        elif before and not after:
            del self.pool.holders[self]

    def release(self, holder: Holder) -> None:
        """Releases everything: the connection `holder` has ended."""
        self.resize(0, holder)
        self.pool.waiting.pop(holder, None)
