"""A real process whose accept() fails for some seconds."""

import asyncio

import pytest
from peers import SETTINGS, Agent, Client, HttpPeer, drive, host, put
from standins.faults.sender import Sender
from standins.faults.shim import Rule, build

FROM, SPAN = 2.5, 3.0  # s
MOST_CPU = 0.25  # of a core, while 10 requests a second are answered and the shim writes a line for each call


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


ERRORS = ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "ENETDOWN")


async def serve_while_accept_fails(folder, library, error):
    loop = asyncio.get_running_loop()
    async with HttpPeer(lambda request, body: (200, [], b"")) as receiver, Agent() as agent:
        agent.hosts = [host("r1", receiver.dial)]
        rules = [Rule("accept", error, FROM * 1000, (FROM + SPAN) * 1000)]
        sender = Sender("n0", folder, agent, library, SETTINGS, rules, began=loop.time())
        await sender.start()
        try:
            assert await sender.until_ready(FROM)
            async with Client(sender.port) as kept, Client(sender.port) as idle:
                assert await kept.ask(put("before")) == "OK" and await idle.ask(put("idle")) == "OK"
                await asyncio.sleep(max(0.0, sender.began + FROM + 0.2 - loop.time()))
                before = sender.processor_time()
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", sender.port
                )  # waits to be accepted
                writer.write(put("waits"))
                for n in range(20):
                    assert await kept.ask(put(f"during-{n}")) == "OK", error
                    await asyncio.sleep(0.1)
                used = (sender.processor_time() - before) / 2
                assert used < MOST_CPU, f"{error}: {used:.2f} of a core"
                if error != "EMFILE":  # a full table of its own is made room in
                    assert await idle.ask(put("idle-again")) == "OK", error
                assert await asyncio.wait_for(reader.readline(), 5) == b"+OK\r\n", error
                writer.close()
            assert sender.told_of(f"reason={error}"), sender.log.decode()
        finally:
            await sender.kill()


@pytest.mark.parametrize("errors", [ERRORS[:4], ERRORS[4:]], ids=["first", "second"])
def test_accept_that_fails_neither_spins_nor_closes_connections_and_goes_on(tmp_path, library, errors):
    """Guards against a busy loop, idle clients thrown out for a shortage of the system's, and no more accepts."""

    async def story():
        await asyncio.gather(
            *(serve_while_accept_fails(tmp_path / error, library, error) for error in errors)
        )

    drive(story())
