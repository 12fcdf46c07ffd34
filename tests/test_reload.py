"""SIGHUP: the real process moves to another discovery address, and survives invalid files and repeated signals."""

import asyncio
import json
import signal

import pytest
from peers import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    DiscoveryServer,
    HttpServer,
    RespClient,
    encode_command,
    encode_submission,
    endpoint_entry,
    run_with_timeout,
    wait_until,
)
from standins.faults.sender import Sender
from standins.faults.shim import Rule, build
from test_process import Process, call_id


def edit_and_signal(process, **changes):
    """Replaces top-level entries of the configuration file and sends SIGHUP."""
    path = process.folder / "config.json"
    path.write_text(json.dumps(json.loads(path.read_text()) | changes))
    process.process.send_signal(signal.SIGHUP)


async def wait_until_logged(process, text):
    """Reads the log until it contains `text` (bytes). Fails if the process ends before."""
    while text not in process.log:
        line = await asyncio.wait_for(process.process.stderr.readline(), WAIT_TIMEOUT_S)
        assert line, process.log.decode()
        process.log += line


def test_discovery_moves_while_the_old_address_does_not_answer(tmp_path):
    """The old watch hangs for 20 s and notifications are rejected: both have to continue at the new address."""

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as old,
            DiscoveryServer() as new,
        ):
            old.endpoints = [endpoint_entry("r1", "127.0.0.1:1", health="DRAINING")]
            old.notifications_to_reject = 1_000_000
            new.endpoints, new.version = [endpoint_entry("r2", receiver.address)], 0
            async with Process(tmp_path, old) as sender, RespClient(sender.port) as client:
                assert await client.request(encode_submission("late", deadline_ms=100)) == "OK"
                while old.notifications_to_reject == 1_000_000 or not any(
                    "index" in target for target, _ in old.update_requests
                ):
                    await asyncio.sleep(0.01)
                started_at = asyncio.get_running_loop().time()
                edit_and_signal(sender, discovery=new.address)
                assert (await new.next_notification())["message"] == "late"
                assert new.update_requests[0][0] == "/v1/servers"
                assert await client.request(encode_submission("one")) == "OK"
                assert call_id(await receiver.next_request()) == "one"
                assert asyncio.get_running_loop().time() - started_at < 4

    run_with_timeout(scenario())


@pytest.mark.parametrize("text", ["{", "", "[]", "[" * 100_000, '{"settings": 5}'])
def test_invalid_file_logs_one_line_and_changes_nothing(tmp_path, text):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with Process(tmp_path, discovery) as sender, RespClient(sender.port) as client:
                valid_config = (tmp_path / "config.json").read_text()
                (tmp_path / "config.json").write_text(text)
                sender.process.send_signal(signal.SIGHUP)
                await wait_until_logged(sender, b"keeping the current one")
                assert await client.request(encode_submission("one")) == "OK"
                assert call_id(await receiver.next_request()) == "one"
                (tmp_path / "config.json").write_text(valid_config)
                edit_and_signal(sender, listen="127.0.0.1:9")
                await wait_until_logged(sender, b"need a restart, not applied: listen")
                assert await client.request(encode_command("PING")) == "PONG"
            assert b"Traceback" not in sender.log

    run_with_timeout(scenario())


# Guards against a file short of a key that moves discovery and notifications back to the address of the start.
def test_a_file_short_of_a_key_changes_nothing(tmp_path):
    """Each key in turn; a file that lacks another key also names another address for discovery."""

    async def scenario():
        hosts = [endpoint_entry("r1", "127.0.0.1:1", health="DRAINING")]
        async with (
            DiscoveryServer(hosts) as old,
            DiscoveryServer(hosts) as new,
            DiscoveryServer(hosts) as newest,
        ):
            process = Process(tmp_path, old)
            process.env |= {"EDGE_DISCOVERY": old.address, "EDGE_LISTEN": "127.0.0.1:0", "EDGE_NAME": "n0"}
            async with process as sender, RespClient(sender.port) as client:
                edit_and_signal(sender, discovery=new.address)
                await wait_until(lambda: new.update_requests)
                path = tmp_path / "config.json"
                whole = json.loads(path.read_text())
                assert sorted(whole) == ["discovery", "known", "limits", "listen", "name", "seed", "settings"]
                for key in whole:
                    edited = whole | {"discovery": newest.address}
                    path.write_text(
                        json.dumps({name: value for name, value in edited.items() if name != key})
                    )
                    sender.process.send_signal(signal.SIGHUP)
                    text = (
                        "not applied, keeping the current one: EDGE_CONFIG: missing, and in the file in force"
                    )
                    await wait_until_logged(sender, f"{text}: {key}\n".encode())
                    assert await client.request(encode_submission(f"no-{key}", deadline_ms=100)) == "OK"
                    assert (await new.next_notification())["message"] == f"no-{key}"
                assert not newest.update_requests and old.notifications.empty()
                edit = {"comment": "a key that no program reads", "discovery": newest.address}
                path.write_text(json.dumps(whole | edit))
                sender.process.send_signal(signal.SIGHUP)
                await wait_until_logged(sender, f"reloaded: discovery at {newest.address}".encode())
                assert b"need a restart" not in sender.log

    run_with_timeout(scenario())


def test_repeated_sighup_and_an_immediate_sigterm_exit_with_0(tmp_path):
    async def scenario():
        async with (
            DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as old,
            DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as new,
        ):
            async with Process(tmp_path, old) as sender:
                for n in range(10):
                    edit_and_signal(sender, discovery=(new, old)[n % 2].address)
                edit_and_signal(sender, discovery=new.address)
                while not new.update_requests:
                    await asyncio.sleep(0.01)
                sender.process.send_signal(signal.SIGHUP)
                sender.process.send_signal(signal.SIGTERM)
                sender.process.send_signal(signal.SIGHUP)
                assert await asyncio.wait_for(sender.process.wait(), WAIT_TIMEOUT_S) == 0

    run_with_timeout(scenario())


def test_unreadable_or_half_written_file_is_loaded_once_it_is_readable(tmp_path, tmp_path_factory):
    """A process that gives up after one failed read stays at the old discovery address and misses drains."""

    async def scenario():
        library, loop = build(tmp_path_factory.mktemp("shim")), asyncio.get_running_loop()
        async with (
            DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as old,
            DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as new,
        ):
            sender = Sender("n0", tmp_path, old, library, SETTINGS, began=loop.time())
            sender.rules = [Rule("open", "EIO", 2000, 3000)]
            await sender.start()
            try:
                assert await sender.wait_until_ready(2)
                path = tmp_path / "config.json"
                valid_config = path.read_text()
                await asyncio.sleep(sender.began + 2.2 - loop.time())
                path.write_text(valid_config.replace(old.address, new.address))
                sender.signal(signal.SIGHUP)
                await wait_until(lambda: new.update_requests)
                assert loop.time() - sender.began < 4 and sender.log_matches("fault: open")
                path.write_text(valid_config[: len(valid_config) // 2])
                sender.signal(signal.SIGHUP)
                requests_before = len(old.update_requests)
                await asyncio.sleep(0.2)
                path.write_text(valid_config)
                await wait_until(lambda: len(old.update_requests) > requests_before)
                assert not sender.log_matches("configuration not applied")
            finally:
                await sender.kill()

    run_with_timeout(scenario())
