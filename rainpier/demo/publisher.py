"""An AMQP 0-9-1 client with publisher confirms and consumers, for the demo, the benchmarks and the tests."""

import asyncio
from collections import deque
from collections.abc import Callable

from pamqp import base, commands

from ..amqp import connection as amqp_connection
from ..amqp.channel import Content, Properties

B, Q = commands.Basic, commands.Queue
# Bytes of a frame, channels, bytes of a body, bytes of incomplete bodies; no heartbeats.
LIMITS = amqp_connection.Limits(131_072, 64, 1 << 20, 4 << 20, 0)


class PublisherClosed(Exception):
    """Raised when the channel or the connection is closed; `code` is the reply code or 0."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(f"{code} {text}")
        self.code = code


class Publisher(asyncio.Protocol):
    """One connection with one channel in confirm mode.

    AMQP answers the methods of a channel in their order, so the oldest entry of `calls` gets the next answer.
    """

    def __init__(
        self, login: amqp_connection.Login | None = None, limits: amqp_connection.Limits = LIMITS
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.protocol = amqp_connection.Client(limits, self.loop.time(), login or amqp_connection.Login())
        self.transport: asyncio.Transport | None = None
        # Done when the channel is in confirm mode, and when the connection is lost.
        self.ready: asyncio.Future[None] = self.loop.create_future()
        self.disconnected: asyncio.Future[None] = self.loop.create_future()
        self.calls: deque[asyncio.Future[base.Frame]] = deque()  # methods without an answer, oldest first
        self.confirms: dict[int, asyncio.Future[bool]] = {}  # by delivery tag
        self.returned: set[str] = set()  # ids of messages returned as unroutable
        self.on_delivery: Callable[[Content], None] | None = None
        self.blocked = ""  # the reason of connection.blocked; "" while publishing is allowed
        self.tag = self.channel = 0  # delivery tag of the last publish; number of the channel
        self.ended: PublisherClosed | None = None  # why the channel or the connection was closed; None: open

    @classmethod
    async def connect(
        cls, port: int, login: amqp_connection.Login | None = None, limits: amqp_connection.Limits = LIMITS
    ) -> "Publisher":
        """Opens a connection and its channel; raises PublisherClosed or OSError if that fails."""
        loop = asyncio.get_running_loop()
        _, publisher = await loop.create_connection(lambda: cls(login, limits), "127.0.0.1", port)
        await publisher.ready
        return publisher

    # --- callbacks of the event loop ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.flush()

    def data_received(self, data: bytes) -> None:
        self.protocol.feed(data, self.loop.time(), self.handle)
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        for event in self.protocol.connection_lost():
            self.handle(event)
        self.end(PublisherClosed(0, "connection lost"))
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def flush(self) -> None:
        """Writes pending frames; closes the transport once the AMQP connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            if data := self.protocol.take_output(self.loop.time()):
                self.transport.write(data)
            if self.protocol.phase is amqp_connection.Phase.CLOSED:
                self.transport.close()

    def handle(self, event: amqp_connection.Event) -> None:
        """Completes the futures that an event of the connection answers."""
        match event:
            case amqp_connection.Opened():
                self.channel = self.protocol.open_channel()
            case amqp_connection.ChannelOpened():
                self.protocol.send(self.channel, commands.Confirm.Select())
            case amqp_connection.Method(_, commands.Confirm.SelectOk()):
                if not self.ready.done():
                    self.ready.set_result(None)
            case amqp_connection.Method(_, B.Ack() | B.Nack() as method):
                self.confirmed(method.delivery_tag or 0, method.multiple, isinstance(method, B.Ack))
            case amqp_connection.Method(_, method):
                if self.calls:
                    self.calls.popleft().set_result(method)
            case Content(_, B.Return(), properties, _):
                self.returned.add(str(properties.message_id))
            case Content(_, B.GetOk()):
                self.calls.popleft().set_result(event)  # type: ignore[arg-type]
            case Content():
                if self.on_delivery is not None:
                    self.on_delivery(event)
            case amqp_connection.Blocked(reason):
                self.blocked = reason
            case amqp_connection.Unblocked():
                self.blocked = ""
            case amqp_connection.ChannelClosed(_, code, text) | amqp_connection.Closed(code, text):
                self.end(PublisherClosed(code, text))

    def confirmed(self, tag: int, multiple: bool, acked: bool) -> None:
        """Resolves the confirm of a delivery tag or, with `multiple`, of all tags up to it."""
        tags = [pending for pending in self.confirms if pending <= tag] if multiple else [tag]
        for pending_tag in tags:
            future = self.confirms.pop(pending_tag, None)
            if future is not None and not future.done():
                future.set_result(acked)

    def end(self, ended: PublisherClosed) -> None:
        """Fails everything that is pending; the first error reported is kept."""
        self.ended = self.ended or ended
        pending = [self.ready, *self.calls, *self.confirms.values()]
        self.calls.clear()
        self.confirms.clear()
        for future in pending:
            if not future.done():
                future.set_exception(self.ended)
                future.exception()  # prevents asyncio's warning if nothing awaits this future

    # --- requests ---

    async def call(self, method: base.Frame) -> base.Frame:
        """Sends a method and returns its answer; raises PublisherClosed if the channel closes before."""
        if self.ended is not None:
            raise self.ended
        future = self.loop.create_future()
        self.calls.append(future)
        self.protocol.send(self.channel, method)
        self.flush()
        return await future

    def publish(
        self, exchange: str, key: str, body: bytes, properties: Properties, mandatory: bool = False
    ) -> asyncio.Future[bool]:
        """Publishes a message. The result is True if accepted (basic.ack), False if not (basic.nack)."""
        future = self.loop.create_future()
        if self.ended is not None:
            future.set_exception(self.ended)
            return future
        self.tag += 1
        self.confirms[self.tag] = future
        self.protocol.publish(self.channel, B.Publish(0, exchange, key, mandatory), properties, body)
        self.flush()
        return future

    async def consume(
        self, on_delivery: Callable[[Content], None], queue: str = "", prefetch: int = 0
    ) -> str:
        """Consumes from the durable queue of this name, or from a new exclusive one; returns its name.

        `prefetch`: how many unacknowledged messages the server may send; 0: any number.
        """
        declared = await self.call(Q.Declare(0, queue, False, bool(queue), not queue, False))
        assert isinstance(declared, Q.DeclareOk)
        self.on_delivery = on_delivery
        if prefetch:
            await self.call(B.Qos(0, prefetch))
        await self.call(B.Consume(0, declared.queue))
        return str(declared.queue)

    def ack(self, tag: int, multiple: bool = False) -> None:
        """Acknowledges a consumed message or, with `multiple`, all up to it."""
        self.protocol.send(self.channel, B.Ack(tag, multiple))
        self.flush()

    def close(self) -> None:
        """Starts to close the connection in AMQP."""
        self.protocol.close()
        self.flush()

    def abort(self) -> None:
        """Breaks the connection without closing it in AMQP."""
        if self.transport is not None:
            self.transport.abort()
