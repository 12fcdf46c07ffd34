"""One AMQP connection to a broker: its channels, publisher confirms, heartbeats and close."""

import asyncio
import logging
from collections.abc import Callable

from pamqp import commands

from ...amqp import codes
from ...amqp import connection as amqp_connection
from ...amqp.channel import Content
from ...sockets import stream_socket
from .options import BrokerOptions
from .outcomes import ConfirmChannel, Publish, PublishResult, UnknownDeliveryTag

log = logging.getLogger(__name__)
Basic = commands.Basic
TAG_HEADER = "x-publish"  # carries the delivery tag, so that a basic.return can be matched to its publish
HEARTBEAT_CHECK_S = 0.25  # largest interval between checks of the heartbeat
# One for all connections: each read is copied out before the next one. Small, since a read is processed at
# once: one of 256 KiB may hold 32,000 frames.
READ_BUFFER = memoryview(bytearray(16384))
CLOSE_TIMEOUT_S = 1.0  # from connection.close to connection.close-ok
# Limits on a broker: bytes of a frame, channels of a connection, bytes of the body of a basic.return.
MAX_FRAME, MAX_CHANNELS, MAX_RETURNED_BODY = 131_072, 1024, 1 << 20


class ConnectFailed(Exception):
    """The connection ended before it was open; the text says why."""


class BrokerConnection(asyncio.BufferedProtocol):
    """One connection to a broker, from the handshake to its end, when `on_closed` is called once."""

    def __init__(self, options: BrokerOptions, on_closed: Callable[["BrokerConnection"], None]) -> None:
        self.options, self.on_closed = options, on_closed
        self.loop = asyncio.get_running_loop()
        limits = amqp_connection.Limits(
            MAX_FRAME, MAX_CHANNELS, MAX_RETURNED_BODY, 2 * MAX_RETURNED_BODY, options.heartbeat
        )
        self.protocol = amqp_connection.Client(limits, self.loop.time(), options.login)
        self.transport: asyncio.Transport | None = None
        # The channels by slot, None while one is not open. A key always uses the same slot, and a broker
        # keeps the order of publishes on one channel only.
        self.slots: list[ConfirmChannel | None] = [None] * options.channels
        self.channels: dict[int, ConfirmChannel] = {}  # the same by channel number
        self.change_waiters: set[asyncio.Future[None]] = set()  # see wait_for_change
        self.open = self.write_paused = self.draining = self.closed = False
        self.blocked_reason = ""  # the broker's reason for blocking publishing; empty: not blocked
        self.calls = 0  # calls of which something was published on this connection
        self.close_reason = ""  # empty while it is open
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    # --- callbacks of the event loop ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Pauses publishing as soon as the broker stops reading: what waits in a buffer here would be written
        # later, possibly after the broker has begun to drain.
        transport.set_write_buffer_limits(high=0)
        self.flush()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read; see READ_BUFFER."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the events in received bytes and writes what they cause."""
        self.protocol.feed(READ_BUFFER[:nbytes], self.loop.time(), self.handle_event)
        self.flush()
        self.notify_waiters()

    def connection_lost(self, exc: Exception | None) -> None:
        """Resolves what is unconfirmed, unless the connection was closed before."""
        for event in self.protocol.connection_lost():
            self.handle_event(event)
        self.finish(PublishResult.CONNECTION_LOST, "connection lost")

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self.notify_waiters()

    # --- protocol events ---

    def handle_event(self, event: amqp_connection.Event) -> None:
        """Handles one event of the protocol."""
        match event:
            case amqp_connection.Opened():
                self.on_open()
            case amqp_connection.ChannelOpened(number):
                self.protocol.send(number, commands.Confirm.Select())
            case amqp_connection.Method(number, method):
                self.on_method(number, method)
            case Content(number, Basic.Return(), properties, _):
                if (channel := self.channels.get(number)) is not None:
                    tag = (properties.headers or {}).get(TAG_HEADER)
                    channel.on_return(str(properties.message_id or ""), tag if isinstance(tag, int) else None)
            case amqp_connection.ChannelClosed(number, code, text, method):
                self.on_channel_closed(number, code, text, method)
            case amqp_connection.Blocked(reason):
                self.blocked_reason = reason or "no reason given"
                log.info(
                    "a broker of destination %s blocked publishing: %s",
                    self.options.destination,
                    self.blocked_reason,
                )
            case amqp_connection.Unblocked():
                self.blocked_reason = ""
            case amqp_connection.Closed(code, text):
                result = PublishResult.CONNECTION_CLOSED if code else PublishResult.CONNECTION_LOST
                self.finish(result, f"{code} {text}" if code else text)

    def on_open(self) -> None:
        """Opens the channels and starts the heartbeat, once the handshake is complete."""
        self.open = True
        del self.slots[max(1, self.protocol.channel_max) :]  # the broker may allow fewer
        for slot in range(len(self.slots)):
            self.open_channel(slot)
        if self.protocol.heartbeat:
            self.heartbeat_timer = self.loop.call_later(
                min(HEARTBEAT_CHECK_S, self.protocol.heartbeat / 4), self.check_heartbeat
            )

    def open_channel(self, slot: int) -> None:
        """Opens a channel in an empty slot, if the protocol has a free channel number."""
        number = self.protocol.open_channel()
        if number:
            channel = ConfirmChannel(number, self.options.max_unconfirmed, self.options.nack_never_ran)
            self.slots[slot] = self.channels[number] = channel

    def on_method(self, number: int, method: commands.base.Frame) -> None:
        """Handles a method on a channel: confirms, flow control and confirm mode."""
        channel = self.channels.get(number)
        if channel is None:
            return
        match method:
            case commands.Confirm.SelectOk():
                channel.ready = True
            case Basic.Ack() | Basic.Nack():
                try:
                    channel.on_confirm(
                        method.delivery_tag or 0, bool(method.multiple), isinstance(method, Basic.Ack)
                    )
                except UnknownDeliveryTag as error:
                    log.warning(
                        "closing channel %d to a broker of destination %s, which sent a %s",
                        number,
                        self.options.destination,
                        error,
                    )
                    self.close_channel(channel)
            case commands.Channel.Flow():
                # Flow control of one channel is treated as blocking of the whole broker: the transport sends
                # all its calls to this broker.
                self.blocked_reason = "" if method.active else "channel.flow"
                self.protocol.send(number, commands.Channel.FlowOk(method.active))

    def close_channel(self, channel: ConfirmChannel) -> None:
        """Closes a channel from this side and opens a new one in its slot."""
        self.protocol.close_channel(channel.number)
        self.on_channel_closed(channel.number, 0, "", (0, 0))

    def on_channel_closed(self, number: int, code: int, text: str, method: tuple[int, int]) -> None:
        """Resolves the publishes of a closed channel and opens another one in its slot, unless draining."""
        channel = self.channels.pop(number, None)
        if channel is None:
            return
        if code not in (0, codes.SUCCESS):
            log.warning(
                "a broker of destination %s closed channel %d: %d %s",
                self.options.destination,
                number,
                code,
                text,
            )
        channel.on_closed(code, method)
        slot = self.slots.index(channel)
        self.slots[slot] = None
        if not self.draining:
            self.open_channel(slot)

    # --- heartbeat and close ---

    def check_heartbeat(self) -> None:
        """Sends heartbeats, and closes a connection whose broker is silent; schedules the next check."""
        for event in self.protocol.tick(self.loop.time()):
            self.handle_event(event)
        self.flush()
        if not self.closed:
            self.heartbeat_timer = self.loop.call_later(
                min(HEARTBEAT_CHECK_S, self.protocol.heartbeat / 4), self.check_heartbeat
            )

    def flush(self) -> None:
        """Writes what the protocol has queued; closes the transport once the protocol is closed."""
        if self.transport is not None and not self.transport.is_closing():
            if data := self.protocol.take_output(self.loop.time()):
                self.transport.write(data)
            if self.protocol.phase is amqp_connection.Phase.CLOSED:
                self.transport.close()

    def notify_waiters(self) -> None:
        """Wakes all calls in `wait_for_change`; closes a draining connection that no call waits on."""
        for future in self.change_waiters:
            if not future.done():
                future.set_result(None)
        self.change_waiters.clear()
        if self.draining and not self.closed and not self.confirm_awaited:
            self.close_cleanly()

    @property
    def confirm_awaited(self) -> bool:
        """Whether a call in flight waits for a confirm on this connection."""
        unconfirmed = (
            publish for channel in self.channels.values() for publish in channel.unconfirmed.values()
        )
        return any(not publish.abandoned for publish in unconfirmed)

    def finish(self, result: PublishResult, reason: str) -> None:
        """Closes the connection and resolves each unconfirmed publish with `result`; no effect once closed.

        `reason`: kept in `close_reason`, for the log.
        """
        if self.closed:
            return
        self.closed, self.open, self.close_reason = True, False, reason
        for channel in self.channels.values():
            for _ in channel.resolve_all(result):  # resolves with the iteration
                pass
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.flush()
        if self.transport is not None:
            self.transport.close()
        self.notify_waiters()
        self.on_closed(self)

    def drain(self) -> None:
        """Lets no further publish begin; the connection closes once no call waits for a confirm."""
        self.draining = True
        self.notify_waiters()

    def close_cleanly(self) -> None:
        """Sends connection.close; aborts if the broker does not confirm it within CLOSE_TIMEOUT_S."""
        self.protocol.close(codes.SUCCESS, "done")
        self.flush()
        self.closed, self.open = True, False
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        if self.transport is not None:
            self.loop.call_later(CLOSE_TIMEOUT_S, self.transport.abort)
        self.on_closed(self)

    def abort(self) -> None:
        """Closes the connection without a handshake; unwritten bytes are dropped."""
        if self.transport is not None:
            self.transport.abort()

    # --- publishing ---

    async def wait_for_change(self) -> None:
        """Waits until bytes are received, writing resumes, or the connection drains or ends."""
        future = self.loop.create_future()
        self.change_waiters.add(future)
        try:
            await future
        finally:
            self.change_waiters.discard(future)

    async def wait_until_open(self) -> None:
        """Waits until the handshake is complete. Raises ConnectFailed if the connection ends before."""
        while not self.open:
            if self.closed:
                raise ConnectFailed(self.close_reason)
            await self.wait_for_change()

    def channel_for(self, key: int) -> ConfirmChannel | None:
        """Returns the channel of a key, or for key 0 (no key) the one with the fewest unconfirmed publishes.

        None if it is not ready. A channel full of publishes whose calls have ended is replaced by a new one.
        """
        if key:
            channel = self.slots[key % len(self.slots)]
        else:
            ready = [channel for channel in self.slots if channel is not None and channel.ready]
            channel = min(ready, key=lambda channel: len(channel.unconfirmed), default=None)
        if channel is not None and channel.exhausted:
            self.close_channel(channel)
            self.flush()
            return None
        return channel if channel is not None and channel.ready else None

    def publish(
        self, channel: ConfirmChannel, routing_key: str, properties: Basic.Properties, body: bytes
    ) -> Publish:
        """Queues a publish, which the next `flush` writes; adds TAG_HEADER to `properties`."""
        method = Basic.Publish(0, self.options.exchange, routing_key, True)
        # Without the tag, a basic.return could be taken for that of another publish of the same message.
        properties.headers = (properties.headers or {}) | {TAG_HEADER: channel.last_tag + 1}
        self.protocol.publish(channel.number, method, properties, body)
        return channel.publish(str(properties.message_id))


async def connect(
    address: tuple[str, int], options: BrokerOptions, on_closed: Callable[[BrokerConnection], None]
) -> BrokerConnection:
    """Opens the TCP connection; BrokerConnection.wait_until_open awaits the handshake. Raises OSError."""
    loop, sock = asyncio.get_running_loop(), stream_socket(address[0])
    try:
        await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(lambda: BrokerConnection(options, on_closed), sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection
