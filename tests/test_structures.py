"""The data structures against their plain versions, over random operations."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from rainpier.structures.kinetic import Kinetic
from rainpier.structures.schedule import SPARE, Schedule

TIMES = st.one_of(st.integers(0, 20).map(float), st.just(math.inf))
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("set"), st.integers(0, 9), TIMES),
        st.tuples(st.just("drop"), st.integers(0, 9), st.just(0.0)),
        st.tuples(st.just("due"), st.integers(0, 3), st.integers(0, 20).map(float)),
    ),
    max_size=200,
)


@given(OPERATIONS)
def test_a_schedule_is_a_table_of_times(operations):
    schedule, table = Schedule(), {}
    for name, key, at in operations:
        if name == "set":
            schedule.set(key, at)
            table[key] = at
            if at == math.inf:
                del table[key]
        elif name == "drop":
            schedule.drop(key)
            table.pop(key, None)
        else:
            due = sorted((time, k) for k, time in table.items() if time <= at)[: key or None]
            assert schedule.due(at, key or None) == [k for _, k in due]
            for _, k in due:
                del table[k]
        assert len(schedule) == len(table) and schedule.first() == min(table.values(), default=math.inf)
        assert schedule.peek() == min(((time, k) for k, time in table.items()), default=(0, None))[1]
        assert all((k in schedule) == (k in table) for k in range(10))


def test_a_schedule_keeps_no_more_than_twice_what_it_holds():
    schedule = Schedule()
    for n in range(10_000):
        schedule.set(n % 50, float(n))
    assert len(schedule) == 50 and len(schedule.heap) <= 2 * 50 + SPARE


LINES = st.tuples(
    st.integers(0, 8).map(float), st.sampled_from([0.0, 0.0, 0.25, 1.0, 3.0]), st.integers(0, 30).map(float)
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("set"), st.integers(0, 40), LINES),
        st.tuples(st.just("many"), st.integers(0, 40), st.lists(LINES, min_size=1, max_size=30)),
        st.tuples(st.just("drop"), st.integers(0, 40), st.none()),
        st.tuples(st.just("time"), st.integers(0, 4), st.none()),
    ),
    max_size=120,
)


def value(line, now):
    worth, fall, since = line
    return worth - fall * max(0.0, now - since)


@settings(max_examples=300)
@given(STEPS)
def test_the_best_of_a_kinetic_tree_is_the_best_of_all(steps):
    tree, lines, now = Kinetic(), {}, 0.0
    for name, key, more in steps:
        if name == "set":
            lines[key] = more
            tree.set(key, now, *more)
        elif name == "many":
            some = [(key + n, line) for n, line in enumerate(more)]
            lines.update(some)
            tree.set_all(now, some)
        elif name == "drop":
            lines.pop(key, None)
            tree.drop(key, now)
        else:
            now += key / 2
        best = tree.best(now)
        assert len(tree) == len(lines)
        if not lines:
            assert best is None
            continue
        most = max(value(line, now) for line in lines.values())
        assert best == min(k for k, line in lines.items() if abs(value(line, now) - most) < 1e-6)
        assert abs(tree.value(best, now) - most) < 1e-6


def test_a_kinetic_tree_repairs_little_when_all_begin_to_fall_at_once():
    """10,000 messages of one instant: no look at each when their aim passes."""
    tree, chosen = Kinetic(), []
    tree.set_all(0.0, [(n, (5.0, 1.0, 100.0)) for n in range(10_000)])
    assert tree.best(50.0) == 0
    choose = Kinetic.choose
    try:
        Kinetic.choose = lambda self, node, now: (chosen.append(node), choose(self, node, now))[1]
        assert tree.best(101.0) == 0 and tree.best(102.0) == 0
    finally:
        Kinetic.choose = choose
    assert len(chosen) < 100
