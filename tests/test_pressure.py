"""Sharing memory and the event loop among clients, without sockets."""

from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainpier.pressure.memory import (
    CONNECTION_ALLOWANCE,
    INCOMPLETE_GRACE_S,
    MIN_POOL,
    MemoryPool,
    Share,
    plan_memory,
)
from rainpier.pressure.turns import ITERATION_S, Turns
from rainpier.sockets import TCP_CLOSE, TCP_CLOSE_WAIT, TCP_ESTABLISHED, PeerState, PeerStates


class Clock:
    """A clock that the test moves."""

    def __init__(self):
        self.now, self.timers, self.soon = 0.0, [], deque()

    def time(self):
        return self.now

    def call_later(self, delay, function):
        self.timers.append((self.now + delay, function))

    def run_timers(self, until):
        """Runs the timers that are due up to `until`, in order."""
        while due := [timer for timer in self.timers if timer[0] <= until]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = until


class Connection:
    """A connection that waits for room, with an incomplete request since `began`."""

    def __init__(self, pool, began=0.0, needs=0):
        self.share, self.began, self.needs, self.shed_count = Share(pool), began, needs, 0

    def try_resume(self):
        if self.share.room < self.needs:
            return False
        self.share.resize(self.share.held + self.needs, self)
        return True

    def incomplete_since(self):
        return self.began

    def shed(self):
        self.shed_count += 1
        self.share.release(self)


def make_pool(clock, size=100_000):
    return MemoryPool(size, clock.time, clock.call_later)


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 200_000)), max_size=60))
def test_used_memory_is_the_sum_of_what_connections_hold_beyond_their_allowances(steps):
    """Bytes that are counted twice, or never released, would close the listener to large requests for good."""
    pool = make_pool(Clock())
    connections = [Connection(pool) for _ in range(5)]
    for index, size in steps:
        connections[index].share.resize(size, connections[index])
        assert pool.used == sum(max(0, c.share.held - CONNECTION_ALLOWANCE) for c in connections)
        assert set(pool.holders) == {c.share for c in connections if c.share.held > CONNECTION_ALLOWANCE}
    for connection in connections:
        connection.share.release(connection)
    assert pool.used == 0 and not pool.holders


def test_small_requests_have_room_while_the_pool_is_used_up():
    pool = make_pool(Clock(), size=10_000)
    large, small = Connection(pool), Connection(pool)
    large.share.resize(CONNECTION_ALLOWANCE + 10_000, large)
    assert large.share.room == 0
    assert small.share.room == CONNECTION_ALLOWANCE


def test_waiting_connections_go_on_in_order_once_there_is_room():
    clock = Clock()
    pool = make_pool(clock, size=10_000)
    holder = Connection(pool, began=None)
    holder.share.resize(CONNECTION_ALLOWANCE + 10_000, holder)
    waiting = [Connection(pool, needs=CONNECTION_ALLOWANCE + 6000) for _ in range(2)]
    for connection in waiting:
        pool.wait(connection)
    clock.run_timers(0.2)
    assert [c.share.held for c in waiting] == [0, 0]
    holder.share.resize(0, holder)
    clock.run_timers(0.3)
    assert [c.share.held for c in waiting] == [CONNECTION_ALLOWANCE + 6000, 0]


def test_the_largest_request_that_stays_incomplete_is_given_up_for_others():
    clock = Clock()
    pool = make_pool(clock, size=10_000)
    small, large = Connection(pool), Connection(pool)
    small.share.resize(CONNECTION_ALLOWANCE + 2000, small)
    large.share.resize(CONNECTION_ALLOWANCE + 8000, large)
    pool.wait(Connection(pool, needs=CONNECTION_ALLOWANCE + 5000))
    clock.run_timers(INCOMPLETE_GRACE_S - 0.01)
    assert large.shed_count == 0
    clock.run_timers(INCOMPLETE_GRACE_S + 0.2)
    assert (small.shed_count, large.shed_count) == (0, 1)
    assert not pool.waiting


def test_memory_plan_stays_within_what_the_limit_leaves_free():
    plan = plan_memory(32_000_000, 21_000_000, 58, 512)
    assert plan.clients > MIN_POOL and plan.messages > MIN_POOL
    assert plan.clients + plan.messages < 32_000_000 - 21_000_000
    assert plan_memory(10, 21_000_000, 58, 512).clients == MIN_POOL


class Client:
    """A client with a number of turns to take, each of which takes `cost` s."""

    def __init__(self, name, turns, log, clock, cost=0.001):
        self.name, self.turns, self.log, self.clock, self.cost = name, turns, log, clock, cost

    def run_turn(self):
        self.log.append(self.name)
        self.clock.now += self.cost
        self.turns -= 1
        return self.turns > 0


def run_iteration(clock):
    """Runs what was scheduled for the next iteration of the event loop."""
    for _ in range(len(clock.soon)):
        clock.soon.popleft()()


def test_a_client_with_one_request_does_not_wait_for_one_with_many():
    """One client that sent at full speed kept the others from their replies."""
    clock, log = Clock(), []
    turns = Turns(clock.time, clock.soon.append)
    assert turns.start(Client("busy", 1000, log, clock))
    run_iteration(clock)
    assert turns.start(Client("new", 1, log, clock))
    log.clear()
    run_iteration(clock)
    assert log.index("new") <= 1


def test_an_iteration_of_the_event_loop_gives_turns_for_a_limited_time():
    clock, log = Clock(), []
    turns = Turns(clock.time, clock.soon.append)
    for name in "abc":
        turns.start(Client(name, 1000, log, clock))
    log.clear()
    run_iteration(clock)
    assert len(log) <= ITERATION_S / 0.001 + 1
    assert log[:6] == ["a", "b", "c", "a", "b", "c"][: len(log[:6])]


def test_a_turn_that_fails_does_not_keep_the_others_from_theirs():
    clock, log = Clock(), []
    turns = Turns(clock.time, clock.soon.append)
    failing = Client("failing", 5, log, clock)
    turns.start(failing)
    turns.start(Client("other", 1, log, clock))
    failing.run_turn = lambda: 1 / 0
    with pytest.raises(ZeroDivisionError):
        run_iteration(clock)
    run_iteration(clock)
    assert log[-1] == "other"


def test_a_client_that_has_finished_is_not_given_another_turn():
    clock, log = Clock(), []
    turns = Turns(clock.time, clock.soon.append)
    assert turns.start(Client("a", 2, log, clock))
    for _ in range(3):
        run_iteration(clock)
    assert log == ["a", "a"] and not clock.soon


class EmulatedSocket:
    """A socket whose TCP_INFO has the given state, as below a library that emulates sockets."""

    def __init__(self, state):
        self.state = state

    def getsockopt(self, *_):
        return bytes([self.state])


def test_states_of_connections_count_only_where_one_was_seen_as_established():
    """A library that carries the connections itself may leave the system's sockets closed."""
    states = PeerStates()
    assert states.read(EmulatedSocket(TCP_CLOSE)) is PeerState.CONNECTED
    assert states.read(EmulatedSocket(TCP_ESTABLISHED)) is PeerState.CONNECTED
    assert states.read(EmulatedSocket(TCP_CLOSE)) is PeerState.GONE
    assert states.read(EmulatedSocket(TCP_CLOSE_WAIT)) is PeerState.FINISHED
