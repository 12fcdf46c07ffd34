"""RESP server for clients: PING, MSG.PUT and the handshake. Which connections it keeps, and for how long."""

import asyncio
import contextlib
import errno
import logging
import socket
from collections import deque
from collections.abc import Callable

import hiredis

from ...handed import Answered, Handed
from ...observe.events import record
from ...sockets import listening_socket
from .requests import BadRequest, RequestParser, error, frame, parse_put, shown, worded
from .session import Session

log = logging.getLogger(__name__)
READ = 65536  # bytes of one read
TURN = 16  # requests of one connection in one turn of the loop
BACKLOG = 1024  # connections that wait to be accepted: a fleet of clients may come at one instant
MOST_OPEN = 64  # unanswered requests of one connection; more are not read yet
REQUEST_TIME = 2.4  # s for the first whole request, and from the first byte of a later one to its last
IDLE_TIME = 0.2  # s without an open request after which a connection may be closed when room is short: guards
# against clients that ask once and stay, and come again on new connections when they are turned away
UNPROVEN_TIME = 0.1  # s the same for one that has sent no whole request yet: clients ask as soon as they come
CLOSE_TIME = 1.0  # s for the last answer to leave on a connection that is closing
LOOK = 0.2  # s between looks for connections whose time is up
ACCEPTS = 32  # new connections in one turn of the loop
PAUSE = 0.02  # s without new connections while there is no room for them
SHORT = 0.3  # s without room after which new connections are turned away: a client waits 0.4 s
FULL_TABLE_TIME = 0.1  # s with no descriptor left after which an idle connection is closed for one
LOG_INTERVAL = 1.0  # s between log records of failing accepts
MOST_ABORTED = 8  # connections in one turn of the loop that ended before they were accepted
# Errors of the one connection that was to be accepted: the next one may be well (accept(2)).
ABORTED = frozenset((
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENOPROTOOPT, errno.EPERM, errno.ENETDOWN,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
))  # fmt: skip

Reply = Answered | bytes  # bytes: of the session itself


class Connection(asyncio.BufferedProtocol):
    """One client: its requests in the order they come, its answers in the same order."""

    def __init__(self, clients: "Clients", sock: socket.socket) -> None:
        self.clients, self.loop, self.sock = clients, clients.loop, sock
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.session = Session(clients.password)
        self.answers: deque[Reply] = deque()
        self.since = self.loop.time()  # of the last thing that happened: the connect, a request, an answer
        self.begun = self.since  # when the first byte of the request that is not whole yet came
        self.proven = False  # has sent a whole request
        self.closing = self.paused = self.full = self.due = self.last = False
        self.deaf = False  # what comes is dropped: nothing more is answered
        self.eof = False  # the client has ended its side
        self.reason = ""  # why this side closes it

    # --- the loop's side ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.clients.incoming

    def buffer_updated(self, nbytes: int) -> None:
        if self.closing or self.deaf:
            return
        if not self.buffer and self.proven:  # what comes in drops before a first request wins no time
            self.begun = self.loop.time()
        self.buffer += self.clients.incoming[:nbytes]
        if not self.due:
            self.read()

    def eof_received(self) -> bool:
        """A client that sends no more is still answered; what was taken on stays taken on anyway."""
        self.last = self.eof = True
        return self.due or bool(self.answers)

    def connection_lost(self, exc: Exception | None) -> None:
        self.log_loss(exc)
        self.closing = True
        self.due = False
        self.answers.clear()
        self.buffer.clear()
        self.clients.lost(self)

    def log_loss(self, exc: Exception | None) -> None:
        """A connection that ends with something owed is logged; the others are counted."""
        reason = self.reason or ("error" if exc is not None else "client_closed")
        owed = len(self.answers)
        level = logging.INFO if owed else logging.DEBUG
        fields = {"connection": self.session.id, "unanswered": owed, "unread_bytes": len(self.buffer)}
        record("client_connection_closed", reason, level=level, **fields, error=exc or "")

    def pause_writing(self) -> None:
        self.full = True
        self.steer()

    def resume_writing(self) -> None:
        self.full = False
        self.go_on()

    # --- requests ---

    @property
    def busy(self) -> bool:
        return bool(self.answers or self.buffer)

    @property
    def wanted(self) -> bool:
        """While the process ends: whether it is still waited for."""
        return bool(self.answers) or self.due if self.clients.hurried else self.busy

    def unread(self) -> bool:
        """Something waits in the socket that the loop has not read yet: maybe a whole request."""
        try:
            return not self.closing and bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing, or the connection is over
            return False

    @property
    def waited_for(self) -> bool:
        """The next thing to happen is the rest of its request, or the first one."""
        return (bool(self.buffer) or not self.proven) and not self.answers and not self.due

    @property
    def crowded(self) -> bool:
        """Its answers have to leave before more is read."""
        return self.full or len(self.answers) >= MOST_OPEN

    def read(self) -> None:
        """Take up what is whole, in turns: guards the others, and the memory, against hundreds at once."""
        self.due = False
        at, turn = 0, TURN
        try:
            while turn and not self.crowded and (end := frame(self.buffer, at)):
                request = self.clients.parser.parse(bytes(self.buffer[at:end]))
                at, turn, self.proven = end, turn - 1, True
                self.answers.append(self.clients.answer(request, self.session))
                if self.session.quit:  # what comes behind a QUIT is not taken up
                    self.last, self.deaf, at, turn = True, True, len(self.buffer), 0
        except hiredis.ProtocolError as failure:
            return self.fail(f"Protocol error: {failure}")
        if at:
            del self.buffer[:at]
            self.since = self.begun = self.loop.time()
        if not turn and self.buffer:
            self.due = True
            self.loop.call_soon(self.read_on)
        held = self.crowded
        self.flush()
        # Guards whole requests that had to wait: nobody comes back to them where the answers that were in
        # their way had been decided meanwhile, and have just left.
        self.go_on() if held and not self.crowded else self.steer()

    def read_on(self) -> None:
        if self.due and not self.closing:
            self.read()

    def go_on(self) -> None:
        """There is room again: what was left unread in the buffer, then what waits in the socket."""
        if self.buffer and not self.due and not self.closing:
            self.due = True
            self.loop.call_soon(self.read_on)
        self.steer()

    def steer(self) -> None:
        """Read ahead no more than a turn's requests: the rest stays in the socket."""
        if self.transport is None or self.transport.is_closing():
            return
        hold = self.due or self.crowded
        if hold != self.paused:
            self.paused = hold
            self.transport.pause_reading() if hold else self.transport.resume_reading()

    # --- answers ---

    def flush(self) -> None:
        """Write what can be written in order; the first answer that is not decided yet calls again."""
        ready = []
        while self.answers:
            answer = self.answers[0]
            if isinstance(answer, asyncio.Future):
                if not answer.done():
                    answer.add_done_callback(self.decided)
                    break
                answer = answer.result()
            self.answers.popleft()
            ready.append(answer if isinstance(answer, bytes) else worded(answer))
        if ready and self.transport is not None:
            self.transport.write(b"".join(ready))
            self.since = self.loop.time()
        if self.last and not self.answers and not self.due:
            self.close()
        elif self.clients.ended and not self.wanted:
            self.leave()

    def decided(self, _: asyncio.Future) -> None:
        if not self.closing:
            crowded = self.crowded
            self.flush()
            if crowded:
                self.go_on()

    def fail(self, text: str) -> None:
        """The error, and the end behind it.

        What was asked whole before the fault keeps its answers, in their order: it may be taken on, and a
        client that hears nothing hands it in again.
        """
        self.buffer.clear()
        self.reason = self.reason or "request_error"
        self.due, self.last, self.deaf = False, True, True
        self.answers.append(error(text))
        self.flush()
        self.steer()

    def close(self) -> None:
        """After what is written has left, but not for long.

        Where a client may still be sending what nobody will answer, our side ends first, and the rest is read
        and dropped until it has ended too: bytes that are unread when a socket is closed make a reset, which
        may destroy what was answered. Never between two requests: what crosses the close must stay unread,
        so that its client sends it once more.
        """
        if not self.closing and self.transport is not None:
            self.closing, self.since = True, self.loop.time()
            if not self.deaf or self.eof:
                return self.transport.close()
            self.clients.lingering.add(self)
            try:
                self.transport.write_eof()
            except OSError:  # the client has ended it already
                return self.transport.abort()
            if self.paused:
                self.paused = False
                self.transport.resume_reading()

    def leave(self) -> None:
        """Close between two requests, unless one has come that is not read yet: it is answered first."""
        if not self.unread():
            self.reason = self.reason or "stopping"
            self.close()

    def look(self, now: float) -> None:
        """Close what takes too long; see Clients.look."""
        if self.closing:
            if now - self.since > CLOSE_TIME and self.transport is not None:
                self.transport.abort()
        elif self.full and now - self.since > REQUEST_TIME and self.transport is not None:
            self.reason = "answers_not_read"
            self.transport.abort()
        elif self.waited_for and now - self.begun > REQUEST_TIME:
            self.reason = "request_timeout"
            self.fail("no whole request in time")


class Clients:
    """Listens, and keeps the connections inside their number."""

    def __init__(self, put: Callable[[Handed], Answered], most: int, password: str = "") -> None:
        self.put, self.most, self.password = put, most, password
        self.loop = asyncio.get_running_loop()
        self.parser = RequestParser()
        self.incoming = memoryview(bytearray(READ))  # each read is taken up before the next one begins
        self.connections: set[Connection] = set()
        self.socket: socket.socket | None = None
        self.short_since: float | None = None
        self.failing_since: float | None = None  # of accept()
        self.accept_logged = -LOG_INTERVAL  # loop time, s
        self.lingering: set[Connection] = set()  # of them, those that wait for the client's own end only
        self.ended, self.hurried, self.gone = False, False, asyncio.Event()
        self.timers: dict[str, asyncio.TimerHandle] = {}

    async def listen(self, address: tuple[str, int]) -> None:
        self.socket = listening_socket(address, BACKLOG)
        self.accept_more()
        self.look()

    @property
    def port(self) -> int:
        assert self.socket is not None
        return self.socket.getsockname()[1]

    async def close(self, within: float) -> None:
        """Listen no longer; close each connection once nothing on it is unanswered.

        After `within` seconds half a request is no longer waited for. What was asked whole still is: it may
        be taken on, so that only the end of the process cuts it off.
        """
        if self.socket is not None:
            for _ in range(BACKLOG // ACCEPTS):  # who waits to be accepted would be reset with its request
                self.accept()
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        self.ended = True
        for timer in self.timers.values():
            timer.cancel()  # the time that closing may take is bounded by itself
        for self.hurried in (False, True):
            for connection in list(self.connections):
                if not connection.wanted:
                    connection.leave()  # the others leave behind their last answer
            self.gone.clear()
            self.over()
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(self.gone.wait(), within)

    # --- new connections ---

    def accept_more(self) -> None:
        if self.socket is not None and not self.ended:
            self.loop.add_reader(self.socket, self.accept)

    def pause(self) -> None:
        """Let new connections wait in the socket's own queue."""
        assert self.socket is not None
        self.loop.remove_reader(self.socket)
        self.timers["accept"] = self.loop.call_later(PAUSE, self.accept_more)

    def accept(self) -> None:
        assert self.socket is not None
        aborted = 0
        for n in range(ACCEPTS):
            if len(self.connections) < self.most:
                self.short_since = None
            elif n or self.free_one():
                return  # if more wait, or now that a descriptor comes free: in the next turn of the loop
            elif not self.must_turn_away():
                return self.pause()
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as failure:
                aborted += 1
                if failure.errno in ABORTED and aborted < MOST_ABORTED:
                    continue
                return self.accept_failed(failure)
            self.failing_since = None
            self.take(peer) if len(self.connections) < self.most else self.turn_away(peer)

    def accept_failed(self, failure: OSError) -> None:
        """Listen on a little later: guards the processor, since who waits keeps the listener ready."""
        now = self.loop.time()
        self.failing_since = now if self.failing_since is None else self.failing_since
        due = now - self.accept_logged >= LOG_INTERVAL
        if due:
            self.accept_logged = now
        reason = errno.errorcode.get(failure.errno or 0, "other")
        level = logging.WARNING if due else logging.DEBUG
        record("accept_failed", reason, level=level, error=failure, connections=len(self.connections))
        # Only a table of this process's own gets room by closing its connections.
        if failure.errno == errno.EMFILE and now - self.failing_since > FULL_TABLE_TIME:
            self.failing_since = now
            self.free_one()
        self.pause()

    def must_turn_away(self) -> bool:
        """Whether there has been no room for so long that who waits is better told."""
        now = self.loop.time()
        self.short_since = now if self.short_since is None else self.short_since
        return now - self.short_since > SHORT

    def free_one(self) -> bool:
        """Close the connection that is missed least: guards the clients at work against a silent crowd.

        First those that wait only for the client's own end, then those that have sent no whole request yet,
        then those without an open one; the longest first. None whose request has come and is not read yet.
        """
        if self.lingering:
            connection = min(self.lingering, key=lambda c: c.since)
            self.lingering.discard(connection)
            if connection.transport is not None:
                connection.transport.abort()
            return True
        now = self.loop.time()
        able = [
            (c.proven, c.since, c)
            for c in self.connections
            if not c.closing and not c.answers and not (c.proven and c.buffer)
            and now - c.since > (IDLE_TIME if c.proven else UNPROVEN_TIME)
        ]  # fmt: skip
        for proven, _, connection in sorted(able, key=lambda a: a[:2]):
            if connection.unread():
                continue
            connection.reason = "room"
            connection.close() if proven else connection.fail("no request, and room is short")
            if connection.transport is not None:
                connection.transport.close()  # at once: its descriptor is needed
            return True
        return False

    def take(self, peer: socket.socket) -> None:
        peer.setblocking(False)
        connection = Connection(self, peer)
        self.connections.add(connection)
        made = self.loop.create_task(self.loop.connect_accepted_socket(lambda: connection, peer))
        made.add_done_callback(lambda task: self.made(task, connection, peer))

    def made(self, task: asyncio.Task, connection: Connection, peer: socket.socket) -> None:
        if task.cancelled() or task.exception() is not None:
            peer.close()
            self.lost(connection)

    def turn_away(self, peer: socket.socket) -> None:
        record("client_refused", "too_many_connections", level=logging.DEBUG)
        peer.setblocking(False)
        try:
            peer.send(error("too many connections"))
            peer.shutdown(socket.SHUT_WR)
            peer.recv(READ)  # a request that has come already: unread it would make a reset of the close
        except OSError:
            pass
        finally:
            peer.close()

    def lost(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.lingering.discard(connection)
        self.over()

    def over(self) -> None:
        """When a connection ends: whether anybody is still waited for."""
        if self.connections <= self.lingering:
            self.gone.set()

    def look(self) -> None:
        """Guards against connections that say nothing, or half a request, for ever."""
        now = self.loop.time()
        for connection in list(self.connections):
            try:
                connection.look(now)
            except Exception:
                log.exception("a client's connection could not be looked at")
        self.timers["look"] = self.loop.call_later(LOOK, self.look)

    # --- requests ---

    def answer(self, request: list[bytes], session: Session) -> Reply:
        name, *args = request
        try:
            if (told := session.answer(name, args)) is not None:
                return told
            if name.upper() == b"PING":
                return self.ping(args)
            if name.upper() == b"MSG.PUT":
                return self.put(parse_put(args))
        except BadRequest as failure:
            return error(str(failure))
        except Exception:
            log.exception("a request failed")
            return error("internal error")
        return error(f"unknown command {shown(name)}")

    @staticmethod
    def ping(args: list[bytes]) -> bytes:
        if len(args) > 1:
            raise BadRequest("wrong number of arguments for 'PING'")
        return b"$%d\r\n%s\r\n" % (len(args[0]), args[0]) if args else b"+PONG\r\n"
