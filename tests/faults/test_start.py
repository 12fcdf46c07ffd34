"""A real process whose system calls fail while it starts: it starts all the same, as soon as they work again."""

import asyncio
import signal

import pytest
from peers import PATIENCE, SETTINGS, Agent, Client, HttpPeer, drive, host, put
from standins.faults.sender import Sender
from standins.faults.shim import Rule, build

STORE = ("open", "list", "read", "write", "rename", "lock", "close", "stat")
SOCKETS = {"socketpair": "ENFILE", "epoll_create": "EMFILE", "epoll_add": "ENOMEM", "socket": "ENFILE",
           "setsockopt": "ENOBUFS", "bind": "EADDRINUSE", "listen": "ENOBUFS"}  # fmt: skip
CASES = {call: ("EIO", "EINTR", "EMFILE") for call in STORE} | {
    call: (error,) for call, error in SOCKETS.items()
}
TIMES = (1, 6)  # calls that fail, of one process
AT_ONCE = 3  # processes


@pytest.fixture(scope="module")
def library(tmp_path_factory):
    return build(tmp_path_factory.mktemp("shim"))


async def serves(sender, name, patience=PATIENCE):
    """It gets ready, takes a message on and says so."""
    assert await sender.until_ready(patience), sender.log.decode()
    async with Client(sender.port) as client:
        assert await client.ask(put(name)) == "OK"


async def start_while_it_fails(folder, library, call, error, most):
    """What went wrong, or ""."""
    async with HttpPeer(lambda request, body: (200, [], b"")) as receiver, Agent() as agent:
        agent.hosts = [host("r1", receiver.dial)]
        sender = Sender("n0", folder, agent, library, SETTINGS)
        await sender.start()
        await serves(sender, "first")
        await sender.kill()  # so that there is something to read
        sender.rules, sender.began = [Rule(call, error, 0, most=most)], asyncio.get_running_loop().time()
        await sender.start()
        try:
            await serves(sender, "second")
        except AssertionError as failure:
            return f"{call} {error} {most} times: {failure}"
        finally:
            await sender.kill()
        if sender.told_of("Traceback"):
            return sender.log.decode()
        return "" if sender.told_of("fault: ") else f"{call} {error}: no call was made to fail"


@pytest.mark.parametrize("call", CASES)
def test_start_survives_system_call_that_fails_for_a_moment(tmp_path, library, call):
    """Guards against a process that exits at its start because one system call failed."""

    async def story():
        free = asyncio.Semaphore(AT_ONCE)

        async def one(error, most):
            async with free:
                return await start_while_it_fails(tmp_path / f"{error}{most}", library, call, error, most)

        cases = [(error, most) for error in CASES[call] for most in TIMES]
        wrong = [told for told in await asyncio.gather(*(one(*case) for case in cases)) if told]
        assert not wrong, "\n".join(wrong)

    drive(story())


@pytest.mark.parametrize("call", ["open", "read", "write", "rename"])
def test_start_waits_for_storage_and_ends_at_sigterm(tmp_path, library, call):
    """Guards against a process that can't be ended, or is taken for crashed, while it waits for its folder."""

    async def story():
        async with Agent() as agent:
            rules = [Rule(call, "EIO", 0)]
            sender = Sender(
                "n0", tmp_path, agent, library, SETTINGS, rules, began=asyncio.get_running_loop().time()
            )
            await sender.start()
            assert not await sender.until_ready(1.5) and sender.alive, sender.log.decode()
            sender.signal(signal.SIGTERM)
            await asyncio.wait_for(sender.reading, PATIENCE)
            assert sender.life.status == 0, sender.log.decode()

    drive(story())


def test_process_told_to_end_before_it_listens_waits_for_its_open_calls(tmp_path, library):
    """Guards against a charge whose call is cut off, so that it counts as one that may have run."""

    async def story():
        loop, answer = asyncio.get_running_loop(), asyncio.get_running_loop().create_future()
        async with HttpPeer(lambda request, body: answer) as receiver, Agent() as agent:
            agent.hosts = [host("r1", receiver.dial, health="DRAINING")]
            sender = Sender("n0", tmp_path, agent, library, SETTINGS)
            await sender.start()
            assert await sender.until_ready(PATIENCE)
            async with Client(sender.port) as client:
                assert await client.ask(put("charge", cls="unsafe")) == "OK"
            await sender.kill()
            agent.hosts = [host("r1", receiver.dial)]
            sender.rules, sender.began = [Rule("bind", "ENOBUFS", 0)], loop.time()
            await sender.start()
            await receiver.next()
            sender.signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            assert sender.alive
            answer.set_result((200, [], b""))
            await asyncio.wait_for(sender.reading, PATIENCE)
            assert sender.life.status == 0 and sender.told_of("stopped: 0 messages stay"), sender.log.decode()

    drive(story())


def test_folder_that_a_live_process_holds_ends_a_start_and_one_that_comes_free_does_not(tmp_path, library):
    """Guards against two processes on one folder, and against an exit because the last one is just ending."""

    async def story():
        async with Agent() as agent:
            agent.hosts = [host("r1", "127.0.0.1:1")]
            first = Sender("n0", tmp_path / "first", agent, library, SETTINGS)
            second = Sender("n0", tmp_path / "second", agent, library, SETTINGS)
            second.state = first.state
            await first.start()
            assert await first.until_ready(PATIENCE)
            await second.start()
            await asyncio.wait_for(second.reading, 2 * PATIENCE)
            assert second.life.status == 2 and second.told_of("is used by process"), second.log.decode()
            await second.start()
            await asyncio.sleep(1)
            assert second.alive
            await first.kill()
            assert await second.until_ready(PATIENCE), second.log.decode()
            await second.kill()

    drive(story())
