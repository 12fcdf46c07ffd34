"""Stand-in HTTP receivers on loopback and a ledger that counts the effects of each message."""

import asyncio
import base64
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

MAX_REQUEST = 1 << 20  # bytes of a request; a connection that exceeds it is broken
SLOWDOWN = 10  # factor on the latency of slow calls
RATE_WINDOW = 1  # s over which calls are counted for the rate limit


@dataclass
class Ledger:
    """Calls and effects over all receivers, which share one set of known idempotency keys."""

    effects: dict[str, int] = field(default_factory=dict)  # by message id: how often it took effect
    calls: dict[str, int] = field(default_factory=dict)  # by message id: how often it was sent
    tokens: set[str] = field(default_factory=set)
    last_seq: dict[str, int] = field(default_factory=dict)  # by key: highest sequence number that took effect
    out_of_order: int = 0

    def apply(self, message: str, token: str, body: bytes) -> None:
        """Counts an effect of the message, unless its idempotency key is known already.

        Order is checked on the first effect only: a repeat is late by nature.
        """
        if token and token in self.tokens:
            return
        self.tokens |= {token} if token else set()
        self.effects[message] = self.effects.get(message, 0) + 1
        content = json.loads(body)
        if "key" in content and self.effects[message] == 1:
            self.out_of_order += content["seq"] < self.last_seq.get(content["key"], -1)
            self.last_seq[content["key"]] = max(content["seq"], self.last_seq.get(content["key"], -1))

    @property
    def repeated(self) -> int:
        """Messages that were sent more than once."""
        return sum(count > 1 for count in self.calls.values())

    def twice(self, harmless: Callable[[str], bool]) -> int:
        """Messages that took effect more than once, where a repeat does harm."""
        return sum(count > 1 and not harmless(message) for message, count in self.effects.items())


@dataclass
class Behaviour:
    """How a receiver handles its calls."""

    latency: float = 0.005  # s
    slow_share: float = 0.0  # share of the calls whose latency is multiplied by SLOWDOWN
    limit: float = 0.0  # calls a second; calls beyond it are rejected with a retry delay; 0: no limit
    retry_after_ms: int = 200  # the retry delay
    fails_at: float = 0.0  # s after the start of the traffic; 0: never
    downtime: float = 0.0  # s from the failure to the restart

    def over_limit(self, recent: deque[float], now: float) -> bool:
        """Whether a call at `now` exceeds the limit; `recent`: times of the calls within RATE_WINDOW."""
        if not self.limit:
            return False
        while recent and recent[0] < now - RATE_WINDOW:
            recent.popleft()
        if len(recent) >= self.limit:
            return True
        recent.append(now)
        return False


class Restartable(Protocol):
    """A receiver that can be stopped and started again."""

    behaviour: Behaviour

    async def start(self) -> None: ...

    def stop(self) -> None: ...


async def run_outage(receiver: Restartable) -> None:
    """Stops and restarts the receiver as its behaviour says; returns at once if it has no outage."""
    if receiver.behaviour.fails_at:
        await asyncio.sleep(receiver.behaviour.fails_at)
        receiver.stop()
        await asyncio.sleep(receiver.behaviour.downtime)
        await receiver.start()


class Receiver:
    """One HTTP receiver on a port of its own, which it keeps when it is stopped and started again."""

    def __init__(self, name: str, ledger: Ledger, behaviour: Behaviour, seed: int) -> None:
        self.name, self.ledger, self.behaviour = name, ledger, behaviour
        # recent: loop times of the calls within RATE_WINDOW, counted only if there is a rate limit
        self.random, self.recent = random.Random(seed), deque[float]()
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        # refused: calls over the rate limit; interrupted: connections broken during a call
        self.calls = self.refused = self.interrupted = 0

    async def start(self) -> None:
        """Listens; raises OSError if the port is in use."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Breaks all connections, like a process that is killed: also those whose call has taken effect."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            self.interrupted += connection.tasks > 0
            connection.abort()

    async def run_outage(self) -> None:
        """Stops and restarts the receiver as its behaviour says."""
        await run_outage(self)

    async def handle(self, headers: dict[str, str], body: bytes) -> bytes:
        """Returns the response to one call, whose messages take effect after half of its latency.

        A connection that breaks in between leaves messages that took effect without a response.
        """
        loop = asyncio.get_running_loop()
        self.calls += 1
        messages = read_messages(headers, body)
        for message, _, _ in messages:
            self.ledger.calls[message] = self.ledger.calls.get(message, 0) + 1
        if self.behaviour.over_limit(self.recent, loop.time()):
            self.refused += 1
            return build_response(429, b"", f"X-Retry-In-Ms: {self.behaviour.retry_after_ms}\r\n")
        slow = self.random.random() < self.behaviour.slow_share
        latency = self.behaviour.latency * (SLOWDOWN if slow else 1) * self.random.uniform(0.5, 1.5)
        await asyncio.sleep(latency / 2)
        for message in messages:
            self.ledger.apply(*message)
        await asyncio.sleep(latency / 2)
        if len(messages) == 1:
            return build_response(200, b"")
        return build_response(
            200, json.dumps([{"id": m, "state": "delivered"} for m, _, _ in messages]).encode()
        )


def read_messages(headers: dict[str, str], body: bytes) -> list[tuple[str, str, bytes]]:
    """Parses a call into the id, idempotency key and body of each message.

    The format is described on the protocol page, Senders to receivers.
    """
    if "x-call-id" in headers:
        return [(headers["x-call-id"], headers.get("idempotency-key", ""), body)]
    return [(row["id"], row.get("key", ""), base64.b64decode(row["body"])) for row in json.loads(body)]


def build_response(status: int, body: bytes, extra_headers: str = "") -> bytes:
    """Builds an HTTP response; `extra_headers` are whole lines."""
    return f"HTTP/1.1 {status} x\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Connection(asyncio.Protocol):
    """A connection of a sender, which makes one call at a time."""

    def __init__(self, receiver: Receiver) -> None:
        self.receiver = receiver
        self.tasks, self.size = 0, 0  # calls that are not answered yet; bytes of the request received so far
        self.transport: asyncio.Transport | None = None
        self.running: set[asyncio.Task] = set()  # asyncio itself keeps only weak references to tasks
        self.reset_request()

    def reset_request(self) -> None:
        """Prepares for the next request."""
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
        self.reset_request()
        task = asyncio.get_running_loop().create_task(self.reply(headers, body))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def reply(self, headers: dict[str, str], body: bytes) -> None:
        """Writes the receiver's response to one call, unless the connection was closed meanwhile."""
        self.tasks += 1
        try:
            response = await self.receiver.handle(headers, body)
        finally:
            self.tasks -= 1
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(response)


class Printer(Receiver):
    """Accepts every message and passes a line on it to `echo`."""

    def __init__(self, echo: Callable[[str], None]) -> None:
        super().__init__("printer", Ledger(), Behaviour(0.0), 0)
        self.echo = echo

    async def handle(self, headers: dict[str, str], body: bytes) -> bytes:
        """Prints the messages of a call, with the first 200 bytes of each body, and returns the response."""
        messages = read_messages(headers, body)
        for message, token, content in messages:
            self.echo(
                f"{message}{' key ' + token if token else ''}: {content[:200].decode('utf-8', 'replace')}"
            )
        if len(messages) == 1:
            return build_response(200, b"")
        return build_response(
            200, json.dumps([{"id": m, "state": "delivered"} for m, _, _ in messages]).encode()
        )


async def print_messages(port: int, echo: Callable[[str], None]) -> None:
    """Runs a Printer until it is cancelled; raises OSError if the port is in use."""
    printer = Printer(echo)
    printer.port = port
    await printer.start()
    echo(f"takes messages on 127.0.0.1:{printer.port}")
    await asyncio.get_running_loop().create_future()
