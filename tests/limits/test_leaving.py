"""Clients that close with much unread: a real process, which is stopped while they send and leave."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import struct
import tempfile
from pathlib import Path

import pytest
from pamqp import commands
from peers import WAIT_TIMEOUT_S, RespClient, encode_submission, run_with_timeout, wait_until
from standins import crowd
from standins.faults.receiver import Receiver
from standins.faults.records import Records
from standins.limits import Laboratory, Play

MESSAGES = 150
PROGRAMS = ("platform", "sidecar")
SELECT_OK = crowd.frames.write_method(1, commands.Confirm.SelectOk())
SETTLE_S = 0.5  # within which the sender has handled what it will handle


@contextlib.asynccontextmanager
async def running(program):
    """Runs a program; yields its process, its RESP and AMQP ports, and the records of its receiver."""
    with tempfile.TemporaryDirectory() as folder:
        laboratory = Laboratory(Path(folder))
        async with contextlib.AsyncExitStack() as stack:
            records = Records()
            receiver = Receiver("r1", 1, records, random.Random(1), 0.0, laboratory.no_strays, (0.002, 0.01))
            await stack.enter_async_context(receiver)
            start = laboratory.start_platform if program == "platform" else laboratory.start_sidecar
            state = Path(folder) / "n0"
            state.mkdir()
            process, port, amqp_port = await start(Play(program, "resp", "leaving"), state, receiver, stack)
            yield process, port, amqp_port, records


def request(number, cls="unsafe"):
    """Returns the submission of one message."""
    return encode_submission(f"left-{number}", cls=cls, destination=1, deadline_ms=4000)


def leave(port, how, data, answered=b""):
    """Sends `answered` and reads its reply, then sends `data`, and closes or resets the connection."""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        if answered:
            connection.sendall(answered)
            connection.recv(64)
        connection.sendall(data)
        if how == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


# Picture (c) of incident 40fa21: requests of a client that had closed were read afterwards, accepted and sent on.
@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize(("how", "most"), [("reset", 0), ("close", 1)])
def test_requests_of_a_client_that_has_left_are_not_sent_on(program, how, most):
    """At most one, where the client's machine tells of its end only once a reply is written."""

    async def scenario():
        async with running(program) as (process, port, _, records):
            os.kill(process.pid, signal.SIGSTOP)
            leave(port, how, b"".join(request(number) for number in range(MESSAGES)))
            os.kill(process.pid, signal.SIGCONT)
            async with RespClient(port) as client:
                assert await client.request(request("later")) == "OK"
            await wait_until(lambda: any(call.message == "left-later" for call in records.calls))
            await asyncio.sleep(SETTLE_S)
            sent = {call.message for call in records.calls} - {"left-later"}
            assert len(sent) <= most, sorted(sent)

    run_with_timeout(scenario())


# Picture (c): an id ran twice when it came again after its client had left.
@pytest.mark.parametrize("how", ["reset", "close"])
@pytest.mark.parametrize(
    ("program", "cls"), [("platform", "unsafe"), ("platform", "keyed"), ("sidecar", "unsafe")]
)
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(program, cls, how):
    async def scenario():
        async with running(program) as (process, port, _, records):
            data = [request(number, cls) for number in range(MESSAGES)]
            leave(port, how, b"".join(data[1:]), answered=data[0])
            for _ in range(2):  # twice, at intervals
                async with RespClient(port) as client:
                    for one in data:
                        assert (await client.request(one)).split()[0] in ("OK", "-BUSY")
                await asyncio.sleep(SETTLE_S)
            runs = [call.message for call in records.calls]
            assert len(runs) == len(set(runs)), sorted(name for name in set(runs) if runs.count(name) > 1)

    run_with_timeout(scenario())


# The same over AMQP: publishes of a client that had closed were processed afterwards.
@pytest.mark.parametrize(("how", "most"), [("reset", 0), ("close", 1)])
def test_publishes_of_a_client_that_has_left_are_not_sent_on(how, most):
    async def scenario():
        async with running("sidecar") as (process, port, amqp_port, records):
            reader, writer = await asyncio.open_connection("127.0.0.1", amqp_port)
            await crowd.open_channels(crowd.Client(reader, writer), 1)
            await asyncio.wait_for(reader.readuntil(SELECT_OK), WAIT_TIMEOUT_S)
            os.kill(process.pid, signal.SIGSTOP)
            writer.write(b"".join(crowd.publish(1, f"left-{n}", b"", "unsafe") for n in range(MESSAGES)))
            await writer.drain()
            connection = writer.get_extra_info("socket")
            if how == "reset":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            await asyncio.sleep(0.1)
            os.kill(process.pid, signal.SIGCONT)
            async with RespClient(port) as client:
                assert await client.request(request("later")) == "OK"
            await wait_until(lambda: any(call.message == "left-later" for call in records.calls))
            await asyncio.sleep(SETTLE_S)
            sent = {call.message for call in records.calls} - {"left-later"}
            assert len(sent) <= most, sorted(sent)

    run_with_timeout(scenario())


def test_a_client_that_closes_its_sending_side_gets_all_its_replies():
    """It can't be told from one that has left, until a reply is written to it."""

    async def scenario():
        async with running("platform") as (process, port, _, _records):
            os.kill(process.pid, signal.SIGSTOP)
            async with RespClient(port) as client:
                client.writer.write(b"".join(request(number, "safe") for number in range(80)))
                client.writer.write_eof()
                os.kill(process.pid, signal.SIGCONT)
                replies = [await client.read_reply() for _ in range(80)]
                assert {reply.split()[0] for reply in replies} <= {"OK", "-BUSY"}
                assert replies[0] == "OK" and await client.read_reply() is None

    run_with_timeout(scenario())
