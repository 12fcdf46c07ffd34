"""The state table and the rules satisfy all properties in small models; a fault in any part violates one."""

from concurrent.futures import ProcessPoolExecutor

import pytest

from rainpier.attempt.explore import ExplorationResult, explore
from rainpier.attempt.model import PROPERTIES, Model
from rainpier.attempt.mutants import MODEL_SIZES, explore_mutant, mutants
from rainpier.attempt.table import TABLE, Attempt, Event, State
from rainpier.interface import Outcome

MUTANTS = {mutant.name: mutant for mutant in mutants()}


def explore_by_name(name: str) -> ExplorationResult:
    """Explores one mutant. Takes its name, since mutants can't be pickled for another process."""
    return explore_mutant(MUTANTS[name])


@pytest.fixture(scope="module")
def mutant_results():
    """Returns the exploration result of each mutant that is not equivalent, by name; uses all processors."""
    names = [name for name, mutant in MUTANTS.items() if not mutant.equivalent]
    with ProcessPoolExecutor() as pool:
        return dict(zip(names, pool.map(explore_by_name, names, chunksize=4), strict=True))


@pytest.mark.parametrize("size", MODEL_SIZES, ids=str)
def test_a_small_model_satisfies_every_property_in_all_its_states(size):
    result = explore(Model(size))
    assert result.complete and not result.violated, "\n".join([result.violated, *result.trace])


def test_each_mutant_violates_a_property_and_each_property_is_violated_by_one(mutant_results):
    assert len(mutant_results) >= 60
    assert [name for name, result in mutant_results.items() if not result.violated] == []
    assert {result.violated for result in mutant_results.values()} == set(PROPERTIES)


def test_an_equivalent_mutant_lacks_one_step_whose_outcome_may_have_run():
    equivalent = [mutant for mutant in MUTANTS.values() if mutant.equivalent]
    for mutant in equivalent:
        table = mutant.apply(Model()).table
        (key,) = {key for key in TABLE if table.get(key) != TABLE[key]}
        assert key not in table and TABLE[key].to is State.FINISHED
        assert not TABLE[key].outcome.never_ran and TABLE[key].outcome is not Outcome.OK
    assert 0 < len(equivalent) < 8


def test_an_event_that_the_state_does_not_expect_counts_as_an_attempt_that_may_have_run():
    for state in State:
        for event in Event:
            attempt = Attempt()
            attempt.state = state
            outcome = attempt.feed(event)
            assert (state, event) in TABLE or outcome is Outcome.RESET
