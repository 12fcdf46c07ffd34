"""Fleets of real processes whose receivers and agents send more than their answers: no rule is broken.

All runs are played once, side by side; each test looks at its own.
"""

import asyncio

import pytest
from standins.faults.plan import Plan, draw
from standins.faults.records import CAPACITY
from standins.faults.run import play
from standins.faults.shim import build
from standins.faults.strays import StrayPlan

COPY_TIME = 0.01  # s behind an answer in which its copy comes
COPIES = {"delay": (COPY_TIME, COPY_TIME), "at_next": True}


def busy_plan(seed, **strays):
    """One sender whose calls wait for one another, before receivers that refuse, fail and take long."""
    return Plan(
        seed, "busy", senders=1, clients=6, gap=0.01, span=(2.0, 5.0), trouble=0.4, crowd=0,
        answer_time=(0.1, 0.3), capacity=10 * CAPACITY, to_first=1.0, strays=StrayPlan(**strays),
    )  # fmt: skip


PLANS = {
    "calls": [busy_plan(1, share=1.0, **COPIES), busy_plan(2, share=0.1, **COPIES)],
    "notices": [busy_plan(3, share=0.5, dropped=1.0, at_agents=True, **COPIES)],
    "fleets": [*(draw(seed, "answers") for seed in (2, 5)), draw(321, "answers+mixed")],
}


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """By the name of its plans: each run's plan, findings and summary."""
    library = build(tmp_path_factory.mktemp("shim"))

    async def one(name, plan):
        return name, plan, *await play(plan, library)

    async def side_by_side():
        return await asyncio.gather(*(one(name, plan) for name, plans in PLANS.items() for plan in plans))

    results = asyncio.run(side_by_side())
    return {name: [result for result in results if result[0] == name] for name in PLANS}


def check(results):
    broken = [f"{plan}\n  {summary}\n  {found}" for _, plan, found, summary in results if found]
    assert not broken, "\n".join(broken)


def test_second_copy_of_an_answer_counts_for_no_other_call(played):
    """Guards against duplicates, losses and broken order where an answer's copy comes while the next call is out."""
    check(played["calls"])


def test_second_copy_of_a_notices_answer_loses_no_notice(played):
    """Guards against a notice that nobody read, and that a copy of an earlier notice's answer stands for."""
    check(played["notices"])


def test_no_rule_is_broken_under_copies_and_noise_behind_answers(played):
    """Guards against the same in fleets of several senders, some of which are restarted while calls fail."""
    check(played["fleets"])
