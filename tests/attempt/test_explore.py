"""The tables hold their properties in small worlds to completion, and each part of them is needed for one."""

from concurrent.futures import ProcessPoolExecutor

import pytest

from rainpier.attempt.explore import PROPERTIES, Found, Model, explore
from rainpier.attempt.mutants import WORLDS, mutants, verdict
from rainpier.attempt.table import TABLE, Attempt, Event, State
from rainpier.interface import Outcome

MUTANTS = {mutant.name: mutant for mutant in mutants()}


def played(name: str) -> Found:
    return verdict(MUTANTS[name])


@pytest.fixture(scope="module")
def verdicts():
    """Of each mutant, whether it breaks a property, in processes beside one another."""
    names = [name for name, mutant in MUTANTS.items() if not mutant.same]
    with ProcessPoolExecutor() as pool:
        return dict(zip(names, pool.map(played, names, chunksize=4), strict=True))


@pytest.mark.parametrize("size", WORLDS, ids=str)
def test_a_small_world_holds_every_property_to_completion(size):
    found = explore(Model(size))
    assert found.complete and not found.broken, "\n".join([found.broken, *found.story])


def test_a_property_breaks_for_each_mutant(verdicts):
    assert len(verdicts) >= 60
    assert [name for name, found in verdicts.items() if not found.broken] == []
    assert {found.broken for found in verdicts.values()} == set(PROPERTIES)


def test_a_mutant_that_is_shown_to_be_the_same_proves_what_the_table_proves():
    same = [mutant for mutant in MUTANTS.values() if mutant.same]
    for mutant in same:
        table = mutant.change(Model()).table
        (key,) = {key for key in TABLE if table.get(key) != TABLE[key]}
        assert key not in table and TABLE[key].to is State.OVER
        assert not TABLE[key].outcome.never_ran and TABLE[key].outcome is not Outcome.OK
    assert 0 < len(same) < 8


def test_what_the_table_does_not_have_counts_as_what_may_have_run():
    for state in State:
        for event in Event:
            attempt = Attempt()
            attempt.state = state
            outcome = attempt.feed(event)
            assert (state, event) in TABLE or outcome is Outcome.RESET
