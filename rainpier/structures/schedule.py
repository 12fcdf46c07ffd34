"""A schedule of due times by key: a binary heap with lazy deletion and a bounded number of stale entries."""

import heapq
import math
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=int | str | tuple)
MIN_STALE = 64  # stale heap entries that are allowed besides one for each key


class Schedule(Generic[Key]):
    """Maps each key to one due time. `set` and `drop` cost O(log n) amortised, `first` O(1) amortised.

    A key that is set again or dropped leaves a stale entry in the heap, which is discarded when it reaches
    the top. The heap is rebuilt once more than half of it is stale, so that its size never exceeds
    2 n + MIN_STALE.
    """

    __slots__ = ("heap", "times")

    def __init__(self) -> None:
        self.heap: list[tuple[float, Key]] = []  # due times and keys; stale unless `times` has the same
        self.times: dict[Key, float] = {}  # due time by key

    def __len__(self) -> int:
        return len(self.times)

    def __contains__(self, key: Key) -> bool:
        return key in self.times

    def set(self, key: Key, at: float) -> None:
        """Sets the due time of the key, new or not; infinity removes the key."""
        if at == math.inf:
            self.times.pop(key, None)
            return
        if self.times.get(key) == at:
            return
        self.times[key] = at
        heapq.heappush(self.heap, (at, key))
        if len(self.heap) > 2 * len(self.times) + MIN_STALE:
            self.heap = [(due_at, each) for each, due_at in self.times.items()]
            heapq.heapify(self.heap)

    def drop(self, key: Key) -> None:
        """Removes the key, if it is there."""
        self.times.pop(key, None)

    def first(self) -> float:
        """Returns the earliest due time; infinity if the schedule is empty."""
        heap, times = self.heap, self.times
        while heap and times.get(heap[0][1]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def peek(self) -> Key | None:
        """Returns the key that is due first, the smallest key among equals; None if the schedule is empty."""
        return self.heap[0][1] if self.first() < math.inf else None

    def due(self, now: float, most: int | None = None) -> list[Key]:
        """Removes and returns the keys that are due by `now`, earliest first; at most `most` of them."""
        found: list[Key] = []
        if not self.heap or self.heap[0][0] > now:  # the usual case, without the cost of `first`
            return found
        while self.first() <= now and len(found) != most:
            key = heapq.heappop(self.heap)[1]
            del self.times[key]
            found.append(key)
        return found
