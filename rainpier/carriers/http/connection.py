"""HTTP/1.1 on one kept connection: an asyncio protocol that carries one exchange at a time."""

import asyncio
import socket
from collections.abc import Callable

from ...sockets import stream_socket
from .exchange import Answer, Exchange

REST = 0.5  # s from an answer's first byte to its last: what takes longer is not going to end
READ = 65536  # bytes of one read
INCOMING = memoryview(bytearray(READ))  # each read is taken up before the next one begins


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
