"""Idle connections to endpoints: which one is used again, and when they are closed."""

import asyncio
from typing import Protocol

from .connection import CloseReason, Connection

SUSPENSION = 60.0  # s without reuse at an endpoint that sent more than its answers
OUT_OF_STEP = (CloseReason.UNSOLICITED, CloseReason.FOREIGN_ANSWER)


class Endpoint(Protocol):
    """What owns idle connections."""

    host: str
    single_use_until: float  # loop time, s, until which its connections carry one call each
    idle: list[Connection] | None  # the one used last is last; None until there is one


class IdleConnections:
    """The idle connections of all endpoints, each of which is closed once it is too old.

    `keep_alive`: s after which a peer closes an idle connection, less a margin.
    """

    def __init__(self, keep_alive: float) -> None:
        self.keep_alive = keep_alive
        self.loop = asyncio.get_running_loop()
        self.owners: dict[Connection, Endpoint] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self.owners)

    def keep(self, owner: Endpoint, connection: Connection) -> None:
        if self.loop.time() < owner.single_use_until:
            return connection.end(CloseReason.REUSE_SUSPENDED, owner.host)
        connection.park(self.on_lost)
        if owner.idle is None:
            owner.idle = []
        owner.idle.append(connection)
        self.owners[connection] = owner

    def take(self, owner: Endpoint) -> Connection | None:
        """The settled connection that was used last, since the others may grow old; None: there is none."""
        oldest = self.loop.time() - self.keep_alive
        while (connection := self.last_settled(owner)) is not None:
            assert owner.idle is not None
            owner.idle.remove(connection)
            del self.owners[connection]
            if connection.unpark() and connection.parked_at > oldest:
                return connection
            aged = connection.parked_at <= oldest
            reason = CloseReason.IDLE_TOO_LONG if aged else CloseReason.CLOSED_BY_PEER
            self.close(owner, connection, CloseReason.UNSOLICITED if connection.unsolicited else reason)
        return None

    @staticmethod
    def last_settled(owner: Endpoint) -> Connection | None:
        return next((connection for connection in reversed(owner.idle or ()) if connection.settled), None)

    def on_lost(self, connection: Connection) -> None:
        """An idle connection ended, or its peer sent what nobody asked for."""
        unsolicited = connection.unsolicited
        self.drop(connection, CloseReason.UNSOLICITED if unsolicited else CloseReason.CLOSED_BY_PEER)

    def drop(self, connection: Connection, reason: CloseReason) -> None:
        owner = self.owners.pop(connection, None)
        if owner is None:
            return
        if owner.idle:
            owner.idle.remove(connection)
        self.close(owner, connection, reason)

    def close(self, owner: Endpoint, connection: Connection, reason: CloseReason) -> None:
        """Close a connection that is not idle any more.

        An endpoint, or a proxy before it, that sends more than its answers may do so after any time: a copy
        that comes after the settling time is no answer to another call where each connection has one.
        """
        connection.end(reason, owner.host)
        if reason in OUT_OF_STEP:
            owner.single_use_until = self.loop.time() + SUSPENSION
            self.drop_all(owner, CloseReason.REUSE_SUSPENDED)

    def drop_oldest(self) -> None:
        self.drop(next(iter(self.owners)), CloseReason.DESCRIPTORS)

    def drop_all(self, owner: Endpoint, reason: CloseReason) -> None:
        while owner.idle:
            self.drop(owner.idle[-1], reason)

    def drop_aged(self) -> None:
        oldest = self.loop.time() - self.keep_alive
        for connection in list(self.owners):
            if connection.parked_at > oldest:
                break
            self.drop(connection, CloseReason.IDLE_TOO_LONG)
