"""Requests to one address, one after another: discovery and notices."""

import asyncio

from .connection import Connection
from .exchange import Answer, request


class Client:
    """Requests to one address, one after another, each bounded in time."""

    def __init__(self, address: tuple[str, int], most: int) -> None:
        self.address, self.most, self.connection = address, most, None

    def drop(self, _: Connection | None = None) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def request(
        self, method: str, target: str, body: bytes, timeout: float, rest: float | None = None
    ) -> Answer:
        """Never sent twice by itself; any failure closes the connection.

        `rest`: s for the connection to come up, and for an answer from its first byte to its last; only what
        lies between may take as long as `timeout`.
        """
        rest = timeout if rest is None else rest
        kept = False
        try:
            async with asyncio.timeout(timeout):
                if self.connection is not None and not self.connection.unpark():
                    self.drop()
                if self.connection is None:
                    async with asyncio.timeout(rest):
                        self.connection = await Connection.open(self.address)
                host = ("Host", "{}:{}".format(*self.address))
                await self.connection.send(request(method, target, [host], body), self.most, rest)
                answer = await self.connection.answer()
                kept = self.connection.renew() is None
                return answer
        finally:
            if kept and self.connection is not None:
                self.connection.park(self.drop)
            else:
                self.drop()
