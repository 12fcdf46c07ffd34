"""HTTP/1.1 on one kept connection: an asyncio protocol that carries one exchange at a time."""

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from enum import Enum
from itertools import count

from ...observe.events import record
from ...sockets import stream_socket
from .exchange import Answer, Exchange

REST = 0.5  # s from an answer's first byte to its last: what takes longer is not going to end
SETTLE_TIME = 0.25  # s without a byte behind an answer before the connection carries another request
READ = 65536  # bytes of one read
INCOMING = memoryview(bytearray(READ))  # each read is taken up before the next one begins


class CloseReason(Enum):
    """Why a connection carries no further exchange; the values are the words of the log records."""

    UNSOLICITED = "unsolicited_bytes"  # the peer sent more than one answer for each request
    FOREIGN_ANSWER = "foreign_answer"  # its last answer was not the answer to its last request
    CLOSED_BY_PEER = "closed_by_peer"
    NOT_PERSISTENT = "not_persistent"  # the answer says that the connection ends with it
    NO_ANSWER = "no_answer"  # its exchange was given up, broke off or can't be read
    IDLE_TOO_LONG = "idle_too_long"
    NOT_SETTLED = "not_settled"  # the next request comes too soon behind its last answer
    REUSE_SUSPENDED = "reuse_suspended"  # its endpoint sent more than its answers not long ago
    RELEASED = "released"  # its endpoint drains, moved or failed, or the policy wants it closed
    DESCRIPTORS = "descriptor_limit"


class Connection(asyncio.BufferedProtocol):
    """One connection, which carries one exchange at a time."""

    numbers = count(1)

    def __init__(self, sock: socket.socket) -> None:
        self.number = next(self.numbers)  # in this process, for the log
        self.sock = sock
        self.unsolicited = False  # a byte came that belongs to no exchange
        self.out_of_step = False  # its last answer was another request's
        self.answered_at = -math.inf  # loop time, s, at which its last whole answer was taken up
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.written: asyncio.Future[None] | None = None  # while bytes wait to be written
        self.closed = self.ended = False
        self.lost: Callable[[Connection], None] | None = None  # told while it is parked
        self.parked_at = 0.0
        self.uses = 0  # exchanges begun
        self.carried: tuple[str, ...] = ()  # the ids of what it carried last, for the log

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
        if self.exchange is None:
            self.unsolicited = True
            if self.lost is not None:
                self.lost(self)
        elif not self.closed:
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
        if self.unsolicited or not self.quiet():
            raise ConnectionResetError("bytes, or the connection's end, came ahead of the request")
        self.exchange, self.written = Exchange(most, rest), None
        self.uses += 1
        self.transport.write(data)
        if self.written is not None:
            await self.written
        if self.transport.is_closing():
            raise ConnectionResetError("closed before the last byte was written")

    async def answer(self) -> Answer:
        assert self.exchange is not None
        answer = await self.exchange.answer
        self.answered_at = asyncio.get_running_loop().time()
        return answer

    def renew(self) -> CloseReason | None:
        """End the exchange. Why the connection can't carry another one; None: it can."""
        exchange, self.exchange = self.exchange, None
        if exchange is None:  # nothing was sent
            if self.unsolicited:
                return CloseReason.UNSOLICITED
            return CloseReason.CLOSED_BY_PEER if self.closed or self.ended else None
        exchange.stop_timer()
        if exchange.more:
            self.unsolicited = True
        return self.unfit(exchange)

    def unfit(self, exchange: Exchange) -> CloseReason | None:
        if not exchange.answered:
            return CloseReason.NO_ANSWER
        if self.out_of_step:
            return CloseReason.FOREIGN_ANSWER
        if self.unsolicited:
            return CloseReason.UNSOLICITED
        if not exchange.reusable:
            return CloseReason.NOT_PERSISTENT
        return CloseReason.CLOSED_BY_PEER if self.closed or self.ended else None

    def park(self, lost: Callable[["Connection"], None]) -> None:
        """Idle from now on: `lost` is told when it ends, or when a byte comes that nobody asked for."""
        self.lost, self.parked_at = lost, asyncio.get_running_loop().time()

    @property
    def settled(self) -> bool:
        """Whether its last answer is so long ago that a second copy of it would have come.

        HTTP/1.1 matches answers to requests by their order alone: a copy that comes once the next request is
        out would count as the answer to that one.
        """
        return asyncio.get_running_loop().time() - self.answered_at >= SETTLE_TIME

    def unpark(self) -> bool:
        """Take the connection up again; False: it was lost."""
        self.lost = None
        if self.closed or self.ended or self.transport is None or self.transport.is_closing():
            return False
        return self.quiet()

    def quiet(self) -> bool:
        """Whether nothing has come that was not read yet: neither bytes nor the connection's end."""
        try:
            waiting = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.unsolicited = self.unsolicited or bool(waiting)
        return False

    def end(self, reason: CloseReason, endpoint: str) -> None:
        """Close it, and say why. What a peer sent beyond its answers is logged with what came before it.

        The answer to that, or to something before it on the same connection, may have been another one's.
        """
        told = {"endpoint": endpoint, "connection": self.number, "use": self.uses}
        level = logging.DEBUG
        if reason in (CloseReason.UNSOLICITED, CloseReason.FOREIGN_ANSWER):
            level = logging.WARNING
            since = (asyncio.get_running_loop().time() - self.answered_at) * 1000
            told |= {"since_answer_ms": f"{since:.1f}", "last_call": ",".join(self.carried)}
        record("connection_closed", reason.value, level=level, **told)
        self.close()

    def close(self) -> None:
        """At once, whatever is unsent: what is not written yet must never be."""
        self.lost = None
        if self.exchange is not None:
            self.exchange.stop_timer()
        if self.transport is not None and not self.closed:
            self.closed = True
            self.transport.abort()
