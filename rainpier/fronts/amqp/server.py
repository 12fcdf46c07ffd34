"""AMQP 0-9-1 listener: accepts client connections and handles their I/O and timers."""

import asyncio
import hmac
import logging
import socket
from collections.abc import Callable

from ...amqp import connection as amqp_connection
from ...config.types import write_address
from ...observe.events import register_gauge
from ...pressure.memory import DEFAULT_POOL_SIZE, MemoryPool, Share
from ...pressure.turns import TURN_S, Turns
from ...sockets import PeerState, end_writing, listening_socket, peer_state
from ..resp.connection import MIN_READ
from ..resp.server import LISTEN_BACKLOG, READ_BUFFER_BYTES
from .options import Options
from .session import Session, SessionContext

log = logging.getLogger(__name__)
ACCEPTS_PER_TURN = 16  # new connections accepted in one iteration of the event loop
WRITE_BUFFER_BYTES = 16384  # unsent, from which on nothing more is processed for a client
HANDSHAKE_TIMEOUT_S = 5.0  # from the connect to the end of the handshake
LINGER_S = (
    1.0  # until a connection is aborted: for close-ok to arrive, and again for the last bytes to be sent
)
CHECK_INTERVAL_S = 0.25  # between checks of heartbeats, handshakes and whether admission is full
IDLE_QUEUE_CHECK_INTERVAL_S = 5.0  # between checks for idle reply queues


class Connection(asyncio.BufferedProtocol):
    """One client connection: socket I/O and timers around its state machine and session."""

    def __init__(self, listener: "AmqpListener") -> None:
        self.listener, self.loop = listener, listener.loop
        self.transport: asyncio.Transport | None = None
        now = self.loop.time()
        self.protocol = amqp_connection.Server(
            listener.options.limits, now, listener.authenticate, listener.is_vhost_allowed
        )
        self.session = Session(self.protocol, listener.context, self.schedule_flush)
        self.share = Share(listener.pool)
        # Loop time, s, 0.0 until it happens: of the connect, of the end of the AMQP connection, and of the
        # check that first saw this side's close without a close-ok.
        self.connected_at, self.closing_since, self.close_sent_at = now, 0.0, 0.0
        self.flush_scheduled, self.reading = False, True
        # There may be complete frames in the input; a turn to process them is scheduled.
        self.has_more = self.turn_scheduled = False
        self.partial_since: float | None = None  # loop time, s, of the first byte of what is incomplete
        # The client has closed its sending side; and everything that it sent is read.
        self.peer_finished = self.peer_eof = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # TCP keepalive detects clients that vanish although they agreed on no heartbeats.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        peer_state(sock)  # usually established now, so that later states count
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which all connections share: as much as there is room for."""
        if self.closing_since:
            return self.listener.read_buffer
        return self.listener.read_buffer[: max(MIN_READ, self.share.room)]

    def buffer_updated(self, nbytes: int) -> None:
        """Processes received bytes in a turn, and writes the resulting output."""
        if self.closing_since:
            # Read and dropped: unread data would cause a reset, and the client might not receive the close.
            return
        self.protocol.append(self.listener.read_buffer[:nbytes], self.loop.time())
        if not self.turn_scheduled and self.listener.turns.start(self):
            self.turn_scheduled = True
            self.update_share()
            self.update_reading()

    def run_turn(self) -> bool:
        """Processes some of the frames in the input; returns whether there are more."""
        self.turn_scheduled = False
        if self.closing_since or self.has_left():
            return False
        end = self.loop.time() + TURN_S
        self.has_more = self.protocol.process(
            self.session.handle, lambda: self.loop.time() < end and not self.backlogged
        )
        self.turn_scheduled = self.has_more and not self.backlogged
        self.flush()
        if self.peer_eof and not self.has_more and self.transport is not None:
            self.transport.close()
        return self.turn_scheduled

    @property
    def backlogged(self) -> bool:
        """Whether publishes need their results, or replies have to be sent, before more is processed.

        Once the client has closed its sending side, each publish does: it may be gone altogether, which only
        the write of a confirm brings to light, and what was not confirmed must not be accepted then.
        """
        most = 1 if self.peer_finished else self.listener.options.unanswered
        return self.session.write_paused or self.session.unanswered >= most

    def has_left(self) -> bool:
        """Checks whether the client is gone; if so, drops what it sent and closes.

        Publishes that were not processed by then must not be accepted: their client had no confirm, and may
        publish them again.
        """
        if self.transport is None:
            return False
        state = peer_state(self.transport.get_extra_info("socket"))
        self.peer_finished = self.peer_finished or state is PeerState.FINISHED
        if state is not PeerState.GONE:
            return False
        # Freed before `connection_lost`, which follows in the next iteration of the event loop: where many
        # clients leave together, what was just read from each would be held until then, unaccounted for.
        self.protocol.discard_input()
        self.update_share()
        self.transport.abort()
        return True

    def eof_received(self) -> bool:
        """Lets asyncio close the transport, unless there is input to process."""
        self.peer_finished = self.peer_eof = True
        return self.has_more

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the connection; the results of its publishes in flight reach no client."""
        for event in self.protocol.connection_lost():
            self.session.handle(event)
        self.session.release()
        self.share.release(self)
        self.listener.remove(self)

    def pause_writing(self) -> None:
        """Stops deliveries and reading while the client does not read."""
        self.session.write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        self.session.write_paused = False
        self.session.resume_deliveries()
        self.flush()

    # --- memory ---

    def update_share(self) -> None:
        """Accounts for the memory that the connection holds, and notes since when a part is incomplete."""
        if self.closing_since or self.transport is None:
            return
        protocol = self.protocol
        incomplete = len(protocol.input) + protocol.partial_bytes
        unsent = len(protocol.output) + self.transport.get_write_buffer_size()
        self.share.resize(incomplete + unsent, self)
        if not incomplete:
            self.partial_since = None
        elif self.partial_since is None:
            self.partial_since = self.loop.time()

    def try_resume(self) -> bool:
        """Goes on reading if there is room; see Holder."""
        if not self.share.room and not self.closing_since:
            return False
        self.update_reading()
        return True

    def incomplete_since(self) -> float | None:
        """Returns since when a frame or a content is incomplete, loop time in s; None if none is."""
        return None if self.turn_scheduled or self.closing_since else self.partial_since

    def shed(self) -> None:
        """Closes the AMQP connection, and releases its incomplete content."""
        self.protocol.close(
            amqp_connection.codes.RESOURCE_ERROR, "content is incomplete, and memory is short"
        )
        self.protocol.input.clear()
        self.session.release()
        self.flush()

    # --- output ---

    def schedule_flush(self) -> None:
        """Schedules a flush at the end of this iteration of the event loop."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Writes the pending output.

        Once the AMQP connection is closed, closes the transport, or half-closes it if this side closed the
        connection, so that the client can read the close.
        """
        self.flush_scheduled = False
        if self.transport is None or self.transport.is_closing():
            return
        if data := self.protocol.take_output(self.loop.time()):
            self.transport.write(data)
        if self.protocol.phase is amqp_connection.Phase.CLOSED and not self.closing_since:
            self.closing_since = self.loop.time()
            closed = self.session.closed_event
            if closed is not None and closed.code not in (0, 200):
                log.info("amqp: client connection closed: %d %s", closed.code, closed.text)
            if closed is not None and not closed.local:
                self.transport.close()
            elif self.transport.can_write_eof():
                end_writing(self.transport)
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading (back-pressure).

        A client that does not read, or has Options.unanswered publishes without a result, could otherwise
        make this process use more and more memory.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self.update_share()
        pause = not self.closing_since and (self.backlogged or self.turn_scheduled)
        if not pause and not self.closing_since and self.has_more:
            self.turn_scheduled = pause = True
            self.listener.turns.resume(self)
        if not pause and not self.closing_since and not self.share.room:
            pause = True
            self.listener.pool.wait(self)
        if pause and self.reading:
            self.transport.pause_reading()
        elif not pause and not self.reading:
            self.transport.resume_reading()
            self.protocol.last_received = self.loop.time()  # nothing could be received while paused
        self.reading = not pause

    # --- time ---

    def check_timeouts(self, now: float) -> None:
        """Checks the timeouts of handshake, close and heartbeat; `now`: loop time, s."""
        if self.transport is None:
            return
        if self.closing_since:
            if now - self.closing_since > LINGER_S:
                self.transport.abort()
            return
        if self.protocol.phase is amqp_connection.Phase.CLOSING:  # close sent; close-ok may never come
            self.close_sent_at = self.close_sent_at or now
            if now - self.close_sent_at > LINGER_S:
                self.transport.abort()
            return
        if not self.session.open and now - self.connected_at > HANDSHAKE_TIMEOUT_S:
            self.transport.abort()
            return
        if not self.reading:
            self.protocol.last_received = now
        for event in self.protocol.tick(now):
            self.session.handle(event)
        self.flush()

    def notify_blocked(self, full: bool) -> None:
        """Tells clients that support RabbitMQ's extension connection.blocked whether admission is full."""
        if not self.session.open or self.session.blocked == full:
            return
        self.session.blocked = full
        if (
            self.protocol.peer_capabilities.get("connection.blocked")
            and self.protocol.phase is amqp_connection.Phase.RUNNING
        ):
            method = (
                amqp_connection.ConnectionMethods.Blocked("intake is full")
                if full
                else amqp_connection.ConnectionMethods.Unblocked()
            )
            self.protocol.write(0, method)
            self.flush()

    def close_if_answered(self) -> None:
        """Sends the close for shutdown once no publish is in flight or to be processed."""
        if self.session.unanswered == 0 and not self.has_more and not self.closing_since:
            self.protocol.close(amqp_connection.codes.CONNECTION_FORCED, "the sidecar stops")
            self.session.release()
            self.flush()


class AmqpListener:
    """Accepts client connections up to a limit.

    `full()`: whether admission accepts no message now; `pool`, `turns`: shared with other listeners, None: of
    its own.
    """

    def __init__(
        self,
        context: SessionContext,
        options: Options,
        full: Callable[[], bool],
        pool: MemoryPool | None = None,
        turns: Turns | None = None,
    ) -> None:
        self.context, self.options, self.admission_full = context, options, full
        self.loop = asyncio.get_running_loop()
        self.pool = pool or MemoryPool(DEFAULT_POOL_SIZE, self.loop.time, self.loop.call_later)
        self.turns = turns or Turns(self.loop.time, self.loop.call_soon)
        # Shared by all connections: each read is copied out before the next one starts.
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.queues_checked_at, self.all_closed = self.loop.time(), asyncio.Event()
        register_gauge("amqp_connections", lambda: len(self.connections))

    async def listen(self) -> None:
        """Starts to listen and to check timeouts."""
        listening = listening_socket(self.options.listen, LISTEN_BACKLOG)
        # asyncio accepts as many connections in a row as its `backlog`, before it closes any above the limit.
        self.server = await self.loop.create_server(
            self.create_protocol, sock=listening, backlog=ACCEPTS_PER_TURN
        )
        listening.listen(LISTEN_BACKLOG)
        self.check_timeouts()

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        assert self.server is not None
        return self.server.sockets[0].getsockname()[1]

    def create_protocol(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection; at the limit, one that closes it at once."""
        if len(self.connections) >= self.options.connections:
            log.warning(
                "amqp: turned away a connection: %d are open, the limit is %d",
                len(self.connections),
                self.options.connections,
            )
            return RejectedConnection()
        connection = Connection(self)
        self.connections.add(connection)
        return connection

    def remove(self, connection: Connection) -> None:
        """Forgets a closed connection."""
        self.connections.discard(connection)
        if not self.connections:
            self.all_closed.set()

    async def close(self, within: float) -> None:
        """Stops listening and closes each connection once all its publishes have a result.

        After `within` s the remaining connections are aborted.
        """
        if self.server is not None:
            self.server.close()
        self.all_closed.clear()
        deadline = self.loop.time() + within
        while self.connections and self.loop.time() < deadline:
            for connection in list(self.connections):
                connection.close_if_answered()
            try:
                await asyncio.wait_for(self.all_closed.wait(), 0.05)
            except TimeoutError:
                continue
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        if self.timer is not None:
            self.timer.cancel()

    def check_timeouts(self) -> None:
        """Checks the timeouts of all connections, deletes idle reply queues, and schedules the next check."""
        now, full = self.loop.time(), self.admission_full()
        for connection in list(self.connections):
            try:
                connection.check_timeouts(now)
                connection.notify_blocked(full)
            except Exception:
                log.exception("amqp: could not check the timeouts of a connection")
        if now - self.queues_checked_at > IDLE_QUEUE_CHECK_INTERVAL_S:
            self.queues_checked_at = now
            self.context.queues.delete_idle(now)
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check_timeouts)

    def status(self) -> dict[str, object]:
        """Returns the fields that `rainpier status` shows."""
        queues = self.context.queues
        return {
            "listen": write_address((self.options.listen[0], self.port)),
            "connections": len(self.connections), "queues": len(queues.by_name),
            "replies": sum(queue.message_count for queue in queues),
            "replies_dropped": queues.dropped_replies, "refused_unheard": self.context.refused_unheard,
        }  # fmt: skip

    # --- access control ---

    def authenticate(self, mechanism: str, response: str) -> bool:
        """Checks a login by SASL PLAIN (RFC 4616), whose response is identity, NUL, user, NUL, password.

        Without a configured user, any credentials are accepted.
        """
        fields = response.split("\0")
        if mechanism != "PLAIN" or len(fields) != 3:
            return False
        if not self.options.user:
            return True
        user = hmac.compare_digest(fields[1].encode(), self.options.user.encode())
        return hmac.compare_digest(fields[2].encode(), self.options.password.encode()) and user

    def is_vhost_allowed(self, name: str) -> bool:
        """Whether the virtual host is the configured one."""
        return name == self.options.vhost


class RejectedConnection(asyncio.Protocol):
    """Protocol of a connection above the limit: closes it at once and holds no state for it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()
