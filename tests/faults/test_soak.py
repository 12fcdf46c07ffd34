"""Fleets of real processes under seeded faults: no rule is broken. By hand, many more: python -m standins.faults."""

import asyncio

import pytest
from standins.faults.plan import KINDS, draw
from standins.faults.run import play
from standins.faults.shim import build

SEEDS = (2, 5)
AT_ONCE = 4  # runs


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_under_injected_faults(library, seed):
    """Guards against a lost, repeated or foreign message and a crash while calls fail, clocks step, signals come."""

    async def all_kinds():
        plans = [draw(seed, kind) for kind in KINDS]
        free = asyncio.Semaphore(AT_ONCE)

        async def one(plan):
            async with free:
                return plan, *await play(plan, library)

        return await asyncio.gather(*(one(plan) for plan in plans))

    broken = [
        (str(plan), findings, summary) for plan, findings, summary in asyncio.run(all_kinds()) if findings
    ]
    assert not broken, "\n".join(f"{plan}\n  {summary}\n  {findings}" for plan, findings, summary in broken)


@pytest.mark.parametrize(("seed", "kind"), [(115, "mixed"), (368, "recovery")])
def test_recovering_destination_keeps_its_budget_over_a_restart(library, seed, kind):
    """Guards against a new process that does not know how cold a destination is, and overloads it."""
    findings, summary = asyncio.run(play(draw(seed, kind), library))
    assert not findings, f"{summary}\n  {findings}"


@pytest.mark.parametrize("seed", [390])
def test_notices_come_in_time_while_send_fails(library, seed):
    """Guards against ends that come late because every send() of the process fails for longer than they have."""
    findings, summary = asyncio.run(play(draw(seed, "sockets"), library))
    assert not findings, f"{summary}\n  {findings}"
