"""RESP listener: accepts, limits and closes client connections, and dispatches their requests."""

import asyncio
import contextlib
import errno
import logging
import socket
from collections.abc import Callable

from ...observe.events import record, register_gauge
from ...pressure.memory import DEFAULT_POOL_SIZE, MemoryPool
from ...pressure.turns import Turns
from ...sockets import accept_queue_length, listening_socket
from ...submission import PendingResult, Submission
from .connection import Connection
from .eviction import busiest_first, evictable
from .replies import Reply
from .requests import BadRequest, RequestParser, error_reply, parse_submission, printable
from .session import Session

log = logging.getLogger(__name__)
READ_BUFFER_BYTES = 65536  # largest number of bytes of one read
SEND_BUFFER_BYTES = 65536  # of the kernel for one client: one that does not read is found out soon
LISTEN_BACKLOG = 1024  # connections that wait in the kernel to be accepted: all clients may connect at once
TIMEOUT_CHECK_INTERVAL_S = 0.2  # between checks for connections past a time limit
REPEATING_COMMANDS = (b"ECHO", b"PING")  # their replies repeat what the client sent
ACCEPTS_PER_TURN = 32  # new connections accepted in one iteration of the event loop
MAX_EVICTIONS = 8  # connections closed in one iteration of the event loop to make room for new ones
ACCEPT_PAUSE_S = 0.02  # between attempts to accept while the connection limit is reached
SHED_AFTER_S = 0.05  # at the connection limit with no idle connection, until busy ones are closed
# At the connection limit, time after which new connections get an error and are closed: clients wait 0.4 s.
TURN_AWAY_AFTER_S = 0.3
NO_DESCRIPTOR_BEFORE_EVICTION_S = 0.1  # without a free file descriptor, until an idle connection is closed
ACCEPT_LOG_INTERVAL_S = 1.0  # between warnings about failing accept() calls
MAX_ABORTED_PER_TURN = 8  # failures of accept() for connections that ended before it, in one iteration
# Errors that concern only the connection to be accepted; the next one may succeed (accept(2)).
ABORTED_ERRNOS = frozenset((
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENOPROTOOPT, errno.EPERM, errno.ENETDOWN,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
))  # fmt: skip


class RespListener:
    """Accepts client connections up to `max_connections` and dispatches their requests.

    `submit`: hands a message to the node; `password`: of AUTH, "" for none; `pool`, `turns`: shared with
    other listeners, None: of its own.
    """

    def __init__(
        self,
        submit: Callable[[Submission], PendingResult],
        max_connections: int,
        password: str = "",
        pool: MemoryPool | None = None,
        turns: Turns | None = None,
    ) -> None:
        self.submit, self.max_connections, self.password = submit, max_connections, password
        self.loop = asyncio.get_running_loop()
        self.pool = pool or MemoryPool(DEFAULT_POOL_SIZE, self.loop.time, self.loop.call_later)
        self.turns = turns or Turns(self.loop.time, self.loop.call_soon)
        self.parser = RequestParser()
        # Shared by all connections: each read is copied out before the next one starts.
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.connections: set[Connection] = set()
        self.socket: socket.socket | None = None
        self.full_since: float | None = None  # loop time in s since which the limit is reached
        self.accept_failing_since: float | None = None  # loop time in s since which accept() fails
        self.accept_failure_logged_at = -ACCEPT_LOG_INTERVAL_S  # loop time, s
        self.lingering: set[Connection] = set()  # half-closed, wait only for the client to close
        # See connection.Listener; `all_closed`: only lingering connections are left.
        self.shutting_down, self.ignore_partial, self.all_closed = False, False, asyncio.Event()
        self.timers: dict[str, asyncio.TimerHandle] = {}
        register_gauge("client_connections", lambda: len(self.connections))

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to listen and to check timeouts."""
        self.socket = listening_socket(address, LISTEN_BACKLOG, SEND_BUFFER_BYTES)
        self.resume_accepting()
        self.check_timeouts()

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        assert self.socket is not None
        return self.socket.getsockname()[1]

    async def close(self, within: float) -> None:
        """Stops listening and closes each connection once its requests have their replies.

        After `within` s it no longer waits for the rest of partly received requests. For the replies to
        complete requests, whose messages may have been accepted, it waits another `within` s and leaves them
        open after that, until the process exits.
        """
        if self.socket is not None:
            # Accepts the clients in the backlog, whose connections would otherwise be reset.
            for _ in range(LISTEN_BACKLOG // ACCEPTS_PER_TURN):
                self.accept_pending()
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        self.shutting_down = True
        for timer in self.timers.values():
            timer.cancel()  # closing has a time limit of its own
        for self.ignore_partial in (False, True):
            for connection in list(self.connections):
                if not connection.must_stay_open:
                    connection.close_if_idle()  # the others close after their last reply
            self.all_closed.clear()
            self.check_all_closed()
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(self.all_closed.wait(), within)

    # --- new connections ---

    def resume_accepting(self) -> None:
        """Accepts new connections again, unless the listener is shutting down."""
        if self.socket is not None and not self.shutting_down:
            self.loop.add_reader(self.socket, self.accept_pending)

    def pause_accepting(self) -> None:
        """Leaves new connections in the kernel's backlog for ACCEPT_PAUSE_S."""
        assert self.socket is not None
        self.loop.remove_reader(self.socket)
        self.timers["accept"] = self.loop.call_later(ACCEPT_PAUSE_S, self.resume_accepting)

    def accept_pending(self) -> None:
        """Accepts waiting connections; at the limit, evicts an idle one, pauses, or turns a new one away."""
        assert self.socket is not None
        aborted = 0
        waiting = min(MAX_EVICTIONS, max(1, accept_queue_length(self.socket)))
        for accepted in range(ACCEPTS_PER_TURN):
            if len(self.connections) < self.max_connections:
                self.full_since = None
            elif accepted or self.evict(waiting):
                return  # continues in the next iteration, when the evicted connections' descriptors are free
            elif self.time_full() > SHED_AFTER_S and self.shed_busiest(waiting):
                return
            elif self.time_full() <= TURN_AWAY_AFTER_S:
                return self.pause_accepting()
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                aborted += 1
                if error.errno in ABORTED_ERRNOS and aborted < MAX_ABORTED_PER_TURN:
                    continue
                return self.accept_failed(error)
            self.accept_failing_since = None
            self.add_connection(peer) if len(self.connections) < self.max_connections else self.turn_away(
                peer
            )

    def accept_failed(self, error: OSError) -> None:
        """Logs a failure of accept() and pauses accepting; without a free descriptor, evicts a connection.

        A waiting connection keeps the socket readable, so retrying at once would use all of the CPU.
        """
        now = self.loop.time()
        self.accept_failing_since = now if self.accept_failing_since is None else self.accept_failing_since
        log_now = now - self.accept_failure_logged_at >= ACCEPT_LOG_INTERVAL_S
        if log_now:
            self.accept_failure_logged_at = now
        reason = errno.errorcode.get(error.errno or 0, "other")
        level = logging.WARNING if log_now else logging.DEBUG
        record("accept_failed", reason, level=level, error=error, connections=len(self.connections))
        # EMFILE: the descriptor table of this process is full. Only then does closing a connection help.
        if error.errno == errno.EMFILE and now - self.accept_failing_since > NO_DESCRIPTOR_BEFORE_EVICTION_S:
            self.accept_failing_since = now
            self.evict(1)
        self.pause_accepting()

    def time_full(self) -> float:
        """Returns for how long the connection limit has been reached, s."""
        now = self.loop.time()
        self.full_since = now if self.full_since is None else self.full_since
        return now - self.full_since

    def shed_busiest(self, count: int) -> bool:
        """Closes up to `count` of the connections that send more than is handled, the busiest first.

        Otherwise as many of them as the limit allows would keep out all others. Returns False if none does.
        """
        busiest = busiest_first(self.connections)[:count]
        for connection in busiest:
            connection.give_way()
        return bool(busiest)

    def evict(self, count: int) -> bool:
        """Closes up to `count` idle connections, so that silent clients cannot keep out active ones.

        Lingering connections are closed first, then those that `evictable` returns. One with an unread
        request is kept. Returns False if there is none to close.
        """
        evicted = 0
        for connection in sorted(self.lingering, key=lambda c: c.last_activity)[:count]:
            self.lingering.discard(connection)
            if connection.transport is not None:
                connection.transport.abort()
            evicted += 1
        candidates = evictable(self.connections, self.loop.time()) if evicted < count else []
        for connection in candidates:
            if connection.has_unread_request():
                continue
            connection.evict()
            evicted += 1
            if evicted == count:
                break
        return evicted > 0

    def add_connection(self, peer: socket.socket) -> None:
        """Starts serving an accepted connection."""
        peer.setblocking(False)
        connection = Connection(self, peer)
        self.connections.add(connection)
        creation = self.loop.create_task(self.loop.connect_accepted_socket(lambda: connection, peer))
        creation.add_done_callback(lambda task: self.on_transport_created(task, connection, peer))

    def on_transport_created(self, task: asyncio.Task, connection: Connection, peer: socket.socket) -> None:
        """Closes and forgets a connection if its transport could not be created."""
        if task.cancelled() or task.exception() is not None:
            peer.close()
            self.remove(connection)

    def turn_away(self, peer: socket.socket) -> None:
        """Replies with an error and closes the connection, without blocking."""
        record("client_refused", "too_many_connections", level=logging.DEBUG)
        peer.setblocking(False)
        try:
            peer.send(error_reply("too many connections"))
            peer.shutdown(socket.SHUT_WR)
            peer.recv(READ_BUFFER_BYTES)  # closing with an unread request would cause a reset
        except OSError:
            pass
        finally:
            peer.close()

    def remove(self, connection: Connection) -> None:
        """Forgets a closed connection."""
        self.connections.discard(connection)
        self.lingering.discard(connection)
        self.check_all_closed()

    def check_all_closed(self) -> None:
        """Wakes `close` if only lingering connections are left."""
        if self.connections <= self.lingering:
            self.all_closed.set()

    def check_timeouts(self) -> None:
        """Closes connections that are past a time limit, and schedules the next check."""
        now = self.loop.time()
        for connection in list(self.connections):
            try:
                connection.check_timeouts(now)
            except Exception:
                log.exception(
                    "could not check the time limits of client connection %d", connection.session.id
                )
        self.timers["look"] = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_timeouts)

    # --- requests ---

    def handle_request(self, request: list[bytes], session: Session, room: int) -> Reply:
        """Handles a request; returns the encoded reply or the pending result of a submission.

        `room`: bytes that the reply may take; only a reply that repeats a part of the request can be larger.
        """
        name, *args = request
        try:
            if name.upper() in REPEATING_COMMANDS and sum(map(len, args)) > room:
                raise BadRequest("memory is short")
            if (reply := session.handle(name, args)) is not None:
                return reply
            if name.upper() == b"PING":
                return self.ping(args)
            if name.upper() == b"MSG.PUT":
                return self.submit(parse_submission(args))
        except BadRequest as error:
            return error_reply(str(error))
        except Exception:
            log.exception("request %s of client connection %d failed", printable(name), session.id)
            return error_reply("internal error")
        return error_reply(f"unknown command {printable(name)}")

    @staticmethod
    def ping(args: list[bytes]) -> bytes:
        """Handles PING; raises BadRequest for too many arguments."""
        if len(args) > 1:
            raise BadRequest("wrong number of arguments for 'PING'")
        return b"$%d\r\n%s\r\n" % (len(args[0]), args[0]) if args else b"+PONG\r\n"
