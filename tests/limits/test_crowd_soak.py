"""Fleets with the least memory, before a crowd, whose processes are killed in series. `python -m standins.faults
--fault crowd` runs further seeds."""

import pytest
from standins.faults.plan import draw_plan
from standins.faults.pool import run_plans
from standins.faults.shim import build

SEEDS = (3, 7)


# Incident 40fa21: processes passed their memory limit before a crowd, also right behind kills in series.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_before_a_crowd(seed, tmp_path):
    plan = draw_plan(seed, "crowd")
    ((findings, summary),) = run_plans([plan], build(tmp_path), 1)
    assert not findings, f"{plan}\n  {summary}\n  {findings}"
