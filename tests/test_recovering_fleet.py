"""A destination that comes back from an outage is not overloaded by the senders that saw the outage."""

import pytest
from standins.fleet import RESTART_TIME, Destination, OutageKind, SimulatedFleet
from standins.recovering import FALL_MS, OVERLOAD_FACTOR, Plan, play_all

KINDS = {kind.value: kind for kind in OutageKind}
LONG_OUTAGE = (4000.0, 13720.0)  # ms
# Settings of the overload rule, by name.
OTHER_RULES = {
    "short-fall": {"overload_factor": 2.0, "fall": 1500.0, "cold_from": 0.22, "cold": 11_000.0},
    "small-factor": {"overload_factor": 1.5, "fall": 2000.0, "cold_from": 0.29, "cold": 9000.0},
}
# Plans of real processes.
REAL = {
    "told-when-it-opens": Plan(1, 51, 10.0, OutageKind.SHUT, 9.7, demand=1.2, retry_after_share=1.0),
    "some-told-when-it-opens": Plan(2, 51, 10.0, OutageKind.SHUT, 9.7),
    "hung": Plan(5, 64, 10.0, OutageKind.HUNG, 9.7),
}


def overload(senders, rate, kind, seed, **destination):
    """Returns the largest share of the allowed calls in simulated time, after an outage of 9.7 s."""
    recovering = Destination(
        1, lambda now: rate, kind=0, outage=LONG_OUTAGE, outage_kind=kind, **destination
    )  # fmt: skip
    SimulatedFleet(senders, [recovering], seed=seed).run(LONG_OUTAGE[1] + 14_000.0)
    return recovering.overload(OVERLOAD_FACTOR, FALL_MS)


@pytest.fixture(scope="module")
def real_results():
    """Returns share and description of each run of real processes."""
    return dict(zip(REAL, play_all(list(REAL.values()), len(REAL)), strict=True))


# All senders that were told when the destination opens called it at that instant (51 senders, incident e55760).
@pytest.mark.parametrize("name", REAL)
def test_real_senders_keep_the_overload_rule_after_an_outage(real_results, name):
    share, description = real_results[name]
    assert share <= 1.0, description


# As above, in simulated time: a retry-after deadline ends at one instant for all senders.
@pytest.mark.parametrize("retry_after_share", [0.0, 0.8, 1.0])
@pytest.mark.parametrize("rate", [4.0, 10.0, 20.0])
def test_senders_do_not_call_at_the_instant_at_which_all_retry_after_deadlines_end(rate, retry_after_share):
    shares = [
        overload(51, rate, OutageKind.SHUT, seed, shut_retry_after_share=retry_after_share)
        for seed in (1, 2, 3)
    ]
    assert max(shares) <= 1.0, shares


# Up to two failed calls of each sender were taken for chance, and each called on every three seconds.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("rate", [4.0, 10.0, 20.0, 60.0])
def test_hundreds_of_senders_with_few_failed_calls_each_keep_the_overload_rule(rate, kind):
    shares = [overload(200, rate, KINDS[kind], seed) for seed in (1, 2, 3)]
    assert max(shares) <= 1.0, shares


# Senders whose calls failed called twice an interval, since their waits were half of it in the mean.
@pytest.mark.parametrize(("senders", "rate", "seed"), [(51, 4.0, 31), (100, 6.0, 31)])
def test_senders_whose_calls_fail_call_once_an_interval(senders, rate, seed):
    shares = [
        overload(senders, rate, OutageKind.FAILING, seed + offset, demand=1.0) for offset in range(-2, 3)
    ]
    assert max(shares) <= 1.0, shares


# Seven in ten senders were killed at once and called as soon as they were back, though they had seen the outage.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("senders", "rate"), [(51, 10.0), (100, 10.0), (200, 20.0)])
def test_senders_that_are_restarted_at_the_end_of_an_outage_keep_the_overload_rule(senders, rate, kind):
    shares = []
    for seed in (1, 2, 3):
        recovering = Destination(
            1, lambda now: rate, kind=0, outage=LONG_OUTAGE, outage_kind=KINDS[kind]
        )  # fmt: skip
        fleet = SimulatedFleet(senders, [recovering], seed=seed)
        for sender in range(senders):
            if sender % 10 < 7:
                fleet.schedule(LONG_OUTAGE[1] - RESTART_TIME + 200.0, fleet.restart, sender)
        fleet.run(LONG_OUTAGE[1] + 14_000.0)
        shares.append(recovering.overload(OVERLOAD_FACTOR, FALL_MS))
    assert max(shares) <= 1.0, shares


# Probe calls were spaced by a figure that had nothing to do with the rule: two other deployments have stricter ones.
@pytest.mark.parametrize("kind", [*KINDS, "shut-always-told"])
@pytest.mark.parametrize(("senders", "rate"), [(51, 10.0), (100, 10.0), (200, 20.0)])
@pytest.mark.parametrize("rules", OTHER_RULES)
def test_fleets_keep_the_overload_rule_under_other_settings(rules, senders, rate, kind):
    shares, settings = [], OTHER_RULES[rules]
    for seed in (1, 2, 3):
        recovering = Destination(
            1, lambda now: rate, kind=0, outage=LONG_OUTAGE, demand=1.0, cold_share=settings["cold_from"],
            cold_ms=settings["cold"], outage_kind=KINDS[kind.partition("-")[0]],
            shut_retry_after_share=1.0 if kind == "shut-always-told" else 0.3,
        )  # fmt: skip
        SimulatedFleet(senders, [recovering], seed=seed, **settings).run(LONG_OUTAGE[1] + 14_000.0)
        shares.append(recovering.overload(settings["overload_factor"], settings["fall"]))
    assert max(shares) <= 1.0, shares
