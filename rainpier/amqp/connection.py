"""The connection: handshake, channels, limits and heartbeats, for either side. No input or output.

Bytes go in through `receive`, which tells what they mean as events; what is to be written is taken with
`take`. Time comes in with the calls, in s of any one clock. A peer's mistake becomes the close that the
specification (AMQP 0-9-1, sections 1.3 and 2.2) asks for, and no exception.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pamqp import base, commands

from . import codes
from . import frames as f
from .channel import Channel, Content, Properties, State
from .codes import ChannelRefusal, ConnectionRefusal
from .options import Limits, Login

C, CH, B = commands.Connection, commands.Channel, commands.Basic
CONTENT = {"server": (B.Publish,), "client": (B.Return, B.Deliver, B.GetOk)}
ANY = (CH.Close, CH.CloseOk, CH.Flow, CH.FlowOk)
E, Q, T = commands.Exchange, commands.Queue, commands.Tx
TAKES: dict[str, tuple[type, ...]] = {  # on channels, beside those of a connection
    "server": (*ANY, CH.Open, E.Declare, E.Delete, E.Bind, E.Unbind, Q.Declare, Q.Bind, Q.Purge, Q.Delete,
               Q.Unbind, B.Qos, B.Consume, B.Cancel, B.CancelOk, B.Publish, B.Get, B.Ack, B.Reject, B.Nack,
               B.Recover, B.RecoverAsync, commands.Confirm.Select, T.Select, T.Commit, T.Rollback),
    "client": (*ANY, CH.OpenOk, E.DeclareOk, E.DeleteOk, E.BindOk, E.UnbindOk, Q.DeclareOk, Q.BindOk,
               Q.PurgeOk, Q.DeleteOk, Q.UnbindOk, B.QosOk, B.ConsumeOk, B.Cancel, B.CancelOk, B.Return,
               B.Deliver, B.GetOk, B.GetEmpty, B.Ack, B.Nack, B.RecoverOk, commands.Confirm.SelectOk,
               T.SelectOk, T.CommitOk, T.RollbackOk),
}  # fmt: skip
SILENT = 2.0  # heartbeat intervals without a byte after which the peer is gone (specification, 4.2.7)
CAPABILITIES = ("publisher_confirms", "basic.nack", "connection.blocked", "authentication_failure_close",
                "consumer_cancel_notify")  # fmt: skip


class Phase(Enum):
    HEADER = "header"  # the protocol header is awaited
    START = "start"
    TUNE = "tune"
    OPEN = "open"  # connection.open, or its answer, is awaited
    RUNNING = "running"
    CLOSING = "closing"  # we sent a close: only its answer counts
    CLOSED = "closed"


# --- events ---


@dataclass(slots=True, frozen=True)
class Opened:
    """The handshake is over."""


@dataclass(slots=True, frozen=True)
class ChannelOpened:
    channel: int


@dataclass(slots=True, frozen=True)
class ChannelClosed:
    channel: int
    code: int
    text: str
    method: tuple[int, int]  # class and method that caused it; (0, 0): none
    ours: bool = False  # we closed it, and the peer has confirmed


@dataclass(slots=True, frozen=True)
class Method:
    channel: int
    method: base.Frame


@dataclass(slots=True, frozen=True)
class Blocked:
    reason: str


@dataclass(slots=True, frozen=True)
class Unblocked:
    pass


@dataclass(slots=True, frozen=True)
class Closed:
    """Nothing more comes, nothing more may be sent; what `take` gives is still to be written."""

    code: int  # 0: without a close
    text: str
    ours: bool = False


Event = Opened | ChannelOpened | ChannelClosed | Method | Content | Blocked | Unblocked | Closed


class Connection:
    """What both sides share; see Server and Client."""

    side = ""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits, self.phase = limits, Phase.HEADER
        self.frame_max, self.channel_max, self.heartbeat = f.LEAST_MAX, limits.channels, 0
        self.incoming, self.out = bytearray(), bytearray()
        self.channels: dict[int, Channel] = {}
        self.partial = 0  # bytes of contents that are not whole
        self.heard = self.said = now
        self.peer_capabilities: dict[str, Any] = {}

    # --- bytes ---

    def receive(self, data: bytes, now: float) -> list[Event]:
        """What came, as events, in order: for who only looks at them. Who answers them uses `feed`."""
        events: list[Event] = []
        self.feed(data, now, events.append)
        return events

    def feed(self, data: bytes, now: float, handle: Callable[[Event], None]) -> None:
        """What came; each event is handled before the next frame is looked at.

        Guards against answers to what is over by then: with two channels closed in one read, the first one's
        handler would open a channel with the number of the second, whose end it has not heard of.
        """
        self.heard = now
        if self.phase is Phase.CLOSED:
            return
        self.incoming += data
        try:
            if self.phase is Phase.HEADER and not self.greeted(handle):
                return
            for kind, channel, payload in f.split(self.incoming, self.frame_most()):
                for event in self.on_frame(kind, channel, payload):
                    handle(event)
                if self.phase is Phase.CLOSED:
                    break
        except ConnectionRefusal as refusal:
            for event in self.refuse(refusal):
                handle(event)
        if self.phase is Phase.CLOSED:
            self.incoming.clear()

    def frame_most(self) -> int:
        """Before the tuning, frames of the least size only: guards against what a stranger announces."""
        return max(self.frame_max, f.LEAST_MAX) if self.phase is Phase.RUNNING else self.limits.frame

    def greeted(self, handle: Callable[[Event], None]) -> bool:
        raise NotImplementedError

    def take(self, now: float | None = None) -> bytes:
        """What is to be written now."""
        data = bytes(self.out)
        self.out.clear()
        if data and now is not None:
            self.said = now
        return data

    def tick(self, now: float) -> list[Event]:
        """Heartbeats: to be called a few times in each interval."""
        if not self.heartbeat or self.phase not in (Phase.RUNNING, Phase.CLOSING):
            return []
        if now - self.heard > SILENT * self.heartbeat:
            self.end()
            return [Closed(0, f"no byte for {now - self.heard:.0f} s, heartbeat {self.heartbeat} s", True)]
        if now - self.said >= self.heartbeat / 2:
            self.out += f.BEAT
            self.said = now
        return []

    def lost(self) -> list[Event]:
        """The socket is gone."""
        if self.phase is Phase.CLOSED:
            return []
        self.end()
        return [Closed(0, "connection lost")]

    def end(self) -> None:
        self.phase = Phase.CLOSED
        self.channels.clear()
        self.partial = 0
        self.incoming.clear()

    # --- frames ---

    def on_frame(self, kind: int, channel: int, payload: bytes) -> Iterator[Event]:
        if kind == f.HEARTBEAT:
            if channel or payload:
                raise ConnectionRefusal(codes.FRAME_ERROR, "a heartbeat with a channel or a payload")
            return iter(())
        if self.phase is Phase.CLOSING:
            return self.while_closing(kind, channel, payload)
        if channel == 0:
            if kind != f.METHOD:
                raise ConnectionRefusal(codes.UNEXPECTED_FRAME, "content on channel 0")
            return self.on_connection(f.read_method(payload))
        if self.phase is not Phase.RUNNING:
            raise ConnectionRefusal(codes.CHANNEL_ERROR, f"channel {channel} before the connection is open")
        if channel > self.channel_max:
            raise ConnectionRefusal(
                codes.CHANNEL_ERROR, f"channel {channel}, the highest is {self.channel_max}"
            )
        return self.on_channel(kind, channel, payload)

    def while_closing(self, kind: int, channel: int, payload: bytes) -> Iterator[Event]:
        """All is dropped but the close's answer, or the peer's own close on the way."""
        if kind != f.METHOD or channel:
            return
        method = f.read_method(payload)
        if isinstance(method, C.Close):
            self.write(0, C.CloseOk())
        elif isinstance(method, C.CloseOk):
            self.end()
            yield Closed(codes.SUCCESS, "closed", True)

    def on_connection(self, method: base.Frame) -> Iterator[Event]:
        if isinstance(method, C.Close):
            self.write(0, C.CloseOk())
            self.end()
            yield Closed(method.reply_code, str(method.reply_text))
        elif self.phase is not Phase.RUNNING:
            yield from self.shake(method)
        elif isinstance(method, C.Blocked):
            yield Blocked(str(method.reason))
        elif isinstance(method, C.Unblocked):
            yield Unblocked()
        elif isinstance(method, C.UpdateSecret):
            self.write(0, C.UpdateSecretOk())
        else:
            raise ConnectionRefusal(codes.COMMAND_INVALID, f"{method.name} now", f.number(method))

    def shake(self, method: base.Frame) -> Iterator[Event]:
        raise NotImplementedError

    # --- channels ---

    def on_channel(self, kind: int, number: int, payload: bytes) -> Iterator[Event]:
        channel = self.channels.get(number)
        if channel is not None and channel.state is State.CLOSING:
            yield from self.on_closing(channel, kind, payload)
            return
        if kind != f.METHOD:
            if channel is None:
                raise ConnectionRefusal(codes.CHANNEL_ERROR, f"content on channel {number}, which is closed")
            content = self.on_content(channel, kind, payload)
            if content is not None:
                yield content
            return
        method = f.read_method(payload)
        if not isinstance(method, TAKES[self.side]):
            raise ConnectionRefusal(
                codes.COMMAND_INVALID, f"{method.name} is not for this side", f.number(method)
            )
        if channel is not None and channel.mid_content:
            raise ConnectionRefusal(
                codes.UNEXPECTED_FRAME, f"{method.name} inside a content", f.number(method)
            )
        yield from self.on_method(channel, number, method)

    def on_method(self, channel: Channel | None, number: int, method: base.Frame) -> Iterator[Event]:
        if isinstance(method, CH.Open):
            if channel is not None:
                raise ConnectionRefusal(codes.CHANNEL_ERROR, f"channel {number} is open", f.number(method))
            self.channels[number] = Channel(number, State.OPEN)
            self.write(number, CH.OpenOk())
            yield ChannelOpened(number)
        elif channel is None:
            raise ConnectionRefusal(codes.CHANNEL_ERROR, f"channel {number} is closed", f.number(method))
        elif isinstance(method, CH.OpenOk):
            if channel.state is not State.OPENING:
                raise ConnectionRefusal(codes.CHANNEL_ERROR, f"channel {number} is open", f.number(method))
            channel.state = State.OPEN
            yield ChannelOpened(number)
        elif isinstance(method, CH.Close):
            self.write(number, CH.CloseOk())
            self.drop(number)
            caused = (method.class_id, method.method_id)
            yield ChannelClosed(number, method.reply_code, str(method.reply_text), caused)
        elif isinstance(method, CH.CloseOk):
            raise ConnectionRefusal(codes.COMMAND_INVALID, "close-ok without a close", f.number(method))
        elif isinstance(method, CONTENT[self.side]):
            channel.begin(method)
        else:
            yield Method(number, method)

    def on_closing(self, channel: Channel, kind: int, payload: bytes) -> Iterator[Event]:
        """Whatever was on its way when we closed it is dropped (specification, 1.5.2.5)."""
        if kind != f.METHOD:
            return
        method = f.read_method(payload)
        if isinstance(method, CH.Close):
            self.write(channel.id, CH.CloseOk())
        elif isinstance(method, CH.CloseOk):
            self.drop(channel.id)
            yield ChannelClosed(channel.id, codes.SUCCESS, "closed", (0, 0), True)

    def on_content(self, channel: Channel, kind: int, payload: bytes) -> Content | None:
        before = len(channel.body)
        if kind == f.HEADER:
            method = channel.method
            content = channel.head(payload)
            if channel.size > self.limits.body and method is not None:
                text = f"a body of {channel.size} bytes, at most {self.limits.body} are taken"
                self.close_channel(channel.id, codes.CONTENT_TOO_LARGE, text, f.number(method))
            return content
        content = channel.add(payload)
        self.partial += len(channel.body) - before
        if self.partial > self.limits.partial:
            raise ConnectionRefusal(codes.RESOURCE_ERROR, "too much content that is not whole")
        return content

    def drop(self, number: int) -> None:
        channel = self.channels.pop(number, None)
        if channel is not None:
            self.partial -= len(channel.body)

    # --- what we say ---

    def write(self, channel: int, method: base.Frame) -> None:
        self.out += f.write_method(channel, method)

    def send(self, channel: int, method: base.Frame) -> None:
        """A method without content; nothing on a channel that is closed or closing."""
        if self.is_open(channel):
            self.write(channel, method)

    def is_open(self, channel: int) -> bool:
        known = self.channels.get(channel)
        return self.phase is Phase.RUNNING and known is not None and known.state is State.OPEN

    def publish(self, channel: int, method: base.Frame, properties: Properties, body: bytes) -> None:
        """A method with content, whole: nothing of the same channel can come between its frames."""
        if self.is_open(channel):
            self.out += f.write_content(channel, method, properties, body, self.frame_max)

    def close_channel(
        self, channel: int, code: int = codes.SUCCESS, text: str = "", method: tuple[int, int] = (0, 0)
    ) -> None:
        known = self.channels.get(channel)
        if known is None or known.state is State.CLOSING or self.phase is not Phase.RUNNING:
            return
        self.write(channel, CH.Close(code, codes.reply_text(code, text), *method))
        self.partial -= len(known.body)
        known.drop()
        known.state = State.CLOSING

    def close(self, code: int = codes.SUCCESS, text: str = "", method: tuple[int, int] = (0, 0)) -> None:
        if self.phase not in (Phase.CLOSING, Phase.CLOSED):
            self.write(0, C.Close(code, codes.reply_text(code, text), *method))
            self.phase = Phase.CLOSING
            self.channels.clear()
            self.partial = 0

    def refuse(self, refusal: ConnectionRefusal) -> list[Event]:
        """The close with its code; before the handshake is through there is nobody to tell it to."""
        if self.phase in (Phase.CLOSING, Phase.CLOSED):
            self.end()
        else:
            if self.phase is not Phase.HEADER:
                self.close(refusal.code, str(refusal), refusal.method)
            self.end()
        return [Closed(refusal.code, refusal.text, True)]

    def refuse_channel(self, channel: int, refusal: ChannelRefusal) -> None:
        self.close_channel(channel, refusal.code, str(refusal), refusal.method)


class Server(Connection):
    """The side that listens. `login(mechanism, response)` and `vhost(name)` say who may come in."""

    side = "server"

    def __init__(
        self, limits: Limits, now: float, login: Callable[[str, str], bool], vhost: Callable[[str], bool]
    ) -> None:
        super().__init__(limits, now)
        self.login, self.vhost = login, vhost
        self.user = ""

    def greeted(self, handle: Callable[[Event], None]) -> bool:
        """The protocol header; another one is answered with ours and the end (specification, 2.2.4)."""
        got = bytes(self.incoming[:8])
        if not f.PROTOCOL.startswith(got):
            self.out += f.PROTOCOL
            self.end()
            handle(Closed(codes.FRAME_ERROR, "another protocol or version", True))
            return False
        if len(got) < 8:
            return False
        del self.incoming[:8]
        told = {"product": "rainpier", "capabilities": dict.fromkeys(CAPABILITIES, True)}
        self.write(0, C.Start(0, 9, told, "PLAIN", "en_US"))
        self.phase = Phase.START
        return True

    def shake(self, method: base.Frame) -> Iterator[Event]:
        match method, self.phase:
            case C.StartOk(), Phase.START:
                self.start(method)
            case C.TuneOk(), Phase.TUNE:
                self.tune(method)
            case C.Open(), Phase.OPEN:
                name = str(method.virtual_host)
                if not self.vhost(name):
                    raise ConnectionRefusal(codes.NOT_ALLOWED, f"no vhost {name!r}", f.number(method))
                self.write(0, C.OpenOk())
                self.phase = Phase.RUNNING
                yield Opened()
            case _:
                raise ConnectionRefusal(codes.COMMAND_INVALID, f"{method.name} now", f.number(method))

    def start(self, method: C.StartOk) -> None:
        if not self.login(str(method.mechanism), str(method.response)):
            raise ConnectionRefusal(codes.ACCESS_REFUSED, "login refused", f.number(method))
        told = (method.client_properties or {}).get("capabilities")
        self.peer_capabilities = told if isinstance(told, dict) else {}
        self.write(0, C.Tune(self.limits.channels, self.limits.frame, self.limits.heartbeat))
        self.phase = Phase.TUNE

    def tune(self, method: C.TuneOk) -> None:
        """What the client chose: at most what was offered; 0 stands for no limit of its own."""
        frame, channels = method.frame_max or self.limits.frame, method.channel_max or self.limits.channels
        if not f.LEAST_MAX <= frame <= self.limits.frame or channels > self.limits.channels:
            raise ConnectionRefusal(
                codes.NOT_ALLOWED, f"frame-max {frame}, channel-max {channels}: beyond what was offered"
            )
        self.frame_max, self.channel_max, self.heartbeat = frame, channels, method.heartbeat
        self.phase = Phase.OPEN


class Client(Connection):
    """The side that connects; it speaks first."""

    side = "client"

    def __init__(self, limits: Limits, now: float, login: Login) -> None:
        super().__init__(limits, now)
        self.login = login
        self.out += f.PROTOCOL

    def greeted(self, handle: Callable[[Event], None]) -> bool:
        """A server of another version answers with its own header."""
        if self.incoming.startswith(b"AMQP"):
            self.end()
            handle(Closed(codes.FRAME_ERROR, "the server speaks another version", True))
            return False
        self.phase = Phase.START
        return True

    def shake(self, method: base.Frame) -> Iterator[Event]:
        match method, self.phase:
            case C.Start(), Phase.START:
                self.start(method)
            case C.Tune(), Phase.TUNE:
                self.tune(method)
            case C.OpenOk(), Phase.OPEN:
                self.phase = Phase.RUNNING
                yield Opened()
            case _:
                raise ConnectionRefusal(codes.COMMAND_INVALID, f"{method.name} now", f.number(method))

    def start(self, method: C.Start) -> None:
        if "PLAIN" not in str(method.mechanisms).split():
            raise ConnectionRefusal(codes.NOT_IMPLEMENTED, "the server does not take PLAIN")
        told = (method.server_properties or {}).get("capabilities")
        self.peer_capabilities = told if isinstance(told, dict) else {}
        mine = {"product": "rainpier", "capabilities": dict.fromkeys(CAPABILITIES, True)}
        response = f"\0{self.login.user}\0{self.login.password}"
        self.write(0, C.StartOk(mine, "PLAIN", response, "en_US"))
        self.phase = Phase.TUNE

    def tune(self, method: C.Tune) -> None:
        """The smaller of both wishes; 0 is no limit, and no heartbeat."""
        mine = self.limits
        self.frame_max = max(f.LEAST_MAX, min(method.frame_max or mine.frame, mine.frame))
        self.channel_max = min(method.channel_max or mine.channels, mine.channels)
        self.heartbeat = min(method.heartbeat or mine.heartbeat, mine.heartbeat or method.heartbeat)
        self.write(0, C.TuneOk(self.channel_max, self.frame_max, self.heartbeat))
        self.write(0, C.Open(self.login.vhost))
        self.phase = Phase.OPEN

    def open_channel(self) -> int:
        """The number of a new channel, or 0 where all are taken; ChannelOpened tells when it is there."""
        number = next((n for n in range(1, self.channel_max + 1) if n not in self.channels), 0)
        if number and self.phase is Phase.RUNNING:
            self.channels[number] = Channel(number, State.OPENING)
            self.write(number, CH.Open())
            return number
        return 0
