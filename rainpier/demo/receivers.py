"""Stand-in receivers on loopback, and the ledger that sees what takes effect there and how often."""

import asyncio
import base64
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

MAX_REQUEST = 1 << 20  # bytes of a request that is not whole yet


@dataclass
class Ledger:
    """What ran, over all receivers: they share the memory of idempotency keys."""

    effects: dict[str, int] = field(default_factory=dict)  # by message id
    calls: dict[str, int] = field(default_factory=dict)  # by message id: sent so often
    tokens: set[str] = field(default_factory=set)
    last: dict[str, int] = field(default_factory=dict)  # by key: the newest that took effect
    out_of_order: int = 0

    def run(self, message: str, token: str, body: bytes) -> None:
        """A receiver acts on a message; a key that it knows already takes no effect."""
        if token and token in self.tokens:
            return
        self.tokens |= {token} if token else set()
        self.effects[message] = self.effects.get(message, 0) + 1
        told = json.loads(body)
        if "key" in told and self.effects[message] == 1:
            self.out_of_order += told["seq"] < self.last.get(told["key"], -1)
            self.last[told["key"]] = max(told["seq"], self.last.get(told["key"], -1))

    @property
    def repeated(self) -> int:
        """Messages that were sent more than once."""
        return sum(count > 1 for count in self.calls.values())

    def twice(self, harmless: Callable[[str], bool]) -> int:
        """Messages that took effect more than once, where a repeat does harm."""
        return sum(count > 1 and not harmless(message) for message, count in self.effects.items())


@dataclass
class Behaviour:
    """How a receiver treats its calls. Times in s, rates a second."""

    latency: float = 0.005
    slow_share: float = 0.0  # of calls that take ten times as long
    limit: float = 0.0  # calls a second; beyond it they are refused with a wait; 0: none
    wait: int = 200  # ms told with a refusal
    dies_at: float = 0.0  # s after the start of the traffic; 0: never
    away: float = 0.0  # s until it is back

    def full(self, recent: deque[float], now: float) -> bool:
        """Whether one more is beyond the limit; `recent`: when those within the last second came."""
        if not self.limit:
            return False
        while recent and recent[0] < now - 1:
            recent.popleft()
        if len(recent) >= self.limit:
            return True
        recent.append(now)
        return False


class Mortal(Protocol):
    behaviour: Behaviour

    async def start(self) -> None: ...

    def stop(self) -> None: ...


async def live(receiver: Mortal) -> None:
    """Die and return as its behaviour says."""
    if receiver.behaviour.dies_at:
        await asyncio.sleep(receiver.behaviour.dies_at)
        receiver.stop()
        await asyncio.sleep(receiver.behaviour.away)
        await receiver.start()


class Receiver:
    """One receiver on a port of its own, which it keeps over its death."""

    def __init__(self, name: str, ledger: Ledger, behaviour: Behaviour, seed: int) -> None:
        self.name, self.ledger, self.behaviour = name, ledger, behaviour
        self.random, self.recent = random.Random(seed), deque[float]()
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.calls = self.refused = self.cut = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """As a process that dies: connections break, also those with a call that has run."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            self.cut += connection.tasks > 0
            connection.abort()

    async def live(self) -> None:
        await live(self)

    async def handle(self, headers: dict[str, str], body: bytes) -> bytes:
        """The answer to one call; what runs, runs before half of its time is over."""
        loop = asyncio.get_running_loop()
        self.calls += 1
        messages = read_messages(headers, body)
        for message, _, _ in messages:
            self.ledger.calls[message] = self.ledger.calls.get(message, 0) + 1
        if self.behaviour.full(self.recent, loop.time()):
            self.refused += 1
            return answer(429, b"", f"X-Retry-In-Ms: {self.behaviour.wait}\r\n")
        slow = self.random.random() < self.behaviour.slow_share
        took = self.behaviour.latency * (10 if slow else 1) * self.random.uniform(0.5, 1.5)
        await asyncio.sleep(took / 2)
        for message in messages:
            self.ledger.run(*message)
        await asyncio.sleep(took / 2)
        if len(messages) == 1:
            return answer(200, b"")
        return answer(200, json.dumps([{"id": m, "state": "delivered"} for m, _, _ in messages]).encode())


def read_messages(headers: dict[str, str], body: bytes) -> list[tuple[str, str, bytes]]:
    """Id, idempotency key and body of each message of a call (protocol page, Senders to receivers)."""
    if "x-call-id" in headers:
        return [(headers["x-call-id"], headers.get("idempotency-key", ""), body)]
    return [(row["id"], row.get("key", ""), base64.b64decode(row["body"])) for row in json.loads(body)]


def answer(status: int, body: bytes, more: str = "") -> bytes:
    return f"HTTP/1.1 {status} x\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Connection(asyncio.Protocol):
    """One connection of a sender, one call at a time."""

    def __init__(self, receiver: Receiver) -> None:
        self.receiver, self.tasks, self.size = receiver, 0, 0
        self.transport: asyncio.Transport | None = None
        self.running: set[asyncio.Task] = set()
        self.renew()

    def renew(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.parser = transport, httptools.HttpRequestParser(self)
        self.receiver.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.receiver.connections.discard(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()
        if self.size > MAX_REQUEST:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        headers, body, self.size = self.headers, bytes(self.body), 0
        self.renew()
        task = asyncio.get_running_loop().create_task(self.reply(headers, body))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def reply(self, headers: dict[str, str], body: bytes) -> None:
        self.tasks += 1
        try:
            told = await self.receiver.handle(headers, body)
        finally:
            self.tasks -= 1
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(told)


class Printer(Receiver):
    """Takes every message and says so."""

    def __init__(self, say: Callable[[str], None]) -> None:
        super().__init__("printer", Ledger(), Behaviour(0.0), 0)
        self.say = say

    async def handle(self, headers: dict[str, str], body: bytes) -> bytes:
        messages = read_messages(headers, body)
        for message, token, content in messages:
            self.say(
                f"{message}{' key ' + token if token else ''}: {content[:200].decode('utf-8', 'replace')}"
            )
        if len(messages) == 1:
            return answer(200, b"")
        return answer(200, json.dumps([{"id": m, "state": "delivered"} for m, _, _ in messages]).encode())


async def print_messages(port: int, say: Callable[[str], None]) -> None:
    """Until it is stopped; OSError where the port is taken."""
    printer = Printer(say)
    printer.port = port
    await printer.start()
    say(f"takes messages on 127.0.0.1:{printer.port}")
    await asyncio.get_running_loop().create_future()
