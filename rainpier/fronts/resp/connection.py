"""One client's RESP connection: reads pipelined requests and writes the replies in the same order."""

import asyncio
import contextlib
import logging
import socket
from typing import Protocol

import hiredis

from ...observe.events import record
from ...pressure.memory import MemoryPool, Share
from ...pressure.turns import TURN_S, Turns
from ...sockets import PeerState, end_writing, peer_state, unread_bytes
from ...submission import RetryLater
from .replies import Reply, ReplyQueue
from .requests import RequestParser, announced_end, encode_result, error_reply, find_request_end
from .session import Session

REQUESTS_PER_TURN = 16  # requests of one connection handled in one turn
MAX_UNANSWERED = 64  # requests without a reply on one connection; further ones are not read meanwhile
# From the connect to the first complete request, from the first to the last byte of a later one, and without
# progress of a client that does not read its replies.
REQUEST_TIMEOUT_S = 2.4
MIN_READ = 256  # bytes of a read while memory is short
CLOSE_TIMEOUT_S = 1.0  # from the close of a connection until it is aborted, for its last reply to be sent

BUSY = encode_result(RetryLater(1000))  # refuses a request while room is short


class Listener(Protocol):
    """Interface of the listener that a connection uses."""

    loop: asyncio.AbstractEventLoop
    parser: RequestParser
    read_buffer: memoryview  # shared by all connections; each read is copied out before the next one starts
    pool: MemoryPool
    turns: Turns
    password: str
    shutting_down: bool  # the listener is closing
    ignore_partial: bool  # the listener no longer waits for the rest of a partly received request
    lingering: "set[Connection]"  # half-closed connections that wait only for the client to close

    def handle_request(self, request: list[bytes], session: Session, room: int) -> Reply:
        """Returns the reply to a request, or its future result. `room`: bytes that the reply may take."""
        ...

    def remove(self, connection: "Connection") -> None:
        """Called when a connection has closed."""
        ...


class Connection(asyncio.BufferedProtocol):
    """One client connection with its input buffer, requests in flight and replies."""

    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self.listener, self.loop, self.sock = listener, listener.loop, sock
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()  # received and not handled yet
        self.discarded_bytes = 0  # received, and discarded since the client was gone
        self.session = Session(listener.password)
        self.replies = ReplyQueue()
        self.unsent = 0  # bytes of replies that wait to be sent, at the last check
        self.share = Share(listener.pool)
        self.last_activity = self.loop.time()  # s, of the connect or the last request, reply or close
        self.request_started = self.last_activity  # s, of the first byte of the incomplete request
        self.has_requested = False  # has sent at least one complete request
        self.requests = 0  # handled so far
        # `read_scheduled`: process_buffer is due to run again; `close_after_replies`: no further request will
        # be handled, and the connection closes once the replies are written.
        self.closing = self.reading_paused = self.write_paused = self.read_scheduled = (
            self.close_after_replies
        ) = False
        self.ignore_input = False  # received data is dropped, as no further request gets a reply
        self.peer_eof = False  # the client has closed its sending side, and everything it sent is read
        self.peer_finished = False  # the client has closed its sending side; there may be unread data
        self.close_reason = ""  # why this side closes the connection, for the log; "": it does not

    # --- asyncio callbacks ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.set_write_buffer_limits(high=0)  # writing counts as paused while anything is unsent
        peer_state(self.sock)  # usually established now, so that later states count

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which all connections share: as much as there is room for."""
        if self.closing or self.ignore_input:
            return self.listener.read_buffer
        return self.listener.read_buffer[: max(MIN_READ, self.share.room)]

    def buffer_updated(self, nbytes: int) -> None:
        """Appends received bytes to the input buffer, and handles the complete requests in it in a turn."""
        if self.closing or self.ignore_input:
            return
        # Bytes that trickle in do not extend the time for the first request.
        if not self.buffer and self.has_requested:
            self.request_started = self.loop.time()
        self.buffer += self.listener.read_buffer[:nbytes]
        if not self.read_scheduled and self.listener.turns.start(self):
            self.read_scheduled = True
            self.update_share()
            self.update_reading()

    def eof_received(self) -> bool:
        """Keeps a half-closed connection open until its requests in flight have their replies.

        Messages that were accepted stay accepted in any case. False makes asyncio close the transport.
        """
        self.close_after_replies = self.peer_eof = self.peer_finished = True
        return self.read_scheduled or bool(self.replies) or self.has_whole_request

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the connection; replies that were not sent are lost."""
        self.log_closed(exc)
        self.closing = True
        self.read_scheduled = False
        self.replies.clear()
        self.buffer.clear()
        self.share.release(self)
        self.listener.remove(self)

    def log_closed(self, exc: Exception | None) -> None:
        """Logs the end of the connection: at INFO if requests have no reply, else at DEBUG."""
        reason = self.close_reason or ("error" if exc is not None else "client_closed")
        unanswered = len(self.replies)
        level = logging.INFO if unanswered else logging.DEBUG
        unread = self.discarded_bytes + len(self.buffer)
        fields = {"connection": self.session.id, "unanswered": unanswered, "unread_bytes": unread}
        record("client_connection_closed", reason, level=level, **fields, error=exc or "")

    def pause_writing(self) -> None:
        self.write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        self.write_paused, self.unsent = False, 0
        self.update_share()
        self.resume_processing()

    # --- requests ---

    @property
    def has_whole_request(self) -> bool:
        """Whether the buffer begins with a complete request, or with bytes that are an error."""
        try:
            return not self.ignore_input and find_request_end(self.buffer) > 0
        except hiredis.ProtocolError:
            return True

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or input is buffered."""
        return bool(self.replies or self.buffer)

    @property
    def must_stay_open(self) -> bool:
        """Whether shutdown still has to wait for this connection."""
        return bool(self.replies) or self.read_scheduled if self.listener.ignore_partial else self.busy

    @property
    def between_requests(self) -> bool:
        """Whether it has had a request, and holds no part of another one."""
        return self.has_requested and not self.buffer

    @property
    def idle_since(self) -> float:
        """Loop time, s, of the start of the incomplete request, else of the last request or reply."""
        return self.request_started if self.buffer else self.last_activity

    def has_unread_request(self) -> bool:
        """Whether the socket may hold a whole request, or the rest of the incomplete one."""
        if self.closing or self.write_paused:
            return False
        return bool(self.unread_rest()) if self.buffer else self.has_unread_data()

    def has_unread_data(self) -> bool:
        """Whether the socket holds data that the event loop has not read yet, possibly a complete request."""
        try:
            return not self.closing and bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # no data, or the connection is closed
            return False

    @property
    def awaiting_request(self) -> bool:
        """Whether nothing is in flight and the client has to send the rest of a request, or its first one."""
        return (bool(self.buffer) or not self.has_requested) and not self.replies and not self.read_scheduled

    @property
    def max_unanswered(self) -> int:
        """Requests without a reply, from which on no further one is handled.

        One, once the client has closed its sending side: it may be gone altogether, which only the write of
        a reply brings to light, and what it had not been told of must not be accepted then.
        """
        return 1 if self.peer_finished else MAX_UNANSWERED

    @property
    def backlogged(self) -> bool:
        """Whether replies have to be written before more requests are read (back-pressure)."""
        return (
            self.write_paused
            or len(self.replies) >= self.max_unanswered
            or 0 < self.replies.encoded_size >= self.share.room
        )

    def run_turn(self) -> bool:
        """Handles some of the complete requests in the buffer; returns whether there may be more.

        The rest are handled in later turns: hundreds of pipelined requests handled at once would delay other
        connections and use much memory.
        """
        self.read_scheduled = False
        if self.closing or self.has_left():
            return False
        try:
            self.read_scheduled = self.handle_requests()
        except hiredis.ProtocolError as error:
            self.close_with_error(f"Protocol error: {error}")
            return False
        was_backlogged = self.backlogged
        self.write_replies()
        # If the results that the back-pressure waited for were already known, their replies have just been
        # written and no callback follows. Without this, complete requests would stay unhandled in the buffer.
        if was_backlogged and not self.backlogged and self.buffer and not self.closing:
            self.read_scheduled = True
        self.update_reading()
        return self.read_scheduled

    def handle_requests(self) -> bool:
        """Handles complete requests for a turn; returns whether there may be more.

        Raises hiredis.ProtocolError for invalid framing.
        """
        parsed_end, requests_left, turn_end = 0, REQUESTS_PER_TURN, self.loop.time() + TURN_S
        try:
            while (
                requests_left and not self.backlogged and (end := find_request_end(self.buffer, parsed_end))
            ):
                with memoryview(self.buffer) as view:
                    data = bytes(view[parsed_end:end])
                parsed_end, requests_left, self.has_requested = end, requests_left - 1, True
                self.handle_request(data)
                if self.session.close_after_reply:  # requests after a QUIT are not handled
                    self.close_after_replies = self.ignore_input = True
                    parsed_end = len(self.buffer)
                    return False
                if self.loop.time() > turn_end:
                    requests_left = 0
            return not requests_left and parsed_end < len(self.buffer)
        finally:
            if parsed_end:
                del self.buffer[:parsed_end]
                self.last_activity = self.request_started = self.loop.time()
            self.update_share()

    def handle_request(self, data: bytes) -> None:
        """Handles one complete request. Raises hiredis.ProtocolError if the parser rejects it."""
        request = self.listener.parser.parse(data)
        self.requests += 1
        self.replies.append(self.listener.handle_request(request, self.session, self.share.room))

    def has_left(self) -> bool:
        """Checks whether the client is gone; if so, drops what it sent and closes.

        Requests that were not handled by then must not be accepted: their client may submit them again
        elsewhere. Those that were accepted stay accepted.
        """
        if self.peer_finished and self.replies:
            return False  # whether it is gone shows once they are written
        state = peer_state(self.sock)
        self.peer_finished = self.peer_finished or state is PeerState.FINISHED
        if state is not PeerState.GONE or self.transport is None:
            return False
        self.abort_departed()
        return True

    def abort_departed(self) -> None:
        """Closes the connection of a client that is gone, and frees what it sent at once.

        `connection_lost` follows only in the next iteration of the event loop. Where hundreds of clients
        leave together, what was just read from each would be held until then, unaccounted for.
        """
        self.close_reason = self.close_reason or "client_left"
        self.discarded_bytes = len(self.buffer)
        self.buffer.clear()
        self.update_share()
        if self.transport is not None:
            self.transport.abort()

    def resume_processing(self) -> None:
        """Continues after back-pressure, with the buffered requests before unread ones."""
        if self.buffer and not self.read_scheduled and not self.closing:
            self.read_scheduled = True
            self.listener.turns.resume(self)
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading, so that requests which cannot be handled yet stay in the socket."""
        if self.transport is None or self.transport.is_closing():
            return
        pause = self.read_scheduled or self.backlogged
        if not pause and not self.ignore_input and not self.share.room:
            pause = True
            self.listener.pool.wait(self)
        if pause != self.reading_paused:
            self.reading_paused = pause
            self.transport.pause_reading() if pause else self.transport.resume_reading()

    # --- memory ---

    def update_share(self) -> None:
        """Accounts for the memory that the connection holds."""
        if self.closing:
            return
        unsent = self.transport.get_write_buffer_size() if self.write_paused and self.transport else 0
        self.share.resize(len(self.buffer) + self.replies.encoded_size + unsent, self)

    def try_resume(self) -> bool:
        """Goes on reading if there is room, or handles the request if all of it has arrived; see Holder."""
        if self.closing or self.ignore_input or self.read_scheduled or self.backlogged:
            return True  # does not read; `update_reading` waits again if it has to
        if not self.share.room:
            rest = self.unread_rest()
            if rest is None or not rest and self.replies:
                return False
            if not rest:  # the client has left in the middle of its request
                return self.abandon()
            self.read_rest(rest)
        self.update_reading()
        return not self.reading_paused or self.read_scheduled

    def unread_rest(self) -> int | None:
        """Returns the size of the incomplete request's rest if it has arrived, but is not read yet, bytes.

        0 if the stream ends before; None if more has to arrive.
        """
        try:
            unread = unread_bytes(self.sock, self.listener.read_buffer)
            end, all_announced = announced_end(self.buffer)
        except OSError:  # nothing to read, or the connection is lost, which a write will show
            return None
        except hiredis.ProtocolError:
            return 0
        if not unread:
            return 0
        missing = end - len(self.buffer)
        if not all_announced or missing <= 0:
            return None
        if missing <= unread:
            return missing
        peer_sends = peer_state(self.sock) is PeerState.CONNECTED
        return None if peer_sends or unread == len(self.listener.read_buffer) else 0

    def abandon(self) -> bool:
        """Closes a connection whose client sends no more of its incomplete request; returns True."""
        self.abort_departed()
        return True

    def read_rest(self, size: int) -> None:
        """Reads and handles a request of which all has arrived, although there is no room.

        It is in memory no longer than this takes. `size`: of its rest, bytes.
        """
        try:
            size = self.sock.recv_into(self.listener.read_buffer, size)
        except OSError:
            return
        self.buffer += self.listener.read_buffer[:size]
        if self.run_turn():
            self.listener.turns.resume(self)

    def incomplete_since(self) -> float | None:
        """Returns when the incomplete request began, loop time in s; None if there is none."""
        waits = self.buffer and not self.replies and not self.read_scheduled and not self.closing
        return self.request_started if waits else None

    def shed(self) -> None:
        """Gives up the incomplete request with an error."""
        self.close_reason = "memory"
        self.close_with_error("no whole request, and memory is short")

    # --- replies ---

    def write_replies(self) -> None:
        """Writes the replies that are ready, in order, up to the first pending one.

        That one's result calls `on_result`. Closes the connection if it was waiting for these replies only.
        """
        encoded = self.replies.take_ready(self.on_result)
        if encoded and self.transport is not None:
            self.transport.write(encoded)
            self.last_activity = self.loop.time()
            self.update_share()
        if self.close_after_replies and not self.replies and not self.read_scheduled:
            if not self.has_whole_request:
                self.close()
        elif self.listener.shutting_down and not self.must_stay_open:
            self.close_if_idle()

    def on_result(self, _: asyncio.Future) -> None:
        """Called with the result of the oldest pending reply: writes it and those that waited for it."""
        if not self.closing:
            was_backlogged = self.backlogged
            self.write_replies()
            if was_backlogged:
                self.resume_processing()

    def close_with_error(self, text: str) -> None:
        """Replies with an error and closes the connection after it.

        Complete requests before the error still get their replies, in order: their messages may have been
        accepted, and a client without a reply submits them again.
        """
        self.buffer.clear()
        self.close_reason = self.close_reason or "request_error"
        self.read_scheduled, self.close_after_replies, self.ignore_input = False, True, True
        self.replies.append(error_reply(text))
        self.update_share()
        self.write_replies()
        self.update_reading()

    def close(self) -> None:
        """Closes once the written replies are sent; `check_timeouts` limits the wait.

        If the client may still send data that gets no reply, half-closes and discards input until the client
        closes too: closing a socket with unread data causes a reset, after which the client may not receive
        the replies on their way. A connection that closes between two requests does not linger: a request
        that arrives at the same time has to stay unread, so that its client sends it again.
        """
        if not self.closing and self.transport is not None:
            self.closing, self.last_activity = True, self.loop.time()
            if not self.ignore_input or self.peer_eof:
                return self.transport.close()
            self.listener.lingering.add(self)
            end_writing(self.transport)
            if self.reading_paused and not self.transport.is_closing():
                self.reading_paused = False
                self.transport.resume_reading()

    def give_way(self) -> None:
        """Refuses the requests that are read and not handled, and closes: others need its room.

        Each gets its reply, since its client could not know otherwise that it was not accepted.
        """
        start = 0
        with contextlib.suppress(hiredis.ProtocolError):
            while end := find_request_end(self.buffer, start):
                self.replies.append(BUSY)
                start = end
        self.close_reason = "room"
        self.close_with_error("room is short")

    def evict(self) -> None:
        """Closes at once, with an error unless it is between two requests: its descriptor is needed."""
        self.close_reason = "room"
        if self.write_paused and self.transport is not None:
            return self.transport.abort()  # the client does not read
        if self.between_requests:
            self.close()
        else:
            self.close_with_error("no whole request, and room is short")
        if self.transport is not None:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Closes for shutdown, unless an unread request has arrived, which is handled first."""
        if not self.has_unread_data():
            self.close_reason = self.close_reason or "stopping"
            self.close()

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if a time limit has passed; `now`: loop time, s."""
        if self.closing:
            if now - self.last_activity > CLOSE_TIMEOUT_S and self.transport is not None:
                self.transport.abort()
        elif self.write_paused and self.transport is not None and not self.sends_replies(now):
            self.close_reason = "answers_not_read"
            self.transport.abort()
        elif self.awaiting_request and now - self.request_started > REQUEST_TIMEOUT_S:
            self.close_reason = "request_timeout"
            self.close_with_error("no whole request in time")

    def sends_replies(self, now: float) -> bool:
        """Whether a part of the unsent replies was sent within REQUEST_TIMEOUT_S; `now`: loop time, s."""
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        if unsent < self.unsent:
            self.last_activity = now
        self.unsent = unsent
        self.update_share()
        return now - self.last_activity <= REQUEST_TIMEOUT_S
