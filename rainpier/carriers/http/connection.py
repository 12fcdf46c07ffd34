"""HTTP/1.1 on one kept connection at a time: httptools on an asyncio protocol."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ...sockets import stream_socket

MAX_HEAD = 16384  # bytes before an answer's body, with all 1xx heads ahead of it
REST = 0.5  # s from an answer's first byte to its last: what takes longer is not going to end
READ = 65536  # bytes of one read
UNREADABLE = (httptools.HttpParserError, httptools.HttpParserUpgrade)
INCOMING = memoryview(bytearray(READ))  # each read is taken up before the next one begins


class Spoilt(Exception):
    """An answer that can't be read, does not end, or is longer than anything that is expected."""


BROKEN = (OSError, EOFError, Spoilt)  # what a connection fails with


@dataclass(slots=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


class Exchange:
    """One answer as it comes; the parser calls it back."""

    def __init__(self, most: int, rest: float) -> None:
        self.most, self.rest = most, rest
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.answer.add_done_callback(lambda f: f.cancelled() or f.exception())  # others may fail first
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.head = 0  # bytes until the head was whole
        self.in_body = self.reusable = self.more = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def status(self) -> int:
        """As far as it was read: also of a head that is spoilt behind its first line."""
        return self.parser.get_status_code()

    # --- the parser's side ---

    def on_message_begin(self) -> None:
        self.more = self.answer.done()
        if not self.more:
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.answer.done():
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.answer.done() or self.status < 200:
            return
        self.in_body = True
        # Guards the memory: what is announced too long is refused before it comes.
        length = self.headers.get("content-length", "0")
        if not length.isdigit() or int(length) > self.most:
            self.fail(Spoilt(f"answer of {length[:20]} bytes, {self.most} at most"))

    def on_body(self, body: bytes) -> None:
        if not self.answer.done():
            self.body += body
            if len(self.body) > self.most:
                self.fail(Spoilt(f"answer longer than {self.most} bytes"))

    def on_message_complete(self) -> None:
        if self.in_body and not self.answer.done():
            self.reusable = self.parser.should_keep_alive()
            self.end()

    # --- the connection's side ---

    def feed(self, data: bytes) -> None:
        if self.answer.done():  # a second copy, or noise: it belongs to nothing
            self.more = True
            return
        try:
            self.parser.feed_data(data)
        except UNREADABLE as error:
            self.more = True
            self.fail(Spoilt(str(error)))
        if self.answer.done():
            return
        self.head += 0 if self.in_body else len(data)
        if self.head > MAX_HEAD:
            self.fail(Spoilt("a head without end"))
        elif self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.rest, self.fail, Spoilt("an answer without end"))

    def eof(self) -> None:
        framed = {"content-length", "transfer-encoding"} & self.headers.keys()
        self.end() if self.in_body and not framed else self.fail(EOFError("connection closed"))

    def end(self) -> None:
        self.stop_timer()
        if not self.answer.done():
            self.answer.set_result(Answer(self.status, self.headers, bytes(self.body)))

    def fail(self, error: Exception) -> None:
        """What came after a whole answer spoils no answer."""
        self.stop_timer()
        if not self.answer.done():
            self.answer.set_exception(error)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Connection(asyncio.BufferedProtocol):
    """One connection, which carries one exchange at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.written: asyncio.Future[None] | None = None  # while bytes wait to be written
        self.closed = self.ended = False
        self.lost: Callable[[Connection], None] | None = None  # told while it is parked
        self.parked_at = 0.0
        self.uses = 0  # exchanges begun

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Connection":
        loop = asyncio.get_running_loop()
        sock = stream_socket(address[0])
        try:
            await loop.sock_connect(sock, address)
            _, connection = await loop.create_connection(lambda: cls(sock), sock=sock)
            return connection
        except BaseException:
            sock.close()
            raise

    # --- the loop's side ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that writing is over with the last byte

    def get_buffer(self, sizehint: int) -> memoryview:
        return INCOMING

    def buffer_updated(self, nbytes: int) -> None:
        if self.lost is not None:  # a byte that nobody asked for
            self.lost(self)
        elif self.exchange is not None and not self.closed:
            self.exchange.feed(bytes(INCOMING[:nbytes]))

    def eof_received(self) -> bool:
        self.ended = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.written is not None and not self.written.done():
            self.written.set_exception(exc or ConnectionResetError("closed before the last byte was written"))
        if self.exchange is not None:
            self.exchange.fail(exc) if isinstance(exc, OSError) else self.exchange.eof()
        if self.lost is not None:
            self.lost(self)

    def pause_writing(self) -> None:
        self.written = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self.written is not None and not self.written.done():
            self.written.set_result(None)

    # --- exchanges ---

    @property
    def status(self) -> int:
        """Of the answer that is coming, once its first line is here."""
        return self.exchange.status if self.exchange is not None else 0

    @property
    def headers(self) -> dict[str, str]:
        return self.exchange.headers if self.exchange is not None else {}

    async def send(self, data: bytes, most: int, rest: float = REST) -> None:
        """Returns when the last byte was written; raises when it was not. An answer has `most` bytes."""
        assert self.transport is not None
        self.exchange, self.written = Exchange(most, rest), None
        self.uses += 1
        self.transport.write(data)
        if self.written is not None:
            await self.written
        if self.transport.is_closing():
            raise ConnectionResetError("closed before the last byte was written")

    async def answer(self) -> Answer:
        assert self.exchange is not None
        return await self.exchange.answer

    def renew(self) -> bool:
        """Whether it can carry another exchange."""
        exchange, self.exchange = self.exchange, None
        if exchange is None:  # nothing was sent
            return not self.closed and not self.ended
        exchange.stop_timer()
        return exchange.reusable and not exchange.more and not self.closed and not self.ended

    def park(self, lost: Callable[["Connection"], None]) -> None:
        """Idle from now on: `lost` is told when it ends, or when a byte comes that nobody asked for."""
        self.lost, self.parked_at = lost, asyncio.get_running_loop().time()

    def unpark(self) -> bool:
        """Take the connection up again; False: it was lost."""
        self.lost = None
        if self.closed or self.ended or self.transport is None or self.transport.is_closing():
            return False
        try:  # guards against an end, or bytes, that have come and were not read yet
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close(self) -> None:
        """At once, whatever is unsent: what is not written yet must never be."""
        self.lost = None
        if self.exchange is not None:
            self.exchange.stop_timer()
        if self.transport is not None and not self.closed:
            self.closed = True
            self.transport.abort()


def request(method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """The bytes of a request; its values are visible ASCII, which their readers see to."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class Client:
    """Requests to one address, one after another, each bounded in time."""

    def __init__(self, address: tuple[str, int], most: int) -> None:
        self.address, self.most, self.connection = address, most, None

    def drop(self, _: Connection | None = None) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def request(
        self, method: str, target: str, body: bytes, timeout: float, rest: float | None = None
    ) -> Answer:
        """Never sent twice by itself; any failure closes the connection.

        `rest`: s for the connection to come up, and for an answer from its first byte to its last; only what
        lies between may take as long as `timeout`.
        """
        rest = timeout if rest is None else rest
        kept = False
        try:
            async with asyncio.timeout(timeout):
                if self.connection is not None and not self.connection.unpark():
                    self.drop()
                if self.connection is None:
                    async with asyncio.timeout(rest):
                        self.connection = await Connection.open(self.address)
                host = ("Host", "{}:{}".format(*self.address))
                await self.connection.send(request(method, target, [host], body), self.most, rest)
                answer = await self.connection.answer()
                kept = self.connection.renew()
                return answer
        finally:
            if kept and self.connection is not None:
                self.connection.park(self.drop)
            else:
                self.drop()
