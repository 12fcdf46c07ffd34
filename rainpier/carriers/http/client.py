"""HTTP client for one address, one request at a time: for endpoint discovery and the HTTP completion sink."""

import asyncio

from .connection import CloseReason, Connection
from .exchange import Response, format_request

MAX_IDLE = 4  # idle connections kept; the spare ones are used while no new connection can be opened


class Client:
    """Sends one request at a time to one address, each with a timeout. `max_body`: bytes of a response.

    When a request gets no answer, the other connections are suspect: a peer or a network that falls silent
    often does so on all of them. They are used only while no new connection can be opened.
    """

    def __init__(self, address: tuple[str, int], max_body: int) -> None:
        self.address, self.max_body = address, max_body
        self.idle: list[Connection] = []  # in the order of their last responses
        self.busy: Connection | None = None  # carries the current request

    def drop(self) -> None:
        """Closes all connections; a request in flight fails."""
        for connection in [*self.idle, self.busy]:
            if connection is not None:
                self.close(connection, CloseReason.RELEASED)
        self.idle, self.busy = [], None

    def close(self, connection: Connection, reason: CloseReason) -> None:
        """Closes one connection and logs the reason."""
        connection.close_for(reason, "{}:{}".format(*self.address))

    def on_unusable(self, connection: Connection) -> None:
        """Removes and closes an idle connection that its peer closed or sent unsolicited bytes on."""
        self.idle.remove(connection)
        self.close_unusable(connection)

    def close_unusable(self, connection: Connection) -> None:
        """Closes a connection that ended or received unsolicited bytes while idle."""
        unsolicited = connection.unsolicited
        self.close(connection, CloseReason.UNSOLICITED if unsolicited else CloseReason.CLOSED_BY_PEER)

    def take(self, out_of_quarantine: bool) -> Connection | None:
        """Removes and returns an idle connection, None if there is none.

        With `out_of_quarantine`, the most recently used one that has left its quarantine and is not suspect.
        Without, the least recently used of all, which is the least likely to receive a duplicate of its last
        response; suspect ones last.
        """
        if out_of_quarantine:
            usable = [each for each in reversed(self.idle) if each.out_of_quarantine and not each.suspect]
        else:
            usable = sorted(self.idle, key=lambda each: each.suspect)
        for connection in usable:
            self.idle.remove(connection)
            if connection.mark_busy():
                return connection
            self.close_unusable(connection)
        return None

    async def connect(self, timeout: float) -> tuple[Connection, bool]:
        """Returns an idle connection out of quarantine, or a new one opened within `timeout` s, and True.

        If none can be opened, returns one still in quarantine or suspect, and whether its next response can't
        be a duplicate of an earlier one. Raises OSError or TimeoutError if there is none either.
        """
        idle = self.take(out_of_quarantine=True)
        if idle is not None:
            return idle, True
        try:
            async with asyncio.timeout(timeout):
                return await Connection.open(self.address), True
        except (OSError, TimeoutError):
            idle = self.take(out_of_quarantine=False)
            if idle is None:
                raise
            return idle, idle.out_of_quarantine

    def release(self, connection: Connection, reason: CloseReason | None) -> None:
        """Keeps the connection idle; closes it if there is a reason, or if MAX_IDLE others are idle.

        Those leave their quarantine earlier. A suspect one of them makes room.
        """
        if reason is None and len(self.idle) >= MAX_IDLE and not self.close_suspect():
            reason = CloseReason.NOT_SETTLED
        if reason is not None:
            return self.close(connection, reason)
        connection.mark_idle(self.on_unusable)
        self.idle.append(connection)

    def close_suspect(self) -> bool:
        """Closes the least recently used suspect connection; returns False if none is suspect."""
        suspect = next((connection for connection in self.idle if connection.suspect), None)
        if suspect is None:
            return False
        self.idle.remove(suspect)
        self.close(suspect, CloseReason.SUSPECT)
        return True

    def suspect_idle(self) -> None:
        """Marks all idle connections as suspect, after a request without an answer."""
        for connection in self.idle:
            connection.suspect = True

    async def request(
        self, method: str, target: str, body: bytes, timeout: float, io_timeout: float | None = None
    ) -> Response:
        """Sends a request without any retry; a failure closes the connection.

        `timeout`: s for the whole request. `io_timeout`: s for connecting, and again s from the first byte of
        the response to its last; only the wait for the first byte may then take as long as `timeout`. None:
        the same as `timeout`. `Response.matched` is false if the response may belong to an earlier request.
        Raises TimeoutError or one of EXCHANGE_ERRORS.
        """
        io_timeout = timeout if io_timeout is None else io_timeout
        answered = False
        try:
            async with asyncio.timeout(timeout):
                self.busy, matched = await self.connect(io_timeout)
                connection = self.busy
                connection.last_request_ids = (target,)
                host = ("Host", "{}:{}".format(*self.address))
                await connection.send(format_request(method, target, [host], body), self.max_body, io_timeout)
                response = await connection.receive()
                response.matched = matched
                answered, connection.suspect = True, False
                return response
        finally:
            if not answered:
                self.suspect_idle()
            if self.busy is not None:
                reason = self.busy.end_exchange()
                self.release(self.busy, reason if answered else CloseReason.NO_ANSWER)
                self.busy = None
