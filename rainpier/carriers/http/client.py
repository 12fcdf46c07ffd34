"""Requests to one address, one after another: discovery and notices."""

import asyncio

from .connection import CloseReason, Connection
from .exchange import Answer, request

MOST_IDLE = 4  # connections; the spare ones serve while no new one can be had


class Client:
    """Requests to one address, one after another, each bounded in time."""

    def __init__(self, address: tuple[str, int], most: int) -> None:
        self.address, self.most = address, most
        self.idle: list[Connection] = []  # in the order of their last answers
        self.busy: Connection | None = None  # carries a request now

    def drop(self) -> None:
        """Close all connections; a request that is out fails."""
        for connection in [*self.idle, self.busy]:
            if connection is not None:
                self.end(connection, CloseReason.RELEASED)
        self.idle, self.busy = [], None

    def end(self, connection: Connection, reason: CloseReason) -> None:
        connection.end(reason, "{}:{}".format(*self.address))

    def on_lost(self, connection: Connection) -> None:
        """An idle connection ended, or its peer sent what nobody asked for."""
        self.idle.remove(connection)
        self.end_unfit(connection)

    def end_unfit(self, connection: Connection) -> None:
        unsolicited = connection.unsolicited
        self.end(connection, CloseReason.UNSOLICITED if unsolicited else CloseReason.CLOSED_BY_PEER)

    def take(self, settled: bool) -> Connection | None:
        """An idle connection: the settled one that was used last, or of all the one that was used first."""
        able = [connection for connection in self.idle if connection.settled or not settled]
        for connection in reversed(able) if settled else able:
            self.idle.remove(connection)
            if connection.unpark():
                return connection
            self.end_unfit(connection)
        return None

    async def connect(self, patience: float) -> tuple[Connection, bool]:
        """A settled connection, or a new one within so many s; and whether it is either.

        Where none can be had, one that has not settled: what it answers may be a copy of an earlier answer.
        """
        kept = self.take(settled=True)
        if kept is not None:
            return kept, True
        try:
            async with asyncio.timeout(patience):
                return await Connection.open(self.address), True
        except (OSError, TimeoutError):
            kept = self.take(settled=False)
            if kept is None:
                raise
            return kept, False

    def release(self, connection: Connection, reason: CloseReason | None) -> None:
        """Keep it for another request, or close it. Others will have settled sooner."""
        if reason is None and len(self.idle) >= MOST_IDLE:
            reason = CloseReason.NOT_SETTLED
        if reason is not None:
            return self.end(connection, reason)
        connection.park(self.on_lost)
        self.idle.append(connection)

    async def request(
        self, method: str, target: str, body: bytes, timeout: float, rest: float | None = None
    ) -> Answer:
        """Never sent twice by itself; any failure closes the connection.

        `rest`: s for the connection to come up, and for an answer from its first byte to its last; only what
        lies between may take as long as `timeout`.
        """
        rest = timeout if rest is None else rest
        reason: CloseReason | None = CloseReason.NO_ANSWER
        try:
            async with asyncio.timeout(timeout):
                self.busy, certain = await self.connect(rest)
                connection = self.busy
                connection.carried = (target,)
                host = ("Host", "{}:{}".format(*self.address))
                await connection.send(request(method, target, [host], body), self.most, rest)
                answer = await connection.answer()
                answer.certain = certain
                reason = connection.renew()
                return answer
        finally:
            if self.busy is not None:
                self.release(self.busy, reason)
                self.busy = None
