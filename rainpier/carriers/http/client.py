"""Requests to one address, one after another: discovery and notices."""

import asyncio

from .connection import CloseReason, Connection
from .exchange import Answer, request


class Client:
    """Requests to one address, one after another, each bounded in time."""

    def __init__(self, address: tuple[str, int], most: int) -> None:
        self.address, self.most, self.connection = address, most, None

    def drop(self, reason: CloseReason = CloseReason.RELEASED) -> None:
        if self.connection is not None:
            self.connection.end(reason, "{}:{}".format(*self.address))
            self.connection = None

    def on_lost(self, connection: Connection) -> None:
        """The idle connection ended, or its peer sent what nobody asked for."""
        self.drop(CloseReason.UNSOLICITED if connection.unsolicited else CloseReason.CLOSED_BY_PEER)

    async def connect(self, patience: float) -> Connection:
        """The kept connection where it may carry another request, else a new one within so many s."""
        if self.connection is not None and not self.connection.settled:
            self.drop(CloseReason.NOT_SETTLED)
        if self.connection is not None and not self.connection.unpark():
            self.on_lost(self.connection)
        if self.connection is None:
            async with asyncio.timeout(patience):
                self.connection = await Connection.open(self.address)
        return self.connection

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
                connection = await self.connect(rest)
                connection.carried = (target,)
                host = ("Host", "{}:{}".format(*self.address))
                await connection.send(request(method, target, [host], body), self.most, rest)
                answer = await connection.answer()
                reason = connection.renew()
                return answer
        finally:
            if reason is None and self.connection is not None:
                self.connection.park(self.on_lost)
            elif reason is not None:
                self.drop(reason)
