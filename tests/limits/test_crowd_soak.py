"""Fleets with the least memory, before a crowd, whose processes are killed in series. `python -m standins.faults
--fault crowd` runs further seeds."""

import pytest
from standins.faults.plan import draw_plan
from standins.faults.pool import run_plans
from standins.faults.shim import build

SEEDS = (3, 7)


@pytest.fixture(scope="module")
def findings(tmp_path_factory):
    """Runs all seeds at once; returns the findings of each with its plan and summary, [] if there are none."""
    plans = [draw_plan(seed, "crowd") for seed in SEEDS]
    results = run_plans(plans, build(tmp_path_factory.mktemp("shim")), len(plans))
    return {
        plan.seed: [f"{plan}\n  {summary}\n  {found}"] if found else []
        for plan, (found, summary) in zip(plans, results, strict=True)
    }


# Incident 40fa21: processes passed their memory limit before a crowd, also right behind kills in series.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_before_a_crowd(findings, seed):
    assert not findings[seed], findings[seed]
