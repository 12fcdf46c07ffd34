"""SIGHUP: the real process takes over another discovery address, and outlives bad files and repeated signals."""

import asyncio
import json
import signal

import pytest
from peers import PATIENCE, SETTINGS, Agent, Client, HttpPeer, command, drive, host, put, until
from standins.faults.sender import Sender
from standins.faults.shim import Rule, build
from test_process import Process, call_id


def change(process, **changed):
    path = process.folder / "config.json"
    path.write_text(json.dumps(json.loads(path.read_text()) | changed))
    process.process.send_signal(signal.SIGHUP)


async def logged(process, text):
    while text not in process.log:
        line = await asyncio.wait_for(process.process.stderr.readline(), PATIENCE)
        assert line, process.log.decode()
        process.log += line


def test_discovery_moves_while_its_old_address_hangs(tmp_path):
    """The old watch hangs for 20 s and its notices are not answered: both go on at the new address."""

    async def story():
        async with HttpPeer(lambda request, body: (200, [], b"")) as receiver, Agent() as old, Agent() as new:
            old.hosts, old.refuse_notices = [host("r1", "127.0.0.1:1", health="DRAINING")], 1_000_000
            new.hosts, new.seq = [host("r2", receiver.dial)], 0
            async with Process(tmp_path, old) as sender, Client(sender.port) as client:
                assert await client.ask(put("late", d=100)) == "OK"
                while old.refuse_notices == 1_000_000 or not any("index" in asked for asked, _ in old.asked):
                    await asyncio.sleep(0.01)
                begun = asyncio.get_running_loop().time()
                change(sender, discovery=new.dial)
                assert (await new.notice())["message"] == "late"
                assert new.asked[0][0] == "/v1/servers"
                assert await client.ask(put("one")) == "OK"
                assert call_id(await receiver.next()) == "one"
                assert asyncio.get_running_loop().time() - begun < 4

    drive(story())


@pytest.mark.parametrize("text", ["{", "", "[]", "[" * 100_000, '{"settings": 5}'])
def test_a_bad_file_is_one_line_and_changes_nothing(tmp_path, text):
    async def story():
        async with HttpPeer(lambda request, body: (200, [], b"")) as receiver, Agent() as agent:
            agent.hosts = [host("r1", receiver.dial)]
            async with Process(tmp_path, agent) as sender, Client(sender.port) as client:
                good = (tmp_path / "config.json").read_text()
                (tmp_path / "config.json").write_text(text)
                sender.process.send_signal(signal.SIGHUP)
                await logged(sender, b"going on with the old one")
                assert await client.ask(put("one")) == "OK"
                assert call_id(await receiver.next()) == "one"
                (tmp_path / "config.json").write_text(good)
                change(sender, listen="127.0.0.1:9")
                await logged(sender, b"next start only: listen")
                assert await client.ask(command("PING")) == "PONG"
            assert b"Traceback" not in sender.log

    drive(story())


def test_repeated_signals_and_a_stop_right_after_are_normal(tmp_path):
    async def story():
        async with Agent([host("r1", "127.0.0.1:1")]) as old, Agent([host("r1", "127.0.0.1:1")]) as new:
            async with Process(tmp_path, old) as sender:
                for n in range(10):
                    change(sender, discovery=(new, old)[n % 2].dial)
                change(sender, discovery=new.dial)
                while not new.asked:
                    await asyncio.sleep(0.01)
                sender.process.send_signal(signal.SIGHUP)
                sender.process.send_signal(signal.SIGTERM)
                sender.process.send_signal(signal.SIGHUP)
                assert await asyncio.wait_for(sender.process.wait(), PATIENCE) == 0

    drive(story())


def test_a_file_that_cannot_be_read_for_a_moment_or_is_half_written_is_taken_over_then(
    tmp_path, tmp_path_factory
):
    """Guards against a move of discovery that is forgotten, so that drains are missed, because one read failed."""

    async def story():
        library, loop = build(tmp_path_factory.mktemp("shim")), asyncio.get_running_loop()
        async with Agent([host("r1", "127.0.0.1:1")]) as old, Agent([host("r1", "127.0.0.1:1")]) as new:
            sender = Sender("n0", tmp_path, old, library, SETTINGS, began=loop.time())
            sender.rules = [Rule("open", "EIO", 2000, 3000)]
            await sender.start()
            try:
                assert await sender.until_ready(2)
                path = tmp_path / "config.json"
                good = path.read_text()
                await asyncio.sleep(sender.began + 2.2 - loop.time())
                path.write_text(good.replace(old.dial, new.dial))
                sender.signal(signal.SIGHUP)
                await until(lambda: new.asked)
                assert loop.time() - sender.began < 4 and sender.told_of("fault: open")
                path.write_text(good[: len(good) // 2])
                sender.signal(signal.SIGHUP)
                before = len(old.asked)
                await asyncio.sleep(0.2)
                path.write_text(good)
                await until(lambda: len(old.asked) > before)
                assert not sender.told_of("not taken over")
            finally:
                await sender.kill()

    drive(story())
