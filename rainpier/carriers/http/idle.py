"""Idle connections to endpoints: which one is reused, and when they are closed."""

import asyncio
from typing import Protocol

from .connection import CloseReason, Connection

REUSE_SUSPENSION_S = 60.0  # for which an endpoint that sent extra bytes gets a new connection for each call
EXTRA_RESPONSE_REASONS = (CloseReason.UNSOLICITED, CloseReason.FOREIGN_ANSWER)


class ConnectionOwner(Protocol):
    """An endpoint that owns idle connections."""

    name: str  # for the log
    single_use_until: float  # loop time, s, until which its connections carry one call each
    idle: list[Connection] | None  # the most recently used one is last; None until there is one


class IdleConnections:
    """The idle connections of all endpoints, each of which is closed once it has been idle for `max_idle`.

    `max_idle`: s; less than the time after which a peer closes an idle connection, by a margin.
    """

    def __init__(self, max_idle: float) -> None:
        self.max_idle = max_idle
        self.loop = asyncio.get_running_loop()
        self.owners: dict[Connection, ConnectionOwner] = {}  # the longest idle first

    def __len__(self) -> int:
        """Returns the number of idle connections to all endpoints."""
        return len(self.owners)

    def add(self, owner: ConnectionOwner, connection: Connection) -> None:
        """Keeps a connection for reuse; closes it instead while its owner's reuse is suspended."""
        if self.loop.time() < owner.single_use_until:
            return connection.close_for(CloseReason.REUSE_SUSPENDED, owner.name)
        connection.mark_idle(self.on_unusable)
        if owner.idle is None:
            owner.idle = []
        owner.idle.append(connection)
        self.owners[connection] = owner

    def take(self, owner: ConnectionOwner) -> Connection | None:
        """Removes and returns the most recently used connection out of quarantine; None if there is none.

        The most recently used one is preferred, so that those that are not needed expire.
        """
        oldest = self.loop.time() - self.max_idle
        while (connection := self.last_out_of_quarantine(owner)) is not None:
            assert owner.idle is not None
            owner.idle.remove(connection)
            del self.owners[connection]
            if connection.mark_busy() and connection.idle_since > oldest:
                return connection
            expired = connection.idle_since <= oldest
            reason = CloseReason.IDLE_TOO_LONG if expired else CloseReason.CLOSED_BY_PEER
            self.close(owner, connection, CloseReason.UNSOLICITED if connection.unsolicited else reason)
        return None

    @staticmethod
    def last_out_of_quarantine(owner: ConnectionOwner) -> Connection | None:
        """Returns the owner's most recently used connection out of quarantine; None if there is none."""
        return next(
            (connection for connection in reversed(owner.idle or ()) if connection.out_of_quarantine), None
        )

    def on_unusable(self, connection: Connection) -> None:
        """Closes an idle connection that its peer closed or sent unsolicited bytes on."""
        unsolicited = connection.unsolicited
        self.remove(connection, CloseReason.UNSOLICITED if unsolicited else CloseReason.CLOSED_BY_PEER)

    def remove(self, connection: Connection, reason: CloseReason) -> None:
        """Removes and closes an idle connection; no effect on one that is not idle."""
        owner = self.owners.pop(connection, None)
        if owner is None:
            return
        if owner.idle:
            owner.idle.remove(connection)
        self.close(owner, connection, reason)

    def close(self, owner: ConnectionOwner, connection: Connection, reason: CloseReason) -> None:
        """Closes a connection that is no longer idle; suspends its owner's reuse after extra responses.

        An endpoint, or a proxy in front of it, that has sent extra bytes may do so again after any delay.
        While each connection carries one call, not even a duplicate received after the quarantine can match
        another.
        """
        connection.close_for(reason, owner.name)
        if reason in EXTRA_RESPONSE_REASONS:
            owner.single_use_until = self.loop.time() + REUSE_SUSPENSION_S
            self.remove_all(owner, CloseReason.REUSE_SUSPENDED)

    def remove_oldest(self) -> None:
        """Closes the connection that has been idle the longest, to free its descriptor."""
        self.remove(next(iter(self.owners)), CloseReason.DESCRIPTORS)

    def remove_all(self, owner: ConnectionOwner, reason: CloseReason) -> None:
        """Closes all idle connections of one owner."""
        while owner.idle:
            self.remove(owner.idle[-1], reason)

    def remove_expired(self) -> None:
        """Closes the connections that have been idle for `max_idle`."""
        oldest = self.loop.time() - self.max_idle
        for connection in list(self.owners):
            if connection.idle_since > oldest:
                break
            self.remove(connection, CloseReason.IDLE_TOO_LONG)
