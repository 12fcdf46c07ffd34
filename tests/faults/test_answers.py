"""Fleets of real processes whose receivers and agents send more than their answers: no rule is broken."""

import asyncio

import pytest
from standins.faults.plan import Plan, draw
from standins.faults.records import CAPACITY
from standins.faults.run import play
from standins.faults.shim import build
from standins.faults.strays import StrayPlan

SEEDS = (2, 5, 7)
COPY_TIME = 0.01  # s behind an answer in which its copy comes


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


def busy_plan(seed, **strays):
    """One sender whose calls wait for one another, before receivers that refuse, fail and take long."""
    return Plan(
        seed, "busy", senders=1, clients=6, gap=0.01, span=(2.0, 5.0), trouble=0.4, crowd=0,
        answer_time=(0.1, 0.3), capacity=10 * CAPACITY, to_first=1.0, strays=StrayPlan(**strays),
    )  # fmt: skip


def play_all(plans, library):
    async def side_by_side():
        return await asyncio.gather(*(play(plan, library) for plan in plans))

    results = zip(plans, asyncio.run(side_by_side()), strict=True)
    broken = [f"{plan}\n  {summary}\n  {found}" for plan, (found, summary) in results if found]
    assert not broken, "\n".join(broken)


def test_second_copy_of_an_answer_counts_for_no_other_call(library):
    """Guards against duplicates, losses and broken order where an answer's copy comes while the next call is out."""
    copies = {"delay": (COPY_TIME, COPY_TIME), "at_next": True}
    play_all([busy_plan(1, share=1.0, **copies), busy_plan(2, share=0.1, **copies)], library)


def test_second_copy_of_a_notices_answer_loses_no_notice(library):
    """Guards against a notice that nobody read, and that a copy of an earlier notice's answer stands for."""
    copies = {"delay": (COPY_TIME, COPY_TIME), "at_next": True, "at_agents": True}
    play_all([busy_plan(3, share=0.5, dropped=1.0, **copies)], library)


def test_no_rule_is_broken_under_copies_and_noise_behind_answers(library):
    """Guards against the same in fleets of several senders, some of which are restarted."""
    play_all([draw(seed, "answers") for seed in SEEDS], library)
