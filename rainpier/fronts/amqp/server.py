"""AMQP 0-9-1 listener: accepts client connections and handles their I/O and timers."""

import asyncio
import hmac
import logging
import socket
from collections.abc import Callable

from ...amqp import connection as amqp_connection
from ...config.types import write_address
from ...observe.events import register_gauge
from ...sockets import end_writing, listening_socket
from ..resp.server import LISTEN_BACKLOG
from .options import Options
from .session import Session, SessionContext

log = logging.getLogger(__name__)
HANDSHAKE_TIMEOUT_S = 5.0  # from the connect to the end of the handshake
LINGER_S = (
    1.0  # until a connection is aborted: for close-ok to arrive, and again for the last bytes to be sent
)
CHECK_INTERVAL_S = 0.25  # between checks of heartbeats, handshakes and whether admission is full
IDLE_QUEUE_CHECK_INTERVAL_S = 5.0  # between checks for idle reply queues


class Connection(asyncio.Protocol):
    """One client connection: socket I/O and timers around its state machine and session."""

    def __init__(self, listener: "AmqpListener") -> None:
        self.listener, self.loop = listener, listener.loop
        self.transport: asyncio.Transport | None = None
        now = self.loop.time()
        self.protocol = amqp_connection.Server(
            listener.options.limits, now, listener.authenticate, listener.is_vhost_allowed
        )
        self.session = Session(self.protocol, listener.context, self.schedule_flush)
        # Loop time, s, 0.0 until it happens: of the connect, of the end of the AMQP connection, and of the
        # check that first saw this side's close without a close-ok.
        self.connected_at, self.closing_since, self.close_sent_at = now, 0.0, 0.0
        self.flush_scheduled, self.reading = False, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # TCP keepalive detects clients that vanish although they agreed on no heartbeats.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def data_received(self, data: bytes) -> None:
        """Processes received bytes and writes the resulting output."""
        if self.closing_since:
            # Read and dropped: unread data would cause a reset, and the client might not receive the close.
            return
        self.protocol.feed(data, self.loop.time(), self.session.handle)
        self.flush()

    def eof_received(self) -> bool:
        """Lets asyncio close the transport at the end of the stream."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the connection; the results of its publishes in flight reach no client."""
        for event in self.protocol.connection_lost():
            self.session.handle(event)
        self.session.release()
        self.listener.remove(self)

    def pause_writing(self) -> None:
        """Stops deliveries and reading while the client does not read."""
        self.session.write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        self.session.write_paused = False
        self.session.resume_deliveries()
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
        pause = not self.closing_since and (
            self.session.write_paused or self.session.unanswered >= self.listener.options.unanswered
        )
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
        """Sends the close for shutdown once no publish is in flight."""
        if self.session.unanswered == 0 and not self.closing_since:
            self.protocol.close(amqp_connection.codes.CONNECTION_FORCED, "the sidecar stops")
            self.session.release()
            self.flush()


class AmqpListener:
    """Accepts client connections up to a limit. `full()`: whether admission accepts no message now."""

    def __init__(self, context: SessionContext, options: Options, full: Callable[[], bool]) -> None:
        self.context, self.options, self.admission_full = context, options, full
        self.loop = asyncio.get_running_loop()
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.queues_checked_at, self.all_closed = self.loop.time(), asyncio.Event()
        register_gauge("amqp_connections", lambda: len(self.connections))

    async def listen(self) -> None:
        """Starts to listen and to check timeouts."""
        listening = listening_socket(self.options.listen, LISTEN_BACKLOG)
        self.server = await self.loop.create_server(
            self.create_protocol, sock=listening, backlog=LISTEN_BACKLOG
        )
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
