"""The largest of many values that fall at different speeds: a kinetic segment tree.

Each entry's value is level until some time, then falls in a straight line. An inner node keeps which of its
two children is larger, and until when that surely holds: until their lines cross, or one of them begins to
fall, or something below changes (Basch, Guibas and Hershberger, "Data structures for mobile data", 1999:
certificates and their failure times). Asking for the largest repairs only what has run out since. `set` and
`drop` cost O(log n); all repairs between them O(log^2 n) for each line, amortised. Looking at every entry
would cost O(n) each time.
"""

import math

Line = tuple[float, float, float]  # value, fall, since
NOTHING: Line = (-math.inf, 0.0, math.inf)
NEAR = 1e-9  # relative: values closer than this are equal, so that rounding decides nothing


class Kinetic:
    """Values by integer key. Time only moves on. Of equal values the smallest key wins."""

    __slots__ = ("fails", "keys", "lines", "places", "size", "spare", "winners")

    def __init__(self) -> None:
        self.places: dict[int, int] = {}  # key: its leaf
        self.clear()

    def clear(self) -> None:
        self.places.clear()
        self.size = 4
        self.build([])

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, key: int) -> bool:
        return key in self.places

    def build(self, kept: list[tuple[int, Line]]) -> None:
        """A tree of self.size leaves with the lines that are kept; nothing is chosen yet."""
        self.keys: list[int] = [-1] * self.size
        self.lines: list[Line] = [NOTHING] * self.size
        self.winners = [-1] * (2 * self.size)  # by node, root 1: the leaf of the largest, -1: none
        self.fails = [math.inf] * (2 * self.size)  # by node: when its choice has to be looked at again
        self.spare = list(range(self.size - 1, -1, -1))
        for key, line in kept:
            self.put(key, line)

    def resize(self, size: int, now: float) -> None:
        kept = [(key, self.lines[leaf]) for key, leaf in self.places.items()]
        self.places, self.size = {}, size
        self.build(kept)
        for node in range(size - 1, 0, -1):
            self.choose(node, now)

    def set(self, key: int, now: float, value: float, fall: float, since: float) -> None:
        """The key is worth `value` until `since`, and from then on `fall` less for each unit of time."""
        if key not in self.places and not self.spare:
            self.resize(2 * self.size, now)
        self.climb(self.put(key, (value, fall, since)), now)

    def set_all(self, now: float, lines: list[tuple[int, Line]]) -> None:
        """Many at once, in O(n) together with those that are there."""
        size = self.size
        while size < len(self.places) + len(lines):
            size *= 2
        if size != self.size:
            self.resize(size, now)
        for key, line in lines:
            self.put(key, line)
        for node in range(self.size - 1, 0, -1):
            self.choose(node, now)

    def put(self, key: int, line: Line) -> int:
        leaf = self.places.get(key)
        if leaf is None:
            leaf = self.places[key] = self.spare.pop()
            self.keys[leaf] = key
        self.lines[leaf] = line
        self.winners[self.size + leaf] = leaf
        return leaf

    def drop(self, key: int, now: float) -> None:
        """The key is worth nothing any more; one that is not there is no mistake."""
        leaf = self.places.pop(key, None)
        if leaf is None:
            return
        self.keys[leaf], self.lines[leaf], self.winners[self.size + leaf] = -1, NOTHING, -1
        self.spare.append(leaf)
        if self.size > 4 and len(self.places) < self.size // 8:
            self.resize(self.size // 4, now)
        else:
            self.climb(leaf, now)

    def best(self, now: float) -> int | None:
        """The key of the largest value now; None where there is none."""
        if self.fails[1] <= now:
            self.repair(now)
        leaf = self.winners[1]
        return None if leaf < 0 else self.keys[leaf]

    def value(self, key: int, now: float) -> float:
        return self.at(self.places[key], now)

    # --- nodes ---

    def at(self, leaf: int, now: float) -> float:
        value, fall, since = self.lines[leaf]
        return value - fall * (now - since) if now > since else value

    def climb(self, leaf: int, now: float) -> None:
        """Choose anew above a leaf that changed, as far up as that makes a difference."""
        node, winners, fails = (self.size + leaf) >> 1, self.winners, self.fails
        while node:
            before, until = winners[node], fails[node]
            self.choose(node, now)
            if winners[node] == before != leaf and fails[node] == until:
                return  # it was not the largest here before, and is not now
            node >>= 1

    def repair(self, now: float) -> None:
        """Choose anew wherever a choice has run out, children first."""
        stack = [(1, False)]
        while stack:
            node, below = stack.pop()
            if below:
                self.choose(node, now)
            elif node < self.size and self.fails[node] <= now:
                stack += [(node, True), (2 * node, False), (2 * node + 1, False)]

    def choose(self, node: int, now: float) -> None:
        """The larger of two children, and until when that surely holds."""
        winners, fails, lines = self.winners, self.fails, self.lines
        left, right = winners[2 * node], winners[2 * node + 1]
        until, other_until = fails[2 * node], fails[2 * node + 1]
        if other_until < until:
            until = other_until
        if left < 0 or right < 0:
            winners[node], fails[node] = max(left, right), until
            return
        mine, fall, since = lines[left]
        other, other_fall, other_since = lines[right]
        alike = fall == other_fall and since == other_since  # what lies between them never changes
        if now >= since:
            mine -= fall * (now - since)
        else:
            fall, until = 0.0, until if alike or until < since else since
        if now >= other_since:
            other -= other_fall * (now - other_since)
        else:
            other_fall, until = 0.0, until if alike or until < other_since else other_since
        lead, near, closing = mine - other, NEAR * max(abs(mine), abs(other)), fall - other_fall
        if lead < -near or lead <= near and self.keys[right] < self.keys[left]:
            left, lead, closing = right, -lead, -closing
        if closing:
            if -near <= lead <= near:  # equal for now: until they have drifted apart, whichever way
                until = min(until, now + near / abs(closing))
            elif closing > 0:
                until = min(until, now + (lead - near) / closing)
        winners[node], fails[node] = left, until if until > now else math.nextafter(now, math.inf)
