"""Real processes with the least memory in their settings, before a crowd, beside clients that behave.

`python -m standins.limits [PROGRAM LISTENER KIND ...]` prints a line for each play.
"""

import asyncio
import contextlib
import random
import re
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from pamqp import commands
from peers import SETTINGS, RespClient, encode_submission, endpoint_entry
from sidecars import SidecarProcess

from standins import crowd
from standins.faults.peers import SenderDiscoveryServer
from standins.faults.receiver import Receiver
from standins.faults.records import Records
from standins.faults.sender import Sender
from standins.faults.shim import build
from standins.faults.strays import StrayPlan, Strays
from standins.memory import memory_of

# The least that the pages name: 32 MB for a sender of the platform, limits.memory of 48 MiB for a sidecar.
PLATFORM_MEMORY_MB, SIDECAR_MEMORY = 32, 48 << 20
DESCRIPTORS, SLOTS = 1024, 58
AMQP_CROWD_CLIENTS = 12  # more than the AMQP connections in SIDECAR_CONFIG
PLAY_S = 5.0  # of the crowd
REPLY_TIMEOUT_S = 0.4  # for which a client waits for a reply (PROTOCOL)
REQUEST_INTERVAL_S = 0.1  # of each client that behaves
LARGE_BODY, LARGE_BODY_EVERY = 20_000, 5  # bytes; one of so many requests has such a body
SIDECAR_CONFIG = """version = 1
[sidecar]
name = "app"
state = "state"
[resp]
listen = "127.0.0.1:0"
[amqp]
listen = "127.0.0.1:0"
connections = 6
queues = 4
queue_length = 50
[sink]
file = "ends.jsonl"
[limits]
slots = 16
held = 150
memory = "48 MiB"
sockets = 1024
[class.safe]
aim = "2 s"
deadline = "5 s"
late_worth = 0.1
effect = "safe"
[class.unsafe]
aim = "2 s"
deadline = "5 s"
late_worth = 0.1
effect = "unsafe"
[destination.partner]
number = 1
rate = "1000/s"
endpoints = ["{address}"]
"""


@dataclass
class Play:
    """What one play has shown. Times in s, memory in bytes."""

    program: str  # "platform" or "sidecar"
    listener: str  # whose clients the crowd are: "resp" or "amqp"
    kind: str  # of crowd
    limit: int = 0  # of memory
    idle: int = 0  # resident memory before the crowd
    peak: int = 0  # resident memory
    crashed: bool = False
    replies: dict[str, list[tuple[float, str]]] = field(default_factory=dict)  # by client: time, first word
    log: str = ""

    def late(self) -> list[str]:
        """Returns the requests of clients that behave which had no reply in time."""
        return [
            f"{client}: {word} after {elapsed * 1000:.0f} ms"
            for client, replies in self.replies.items()
            for elapsed, word in replies
            if elapsed > REPLY_TIMEOUT_S or word not in ("OK", "-BUSY")
        ]

    def __str__(self) -> str:
        """Describes the play in one line."""
        answers = []
        for client, replies in self.replies.items():
            times = sorted(elapsed for elapsed, _ in replies) or [0.0]
            busy = sum(word == "-BUSY" for _, word in replies)
            answers.append(f"{client} {len(replies)} ({busy} busy) median {times[len(times) // 2] * 1000:.0f} max {times[-1] * 1000:.0f} ms")  # fmt: skip
        return (
            f"{self.program} {self.listener} {self.kind}: {self.idle / 1e6:.1f}, at most {self.peak / 1e6:.1f} of "
            f"{self.limit / 1e6:.1f} MB{', CRASHED' if self.crashed else ''}; {', '.join(answers)}; "
            f"late {len(self.late())}"
        )


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancels tasks until they have ended: asyncio.wait_for may swallow a cancellation (Python 3.11)."""
    while running := [task for task in tasks if not task.done()]:
        for task in running:
            task.cancel()
        await asyncio.wait(running, timeout=0.1)


class HonestClient:
    """Submits a message at each interval and measures the time to its reply.

    On a new connection each time, or on one connection while that stays open. A connection that is closed before the
    reply is replaced once, as clients do.
    """

    numbers = iter(range(1, 10**9))

    def __init__(self, port: int, keeps_connection: bool) -> None:
        self.port, self.keeps_connection = port, keeps_connection
        self.client: RespClient | None = None
        self.replies: list[tuple[float, str]] = []

    async def run(self) -> None:
        """Submits until it is cancelled."""
        try:
            await self.submit_at_intervals()
        finally:
            await self.disconnect()

    async def submit_at_intervals(self) -> None:
        """Submits one message after another."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            number = next(self.numbers)
            body = b"x" * (LARGE_BODY if number % LARGE_BODY_EVERY == 0 else 50)
            request = encode_submission(f"honest-{number}", destination=1, deadline_ms=4000, body=body)
            try:
                async with asyncio.timeout(2 * REPLY_TIMEOUT_S):
                    reply = await self.submit(request) or await self.submit(request) or "closed"
            except TimeoutError:
                reply = "no reply"
                await self.disconnect()
            self.replies.append((loop.time() - began, reply.split()[0]))
            if not self.keeps_connection:
                await self.disconnect()
            await asyncio.sleep(max(0.0, began + REQUEST_INTERVAL_S - loop.time()))

    async def submit(self, request: bytes) -> str | None:
        """Returns the reply; None if the connection was closed before."""
        try:
            if self.client is None:
                self.client = await RespClient(self.port).__aenter__()
            reply = await self.client.request(request)
        except OSError:
            reply = None
        if reply is None:
            await self.disconnect()
        return reply

    async def disconnect(self) -> None:
        """Closes the connection, if there is one."""
        if self.client is not None:
            self.client.writer.transport.abort()
            self.client = None


class HonestPublisher:
    """Publishes over AMQP on one connection and measures the time to each confirm."""

    def __init__(self, port: int) -> None:
        self.port, self.replies = port, []

    async def run(self) -> None:
        """Publishes until it is cancelled."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            await self.publish(crowd.Client(reader, writer))
        finally:
            writer.transport.abort()

    async def publish(self, client: crowd.Client) -> None:
        """Publishes one message after another on a connection."""
        loop, buffer, tag = asyncio.get_running_loop(), bytearray(), 0
        await crowd.open_channels(client, 1)
        while True:
            began, tag = loop.time(), tag + 1
            await client.send(crowd.publish(1, f"publish-{tag}", b"hello"))
            try:
                async with asyncio.timeout(2 * REPLY_TIMEOUT_S):
                    word = await self.read_confirm(client.reader, buffer)
            except TimeoutError:
                word = "no reply"
            self.replies.append((loop.time() - began, word))
            await asyncio.sleep(max(0.0, began + REQUEST_INTERVAL_S - loop.time()))

    async def read_confirm(self, reader: asyncio.StreamReader, buffer: bytearray) -> str:
        """Reads up to the next confirm; returns the word for it."""
        while True:
            for kind, channel, payload in crowd.frames.split(buffer, 131_072):
                if kind == crowd.frames.METHOD and channel == 1:
                    method = crowd.frames.read_method(payload)
                    if isinstance(method, commands.Basic.Ack):
                        return "OK"
                    if isinstance(method, commands.Basic.Nack):
                        return "-BUSY"
                    if isinstance(method, commands.Channel.Close):
                        return method.reply_text
            data = await reader.read(65536)
            if not data:
                return "closed"
            buffer += data


class Laboratory:
    """Starts programs with a receiver, and plays crowds at them."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.library = folder, build(folder)
        self.no_strays = Strays(StrayPlan(), random.Random(1))

    async def play(self, program: str, listener: str, kind: str, seconds: float = PLAY_S) -> Play:
        """Plays one crowd at one process."""
        play = Play(program, listener, kind)
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        async with contextlib.AsyncExitStack() as stack:
            receiver = Receiver("r1", 1, Records(), random.Random(1), 0.0, self.no_strays, (0.002, 0.01))
            await stack.enter_async_context(receiver)
            start = self.start_platform if program == "platform" else self.start_sidecar
            process, port, amqp_port = await start(play, folder, receiver, stack)
            play.idle = memory_of(process.pid)[0]
            await self.run_clients(play, port, amqp_port, seconds)
            play.peak = memory_of(process.pid)[1]
            play.crashed = process.returncode is not None
        return play

    async def start_platform(self, play, folder, receiver, stack):
        """Starts a sender of the platform; returns its process and its ports."""
        discovery = await stack.enter_async_context(
            SenderDiscoveryServer(receiver.records, "n0", self.no_strays)
        )
        discovery.endpoints = [
            endpoint_entry("r1", receiver.address, destination=1, kind="single", rate=1000)
        ]
        info = SETTINGS["family-info"] | {"workers": SLOTS}
        limits = SETTINGS["policy-limits"] | {"open-cap": 235}
        settings = SETTINGS | {"family-info": info, "policy-limits": limits}
        sender = Sender("n0", folder, discovery, self.library, settings, [], 1, time.monotonic(),
                        {"memory_mb": PLATFORM_MEMORY_MB, "sockets": DESCRIPTORS})  # fmt: skip
        await sender.start()
        stack.push_async_callback(sender.kill)
        assert await sender.wait_until_ready(10.0), sender.log.decode()
        play.limit = PLATFORM_MEMORY_MB * 1_000_000
        return sender.process, sender.port, 0

    async def start_sidecar(self, play, folder, receiver, stack):
        """Starts a sidecar; returns its process and its ports."""
        sidecar = SidecarProcess(folder, SIDECAR_CONFIG.replace("{address}", receiver.address))
        await stack.enter_async_context(sidecar)
        while not (amqp := re.search(rb"AMQP on 127\.0\.0\.1:(\d+)", sidecar.log)):
            await asyncio.sleep(0.01)
        play.limit = SIDECAR_MEMORY
        return sidecar.process, sidecar.port, int(amqp[1])

    async def run_clients(self, play: Play, port: int, amqp_port: int, seconds: float) -> None:
        """Runs the crowd beside the clients that behave."""
        clients = {"new": HonestClient(port, False), "kept": HonestClient(port, True)}
        if amqp_port:
            clients["amqp"] = HonestPublisher(amqp_port)
        play.replies = {name: client.replies for name, client in clients.items()}
        size = crowd.FLOOD_CLIENTS if play.kind.startswith("flood") else crowd.CROWD_CLIENTS
        if play.listener == "amqp":
            size = min(size, AMQP_CROWD_CLIENTS)
        tasks = [asyncio.create_task(client.run()) for client in clients.values()]
        await asyncio.sleep(2 * REQUEST_INTERVAL_S)
        target = amqp_port if play.listener == "amqp" else port
        async with crowd.running_crowd(play.listener, play.kind, target, size, seconds) as running:
            await running.wait()
        await cancel_all(tasks)


def all_plays() -> list[tuple[str, str, str]]:
    """Returns program, listener and kind of each play."""
    plays = [(program, "resp", kind) for program in ("platform", "sidecar") for kind in crowd.RESP]
    return plays + [("sidecar", "amqp", kind) for kind in crowd.AMQP]


async def main(wanted: list[str]) -> None:
    """Plays those that the words name, all if there is none, one after another."""
    with tempfile.TemporaryDirectory() as folder:
        laboratory = Laboratory(Path(folder))
        for play in all_plays():
            if all(word in play for word in wanted):
                print(await laboratory.play(*play), flush=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
