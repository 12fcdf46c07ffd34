"""A real process whose wall clock steps: spans are spans of real time, also across a restart."""

import asyncio

import pytest
from peers import SETTINGS, Agent, HttpPeer, drive, host, put
from peers import Client as Connection
from standins.faults.sender import Sender
from standins.faults.shim import Rule, build

SECOND, HOUR, DAY = 1_000, 3_600_000, 86_400_000  # ms
STEPS = (-DAY, -HOUR, -7 * SECOND, -SECOND, SECOND, 7 * SECOND, HOUR, DAY)
WINDOW = 6.0  # s in which the keyed message may be repeated
DOWN = 0.6  # s between the kill and the next start
NOTICE_TIME, TOLERANCE = 0.3, 0.1  # s


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


def call_id(request):
    return request[1][b"x-call-id"].decode()


async def requests(peer, most, until):
    """Those that come before that time, so many at most."""
    found, loop = [], asyncio.get_running_loop()
    while len(found) < most and (left := until - loop.time()) > 0:
        try:
            found.append(await asyncio.wait_for(peer.requests.get(), left))
        except TimeoutError:
            break
    return found


async def across_a_restart(folder, library, step, running=()):
    """What went wrong, or "". `step`: between the kill and the start; `running`: others, (s, ms), in the second life."""
    loop = asyncio.get_running_loop()
    hangs, wrong = loop.create_future(), []
    classes = [
        cls | ({"repeat-window": WINDOW * 1000} if cls["name"] == "keyed" else {})
        for cls in SETTINGS["classes"]
    ]
    async with (
        HttpPeer(lambda request, body: hangs) as slow,
        HttpPeer(lambda request, body: (200, [], b"")) as well,
    ):
        async with Agent() as agent:
            hanging = [host("r2", slow.dial, block=4), host("r3", slow.dial, block=5)]
            agent.hosts = [host("r1", well.dial, block=3, health="DRAINING"), *hanging]
            sender = Sender("n0", folder, agent, library, SETTINGS | {"classes": classes}, began=loop.time())
            await sender.start()
            assert await sender.until_ready(10)
            async with Connection(sender.port) as client:
                sent = loop.time()
                assert await client.ask(put("untried", d=6000)) == "OK"
                assert await client.ask(put("ends", d=4000)) == "OK"
                assert (
                    await client.ask(put("keyed-1", cls="keyed", dest=4, d=9000, key="7", more=",k=a"))
                    == "OK"
                )
                assert (
                    await client.ask(put("keyed-2", cls="keyed", dest=5, d=9000, key="8", more=",k=b"))
                    == "OK"
                )
                first = {call_id(await slow.next()) for _ in range(2)}
                assert first == {"keyed-1", "keyed-2"}
            await sender.kill()
            await asyncio.sleep(DOWN)
            sender.rules, sender.began = [Rule("clock", f"{step:+d}", 0)], loop.time()
            sender.rules += [Rule("clock", f"{more:+d}", at * 1000) for at, more in running]
            await sender.start()
            try:
                assert await sender.until_ready(10), sender.log.decode()
                seen = {call_id(request) for request in await requests(slow, 2, sent + WINDOW - 2.5)}
                if seen != first:
                    wrong.append(f"repeated within the window: {seen}")
                await asyncio.sleep(max(0.0, sent + 4.0 + NOTICE_TIME + TOLERANCE - loop.time()))
                notices = [agent.notices.get_nowait()["message"] for _ in range(agent.notices.qsize())]
                if "ends" not in notices:
                    wrong.append(f"the notice of a message whose time is up is late: {notices}")
                agent.change(host("r1", well.dial, block=3), *hanging)
                tried = [call_id(request) for request in await requests(well, 1, sent + 5.8)]
                if tried != ["untried"]:
                    wrong.append(f"an untried message with time left is not tried: {tried}")
            finally:
                await sender.kill()
            log = sender.log.decode()
    return "" if not wrong else f"step {step} ms, running {running}: {wrong}\n{log}"


@pytest.mark.parametrize("steps", [STEPS[:4], STEPS[4:]], ids=["back", "forward"])
def test_spans_hold_where_the_wall_clock_steps_between_kill_and_start(tmp_path, library, steps):
    """Guards against deadlines and repeat windows that move with a step of the wall clock over a restart."""

    async def story():
        told = await asyncio.gather(
            *(across_a_restart(tmp_path / f"{step}", library, step) for step in steps)
        )
        assert not any(told), "\n".join(filter(None, told))

    drive(story())


def test_spans_hold_where_the_wall_clock_steps_while_it_runs(tmp_path, library):
    """Guards against times that are read from the wall clock more than once in a process, two steps in a row included."""

    async def story():
        cases = [((0.2, HOUR), (0.3, HOUR)), ((1.0, -HOUR), (1.1, -DAY)), ((0.05, -7 * SECOND), (0.5, DAY))]
        told = await asyncio.gather(
            *(across_a_restart(tmp_path / f"{n}", library, 0, case) for n, case in enumerate(cases))
        )
        assert not any(told), "\n".join(filter(None, told))

    drive(story())
