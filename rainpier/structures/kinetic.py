"""A kinetic segment tree: the maximum of many values that decrease at different rates.

Each entry's value is constant until some time, then decreases linearly. An inner node stores which of its
two children is larger, with an expiry time: until then the lines do not cross, neither begins to fall and
nothing below changes (Basch, Guibas and Hershberger, "Data structures for mobile data", 1999: certificates
and their failure times). A query re-evaluates only the nodes that have expired. `set` and `drop` cost
O(log n); all re-evaluations between them O(log^2 n) for each line, amortised. A scan of all entries would
cost O(n) for each query.
"""

import math

Line = tuple[float, float, float]  # value, decrease per unit of time, start of the decrease
NOTHING: Line = (-math.inf, 0.0, math.inf)  # of an empty leaf
# Values whose relative difference is smaller count as equal, so that rounding errors decide no comparison.
RELATIVE_TOLERANCE = 1e-9


class Kinetic:
    """Values by integer key; `now` must never decrease. Among equal values the smallest key wins."""

    __slots__ = ("expires", "free", "keys", "leaves", "lines", "size", "winners")

    def __init__(self) -> None:
        self.leaves: dict[int, int] = {}  # by key: number of its leaf, from 0
        self.clear()

    def clear(self) -> None:
        """Removes all keys."""
        self.leaves.clear()
        self.size = 4  # number of leaves, a power of two
        self.allocate([])

    def __len__(self) -> int:
        return len(self.leaves)

    def __contains__(self, key: int) -> bool:
        return key in self.leaves

    def allocate(self, lines_by_key: list[tuple[int, Line]]) -> None:
        """Allocates self.size leaves and stores the lines; the inner nodes are not evaluated yet."""
        self.keys: list[int] = [-1] * self.size  # by leaf; -1: empty
        self.lines: list[Line] = [NOTHING] * self.size  # by leaf
        # By node: leaf of the largest value below it; -1: none. The root is node 1, the children of node n
        # are 2 n and 2 n + 1, and leaf n is node size + n.
        self.winners = [-1] * (2 * self.size)
        self.expires = [math.inf] * (2 * self.size)  # by node: when its winner has to be evaluated again
        self.free = list(range(self.size - 1, -1, -1))  # empty leaves, the next one last
        for key, line in lines_by_key:
            self.put(key, line)

    def resize(self, size: int, now: float) -> None:
        """Rebuilds the tree with `size` leaves, a power of two."""
        lines_by_key = [(key, self.lines[leaf]) for key, leaf in self.leaves.items()]
        self.leaves, self.size = {}, size
        self.allocate(lines_by_key)
        for node in range(size - 1, 0, -1):
            self.evaluate(node, now)

    def set(self, key: int, now: float, value: float, fall: float, since: float) -> None:
        """Sets the key to `value` until `since`, decreasing by `fall` for each unit of time after that."""
        if key not in self.leaves and not self.free:
            self.resize(2 * self.size, now)
        self.update_ancestors(self.put(key, (value, fall, since)), now)

    def set_all(self, now: float, lines: list[tuple[int, Line]]) -> None:
        """Sets many keys at once, in O(n) for all keys old and new."""
        size = self.size
        while size < len(self.leaves) + len(lines):
            size *= 2
        if size != self.size:
            self.resize(size, now)
        for key, line in lines:
            self.put(key, line)
        for node in range(self.size - 1, 0, -1):
            self.evaluate(node, now)

    def put(self, key: int, line: Line) -> int:
        """Stores the line in the leaf of the key and returns the leaf; the nodes above are not evaluated."""
        leaf = self.leaves.get(key)
        if leaf is None:
            leaf = self.leaves[key] = self.free.pop()
            self.keys[leaf] = key
        self.lines[leaf] = line
        self.winners[self.size + leaf] = leaf
        return leaf

    def drop(self, key: int, now: float) -> None:
        """Removes the key, if it is there. The tree shrinks to a quarter when less than an eighth is used."""
        leaf = self.leaves.pop(key, None)
        if leaf is None:
            return
        self.keys[leaf], self.lines[leaf], self.winners[self.size + leaf] = -1, NOTHING, -1
        self.free.append(leaf)
        if self.size > 4 and len(self.leaves) < self.size // 8:
            self.resize(self.size // 4, now)
        else:
            self.update_ancestors(leaf, now)

    def best(self, now: float) -> int | None:
        """Returns the key of the largest value at `now`; None if the tree is empty."""
        if self.expires[1] <= now:
            self.evaluate_expired(now)
        leaf = self.winners[1]
        return None if leaf < 0 else self.keys[leaf]

    def value(self, key: int, now: float) -> float:
        """Returns the value of the key at `now`. Raises KeyError."""
        return self.value_at(self.leaves[key], now)

    # --- nodes ---

    def value_at(self, leaf: int, now: float) -> float:
        """Returns the value in a leaf at `now`."""
        value, fall, since = self.lines[leaf]
        return value - fall * (now - since) if now > since else value

    def update_ancestors(self, leaf: int, now: float) -> None:
        """Evaluates the nodes above a changed leaf, up to the first one that the change does not affect."""
        node, winners, expires = (self.size + leaf) >> 1, self.winners, self.expires
        while node:
            old_winner, expiry = winners[node], expires[node]
            self.evaluate(node, now)
            if winners[node] == old_winner != leaf and expires[node] == expiry:
                return  # the leaf was not the winner here before, and is not now
            node >>= 1

    def evaluate_expired(self, now: float) -> None:
        """Evaluates all expired nodes, children before parents."""
        stack = [(1, False)]
        while stack:
            node, children_done = stack.pop()
            if children_done:
                self.evaluate(node, now)
            elif node < self.size and self.expires[node] <= now:
                stack += [(node, True), (2 * node, False), (2 * node + 1, False)]

    def evaluate(self, node: int, now: float) -> None:
        """Evaluates a node: stores the larger of its two children, and until when that certainly holds."""
        winners, expires, lines = self.winners, self.expires, self.lines
        left, right = winners[2 * node], winners[2 * node + 1]
        expiry, right_expiry = expires[2 * node], expires[2 * node + 1]
        if right_expiry < expiry:
            expiry = right_expiry
        if left < 0 or right < 0:
            winners[node], expires[node] = max(left, right), expiry
            return
        left_value, fall, since = lines[left]
        right_value, right_fall, right_since = lines[right]
        parallel = fall == right_fall and since == right_since  # the difference between them is constant
        if now >= since:
            left_value -= fall * (now - since)
        else:
            fall, expiry = 0.0, expiry if parallel or expiry < since else since
        if now >= right_since:
            right_value -= right_fall * (now - right_since)
        else:
            right_fall, expiry = 0.0, expiry if parallel or expiry < right_since else right_since
        lead = left_value - right_value
        tolerance = RELATIVE_TOLERANCE * max(abs(left_value), abs(right_value))
        closing = fall - right_fall  # by how much the lead decreases per unit of time
        # From here on left, lead and closing are those of the winner: equal values are decided by the key.
        if lead < -tolerance or lead <= tolerance and self.keys[right] < self.keys[left]:
            left, lead, closing = right, -lead, -closing
        if closing:
            if -tolerance <= lead <= tolerance:  # equal now: holds until they differ by the tolerance
                expiry = min(expiry, now + tolerance / abs(closing))
            elif closing > 0:
                expiry = min(expiry, now + (lead - tolerance) / closing)
        # A node that was evaluated now has not expired: its expiry is at least the next float after `now`.
        winners[node], expires[node] = left, expiry if expiry > now else math.nextafter(now, math.inf)
