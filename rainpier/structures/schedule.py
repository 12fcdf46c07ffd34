"""Keys by the time at which they are due: a binary heap with lazy deletion and bounded waste."""

import heapq
import math
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=int | tuple)
SPARE = 64  # stale heap entries that are kept in any case


class Schedule(Generic[Key]):
    """Each key has one time at most. `set` and `drop` cost O(log n) amortised, `first` O(1) amortised.

    A key that is set again or dropped leaves its old entry in the heap, where it is passed over later;
    the heap is built anew once more than half of it is stale, so that it never holds over 2 n + SPARE.
    """

    __slots__ = ("heap", "times")

    def __init__(self) -> None:
        self.heap: list[tuple[float, Key]] = []
        self.times: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self.times)

    def __contains__(self, key: Key) -> bool:
        return key in self.times

    def set(self, key: Key, at: float) -> None:
        """The key is due then, and at no other time; at infinity: never."""
        if at == math.inf:
            self.times.pop(key, None)
            return
        if self.times.get(key) == at:
            return
        self.times[key] = at
        heapq.heappush(self.heap, (at, key))
        if len(self.heap) > 2 * len(self.times) + SPARE:
            self.heap = [(time, name) for name, time in self.times.items()]
            heapq.heapify(self.heap)

    def drop(self, key: Key) -> None:
        """The key is due no more; one that is not there is no mistake."""
        self.times.pop(key, None)

    def first(self) -> float:
        """The earliest time; infinity where there is none."""
        heap, times = self.heap, self.times
        while heap and times.get(heap[0][1]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def peek(self) -> Key | None:
        """The key that is due first, the smallest of equals."""
        return self.heap[0][1] if self.first() < math.inf else None

    def due(self, now: float, most: int | None = None) -> list[Key]:
        """Take out the keys whose time has come, the earliest first; `most` of them, or all."""
        found: list[Key] = []
        if not self.heap or self.heap[0][0] > now:  # as nearly always
            return found
        while self.first() <= now and len(found) != most:
            key = heapq.heappop(self.heap)[1]
            del self.times[key]
            found.append(key)
        return found
