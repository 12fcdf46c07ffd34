"""Clients of a sidecar: they hand messages in over RESP or AMQP and come again as refusals tell them."""

import asyncio
from dataclasses import dataclass, field

import hiredis

from ..amqp.channel import Content, Properties
from .publisher import Ended, Publisher

TRIES = 8  # times that a refused message is handed in at most
PATIENCE = 5.0  # s for an answer


@dataclass
class Message:
    id: str
    cls: str
    destination: int
    span: int  # ms
    body: bytes
    key: int = 0
    token: str = ""


@dataclass
class Handed:
    """How handing in went."""

    taken: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    heard: dict[str, str] = field(default_factory=dict)  # ends that came to a reply queue, by message
    again: int = 0  # times that a refused one was handed in again

    @property
    def answered(self) -> int:
        return len(self.taken) + len(self.refused) + len(self.failed)


def request(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def put(message: Message) -> bytes:
    """The protocol page's MSG.PUT."""
    fields = f"c={message.cls},d={message.span},dest={message.destination}"
    fields += f",k={message.token}" if message.token else ""
    return request(b"MSG.PUT", b"%016x" % message.key, message.id.encode(), fields.encode(), message.body)


class Client:
    """One connection. Messages of one key go over one client, each after the answer to the one before."""

    def __init__(self, port: int, handed: Handed) -> None:
        self.port, self.handed = port, handed
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, data: bytes) -> object:
        """The reply, or a hiredis.ReplyError; OSError, EOFError, TimeoutError where none comes."""
        async with asyncio.timeout(PATIENCE):
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.parser = hiredis.Reader(notEnoughData=self)
            assert self.reader is not None
            self.writer.write(data)
            while (told := self.parser.gets()) is self:
                got = await self.reader.read(65536)
                if not got:
                    self.close()
                    raise EOFError("connection closed")
                self.parser.feed(got)
            return told

    async def hand_in(self, message: Message) -> None:
        for left in range(TRIES - 1, -1, -1):
            try:
                told = await self.ask(put(message))
            except (OSError, EOFError, TimeoutError):
                self.close()
                self.handed.failed.add(message.id)
                return
            if not isinstance(told, hiredis.ReplyError):
                self.handed.taken.add(message.id)
                return
            kind, _, wait = str(told).partition(" ")
            if kind != "BUSY":
                self.handed.failed.add(message.id)
                return
            if left:
                self.handed.again += 1
                await asyncio.sleep(int(wait or 100) / 1000)
        self.handed.refused.add(message.id)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class AmqpClient:
    """The same over AMQP 0-9-1: one connection, publisher confirms, ends consumed from a reply queue."""

    def __init__(self, port: int, handed: Handed) -> None:
        self.port, self.handed = port, handed
        self.publisher: Publisher | None = None
        self.queue = ""

    async def connected(self) -> Publisher:
        if self.publisher is None or self.publisher.ended is not None:
            self.publisher = await Publisher.connect(self.port)
            self.queue = await self.publisher.consume(self.heard)
        return self.publisher

    def heard(self, content: Content) -> None:
        """An end. Of a message that was refused when it was handed in, the time to come back."""
        headers, told = content.properties.headers or {}, content.method
        self.handed.heard[str(headers["x-message"])] = str(headers["x-outcome"])
        assert self.publisher is not None and isinstance(told.delivery_tag, int)  # type: ignore[attr-defined]
        self.publisher.ack(told.delivery_tag)  # type: ignore[attr-defined]

    async def hand_in(self, message: Message) -> None:
        headers: dict[str, object] = {"x-key": f"{message.key:x}"} if message.key else {}
        headers |= {"x-idempotency-key": message.token} if message.token else {}
        for left in range(TRIES - 1, -1, -1):
            try:
                async with asyncio.timeout(PATIENCE):
                    publisher = await self.connected()
                    told = Properties(
                        message_id=message.id,
                        headers=headers,
                        expiration=str(message.span),
                        reply_to=self.queue,
                    )
                    taken = await publisher.publish(
                        "rainpier", f"{message.cls}.{message.destination}", message.body, told
                    )
            except (Ended, OSError, TimeoutError):
                continue  # the same message-id: it is taken on once, however often it is published
            if taken:
                self.handed.taken.add(message.id)
                return
            if left:
                self.handed.again += 1
                await asyncio.sleep(0.1)
        self.handed.refused.add(message.id)

    def close(self) -> None:
        if self.publisher is not None:
            self.publisher.close()
