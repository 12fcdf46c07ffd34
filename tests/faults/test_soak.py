"""Fleets of real processes under seeded faults: no rule is broken. By hand, many more: python -m standins.faults.

The runs are played once, some at a time; each test looks at its own.
"""

import asyncio

import pytest
from standins.faults.plan import MIXABLE, draw
from standins.faults.run import play
from standins.faults.shim import build

KINDS = (*MIXABLE, "mixed")
SEEDS = (2, 5)
RESTARTED = ((115, "mixed"), (368, "recovery"))
AT_ONCE = 5  # runs


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


def play_all(wanted, library):
    """By seed and kind: the findings, each with its plan and the run's summary."""

    async def side_by_side():
        free = asyncio.Semaphore(AT_ONCE)

        async def one(seed, kind):
            plan = draw(seed, kind)
            async with free:
                findings, summary = await play(plan, library)
            return (seed, kind), [f"{plan}\n  {summary}\n  {findings}"] if findings else []

        return dict(await asyncio.gather(*(one(seed, kind) for seed, kind in wanted)))

    return asyncio.run(side_by_side())


@pytest.fixture(scope="module")
def played(library):
    return play_all([*RESTARTED, *((seed, kind) for seed in SEEDS for kind in KINDS)], library)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_under_injected_faults(played, seed):
    """Guards against a lost, repeated or foreign message and a crash while calls fail, clocks step, signals come."""
    broken = [finding for kind in KINDS for finding in played[seed, kind]]
    assert not broken, "\n".join(broken)


@pytest.mark.parametrize(("seed", "kind"), RESTARTED)
def test_recovering_destination_keeps_its_budget_over_a_restart(played, seed, kind):
    """Guards against a new process that does not know how cold a destination is, and overloads it."""
    assert not played[seed, kind], played[seed, kind]


@pytest.mark.parametrize("seed", [390])
def test_notices_come_in_time_while_send_fails(library, seed):
    """Guards against ends that come late because every send() of the process fails for longer than they have."""
    found = play_all([(seed, "sockets")], library)
    assert not found[seed, "sockets"], found
