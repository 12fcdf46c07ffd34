"""The limits in the settings hold, and other clients are served in time, while clients misbehave.

Real processes with the least memory that the pages name, and 1,024 descriptors. `python -m standins.limits` plays all
kinds of crowds, for longer.
"""

import asyncio
import tempfile
from pathlib import Path

import pytest
from standins.limits import Laboratory

PLAY_S = 2.0
PARALLEL_PLAYS = 4
PLAYS = (
    *(("platform", "resp", kind) for kind in ("half-largest", "half-again", "many-fields", "whole", "unread-small",
                                              "unread-large", "unread-submissions", "flood-unsound", "flood-new")),
    *(("sidecar", "resp", kind) for kind in ("half-largest", "whole", "unread-large")),
    *(("sidecar", "amqp", kind) for kind in ("half", "many-fields", "many-headers", "flood-heartbeat", "flood-unsound",
                                             "flood-tables", "flood-declare", "unread-declare")),
)  # fmt: skip
IDS = ["-".join(play) for play in PLAYS]


async def play_all(folder):
    """Plays all crowds, some at a time; returns the plays by their names."""
    laboratory, turns = Laboratory(folder), asyncio.Semaphore(PARALLEL_PLAYS)

    async def play(names):
        async with turns:
            return await laboratory.play(*names, PLAY_S)

    plays = await asyncio.gather(*(play(names) for names in PLAYS))
    return dict(zip(PLAYS, plays, strict=True))


@pytest.fixture(scope="module")
def plays():
    """Returns the plays by their names."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play_all(Path(folder)))


# Incident 40fa21: the buffers of hundreds of clients took a process over the memory limit in its settings.
@pytest.mark.parametrize("names", PLAYS, ids=IDS)
def test_memory_stays_within_its_limit_before_a_crowd(plays, names):
    play = plays[names]
    assert not play.crashed and play.peak <= play.limit, play


# Incident 40fa21: one client at full speed, or a crowd, kept others from their replies for longer than they wait.
@pytest.mark.parametrize("names", PLAYS, ids=IDS)
def test_other_clients_are_answered_in_time_beside_a_crowd(plays, names):
    play = plays[names]
    assert play.replies and all(play.replies.values())
    assert not play.late(), f"{play}; {play.late()}"
