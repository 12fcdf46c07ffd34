"""HTTP/1.1 on one kept connection at a time: h11 over asyncio streams."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import h11

MAX_ANSWER = 4 << 20  # bytes of an answer's body; the list of receivers is the longest
BROKEN = (OSError, EOFError, h11.ProtocolError)  # what a connection fails with


class TooLong(h11.RemoteProtocolError):
    """An answer longer than anything that is expected."""


@dataclass(slots=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """One connection, which carries one exchange at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0  # of the answer that is coming, once its head is here
        self.watch: asyncio.Task | None = None

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Connection":
        reader, writer = await asyncio.open_connection(*address)
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.transport.set_write_buffer_limits(high=0)  # so that drain() waits for the last byte
        return cls(reader, writer)

    async def send(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> None:
        """Returns when the last byte was written; raises when it was not."""
        self.status = 0
        headers = [*headers, ("Content-Length", str(len(body)))]
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self.http.send(head), self.http.send(h11.Data(body)), self.http.send(h11.EndOfMessage())]
        self.writer.write(b"".join(part for part in parts if part))
        await self.writer.drain()

    async def answer(self) -> Answer:
        headers: dict[str, str] = {}
        body = bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(65536))
            elif isinstance(event, h11.Response):
                self.status = event.status_code
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER:
                    raise TooLong("answer too long")
            elif isinstance(event, h11.EndOfMessage):
                return Answer(self.status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed")

    def renew(self) -> bool:
        """Make ready for the next exchange; False: the connection can't carry one."""
        states = {self.http.our_state, self.http.their_state}
        if states == {h11.DONE} and not self.http.trailing_data[0]:
            self.http.start_next_cycle()
            states = {h11.IDLE}
        return states == {h11.IDLE} and not self.reader.at_eof()

    def park(self, span: float, lost: Callable[["Connection"], None]) -> None:
        """Watch the idle connection: it is lost at its end, at a byte nobody asked for, or after a span."""
        self.watch = asyncio.create_task(self.attend(span, lost))

    async def attend(self, span: float, lost: Callable[["Connection"], None]) -> None:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(span):
                await self.reader.read(1)
        lost(self)

    async def unpark(self) -> bool:
        """Take the connection up again; False: it was lost."""
        if self.watch is None:
            return True
        watch, self.watch = self.watch, None
        watch.cancel()
        await asyncio.wait([watch])
        return watch.cancelled() and not self.reader.at_eof()

    def close(self) -> None:
        """At once, whatever is unsent: what is not written yet must never be."""
        if self.watch is not None and not self.watch.done() and self.watch is not asyncio.current_task():
            self.watch.cancel()
        self.writer.transport.abort()


class Client:
    """Requests to one address, one after another, each bounded in time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.connection = address, None

    def drop(self, _: Connection | None = None) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def request(self, method: str, target: str, body: bytes, timeout: float) -> Answer:
        """Never sent twice by itself; any failure closes the connection."""
        kept = False
        try:
            async with asyncio.timeout(timeout):
                if self.connection is not None and not await self.connection.unpark():
                    self.drop()
                if self.connection is None:
                    self.connection = await Connection.open(self.address)
                host = ("Host", "{}:{}".format(*self.address))
                await self.connection.send(method, target, [host], body)
                answer = await self.connection.answer()
                kept = self.connection.renew()
                return answer
        finally:
            if kept and self.connection is not None:
                self.connection.park(3600.0, self.drop)
            else:
                self.drop()
