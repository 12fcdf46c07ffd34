"""HTTP/1.1 on one persistent connection: an asyncio protocol that carries one exchange at a time."""

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from enum import Enum
from itertools import count

from ...observe.events import record
from ...sockets import stream_socket
from .exchange import Exchange, Response

RESPONSE_TIMEOUT_S = 0.5  # from a response's first byte to its last; a slower one is not expected to end
QUARANTINE_S = 0.25  # from a response to the next use of its connection; see Connection.out_of_quarantine
READ_SIZE = 65536  # bytes of one read
READ_BUFFER = memoryview(bytearray(READ_SIZE))  # shared: each read is consumed before the next one begins


class CloseReason(Enum):
    """Why a connection carries no further exchange; the values are the reasons in log records."""

    UNSOLICITED = "unsolicited_bytes"  # the peer sent more than one response to a request
    FOREIGN_ANSWER = "foreign_answer"  # its last response did not match its last request
    CLOSED_BY_PEER = "closed_by_peer"
    NOT_PERSISTENT = "not_persistent"  # the response says that the connection closes after it
    NO_ANSWER = "no_answer"  # its exchange was abandoned, broke off or had a malformed response
    IDLE_TOO_LONG = "idle_too_long"
    NOT_SETTLED = "not_settled"  # still in quarantine, while enough other connections are idle
    REUSE_SUSPENDED = "reuse_suspended"  # its endpoint recently sent bytes that belong to no request
    RELEASED = "released"  # its endpoint drains, moved or failed, or the policy closes idle connections
    DESCRIPTORS = "descriptor_limit"  # its descriptor is needed for a new connection
    SUSPECT = "suspect"  # another connection to its peer gave no answer, and newer ones do


class Connection(asyncio.BufferedProtocol):
    """One client connection, which carries one exchange at a time."""

    numbers = count(1)

    def __init__(self, sock: socket.socket) -> None:
        self.number = next(self.numbers)  # unique in this process, for the log
        self.sock = sock
        self.unsolicited = False  # received bytes that belong to no exchange
        self.out_of_sync = False  # its last response belonged to another request
        self.suspect = False  # another connection to its peer gave no answer, so that it may be dead too
        self.last_response_at = -math.inf  # loop time, s, at which its last complete response was read
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.write_done: asyncio.Future[None] | None = None  # pending while bytes wait to be written
        self.closed = self.eof = False
        self.on_unusable: Callable[[Connection], None] | None = None  # called while it is idle
        self.idle_since = 0.0  # loop time, s
        self.uses = 0  # exchanges begun
        self.last_request_ids: tuple[str, ...] = ()  # what its last request carried, for the log

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Connection":
        """Connects to `address`. Raises OSError."""
        loop = asyncio.get_running_loop()
        sock = stream_socket(address[0])
        try:
            await loop.sock_connect(sock, address)
            _, connection = await loop.create_connection(lambda: cls(sock), sock=sock)
            return connection
        except BaseException:
            sock.close()
            raise

    # --- callbacks of the event loop ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # With no buffer allowed, resume_writing is called only after the last byte went to the socket.
        transport.set_write_buffer_limits(high=0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read; see READ_BUFFER."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Passes received bytes to the exchange; without one, the connection cannot be used any more."""
        if self.exchange is None:
            self.unsolicited = True
            if self.on_unusable is not None:
                self.on_unusable(self)
        elif not self.closed:
            self.exchange.feed(bytes(READ_BUFFER[:nbytes]))

    def eof_received(self) -> bool:
        """Notes the end of the stream; False makes asyncio close the transport."""
        self.eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends whatever is waiting: the write, the response, and the connection's idle state."""
        self.closed = True
        if self.write_done is not None and not self.write_done.done():
            self.write_done.set_exception(
                exc or ConnectionResetError("closed before the last byte was written")
            )
        if self.exchange is not None:
            self.exchange.fail(exc) if isinstance(exc, OSError) else self.exchange.eof()
        if self.on_unusable is not None:
            self.on_unusable(self)

    def pause_writing(self) -> None:
        self.write_done = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self.write_done is not None and not self.write_done.done():
            self.write_done.set_result(None)

    # --- exchanges ---

    @property
    def status(self) -> int:
        """Status code of the response being received; 0 until its status line is parsed."""
        return self.exchange.status if self.exchange is not None else 0

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the response received so far, names in lower case."""
        return self.exchange.headers if self.exchange is not None else {}

    async def send(self, data: bytes, max_body: int, response_timeout: float = RESPONSE_TIMEOUT_S) -> None:
        """Begins an exchange and writes `data`; returns once its last byte was handed to the kernel.

        Raises OSError if the connection ended before, or had received bytes that belong to no exchange.
        `max_body`: largest response body, bytes; `response_timeout`: s from its first byte to its last.
        """
        assert self.transport is not None
        if self.unsolicited or not self.nothing_to_read():
            raise ConnectionResetError(
                "received bytes or the end of the connection before the request was sent"
            )
        self.exchange, self.write_done = Exchange(max_body, response_timeout), None
        self.uses += 1
        self.transport.write(data)
        if self.write_done is not None:
            await self.write_done
        if self.transport.is_closing():
            raise ConnectionResetError("closed before the last byte was written")

    async def receive(self) -> Response:
        """Waits for the complete response. Raises one of EXCHANGE_ERRORS."""
        assert self.exchange is not None
        response = await self.exchange.response
        self.last_response_at = asyncio.get_running_loop().time()
        return response

    def end_exchange(self) -> CloseReason | None:
        """Ends the exchange, if any; returns why the connection cannot carry another one, None if it can."""
        exchange, self.exchange = self.exchange, None
        if exchange is None:  # nothing was sent
            if self.unsolicited:
                return CloseReason.UNSOLICITED
            return CloseReason.CLOSED_BY_PEER if self.closed or self.eof else None
        exchange.end()
        if exchange.extra_bytes:
            self.unsolicited = True
        return self.reason_not_reusable(exchange)

    def reason_not_reusable(self, exchange: Exchange) -> CloseReason | None:
        """Returns why the connection cannot carry another exchange after this one, None if it can."""
        if not exchange.has_response:
            return CloseReason.NO_ANSWER
        if self.out_of_sync:
            return CloseReason.FOREIGN_ANSWER
        if self.unsolicited:
            return CloseReason.UNSOLICITED
        if not exchange.reusable:
            return CloseReason.NOT_PERSISTENT
        return CloseReason.CLOSED_BY_PEER if self.closed or self.eof else None

    def mark_idle(self, on_unusable: Callable[["Connection"], None]) -> None:
        """Marks it idle; `on_unusable` is called when it closes or receives unsolicited bytes."""
        self.on_unusable, self.idle_since = on_unusable, asyncio.get_running_loop().time()

    @property
    def out_of_quarantine(self) -> bool:
        """Whether its last response is old enough that a duplicate of it would have been received.

        HTTP/1.1 matches responses to requests by their order alone: a duplicate received after the next
        request was sent would count as the response to that request.
        """
        return asyncio.get_running_loop().time() - self.last_response_at >= QUARANTINE_S

    def mark_busy(self) -> bool:
        """Ends its idle state; returns False if it is closed or has received anything meanwhile."""
        self.on_unusable = None
        if self.closed or self.eof or self.transport is None or self.transport.is_closing():
            return False
        return self.nothing_to_read()

    def nothing_to_read(self) -> bool:
        """Whether the socket holds no unread input: neither bytes nor the end of the stream."""
        try:
            unread = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.unsolicited = self.unsolicited or bool(unread)
        return False

    def close_for(self, reason: CloseReason, endpoint: str) -> None:
        """Closes it and logs the reason; `endpoint`: its name for the log.

        After an unsolicited or mismatched response the record also names the last request: its response, or
        an earlier one on this connection, may have been a duplicate of the response to another request.
        """
        fields = {"endpoint": endpoint, "connection": self.number, "use": self.uses}
        level = logging.DEBUG
        if reason in (CloseReason.UNSOLICITED, CloseReason.FOREIGN_ANSWER):
            level = logging.WARNING
            elapsed_ms = (asyncio.get_running_loop().time() - self.last_response_at) * 1000
            fields |= {"since_answer_ms": f"{elapsed_ms:.1f}", "last_call": ",".join(self.last_request_ids)}
        record("connection_closed", reason.value, level=level, **fields)
        self.close()

    def close(self) -> None:
        """Aborts the transport, so that bytes which are still unwritten are never sent."""
        self.on_unusable = None
        if self.exchange is not None:
            self.exchange.end()
        if self.transport is not None and not self.closed:
            self.closed = True
            self.transport.abort()
