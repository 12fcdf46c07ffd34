"""A real process whose calls on sockets fail for a moment while it serves."""

import asyncio

import pytest
from peers import SETTINGS, Agent, Client, HttpPeer, command, drive, host, put
from standins.faults.sender import Sender
from standins.faults.shim import Rule, build

ASKED = 60  # requests while calls fail
MOST_CPU = 0.25  # of a core
FAILS = [("recv", "ENOMEM"), ("recv", "ENOBUFS"), ("recv", "EINTR"), ("recv", "short"), ("send", "ENOBUFS"),
         ("send", "ENOMEM"), ("send", "EINTR"), ("send", "short"), ("setsockopt", "ENOBUFS"), ("epoll_add", "ENOSPC")]  # fmt: skip


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


@pytest.mark.parametrize(("call", "error"), FAILS)
def test_each_request_is_answered_while_calls_on_its_connection_fail(tmp_path, library, call, error):
    """Guards against a connection closed with a request unanswered for want of memory in a receive or a send."""

    async def story():
        async with HttpPeer(lambda request, body: (200, [], b"")) as receiver, Agent() as agent:
            agent.hosts = [host("r1", receiver.dial)]
            rules, began = [Rule(call, error, 0, 60_000, 30)], asyncio.get_running_loop().time()
            sender = Sender("n0", tmp_path, agent, library, SETTINGS, rules, began=began)
            await sender.start()
            try:
                assert await sender.until_ready(10)
                for turn in range(6):
                    async with Client(sender.port) as client:
                        for n in range(ASKED // 6):
                            assert await client.ask(put(f"m{turn}-{n}")) == "OK", sender.log.decode()
                assert sender.told_of("fault: ") and not sender.told_of("Traceback"), sender.log.decode()
            finally:
                await sender.kill()

    drive(story())


def test_receive_that_fails_for_seconds_uses_little_processor_time(tmp_path, library):
    """Guards against a loop that spins on a socket that is ready and can't be read."""

    async def story():
        loop = asyncio.get_running_loop()
        async with HttpPeer(lambda request, body: (200, [], b"")) as receiver, Agent() as agent:
            agent.hosts = [host("r1", receiver.dial)]
            rules = [Rule("recv", "ENOMEM", 1500, 4000)]
            sender = Sender("n0", tmp_path, agent, library, SETTINGS, rules, began=loop.time())
            await sender.start()
            try:
                assert await sender.until_ready(1.5)
                async with Client(sender.port) as client:
                    assert await client.ask(command("PING")) == "PONG"
                    await asyncio.sleep(sender.began + 1.7 - loop.time())
                    client.writer.write(put("waits"))
                    before = sender.processor_time()
                    await asyncio.sleep(2)
                    used = (sender.processor_time() - before) / 2
                    assert used < MOST_CPU, f"{used:.2f} of a core"
                    assert await client.answer() == "OK"
            finally:
                await sender.kill()

    drive(story())
