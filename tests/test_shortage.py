"""A whole sender at destinations that take less than usual for a while."""

from peers import Agent, Client, HttpPeer, drive, host, put, until
from test_node import sender

from rainpier import policy


class Limit:
    """A receiver's answers: turned away for as long as it is shut, else delivered."""

    def __init__(self):
        self.shut, self.refused, self.taken = False, 0, 0

    def __call__(self, request, body):
        if self.shut:
            self.refused += 1
            return 503, [], b""
        self.taken += 1
        return 200, [], b""


async def hand_in(client, first, count):
    for n in range(first, first + count):
        assert await client.ask(put(f"m{n}")) == "OK"


def test_the_pace_is_back_within_seconds_once_a_limit_is(tmp_path, monkeypatch):
    """Day of issue 7: limits low for ten seconds; the backlog then waited seven more for the pace."""
    monkeypatch.setattr(policy, "CUT_SPAN", 20.0)

    async def story():
        limit = Limit()
        async with HttpPeer(limit) as receiver, Agent() as agent:
            agent.hosts = [host("r1", receiver.dial, share=120.0)]
            async with sender(tmp_path, agent, weights="rough") as node, Client(node.port) as client:
                (route,) = node.sender.routes[3]
                await hand_in(client, 0, 3)
                await until(lambda: limit.taken == 3)
                limit.shut = True
                await hand_in(client, 3, 90)
                await until(lambda: route.pace < 3)
                assert not route.down
                limit.shut = False
                await until(lambda: limit.taken >= 60)

    drive(story())
