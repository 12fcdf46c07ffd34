"""A stand-in AMQP 0-9-1 broker on loopback that accepts and confirms publishes.

It has no queues: a published message takes effect at once. Subclasses override `Broker.on_publish`
to delay, reject or return a publish.
"""

import asyncio
import random
from collections import Counter, deque

from pamqp import commands

from ..amqp import connection as amqp_connection
from ..amqp.channel import Content
from .receivers import SLOWDOWN, Behaviour, Ledger, run_outage

B, E, Q = commands.Basic, commands.Exchange, commands.Queue
# Bytes of a frame, channels, bytes of a body, bytes of incomplete bodies, s between heartbeats.
LIMITS = amqp_connection.Limits(131_072, 256, 1 << 20, 4 << 20, 30)


class BrokerConnection(asyncio.Protocol):
    """The connection of one publisher."""

    def __init__(self, broker: "Broker") -> None:
        self.broker, self.loop = broker, broker.loop
        self.protocol = amqp_connection.Server(
            broker.limits, self.loop.time(), broker.login, lambda name: name == broker.vhost
        )
        self.transport: asyncio.Transport | None = None
        self.open = False
        # By channel number: how often it was closed, which tells apart channels that reuse a number.
        self.generations: Counter[int] = Counter()
        self.tags: dict[int, int] = {}  # by channel number: delivery tag of the last publish

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.broker.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.protocol.connection_lost()
        self.broker.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.protocol.feed(data, self.loop.time(), self.handle)
        self.flush()

    def flush(self) -> None:
        """Writes pending frames; closes the transport once the AMQP connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return
        if data := self.protocol.take_output(self.loop.time()):
            self.transport.write(data)
        if self.protocol.phase is amqp_connection.Phase.CLOSED:
            self.transport.close()

    def handle(self, event: amqp_connection.Event) -> None:
        """Answers a method of the publisher, or passes a publish to the broker."""
        match event:
            case amqp_connection.Opened():
                self.open = True
                self.broker.on_open(self)
            case amqp_connection.ChannelClosed(number):
                self.tags.pop(number, None)
                self.generations[number] += 1
            case amqp_connection.Method(number, commands.Confirm.Select()):
                self.tags[number] = 0
                self.protocol.send(number, commands.Confirm.SelectOk())
            case amqp_connection.Method(number, E.Declare()):
                self.protocol.send(number, E.DeclareOk())
            case amqp_connection.Method(number, Q.Declare() as declare):
                self.protocol.send(number, Q.DeclareOk(declare.queue, 0, 0))
            case Content(number):
                self.tags[number] = self.tags.get(number, 0) + 1
                self.broker.on_publish(self, number, self.tags[number], event)

    # --- methods sent to the publisher ---

    def ack(self, channel: int, tag: int, multiple: bool = False) -> None:
        """Sends basic.ack for a delivery tag or, with `multiple`, for all tags up to it."""
        self.protocol.send(channel, B.Ack(tag, multiple))
        self.flush()

    def nack(self, channel: int, tag: int, multiple: bool = False) -> None:
        """Sends basic.nack for a delivery tag or, with `multiple`, for all tags up to it."""
        self.protocol.send(channel, B.Nack(tag, multiple, False))
        self.flush()

    def return_message(self, channel: int, content: Content) -> None:
        """Sends basic.return for an unroutable message; its confirm has to be sent separately."""
        publish = content.method
        assert isinstance(publish, B.Publish)
        returned = B.Return(amqp_connection.codes.NO_ROUTE, "NO_ROUTE", publish.exchange, publish.routing_key)
        self.protocol.publish(channel, returned, content.properties, content.body)

    def close_channel(self, channel: int, code: int, method: tuple[int, int] = (60, 40)) -> None:
        """Sends channel.close with a reply code.

        `method`: class and method id of the method that is reported as its cause; by default basic.publish.
        """
        self.tags.pop(channel, None)
        self.protocol.close_channel(channel, code, "as it was told to", method)
        self.flush()

    def close(self, code: int) -> None:
        """Sends connection.close with a reply code."""
        self.protocol.close(code, "as it was told to")
        self.flush()

    def abort(self) -> None:
        """Breaks the connection without closing it in AMQP."""
        if self.transport is not None:
            self.transport.abort()

    def send_blocked(self, reason: str) -> None:
        """Sends connection.blocked or, for an empty reason, connection.unblocked."""
        self.protocol.write(
            0,
            amqp_connection.ConnectionMethods.Blocked(reason)
            if reason
            else amqp_connection.ConnectionMethods.Unblocked(),
        )
        self.flush()


class Broker:
    """Listens on a port of its own, which it keeps when it is stopped and started again."""

    def __init__(self, limits: amqp_connection.Limits = LIMITS) -> None:
        self.limits, self.vhost, self.port = limits, "/", 0
        self.user, self.password = "guest", "guest"  # noqa: S105
        self.connections: set[BrokerConnection] = set()
        self.server: asyncio.Server | None = None
        # The reason of connection.blocked ("": publishing is allowed); the number of connections accepted.
        self.blocked, self.accepted = "", 0

    async def start(self) -> None:
        """Listens; raises OSError if the port is in use."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(self.new_connection, "127.0.0.1", self.port, backlog=128)
        self.port = self.server.sockets[0].getsockname()[1]

    def new_connection(self) -> BrokerConnection:
        self.accepted += 1
        return BrokerConnection(self)

    def stop(self) -> None:
        """Stops listening and breaks all connections, like a process that is killed."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()

    def login(self, mechanism: str, response: str) -> bool:
        """Checks the SASL response of a client."""
        return mechanism == "PLAIN" and response == f"\0{self.user}\0{self.password}"

    def block(self, reason: str) -> None:
        """Blocks publishing on all connections; an empty reason unblocks it."""
        self.blocked = reason
        for connection in list(self.connections):
            if connection.open:
                connection.send_blocked(reason)

    def on_open(self, connection: BrokerConnection) -> None:
        """Tells a new connection that publishing is blocked, if it is."""
        if self.blocked:
            connection.send_blocked(self.blocked)

    def on_publish(self, connection: BrokerConnection, channel: int, tag: int, content: Content) -> None:
        """Handles one publish: confirms it at once."""
        connection.ack(channel, tag)


class BrokerReceiver(Broker):
    """A broker that behaves like `Receiver`; at its rate limit it blocks publishing for `retry_after_ms`."""

    def __init__(self, name: str, ledger: Ledger, behaviour: Behaviour, seed: int) -> None:
        super().__init__()
        self.name, self.ledger, self.behaviour = name, ledger, behaviour
        self.random, self.recent = random.Random(seed), deque[float]()
        self.calls = self.refused = self.interrupted = 0  # calls: publishes; refused: those over the limit

    async def run_outage(self) -> None:
        """Stops and restarts the broker as its behaviour says."""
        await run_outage(self)

    def on_publish(self, connection: BrokerConnection, channel: int, tag: int, content: Content) -> None:
        """Applies the message after half of its latency and confirms it after the whole.

        A connection that breaks in between leaves a message that took effect without a confirm.
        """
        self.calls += 1
        message, headers = str(content.properties.message_id), content.properties.headers or {}
        self.ledger.calls[message] = self.ledger.calls.get(message, 0) + 1
        if self.behaviour.over_limit(self.recent, self.loop.time()) and not self.blocked:
            self.refused += 1
            self.block("too many publishes")
            self.loop.call_later(self.behaviour.retry_after_ms / 1000, self.block, "")
        slow = self.random.random() < self.behaviour.slow_share
        latency = self.behaviour.latency * (SLOWDOWN if slow else 1) * self.random.uniform(0.5, 1.5)
        token = str(headers.get("x-idempotency-key", ""))
        self.loop.call_later(latency / 2, self.ledger.apply, message, token, content.body)
        self.loop.call_later(latency, connection.ack, channel, tag)
