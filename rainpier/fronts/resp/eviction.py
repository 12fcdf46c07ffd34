"""Which connections are closed to make room for new ones at the limit on connections. No I/O."""

from collections.abc import Iterable

from .connection import Connection

# A connection without a request in flight may be closed after this time. Otherwise clients that send one
# request and stay connected keep out the others, which retry on new connections.
IDLE_BEFORE_EVICTION_S = 0.2
UNREAD_BEFORE_EVICTION_S = 0.5  # the same while it does not read its replies: clients wait 0.4 s for one
SILENT_BEFORE_EVICTION_S = 0.1  # the same before its first complete request, which clients send at once


def evictable(connections: Iterable[Connection], now: float) -> list[Connection]:
    """Returns the connections that may be closed, in that order; `now`: loop time, s.

    First those that do not read their replies, then those with no complete request or with a part of one,
    then those between two requests; of each kind the longest idle one.
    """
    idle, not_reading = [], []
    for connection in connections:
        if connection.closing or connection.ignore_input:
            continue
        if connection.write_paused:
            if now - connection.last_activity > UNREAD_BEFORE_EVICTION_S:
                not_reading.append(connection)
        elif is_idle(connection, now):
            idle.append(connection)
    return not_reading + sorted(idle, key=lambda c: (c.between_requests, c.idle_since))


def is_idle(connection: Connection, now: float) -> bool:
    """Whether a connection has had no request in flight for long enough to be closed."""
    grace = IDLE_BEFORE_EVICTION_S if connection.has_requested else SILENT_BEFORE_EVICTION_S
    busy = bool(connection.replies) or connection.read_scheduled
    return not busy and now - connection.idle_since > grace


def busiest_first(connections: Iterable[Connection]) -> list[Connection]:
    """Returns the connections that send more than is handled, those with most handled requests first."""
    sending = [c for c in connections if c.reading_paused and not c.ignore_input and not c.closing]
    return sorted(sending, key=lambda c: -c.requests)
