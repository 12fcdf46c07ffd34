"""Messages of each ordering key: which of them may be sent next, and until when a key pauses.

Part of the policy; without I/O. Messages and keys are numbers, key 0 means that a message has none. Times are
in ms. A message leaves its queue from any place in constant time: it is only marked, and dropped once it
reaches the head.
"""

from collections import Counter, deque

from .structures.schedule import Schedule


class KeyQueues:
    """A first-in, first-out queue for each key that has messages, and the pauses of keys."""

    __slots__ = ("lengths", "messages", "paused_until", "pause_ends", "queues")

    def __init__(self) -> None:
        self.queues: dict[int, deque[int]] = {}  # by key: messages in the order of their acceptance
        self.messages: set[int] = set()  # those that still hold a place in their queue
        self.lengths: Counter[int] = Counter()  # by key: number of those
        self.paused_until: dict[int, float] = {}  # by key: when its next message may be sent
        self.pause_ends: Schedule[int] = Schedule()

    def __contains__(self, message: int) -> bool:
        """Whether the message holds a place in a queue."""
        return message in self.messages

    def append(self, key: int, message: int) -> None:
        """Adds a message at the end of the key's queue."""
        self.queues.setdefault(key, deque()).append(message)
        self.messages.add(message)
        self.lengths[key] += 1

    def head(self, key: int) -> int | None:
        """Returns the message at the head of the key's queue; None if the key has no message."""
        queue = self.queues.get(key)
        return queue[0] if queue else None

    def remove(self, key: int, message: int) -> int | None:
        """Removes a message from the key's queue; returns the one that is at the head instead, if any.

        No effect for a message that is in no queue.
        """
        queue = self.queues.get(key)
        if queue is None or message not in self.messages:
            return None
        self.messages.discard(message)
        self.lengths[key] -= 1
        if queue[0] != message:
            return None
        while queue and queue[0] not in self.messages:
            queue.popleft()
        if queue:
            return queue[0]
        del self.queues[key], self.lengths[key]
        return None

    def pause(self, key: int, until: float) -> None:
        """Pauses a key. A pause that ends sooner than the key's present one has no effect."""
        until = max(self.paused_until.get(key, 0.0), until)
        self.paused_until[key] = until
        self.pause_ends.set(key, until)

    def pause_end(self, key: int) -> float:
        """Returns when the key's pause ends; 0 if it has none."""
        return self.paused_until.get(key, 0.0)

    def drop_ended_pauses(self, now: float) -> None:
        """Drops the pauses that have ended."""
        for key in self.pause_ends.due(now):
            del self.paused_until[key]
