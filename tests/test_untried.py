"""What a restart finds taken on and untried is still tried."""

import asyncio

import pytest
from peers import drive
from standins.restart import CONDITIONS, count

MOST = 0.25  # of those held may end without an attempt, where time and limits leave room: half would be a failure


def test_what_a_restart_finds_untried_is_tried_whatever_it_comes_to(tmp_path):
    """Thirty of them that live 8 s: none of the conditions takes longer than that for most of them."""

    async def story():
        folders = [tmp_path / str(n) for n in range(len(CONDITIONS))]
        for folder in folders:
            folder.mkdir()
        plays = [count(folder, name, 30, life=8000) for folder, name in zip(folders, CONDITIONS, strict=True)]
        shares = {
            name: told.share for name, told in zip(CONDITIONS, await asyncio.gather(*plays), strict=True)
        }
        assert all(share <= MOST for share in shares.values()), shares
        assert shares["well"] == shares["limited"] == shares["late list"] == 0

    drive(story())


@pytest.mark.parametrize("condition", ["limited", "crowded"])
def test_of_more_than_a_limit_lets_through_those_are_left_that_it_has_no_room_for(tmp_path, condition):
    """120 that live 5 s, before 20 calls a second: some end untried as they must. Not for what comes fresh."""

    async def story():
        told = await count(tmp_path, condition, 120, life=5000)
        assert sum(told.held.values()) == 120
        assert told.share < 0.5, told

    drive(story())
