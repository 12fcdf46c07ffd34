"""Crowds of misbehaving clients. `python -m standins.crowd LISTENER KIND PORT CLIENTS SECONDS` runs one.

Each client does the same again on a new connection when its connection ends. A crowd runs in a process of its own
(`running_crowd`), so that it does not delay the client whose replies a test measures.
"""

import asyncio
import contextlib
import os
import resource
import sys
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

from pamqp import commands, header
from peers import encode_command

from rainpier.amqp import frames

TESTS = Path(__file__).resolve().parents[1]
RECONNECT_PAUSE_S = 0.05
SLOW_STEP, SLOW_PAUSE_S = 1000, 0.05  # bytes and s between them: slower than a request may take
DESCRIPTORS = 4096
CROWD_CLIENTS = 600  # more than the descriptors for clients where a process has 1,024
FLOOD_CLIENTS = 1

CHANNELS = 64  # that an AMQP client opens

numbers = count(1)  # of names that must not occur twice


class Client:
    """One raw connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send(self, data: bytes) -> None:
        """Sends all bytes; waits while the peer does not read."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_to_end(self) -> None:
        """Reads and drops what comes until the connection ends."""
        while await self.reader.read(65536):
            pass

    async def stay(self) -> None:
        """Keeps the connection open without reading from it."""
        self.writer.transport.pause_reading()
        await asyncio.sleep(3600)


Behaviour = Callable[[Client], Awaitable[None]]

# --- RESP ---

LARGE_SUBMISSION = encode_command("MSG.PUT", "0" * 16, "large", "c=safe,d=2000,dest=1", b"x" * 65536)
LARGEST_REQUEST = b"*4\r\n$7\r\nMSG.PUT\r\n$130000\r\n" + b"x" * 130_000
MANY_PARTS = b"*99\r\n" + b"$1\r\na\r\n" * 98
MANY_FIELDS = b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n" + b"0" * 16 + b"\r\n$1\r\ni\r\n$120000\r\n" + b"a=1," * 29_000
PING = b"*1\r\n$4\r\nPING\r\n"


def stops_after(data: bytes, before: bytes = b"") -> Behaviour:
    """Sends `before` and, after a reply to it, `data`, and then nothing more."""

    async def behave(client: Client) -> None:
        if before:
            await client.send(before)
            await client.reader.readline()
        await client.send(data)
        await client.read_to_end()

    return behave


def writes_slowly(data: bytes) -> Behaviour:
    """Sends `data` in small steps."""

    async def behave(client: Client) -> None:
        for start in range(0, len(data), SLOW_STEP):
            await client.send(data[start : start + SLOW_STEP])
            await asyncio.sleep(SLOW_PAUSE_S)
        await client.read_to_end()

    return behave


def floods(make: Callable[[], bytes], reads: bool = True) -> Behaviour:
    """Sends what `make` returns again and again, at full speed; reads the replies or not."""

    async def behave(client: Client) -> None:
        reading = asyncio.create_task(client.read_to_end() if reads else client.stay())
        try:
            while not reading.done():
                await client.send(make())
                await asyncio.sleep(0)  # otherwise sends that never wait would keep all others from running
        finally:
            reading.cancel()

    return behave


def submissions(fields: str, body: bytes = b"hello") -> bytes:
    """Returns submissions under new ids; `fields` may hold {n} for a new name."""
    return b"".join(
        encode_command("MSG.PUT", "0" * 16, f"new-{n}", fields.format(n=n), body)
        for n in (next(numbers) for _ in range(200))
    )


RESP: dict[str, Behaviour] = {
    "half": stops_after(LARGE_SUBMISSION[:-10]),
    "half-largest": stops_after(LARGEST_REQUEST[:-10]),
    "half-again": stops_after(LARGEST_REQUEST[:-10], before=PING),
    "slow": writes_slowly(LARGE_SUBMISSION),
    "many-parts": stops_after(MANY_PARTS),
    "many-fields": stops_after(MANY_FIELDS),
    "whole": floods(lambda: encode_command("MSG.PUT", "0" * 16, f"w{os.getpid()}-{next(numbers)}", "c=safe,d=300,dest=1", b"x" * 65536)),
    "unread-small": floods(lambda: b"*1\r\n$7\r\nCOMMAND\r\n" * 64, reads=False),
    "unread-large": floods(lambda: encode_command("ECHO", b"x" * 60_000), reads=False),
    "unread-submissions": floods(lambda: submissions("c=safe,d=300,dest=1"), reads=False),
    "flood-ping": floods(lambda: PING * 1000),
    "flood-command": floods(lambda: b"*1\r\n$7\r\nCOMMAND\r\n" * 1000),
    "flood-unsound": floods(lambda: submissions("c=no-{n},d=1,dest=77")),
    "flood-fields": floods(lambda: encode_command("MSG.PUT", "0" * 16, "i", b",".join(b"f%d=1" % n for n in range(12_000)), b"")),
    "flood-new": floods(lambda: submissions("c=unsafe,d=300,dest=1")),
}  # fmt: skip

# --- AMQP ---

Publish, Properties = commands.Basic.Publish, commands.Basic.Properties


def many_entries(size: int) -> dict[str, bool]:
    """Returns a table of very many short fields that takes about `size` bytes."""
    return {f"{n:x}": True for n in range(size // 7)}


def header_payload(body_size: int, properties: Properties) -> bytes:
    """Encodes the payload of a content header frame."""
    return header.ContentHeader(body_size=body_size, properties=properties).marshal()


def publish(channel: int, name: str, body: bytes, cls: str = "safe") -> bytes:
    """Encodes a publish with its content."""
    method = Publish(0, "rainpier", f"{cls}.1")
    return frames.write_content(channel, method, Properties(message_id=name), body, 131_072)


async def open_connection(client: Client, client_properties: dict | None = None) -> None:
    """Does the handshake."""
    start_ok = commands.Connection.StartOk(client_properties or {}, "PLAIN", "\0guest\0guest", "en_US")
    await client.send(frames.PROTOCOL_HEADER + frames.write_method(0, start_ok))
    tune_ok, opened = commands.Connection.TuneOk(0, 0, 0), commands.Connection.Open("/")
    await client.send(frames.write_method(0, tune_ok) + frames.write_method(0, opened))


async def open_channels(client: Client, channels: int = CHANNELS) -> None:
    """Does the handshake, and opens channels with confirms."""
    await open_connection(client)
    for channel in range(1, channels + 1):
        await client.send(
            frames.write_method(channel, commands.Channel.Open())
            + frames.write_method(channel, commands.Confirm.Select())
        )


def stops_in_content(properties: Properties, body: bytes, channels: int) -> Behaviour:
    """Begins a content on each of several channels, and sends no more."""
    payload = header_payload(len(body) + 1, properties)

    async def behave(client: Client) -> None:
        await open_channels(client, channels)
        for channel in range(1, channels + 1):
            data = frames.write_method(channel, Publish(0, "rainpier", "safe.1"))
            data += frames.write_frame(frames.HEADER, channel, payload)
            await client.send(data + (frames.write_frame(frames.BODY, channel, body) if body else b""))
        await client.read_to_end()

    return behave


async def starts_with_many_fields(client: Client) -> None:
    """Gives very many client properties, also as capabilities, and stays."""
    entries = many_entries(60_000)
    await open_connection(client, {"capabilities": entries} | many_entries(55_000))
    await client.read_to_end()


async def stops_in_frame(client: Client) -> None:
    """Sends most of the longest frame."""
    await open_channels(client, 1)
    await client.send(frames.FRAME_HEADER.pack(frames.BODY, 1, 131_000) + b"x" * 130_000)
    await client.read_to_end()


def amqp_floods(make: Callable[[], bytes], reads: bool = True) -> Behaviour:
    """Opens a channel and then sends what `make` returns again and again."""
    flood = floods(make, reads)

    async def behave(client: Client) -> None:
        await open_channels(client, 1)
        await flood(client)

    return behave


def unsound_publishes() -> bytes:
    """Returns publishes of unknown classes, each with a new name."""
    return b"".join(publish(1, f"u-{n}", b"", f"no-{n}") for n in (next(numbers) for _ in range(100)))


def declares() -> bytes:
    """Returns passive declarations of the destination's queue."""
    return frames.write_method(1, commands.Queue.Declare(0, "partner", passive=True)) * 100


LARGE_DECLARE = frames.write_method(
    1, commands.Queue.Declare(0, "partner", passive=True, arguments=many_entries(120_000))
)


def declare_with_many_arguments() -> bytes:
    """Returns a declaration whose arguments are very many short fields."""
    return LARGE_DECLARE


AMQP: dict[str, Behaviour] = {
    "half": stops_in_content(Properties(message_id="m"), b"x" * 60_000, 4),
    "half-frame": stops_in_frame,
    "many-fields": starts_with_many_fields,
    "many-headers": stops_in_content(Properties(message_id="m", headers=many_entries(120_000)), b"", CHANNELS),
    "flood-heartbeat": amqp_floods(lambda: frames.HEARTBEAT_FRAME * 1000),
    "flood-unsound": amqp_floods(unsound_publishes),
    "flood-tables": amqp_floods(declare_with_many_arguments),
    "flood-declare": amqp_floods(declares),
    "unread-declare": amqp_floods(declares, reads=False),
}  # fmt: skip

CROWDS = {"resp": RESP, "amqp": AMQP}


async def repeat(behave: Behaviour, port: int) -> None:
    """Runs a client for ever, on one connection after another."""
    while True:
        with contextlib.suppress(OSError, EOFError):
            await connect_once(behave, port)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def connect_once(behave: Behaviour, port: int) -> None:
    """Runs a client on one connection; raises OSError or EOFError when that ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        await behave(Client(reader, writer))
    finally:
        writer.transport.abort()


async def run_crowd(behave: Behaviour, port: int, clients: int, seconds: float) -> None:
    """Runs a crowd for that time."""
    tasks = [asyncio.create_task(repeat(behave, port)) for _ in range(clients)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def running_crowd(listener: str, kind: str, port: int, clients: int, seconds: float):
    """Starts a crowd in a process of its own, which ends after `seconds` or with the context."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "standins.crowd", listener, kind, str(port), str(clients), str(seconds),
        cwd=TESTS, env=os.environ | {"PYTHONPATH": f"{TESTS}:{TESTS.parent}"},
    )  # fmt: skip
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def main() -> None:
    """Runs the crowd that the arguments name."""
    listener, kind, port, clients, seconds = sys.argv[1:]
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTORS, hard), hard))
    asyncio.run(run_crowd(CROWDS[listener][kind], int(port), int(clients), float(seconds)))
    os._exit(0)  # without the clean-up of streams whose connect was cancelled, which would print errors


if __name__ == "__main__":
    main()
