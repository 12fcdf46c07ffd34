"""State machine of a connection: handshake, channels, limits and heartbeats, for both roles. No I/O.

`feed` and `receive` turn received bytes into events; `take_output` returns the bytes to write. The caller
passes the time, in s of any one clock. A protocol error of the peer raises no exception in the caller: the
connection closes as the specification (AMQP 0-9-1, sections 1.3 and 2.2) requires.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pamqp import base, commands

from . import codes, frames
from .channel import Channel, ChannelPhase, Content, Properties
from .codes import ChannelException, ConnectionException
from .options import Limits, Login

ConnectionMethods, ChannelMethods, BasicMethods = commands.Connection, commands.Channel, commands.Basic
CONTENT_METHODS = {  # by role of the receiver: the methods that content follows
    "server": (BasicMethods.Publish,),
    "client": (BasicMethods.Return, BasicMethods.Deliver, BasicMethods.GetOk),
}
COMMON_METHODS = (ChannelMethods.Close, ChannelMethods.CloseOk, ChannelMethods.Flow, ChannelMethods.FlowOk)
ExchangeMethods, QueueMethods, TxMethods = commands.Exchange, commands.Queue, commands.Tx
ACCEPTED_METHODS: dict[str, tuple[type, ...]] = {  # by role of the receiver; on channels other than 0
    "server": (
        *COMMON_METHODS, ChannelMethods.Open, ExchangeMethods.Declare, ExchangeMethods.Delete,
        ExchangeMethods.Bind, ExchangeMethods.Unbind, QueueMethods.Declare, QueueMethods.Bind,
        QueueMethods.Purge, QueueMethods.Delete, QueueMethods.Unbind, BasicMethods.Qos,
        BasicMethods.Consume, BasicMethods.Cancel, BasicMethods.CancelOk, BasicMethods.Publish,
        BasicMethods.Get, BasicMethods.Ack, BasicMethods.Reject, BasicMethods.Nack,
        BasicMethods.Recover, BasicMethods.RecoverAsync, commands.Confirm.Select, TxMethods.Select,
        TxMethods.Commit, TxMethods.Rollback
    ),
    "client": (
        *COMMON_METHODS, ChannelMethods.OpenOk, ExchangeMethods.DeclareOk, ExchangeMethods.DeleteOk,
        ExchangeMethods.BindOk, ExchangeMethods.UnbindOk, QueueMethods.DeclareOk,
        QueueMethods.BindOk, QueueMethods.PurgeOk, QueueMethods.DeleteOk, QueueMethods.UnbindOk,
        BasicMethods.QosOk, BasicMethods.ConsumeOk, BasicMethods.Cancel, BasicMethods.CancelOk,
        BasicMethods.Return, BasicMethods.Deliver, BasicMethods.GetOk, BasicMethods.GetEmpty,
        BasicMethods.Ack, BasicMethods.Nack, BasicMethods.RecoverOk, commands.Confirm.SelectOk,
        TxMethods.SelectOk, TxMethods.CommitOk, TxMethods.RollbackOk
    ),
}  # fmt: skip
# Heartbeat intervals without a received byte, after which the peer counts as dead (specification, 4.2.7).
MAX_SILENT_INTERVALS = 2.0
# Extensions of RabbitMQ that both roles announce.
CAPABILITIES = ("publisher_confirms", "basic.nack", "connection.blocked", "authentication_failure_close",
                "consumer_cancel_notify")  # fmt: skip


def known_capabilities(properties: dict[str, Any] | None) -> dict[str, Any]:
    """Returns the capabilities in a peer's properties that are of use here: a peer may give very many."""
    capabilities = (properties or {}).get("capabilities")
    if not isinstance(capabilities, dict):
        return {}
    return {name: capabilities[name] for name in CAPABILITIES if name in capabilities}


class Phase(Enum):
    """The phase of a connection."""

    HEADER = "header"  # awaiting the protocol header
    START = "start"  # awaiting connection.start or start-ok
    TUNE = "tune"  # awaiting connection.tune or tune-ok
    OPEN = "open"  # awaiting connection.open or open-ok
    RUNNING = "running"  # the handshake has completed
    CLOSING = "closing"  # this side sent connection.close and awaits close-ok; other frames are dropped
    CLOSED = "closed"


# --- events ---


@dataclass(slots=True, frozen=True)
class Opened:
    """The handshake has completed."""


@dataclass(slots=True, frozen=True)
class ChannelOpened:
    """A channel is open; for a client, the server has confirmed it."""

    channel: int


@dataclass(slots=True, frozen=True)
class ChannelClosed:
    """A channel is closed, with the code and text of the close."""

    channel: int
    code: int
    text: str
    method: tuple[int, int]  # class and method ID that caused it; (0, 0): none
    local: bool = False  # closed by this side and confirmed by the peer


@dataclass(slots=True, frozen=True)
class Method:
    """A method without content."""

    channel: int
    method: base.Frame


@dataclass(slots=True, frozen=True)
class Blocked:
    """The server accepts no publishes for now (connection.blocked)."""

    reason: str


@dataclass(slots=True, frozen=True)
class Unblocked:
    """The server accepts publishes again."""


@dataclass(slots=True, frozen=True)
class Closed:
    """The connection is closed; only the output that `take_output` returns remains to be written."""

    code: int  # reply code; 0: ended without a close method
    text: str
    local: bool = False  # closed by this side


Event = Opened | ChannelOpened | ChannelClosed | Method | Content | Blocked | Unblocked | Closed


class Connection:
    """Common part of both roles; see Server and Client. `now`: s, as in all methods."""

    role = ""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits, self.phase = limits, Phase.HEADER
        # As negotiated: bytes of a frame, highest channel number, heartbeat interval in s (0: none).
        self.frame_max, self.channel_max, self.heartbeat = frames.MIN_FRAME_MAX, limits.channels, 0
        self.input, self.output = bytearray(), bytearray()
        self.channels: dict[int, Channel] = {}
        self.partial_bytes = 0  # bytes of incomplete content, with its headers, over all channels
        self.last_received = self.last_sent = now  # s, of the last byte
        self.peer_capabilities: dict[str, Any] = {}

    # --- bytes ---

    def receive(self, data: bytes, now: float) -> list[Event]:
        """Returns the events in received bytes, for callers that do not act on them; others use `feed`."""
        events: list[Event] = []
        self.feed(data, now, events.append)
        return events

    def feed(self, data: bytes | memoryview, now: float, handle: Callable[[Event], None]) -> None:
        """Processes received bytes at once; calls `handle` for each event, see `process`."""
        self.append(data, now)
        self.process(handle, lambda: True)

    def append(self, data: bytes | memoryview, now: float) -> None:
        """Adds received bytes to the input, for `process`."""
        self.last_received = now
        if self.phase is not Phase.CLOSED:
            self.input += data

    def discard_input(self) -> None:
        """Drops the received bytes that are not processed."""
        self.input.clear()

    def process(self, handle: Callable[[Event], None], may_continue: Callable[[], bool]) -> bool:
        """Processes the frames in the input; calls `handle` for each event before the next frame is parsed.

        Otherwise handlers would see a state later than that of their event: with two channels closed in one
        read, the handler of the first close could open a channel with the number of the second, whose close
        it has not handled yet. Stops after a frame if `may_continue` returns False; returns whether it did.
        """
        if self.phase is Phase.CLOSED:
            return False
        stopped = False
        try:
            if self.phase is Phase.HEADER and not self.read_protocol_header(handle):
                return False
            for kind, channel, payload in frames.split(self.input, self.max_frame_size()):
                for event in self.on_frame(kind, channel, payload):
                    handle(event)
                stopped = not may_continue()
                if stopped or self.phase is Phase.CLOSED:
                    break
        except ConnectionException as error:
            stopped = False
            for event in self.close_for_error(error):
                handle(event)
        if self.phase is Phase.CLOSED:
            self.input.clear()
        return stopped and bool(self.input)

    def max_frame_size(self) -> int:
        """Returns the largest accepted frame in bytes.

        It is the negotiated size, and this side's limit until the handshake has completed, so that a peer
        cannot announce a larger one without logging in.
        """
        return max(self.frame_max, frames.MIN_FRAME_MAX) if self.phase is Phase.RUNNING else self.limits.frame

    def read_protocol_header(self, handle: Callable[[Event], None]) -> bool:
        """Checks the peer's protocol header in the input; returns whether frames may be parsed now."""
        raise NotImplementedError

    def take_output(self, now: float | None = None) -> bytes:
        """Returns and clears the pending output; `now`: when it is written, for the heartbeats."""
        data = bytes(self.output)
        self.output.clear()
        if data and now is not None:
            self.last_sent = now
        return data

    def tick(self, now: float) -> list[Event]:
        """Sends a heartbeat if one is due and closes the connection if the peer is silent for too long.

        To be called several times in each heartbeat interval.
        """
        if not self.heartbeat or self.phase not in (Phase.RUNNING, Phase.CLOSING):
            return []
        if now - self.last_received > MAX_SILENT_INTERVALS * self.heartbeat:
            self.mark_closed()
            return [
                Closed(0, f"no byte for {now - self.last_received:.0f} s, heartbeat {self.heartbeat} s", True)
            ]
        if now - self.last_sent >= self.heartbeat / 2:
            self.output += frames.HEARTBEAT_FRAME
            self.last_sent = now
        return []

    def connection_lost(self) -> list[Event]:
        """Handles the loss of the transport."""
        if self.phase is Phase.CLOSED:
            return []
        self.mark_closed()
        return [Closed(0, "connection lost")]

    def mark_closed(self) -> None:
        """Enters the closed phase and releases channels and buffered input."""
        self.phase = Phase.CLOSED
        self.channels.clear()
        self.partial_bytes = 0
        self.input.clear()

    # --- frames ---

    def on_frame(self, kind: int, channel: int, payload: bytes) -> Iterator[Event]:
        """Returns the events of a frame; raises ConnectionException if the frame is not allowed now."""
        if kind == frames.HEARTBEAT:
            if channel or payload:
                raise ConnectionException(codes.FRAME_ERROR, "a heartbeat with a channel or a payload")
            return iter(())
        if self.phase is Phase.CLOSING:
            return self.on_frame_while_closing(kind, channel, payload)
        if channel == 0:
            if kind != frames.METHOD:
                raise ConnectionException(codes.UNEXPECTED_FRAME, "content on channel 0")
            return self.on_connection(frames.read_method(payload))
        if self.phase is not Phase.RUNNING:
            raise ConnectionException(codes.CHANNEL_ERROR, f"channel {channel} before the connection is open")
        if channel > self.channel_max:
            raise ConnectionException(
                codes.CHANNEL_ERROR, f"channel {channel}, the highest is {self.channel_max}"
            )
        return self.on_channel(kind, channel, payload)

    def on_frame_while_closing(self, kind: int, channel: int, payload: bytes) -> Iterator[Event]:
        """Handles close-ok, and a close that the peer sent at the same time; drops any other frame."""
        if kind != frames.METHOD or channel:
            return
        method = frames.read_method(payload)
        if isinstance(method, ConnectionMethods.Close):
            self.write(0, ConnectionMethods.CloseOk())
        elif isinstance(method, ConnectionMethods.CloseOk):
            self.mark_closed()
            yield Closed(codes.SUCCESS, "closed", True)

    def on_connection(self, method: base.Frame) -> Iterator[Event]:
        """Handles a method on channel 0."""
        if isinstance(method, ConnectionMethods.Close):
            self.write(0, ConnectionMethods.CloseOk())
            self.mark_closed()
            yield Closed(method.reply_code, str(method.reply_text))
        elif self.phase is not Phase.RUNNING:
            yield from self.on_handshake_method(method)
        elif isinstance(method, ConnectionMethods.Blocked):
            yield Blocked(str(method.reason))
        elif isinstance(method, ConnectionMethods.Unblocked):
            yield Unblocked()
        elif isinstance(method, ConnectionMethods.UpdateSecret):
            self.write(0, ConnectionMethods.UpdateSecretOk())
        else:
            raise ConnectionException(codes.COMMAND_INVALID, f"{method.name} now", frames.method_id(method))

    def on_handshake_method(self, method: base.Frame) -> Iterator[Event]:
        """Handles a method of the handshake."""
        raise NotImplementedError

    # --- channels ---

    def on_channel(self, kind: int, number: int, payload: bytes) -> Iterator[Event]:
        """Handles a frame on a channel other than 0."""
        channel = self.channels.get(number)
        if channel is not None and channel.phase is ChannelPhase.CLOSING:
            yield from self.on_frame_of_closing_channel(channel, kind, payload)
            return
        if kind != frames.METHOD:
            if channel is None:
                raise ConnectionException(
                    codes.CHANNEL_ERROR, f"content on channel {number}, which is closed"
                )
            content = self.on_content(channel, kind, payload)
            if content is not None:
                yield content
            return
        method = frames.read_method(payload)
        if not isinstance(method, ACCEPTED_METHODS[self.role]):
            raise ConnectionException(
                codes.COMMAND_INVALID, f"{method.name} is not for this side", frames.method_id(method)
            )
        if channel is not None and channel.mid_content:
            raise ConnectionException(
                codes.UNEXPECTED_FRAME, f"{method.name} inside a content", frames.method_id(method)
            )
        yield from self.on_method(channel, number, method)

    def on_method(self, channel: Channel | None, number: int, method: base.Frame) -> Iterator[Event]:
        """Handles a method on a channel other than 0; `channel` is None if it is closed."""
        if isinstance(method, ChannelMethods.Open):
            if channel is not None:
                raise ConnectionException(
                    codes.CHANNEL_ERROR, f"channel {number} is open", frames.method_id(method)
                )
            self.channels[number] = Channel(number, ChannelPhase.OPEN)
            self.write(number, ChannelMethods.OpenOk())
            yield ChannelOpened(number)
        elif channel is None:
            raise ConnectionException(
                codes.CHANNEL_ERROR, f"channel {number} is closed", frames.method_id(method)
            )
        elif isinstance(method, ChannelMethods.OpenOk):
            if channel.phase is not ChannelPhase.OPENING:
                raise ConnectionException(
                    codes.CHANNEL_ERROR, f"channel {number} is open", frames.method_id(method)
                )
            channel.phase = ChannelPhase.OPEN
            yield ChannelOpened(number)
        elif isinstance(method, ChannelMethods.Close):
            self.write(number, ChannelMethods.CloseOk())
            self.remove_channel(number)
            cause = (method.class_id, method.method_id)
            yield ChannelClosed(number, method.reply_code, str(method.reply_text), cause)
        elif isinstance(method, ChannelMethods.CloseOk):
            raise ConnectionException(
                codes.COMMAND_INVALID, "close-ok without a close", frames.method_id(method)
            )
        elif isinstance(method, CONTENT_METHODS[self.role]):
            channel.begin_content(method)
        else:
            yield Method(number, method)

    def on_frame_of_closing_channel(self, channel: Channel, kind: int, payload: bytes) -> Iterator[Event]:
        """Drops frames that were in flight when this side closed the channel (specification, 1.5.2.5)."""
        if kind != frames.METHOD:
            return
        method = frames.read_method(payload)
        if isinstance(method, ChannelMethods.Close):
            self.write(channel.id, ChannelMethods.CloseOk())
        elif isinstance(method, ChannelMethods.CloseOk):
            self.remove_channel(channel.id)
            yield ChannelClosed(channel.id, codes.SUCCESS, "closed", (0, 0), True)

    def on_content(self, channel: Channel, kind: int, payload: bytes) -> Content | None:
        """Handles a content frame; returns the content once it is complete.

        A body above Limits.body closes its channel; incomplete content above Limits.partial raises
        ConnectionException.
        """
        before = channel.held_bytes
        content = channel.on_header(payload) if kind == frames.HEADER else channel.on_body(payload)
        self.partial_bytes += channel.held_bytes - before
        method = channel.method
        if kind == frames.HEADER and channel.body_size > self.limits.body and method is not None:
            text = f"a body of {channel.body_size} bytes, at most {self.limits.body} are taken"
            self.close_channel(channel.id, codes.CONTENT_TOO_LARGE, text, frames.method_id(method))
        if self.partial_bytes > self.limits.partial:
            raise ConnectionException(codes.RESOURCE_ERROR, "too much content that is not whole")
        return content

    def remove_channel(self, number: int) -> None:
        """Forgets a closed channel and its incomplete content."""
        channel = self.channels.pop(number, None)
        if channel is not None:
            self.partial_bytes -= channel.held_bytes

    # --- output ---

    def write(self, channel: int, method: base.Frame) -> None:
        """Appends a method to the output without checking the channel's state."""
        self.output += frames.write_method(channel, method)

    def send(self, channel: int, method: base.Frame) -> None:
        """Sends a method without content; does nothing on a channel that is closed or closing."""
        if self.is_open(channel):
            self.write(channel, method)

    def is_open(self, channel: int) -> bool:
        """Whether methods may be sent on the channel."""
        existing = self.channels.get(channel)
        return self.phase is Phase.RUNNING and existing is not None and existing.phase is ChannelPhase.OPEN

    def publish(self, channel: int, method: base.Frame, properties: Properties, body: bytes) -> None:
        """Sends a method with its complete content, so that no frame of the same channel comes in between."""
        if self.is_open(channel):
            self.output += frames.write_content(channel, method, properties, body, self.frame_max)

    def close_channel(
        self, channel: int, code: int = codes.SUCCESS, text: str = "", method: tuple[int, int] = (0, 0)
    ) -> None:
        """Sends channel.close and discards incomplete content; no effect if the channel is closed or closing.

        `method`: class and method ID that caused it; (0, 0): none.
        """
        existing = self.channels.get(channel)
        if existing is None or existing.phase is ChannelPhase.CLOSING or self.phase is not Phase.RUNNING:
            return
        self.write(channel, ChannelMethods.Close(code, codes.reply_text(code, text), *method))
        self.partial_bytes -= existing.held_bytes
        existing.discard_content()
        existing.phase = ChannelPhase.CLOSING

    def close(self, code: int = codes.SUCCESS, text: str = "", method: tuple[int, int] = (0, 0)) -> None:
        """Sends connection.close, unless the connection is closed or closing."""
        if self.phase not in (Phase.CLOSING, Phase.CLOSED):
            self.write(0, ConnectionMethods.Close(code, codes.reply_text(code, text), *method))
            self.phase = Phase.CLOSING
            self.channels.clear()
            self.partial_bytes = 0

    def close_for_error(self, error: ConnectionException) -> list[Event]:
        """Closes the connection after a protocol error of the peer.

        It counts as closed without waiting for close-ok. Before the exchange of protocol headers no close
        method is sent.
        """
        if self.phase in (Phase.CLOSING, Phase.CLOSED):
            self.mark_closed()
        else:
            if self.phase is not Phase.HEADER:
                self.close(error.code, str(error), error.method)
            self.mark_closed()
        return [Closed(error.code, error.text, True)]

    def close_channel_for_error(self, channel: int, error: ChannelException) -> None:
        """Closes a channel with the code and text of the exception."""
        self.close_channel(channel, error.code, str(error), error.method)


class Server(Connection):
    """Server role. `login(mechanism, response)` and `vhost(name)` return whether the client is allowed."""

    role = "server"

    def __init__(
        self, limits: Limits, now: float, login: Callable[[str, str], bool], vhost: Callable[[str], bool]
    ) -> None:
        super().__init__(limits, now)
        self.login, self.vhost = login, vhost
        self.user = ""

    def read_protocol_header(self, handle: Callable[[Event], None]) -> bool:
        """Checks the protocol header; sends its own and closes after another one (specification, 2.2.4)."""
        header = bytes(self.input[:8])
        if not frames.PROTOCOL_HEADER.startswith(header):
            self.output += frames.PROTOCOL_HEADER
            self.mark_closed()
            handle(Closed(codes.FRAME_ERROR, f"protocol header {header!r} is not that of AMQP 0-9-1", True))
            return False
        if len(header) < 8:
            return False
        del self.input[:8]
        properties = {"product": "rainpier", "capabilities": dict.fromkeys(CAPABILITIES, True)}
        self.write(0, ConnectionMethods.Start(0, 9, properties, "PLAIN", "en_US"))
        self.phase = Phase.START
        return True

    def on_handshake_method(self, method: base.Frame) -> Iterator[Event]:
        """Handles start-ok, tune-ok or open; raises ConnectionException for any other method."""
        match method, self.phase:
            case ConnectionMethods.StartOk(), Phase.START:
                self.on_start(method)
            case ConnectionMethods.TuneOk(), Phase.TUNE:
                self.on_tune(method)
            case ConnectionMethods.Open(), Phase.OPEN:
                name = str(method.virtual_host)
                if not self.vhost(name):
                    raise ConnectionException(
                        codes.NOT_ALLOWED, f"no vhost {name!r}", frames.method_id(method)
                    )
                self.write(0, ConnectionMethods.OpenOk())
                self.phase = Phase.RUNNING
                yield Opened()
            case _:
                raise ConnectionException(
                    codes.COMMAND_INVALID, f"{method.name} now", frames.method_id(method)
                )

    def on_start(self, method: ConnectionMethods.StartOk) -> None:
        """Handles start-ok: checks the login and offers this side's limits."""
        if not self.login(str(method.mechanism), str(method.response)):
            raise ConnectionException(codes.ACCESS_REFUSED, "login refused", frames.method_id(method))
        self.peer_capabilities = known_capabilities(method.client_properties)
        self.write(0, ConnectionMethods.Tune(self.limits.channels, self.limits.frame, self.limits.heartbeat))
        self.phase = Phase.TUNE

    def on_tune(self, method: ConnectionMethods.TuneOk) -> None:
        """Handles tune-ok: applies the limits that the client chose; 0 means that it has none of its own.

        Raises ConnectionException for limits beyond those offered.
        """
        frame, channels = method.frame_max or self.limits.frame, method.channel_max or self.limits.channels
        if not frames.MIN_FRAME_MAX <= frame <= self.limits.frame or channels > self.limits.channels:
            raise ConnectionException(
                codes.NOT_ALLOWED, f"frame-max {frame}, channel-max {channels}: beyond what was offered"
            )
        self.frame_max, self.channel_max, self.heartbeat = frame, channels, method.heartbeat
        self.phase = Phase.OPEN


class Client(Connection):
    """Client role. It sends its protocol header first, without waiting for the server."""

    role = "client"

    def __init__(self, limits: Limits, now: float, login: Login) -> None:
        super().__init__(limits, now)
        self.login = login
        self.output += frames.PROTOCOL_HEADER

    def read_protocol_header(self, handle: Callable[[Event], None]) -> bool:
        """Closes if the server replies with a protocol header, as one of another version does."""
        if self.input.startswith(b"AMQP"):
            self.mark_closed()
            handle(Closed(codes.FRAME_ERROR, "the server speaks another version", True))
            return False
        self.phase = Phase.START
        return True

    def on_handshake_method(self, method: base.Frame) -> Iterator[Event]:
        """Handles start, tune or open-ok; raises ConnectionException for any other method."""
        match method, self.phase:
            case ConnectionMethods.Start(), Phase.START:
                self.on_start(method)
            case ConnectionMethods.Tune(), Phase.TUNE:
                self.on_tune(method)
            case ConnectionMethods.OpenOk(), Phase.OPEN:
                self.phase = Phase.RUNNING
                yield Opened()
            case _:
                raise ConnectionException(
                    codes.COMMAND_INVALID, f"{method.name} now", frames.method_id(method)
                )

    def on_start(self, method: ConnectionMethods.Start) -> None:
        """Handles start: logs in with PLAIN; raises ConnectionException if the server does not support it."""
        if "PLAIN" not in str(method.mechanisms).split():
            raise ConnectionException(codes.NOT_IMPLEMENTED, "the server does not take PLAIN")
        self.peer_capabilities = known_capabilities(method.server_properties)
        properties = {"product": "rainpier", "capabilities": dict.fromkeys(CAPABILITIES, True)}
        response = f"\0{self.login.user}\0{self.login.password}"
        self.write(0, ConnectionMethods.StartOk(properties, "PLAIN", response, "en_US"))
        self.phase = Phase.TUNE

    def on_tune(self, method: ConnectionMethods.Tune) -> None:
        """Handles tune: chooses the smaller of both sides' limits and opens the virtual host.

        A limit of 0 means no limit, a heartbeat interval of 0 that the side asks for none.
        """
        own = self.limits
        self.frame_max = max(frames.MIN_FRAME_MAX, min(method.frame_max or own.frame, own.frame))
        self.channel_max = min(method.channel_max or own.channels, own.channels)
        self.heartbeat = min(method.heartbeat or own.heartbeat, own.heartbeat or method.heartbeat)
        self.write(0, ConnectionMethods.TuneOk(self.channel_max, self.frame_max, self.heartbeat))
        self.write(0, ConnectionMethods.Open(self.login.vhost))
        self.phase = Phase.OPEN

    def open_channel(self) -> int:
        """Sends channel.open and returns the channel's number, 0 if none is free; ChannelOpened follows."""
        number = next((n for n in range(1, self.channel_max + 1) if n not in self.channels), 0)
        if number and self.phase is Phase.RUNNING:
            self.channels[number] = Channel(number, ChannelPhase.OPENING)
            self.write(number, ChannelMethods.Open())
            return number
        return 0
