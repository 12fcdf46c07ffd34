"""RESP and AMQP clients of a sidecar. They submit messages and repeat rejected ones after the delay given."""

import asyncio
from dataclasses import dataclass, field

import hiredis

from ..amqp.channel import Content, Properties
from .publisher import Publisher, PublisherClosed

MAX_TRIES = 8  # submissions of a message, the first one included
REPLY_TIMEOUT = 5.0  # s
READ_SIZE = 65536  # bytes
DEFAULT_DELAY_MS = 100  # before the next submission, where a BUSY reply names no delay
NACK_DELAY = 0.1  # s before a message is published again after a basic.nack, which names no delay


@dataclass
class Message:
    """A message to be submitted."""

    id: str
    cls: str  # name of its class
    destination: int  # number of the destination
    lifetime: int  # ms until its deadline
    body: bytes
    key: int = 0  # messages of the same key are delivered in order; 0: unordered
    token: str = ""  # idempotency key; "": none


@dataclass
class SubmissionResults:
    """Results of submissions, as message ids; shared by all clients of a run."""

    accepted: set[str] = field(default_factory=set)  # accepted by the sidecar
    rejected: set[str] = field(default_factory=set)  # not accepted in any of MAX_TRIES submissions
    failed: set[str] = field(default_factory=set)  # no reply, or an error other than BUSY
    completions: dict[str, str] = field(default_factory=dict)  # id: outcome, received from a reply queue
    repeated: int = 0  # submissions repeated after a rejection

    @property
    def finished(self) -> int:
        """The number of messages whose result is known."""
        return len(self.accepted) + len(self.rejected) + len(self.failed)


def request(*parts: bytes) -> bytes:
    """Encodes a command as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def put(message: Message) -> bytes:
    """Encodes the command MSG.PUT (protocol page), which submits a message."""
    fields = f"c={message.cls},d={message.lifetime},dest={message.destination}"
    fields += f",k={message.token}" if message.token else ""
    return request(b"MSG.PUT", b"%016x" % message.key, message.id.encode(), fields.encode(), message.body)


class Client:
    """Submits messages over one RESP connection, which it opens again after an error.

    Messages of the same key must use the same client, each one after the reply to the previous one:
    otherwise the sidecar may accept them in another order.
    """

    def __init__(self, port: int, submitted: SubmissionResults) -> None:
        self.port, self.submitted = port, submitted
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, data: bytes) -> object:
        """Sends a command; returns its reply, which may be a hiredis.ReplyError.

        Raises OSError, EOFError or TimeoutError (after REPLY_TIMEOUT) if there is no reply.
        """
        async with asyncio.timeout(REPLY_TIMEOUT):
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.parser = hiredis.Reader(notEnoughData=self)
            assert self.reader is not None
            self.writer.write(data)
            while (reply := self.parser.gets()) is self:
                data_read = await self.reader.read(READ_SIZE)
                if not data_read:
                    self.close()
                    raise EOFError("connection closed by the sidecar before its reply")
                self.parser.feed(data_read)
            return reply

    async def submit(self, message: Message) -> None:
        """Submits a message, at most MAX_TRIES times, as long as the reply is BUSY; records the result.

        A BUSY reply says how long to wait before the next submission.
        """
        for tries_left in range(MAX_TRIES - 1, -1, -1):
            try:
                reply = await self.ask(put(message))
            except (OSError, EOFError, TimeoutError):
                self.close()
                self.submitted.failed.add(message.id)
                return
            if not isinstance(reply, hiredis.ReplyError):
                self.submitted.accepted.add(message.id)
                return
            code, _, delay = str(reply).partition(" ")
            if code != "BUSY":
                self.submitted.failed.add(message.id)
                return
            if tries_left:
                self.submitted.repeated += 1
                await asyncio.sleep(int(delay or DEFAULT_DELAY_MS) / 1000)
        self.submitted.rejected.add(message.id)

    def close(self) -> None:
        """Closes the connection; the next command opens a new one."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class AmqpClient:
    """Submits messages over AMQP 0-9-1 with publisher confirms and receives completions on a reply queue."""

    def __init__(self, port: int, submitted: SubmissionResults) -> None:
        self.port, self.submitted = port, submitted
        self.publisher: Publisher | None = None
        self.queue = ""

    async def connected(self) -> Publisher:
        """Returns the open connection; opens a new one, with a new reply queue, if there is none."""
        if self.publisher is None or self.publisher.ended is not None:
            self.publisher = await Publisher.connect(self.port)
            self.queue = await self.publisher.consume(self.on_completion)
        return self.publisher

    def on_completion(self, content: Content) -> None:
        """Records the completion of a message.

        One that was rejected at its submission has a completion, too, with the delay until a repeat.
        """
        headers, delivery = content.properties.headers or {}, content.method
        self.submitted.completions[str(headers["x-message"])] = str(headers["x-outcome"])
        assert self.publisher is not None and isinstance(delivery.delivery_tag, int)  # type: ignore[attr-defined]
        self.publisher.ack(delivery.delivery_tag)  # type: ignore[attr-defined]

    async def submit(self, message: Message) -> None:
        """Publishes a message until it is confirmed, at most MAX_TRIES times; records the result."""
        headers: dict[str, object] = {"x-key": f"{message.key:x}"} if message.key else {}
        headers |= {"x-idempotency-key": message.token} if message.token else {}
        for tries_left in range(MAX_TRIES - 1, -1, -1):
            try:
                async with asyncio.timeout(REPLY_TIMEOUT):
                    publisher = await self.connected()
                    properties = Properties(
                        message_id=message.id,
                        headers=headers,
                        expiration=str(message.lifetime),
                        reply_to=self.queue,
                    )
                    accepted = await publisher.publish(
                        "rainpier", f"{message.cls}.{message.destination}", message.body, properties
                    )
            except (PublisherClosed, OSError, TimeoutError):
                continue  # safe to repeat: the sidecar accepts a message id only once
            if accepted:
                self.submitted.accepted.add(message.id)
                return
            if tries_left:
                self.submitted.repeated += 1
                await asyncio.sleep(NACK_DELAY)
        self.submitted.rejected.add(message.id)

    def close(self) -> None:
        """Closes the connection in AMQP, if there is one."""
        if self.publisher is not None:
            self.publisher.close()
