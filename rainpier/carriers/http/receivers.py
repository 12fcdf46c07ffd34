"""Calls to receivers, each with one message or a batch, and the connections that carry them."""

import asyncio
import base64
import errno
import json
import logging
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from ... import interface as i
from ...attempt.table import Attempt, Event, State
from ...interface import Outcome
from ...store.entry import Entry
from .connection import CloseReason, Connection
from .exchange import EXCHANGE_ERRORS, MalformedResponse, format_request
from .idle import IdleConnections
from .responses import CallResult, MismatchedResponse, parse_result, parse_retry_after

log = logging.getLogger(__name__)
MAX_CALL_BODY = 65536  # largest body of a batch, bytes, as split_batches estimates it
# Receivers close a connection that was idle for Settings.keep_alive; this side does after this share of it.
MAX_IDLE_SHARE = 0.9
IDLE_CHECK_INTERVAL_S = 0.5  # largest interval between checks for connections that were idle for too long
ROW_OVERHEAD = 64  # bytes of JSON around a message's id, token and Base64 body in a batch
MAX_RESPONSE_BODY = 4096  # bytes of a response's body, in addition to its rows
MAX_RESPONSE_ROW = 512  # bytes of a response's body for each message of the call
# Errors of connect() for lack of a resource of this process or machine, which say nothing of the endpoint.
LOCAL_SHORTAGE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Transport(Protocol):
    """Carries the calls to one endpoint by a protocol other than HTTP."""

    async def run(
        self, call: "Call", may_write: "MayWrite", on_partial_result: "PartialResultListener"
    ) -> "CallResult":
        """Makes the call and returns its result.

        `may_write`: see await_permission. `on_partial_result`: called for a message whose outcome is known
        while others of the call are still in flight.
        """
        ...

    def update(self, address: tuple[str, int], ready: bool) -> None:
        """Applies the endpoint's current address; `ready`: whether new calls may be made."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


class Transports(Protocol):
    """Creates the transports of endpoints that do not speak HTTP."""

    def create(self, entry: i.EndpointEntry, address: tuple[str, int]) -> "Transport | None":
        """Creates an endpoint's transport; None if it speaks HTTP."""
        ...


@dataclass(slots=True, frozen=True)
class ReceiverProcess:
    """What tells one process of a receiver from another: where it listens, and when it started (Unix ms)."""

    address: tuple[str, int]
    started_at: float


@dataclass(slots=True, eq=False)
class Receiver:
    """A discovered endpoint that receives calls, with its idle connections."""

    name: str  # in endpoint discovery
    address: tuple[str, int]
    entry: i.EndpointEntry
    batch: int  # largest number of messages in one call
    drain_notified_at: float = math.inf  # loop time, s, of the update that it drains or is gone; inf: ready
    single_use_until: float = 0.0  # loop time, s, until which its connections carry one call each
    idle: list[Connection] | None = None  # None until there is one: most receivers are never called
    open_calls: int = 0  # calls to it that have not ended
    transport: "Transport | None" = None  # None: its calls go over HTTP

    @property
    def process(self) -> ReceiverProcess:
        """The process that the endpoint list tells of now."""
        return ReceiverProcess(self.address, self.entry.added)


@dataclass(slots=True, eq=False)
class Call:
    """One attempt of each of its messages, which are sent together."""

    receiver: Receiver
    entries: list[Entry]
    attempts: list[int]  # for each entry: the number of this attempt of it, from 0
    started: float  # loop time, s
    deadline: float  # loop time, s
    completed: set[int] = field(default_factory=set)  # numbers of messages with an outcome before its end
    task: asyncio.Task | None = None
    attempt: Attempt = field(default_factory=Attempt)
    open: bool = True  # has not ended
    connection: int = 0  # number of the connection that carries it; 0 before it is written
    uses: int = 0  # calls on that connection so far, including this one
    process: "ReceiverProcess | None" = None  # that its connection was opened to; None before

    def ids(self) -> str:
        """Returns the ids of its messages separated by commas, for the log."""
        return ",".join(entry.id for entry in self.entries)


PartialResultListener = Callable[[Call, Entry, Outcome], None]
MayWrite = Callable[[Call], bool | asyncio.Future[bool]]


async def await_permission(call: Call, may_write: MayWrite) -> bool:
    """Asks, once connected, whether the first byte may be sent, and returns the answer.

    `may_write` returns a future where the begin of the attempt has to reach the disk first.
    """
    allowed = may_write(call)
    if not isinstance(allowed, bool):
        call.attempt.feed(Event.CONNECTED)
        allowed = await allowed
    elif allowed:
        call.attempt.feed(Event.CONNECTED)
    call.attempt.feed(Event.RECORDED if allowed else Event.HELD_BACK)
    return allowed


def split_batches(entries: list[Entry], max_messages: int) -> Iterator[list[Entry]]:
    """Yields batches of at most `max_messages` with a body of at most MAX_CALL_BODY bytes, in order.

    A message that exceeds MAX_CALL_BODY by itself is a batch of its own.
    """
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        # Base64 makes 4 bytes of 3.
        row_size = len(entry.body) * 4 // 3 + len(entry.id) + len(entry.token) + ROW_OVERHEAD
        if batch and (len(batch) == max_messages or size + row_size > MAX_CALL_BODY):
            yield batch
            batch, size = [], 0
        batch.append(entry)
        size += row_size
    if batch:
        yield batch


class Receivers:
    """Makes calls to the receivers and reports their results.

    `may_write`: whether a connected call may send its first byte, see await_permission. `on_result`: called
    at the end of each call, after its connection was released. `max_connections`: limit on connections in use
    and idle together; idle ones are closed to stay within it.
    """

    def __init__(
        self,
        settings: i.Settings,
        may_write: Callable[[Call], bool | asyncio.Future[bool]],
        on_result: Callable[[Call, CallResult], None],
        max_connections: int,
    ) -> None:
        self.settings = settings
        self.may_write = may_write
        self.on_result = on_result
        self.max_connections = max_connections
        self.loop = asyncio.get_running_loop()
        self.transports: Transports | None = None
        self.on_partial_result: PartialResultListener = lambda call, entry, outcome: None
        self.calls: set[Call] = set()
        self.by_number: dict[int, Receiver] = {}
        self.ready_by_address: dict[tuple[str, int], set[int]] = {}  # numbers of the receivers that are ready
        self.idle = IdleConnections(settings.keep_alive / 1000 * MAX_IDLE_SHARE)
        self.check_idle()

    def update(self, entry: i.EndpointEntry, name: str, address: tuple[str, int]) -> None:
        """Applies an endpoint update: adds a receiver or changes its address and condition.

        Idle connections are closed if it moves or no longer accepts new calls.
        """
        receiver = self.by_number.get(entry.endpoint)
        if receiver is None:
            batch = self.settings.kinds[entry.kind].batch
            receiver = self.by_number[entry.endpoint] = Receiver(name, address, entry, batch)
            transports = self.transports
            receiver.transport = transports.create(entry, address) if transports is not None else None
        ready = entry.condition is i.Condition.READY
        if not ready or ReceiverProcess(address, entry.added) != receiver.process:
            self.close_idle(receiver)
        self.remove_ready(receiver)
        if ready:
            self.ready_by_address.setdefault(address, set()).add(entry.endpoint)
        if receiver.transport is not None:
            receiver.transport.update(address, ready)
        receiver.address, receiver.entry = address, entry
        receiver.drain_notified_at = math.inf if ready else min(receiver.drain_notified_at, self.loop.time())

    def remove_ready(self, receiver: Receiver) -> None:
        """Takes a receiver out of those that are ready at its address."""
        ready = self.ready_by_address.get(receiver.address, set())
        ready.discard(receiver.entry.endpoint)
        if not ready:
            self.ready_by_address.pop(receiver.address, None)

    def is_replaced(self, call: Call) -> bool:
        """Whether another process may answer where the call is connected to.

        The receiver has moved or was restarted, or it drains or is gone and another is ready at its address.
        """
        receiver = call.receiver
        return call.process not in (None, receiver.process) or (
            receiver.entry.condition is not i.Condition.READY and receiver.address in self.ready_by_address
        )

    def forget(self, number: int) -> bool:
        """Removes a receiver that is gone; returns False while it is not gone or a call to it is open."""
        receiver = self.by_number.get(number)
        if receiver is None:
            return True
        if receiver.open_calls or receiver.entry.condition is not i.Condition.GONE:
            return False
        self.close_idle(receiver)
        if receiver.transport is not None:
            receiver.transport.close()
        del self.by_number[number]
        return True

    def start(self, call: Call) -> None:
        """Starts a call in a task of its own."""
        self.calls.add(call)
        call.receiver.open_calls += 1
        call.task = self.loop.create_task(self.run(call))

    def close(self) -> None:
        """Cancels all calls, without reporting their results, and closes all connections."""
        self.on_result = lambda call, result: None
        self.on_partial_result = lambda call, entry, outcome: None
        for call in self.calls:
            if call.task is not None:
                call.task.cancel()
        self.idle_timer.cancel()
        for receiver in self.by_number.values():
            self.close_idle(receiver)
            if receiver.transport is not None:
                receiver.transport.close()

    async def run(self, call: Call) -> None:
        """Makes one call, releases its connection, and reports its result."""
        if call.receiver.transport is not None:
            result = await call.receiver.transport.run(call, self.may_write, self.on_partial_result)
            self.finish(call, None, result)
            return
        result, connection = None, None
        try:
            async with asyncio.timeout_at(call.deadline):
                call.process = call.receiver.process
                connection = await self.connect(call.receiver)
                if await await_permission(call, self.may_write):
                    call.connection, call.uses = connection.number, connection.uses + 1
                    connection.last_request_ids = tuple(entry.id for entry in call.entries)
                    await connection.send(self.build_request(call), self.max_response_body(call))
                    if call.uses > 1 and connection.status:
                        raise MismatchedResponse(
                            "received before the call's last byte was sent, on a reused connection"
                        )
                    call.attempt.feed(Event.SENT)
                    ids, response = [entry.id for entry in call.entries], await connection.receive()
                    result = parse_result(ids, response, self.settings.report_fields, call.uses > 1)
                    call.attempt.feed(Event.ANSWER)
                else:
                    result = self.uniform_result(call, Outcome.MOOT)
        except TimeoutError:
            result = self.failed_result(call, connection, Event.TIMED_OUT)
        except MismatchedResponse as error:
            log.warning("%s sent a response to another call: %s", call.receiver.name, error)
            connection.out_of_sync = True
            result = self.uniform_result(call, call.attempt.feed(Event.UNREADABLE))
            result.answered = False
        except MalformedResponse as error:
            log.info("%s sent a malformed response: %s", call.receiver.name, error)
            result = self.failed_result(call, connection, Event.UNREADABLE)
        except EXCHANGE_ERRORS as error:
            local = connection is None and isinstance(error, OSError) and error.errno in LOCAL_SHORTAGE
            if local:
                log.warning(
                    "cannot connect to %s for lack of a local resource: %s", call.receiver.name, error
                )
            result = self.failed_result(call, connection, Event.NO_SOCKET if local else Event.DISCONNECTED)
        except asyncio.CancelledError:  # swallowed: after the report the task awaits nothing more
            result = self.failed_result(call, connection, Event.CANCELLED)
        except Exception:
            log.exception("call to %s failed", call.receiver.name)
            result = self.failed_result(call, connection, Event.DISCONNECTED)
        self.finish(call, connection, result)

    @staticmethod
    def max_response_body(call: Call) -> int:
        """Returns the largest response body in bytes; memory holds one response for each call in flight."""
        return MAX_RESPONSE_BODY + MAX_RESPONSE_ROW * len(call.entries)

    @staticmethod
    def uniform_result(call: Call, outcome: Outcome) -> CallResult:
        """Returns a result with the same outcome for all messages, none of them completed by the receiver."""
        return CallResult([(outcome, False)] * len(call.entries))

    def failed_result(self, call: Call, connection: Connection | None, event: Event) -> CallResult:
        """Returns the result of a call without a complete response, as the attempt table defines it."""
        if connection is not None and connection.status == 200 and len(call.entries) == 1:
            if call.uses == 1 or call.attempt.state is State.WRITTEN:
                # Valid whatever follows it, and even if the request was not sent to its end.
                call.attempt.feed(Event.ACCEPT)
            else:
                # Received before the last byte was sent, it may be a duplicate of the previous call's
                # response.
                event = Event.UNREADABLE
        outcome = call.attempt.feed(event)
        assert outcome is not None  # each event passed to this method ends an attempt
        # The receiver's machine may have vanished, so its idle connections are closed: a message written to
        # one would count as possibly run, while a connection that cannot be opened proves that it never ran.
        # They are kept if a new connection ended, which says nothing of the others; if the receiver
        # responded; and if the call was cancelled on an open connection, as the receiver may still be
        # processing it.
        keep_idle = event is Event.UNREADABLE or event is Event.CANCELLED and connection is not None
        if not keep_idle and (event is not Event.DISCONNECTED or call.uses != 1):
            self.close_idle(call.receiver)
        result = self.uniform_result(call, outcome)
        result.answered = False
        if connection is not None:  # a retry-after holds even if the rest of the response is missing
            result.retry_after = parse_retry_after(connection.headers)
        return result

    def finish(self, call: Call, connection: Connection | None, result: CallResult) -> None:
        """Ends a call: releases its connection, then reports its result.

        In this order, because a result may start the next attempt of a message, which must not begin while
        the connection of the previous one is in use.
        """
        call.open = False
        self.calls.discard(call)
        call.receiver.open_calls -= 1
        if connection is not None:
            self.release(call, connection)
        self.on_result(call, result)

    # --- idle connections ---

    def release(self, call: Call, connection: Connection) -> None:
        """Keeps a connection for another call, or closes it, once its call has ended."""
        receiver, reason = call.receiver, connection.end_exchange()
        current = receiver.entry.condition is i.Condition.READY and call.process == receiver.process
        if reason is None and not current:
            reason = CloseReason.RELEASED
        if reason is None:
            self.idle.add(receiver, connection)
        else:
            self.idle.close(receiver, connection, reason)

    def close_idle(self, receiver: Receiver) -> None:
        """Closes all idle connections to one receiver."""
        self.idle.remove_all(receiver, CloseReason.RELEASED)

    def check_idle(self) -> None:
        """Closes connections before the receiver does for idleness, and schedules the next check.

        A request on a connection that the receiver closes at the same time would end with a reset.
        """
        self.idle.remove_expired()
        self.idle_timer = self.loop.call_later(
            min(IDLE_CHECK_INTERVAL_S, self.idle.max_idle / 4), self.check_idle
        )

    async def connect(self, receiver: Receiver) -> Connection:
        """Returns an idle connection out of quarantine or a new one. Raises OSError or TimeoutError."""
        connection = self.idle.take(receiver)
        if connection is not None:
            return connection
        # At the limit, idle connections are closed: other parts of the process need the descriptors.
        while len(self.idle) and len(self.calls) + len(self.idle) > self.max_connections:
            self.idle.remove_oldest()
        async with asyncio.timeout(self.settings.connect_timeout / 1000):
            return await Connection.open(receiver.address)

    def build_request(self, call: Call) -> bytes:
        """Serializes the call's request: one message, or a batch as JSON."""
        budget_ms = max(1, int((call.deadline - self.loop.time()) * 1000))
        headers = [("Host", "{}:{}".format(*call.receiver.address)), ("X-Budget-Ms", str(budget_ms))]
        if len(call.entries) > 1:
            headers.append(("Content-Type", "application/json"))
            # The message with the latest deadline comes first: a receiver may treat the whole call as
            # expired, and deliver none of it, once the first message's deadline has passed.
            rows = sorted(call.entries, key=lambda entry: -entry.deadline)
            body = json.dumps([self.batch_row(entry) for entry in rows]).encode()
            return format_request("POST", "/v1/messages:batch", headers, body)
        entry = call.entries[0]
        headers.append(("X-Call-Id", entry.id))
        if entry.token:
            headers.append(("Idempotency-Key", entry.token))
        return format_request("POST", "/v1/messages", headers, entry.body)

    @staticmethod
    def batch_row(entry: Entry) -> dict[str, str]:
        """Returns a message's row in a batch."""
        body = base64.b64encode(entry.body).decode()
        return {"id": entry.id} | ({"key": entry.token} if entry.token else {}) | {"body": body}
