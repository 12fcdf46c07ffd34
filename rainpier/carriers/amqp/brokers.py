"""The transport to brokers: one persistent connection per endpoint, on which its calls are published."""

import asyncio
import logging
from collections.abc import Mapping
from functools import partial

from pamqp import commands

from ... import interface as i
from ...attempt.table import Event
from ...store.entry import Entry
from ..http.receivers import (
    LOCAL_SHORTAGE,
    Call,
    CallResult,
    MayWrite,
    PartialResultListener,
    await_permission,
)
from .link import BrokerConnection, ConnectFailed, connect
from .options import BrokerOptions
from .outcomes import OUTCOME_BY_RESULT, ConfirmChannel, Publish, PublishResult

log = logging.getLogger(__name__)
BLOCKED_RETRY_MS = 250.0  # retry-after for a broker that blocks publishing, which gives no time itself
LOG_INTERVAL_S = 5.0  # between log lines about failures of one broker, at least


class NotPublished(Exception):
    """Nothing of the call was written. `retry_after`: ms, 0: none."""

    def __init__(self, result: PublishResult, retry_after: float = 0.0) -> None:
        super().__init__(result.value)
        self.result, self.retry_after = result, retry_after


class BrokerTransport:
    """Carries the calls to one endpoint that is a broker."""

    def __init__(self, settings: i.Settings, options: BrokerOptions, address: tuple[str, int]) -> None:
        self.settings, self.options, self.address = settings, options, address
        self.loop = asyncio.get_running_loop()
        self.connection: BrokerConnection | None = None  # takes new publishes
        self.connections: set[BrokerConnection] = set()  # including those that drain
        self.connecting: asyncio.Task[BrokerConnection] | None = None
        self.endpoint_ready = True
        self.logged_at = -LOG_INTERVAL_S  # loop time, s

    # --- connection ---

    def update(self, address: tuple[str, int], ready: bool) -> None:
        """Applies the endpoint's current address; `ready`: whether new calls may be made.

        A connection to a draining broker, or to its former address, carries no new publish; it closes once
        its confirms have come.
        """
        if self.connection is not None and (not ready or address != self.address):
            connection, self.connection = self.connection, None
            connection.drain()
        self.address, self.endpoint_ready = address, ready

    def close(self) -> None:
        """Cancels connecting and aborts all connections."""
        if self.connecting is not None:
            self.connecting.cancel()
        for connection in list(self.connections):
            connection.abort()
        self.connection = None

    def on_connection_closed(self, connection: BrokerConnection) -> None:
        """Forgets a connection that has closed."""
        self.connections.discard(connection)
        if self.connection is connection:
            self.connection = None

    async def open_connection(self) -> BrokerConnection:
        """Returns the open connection, or opens one; concurrent calls share one attempt to connect.

        Raises OSError or ConnectFailed.
        """
        if self.connection is not None and not self.connection.closed:
            return self.connection
        if self.connecting is None or self.connecting.done():
            self.connecting = self.loop.create_task(self.connect(self.address))
            self.connecting.add_done_callback(lambda task: task.cancelled() or task.exception())
        return await asyncio.shield(self.connecting)

    async def connect(self, address: tuple[str, int]) -> BrokerConnection:
        """Connects, with the handshake, within the connect timeout. Raises OSError or ConnectFailed."""
        connection = None
        try:
            async with asyncio.timeout(self.settings.connect_timeout / 1000):
                connection = await connect(address, self.options, self.on_connection_closed)
                self.connections.add(connection)
                await connection.wait_until_open()
        except TimeoutError:
            if connection is not None:
                connection.abort()
            raise ConnectFailed(f"connection not open within {self.settings.connect_timeout} ms") from None
        if address != self.address or not self.endpoint_ready:  # an endpoint update came in the meantime
            connection.drain()
        else:
            self.connection = connection
        return connection

    def log_failure(self, text: str) -> None:
        """Logs a warning, at most one in LOG_INTERVAL_S: an outage fails many calls for the same reason."""
        if self.loop.time() - self.logged_at > LOG_INTERVAL_S:
            self.logged_at = self.loop.time()
            log.warning("broker %s:%d: %s", *self.address, text)

    # --- calls ---

    async def run(
        self, call: Call, may_write: MayWrite, on_partial_result: PartialResultListener
    ) -> CallResult:
        """Publishes each of the call's messages once and awaits the confirms until the call's deadline."""
        publishes: list[Publish] = []
        try:
            async with asyncio.timeout_at(call.deadline):
                connection, channels = await self.prepare(call, may_write)
                self.publish(call, connection, channels, publishes)
                await self.await_confirms(call, publishes, on_partial_result)
            return self.call_result(call, publishes, PublishResult.CONFIRM_TIMEOUT)
        except NotPublished as error:
            return self.unpublished_result(call, error.result, error.retry_after)
        except TimeoutError:
            return (
                self.call_result(call, publishes, PublishResult.CONFIRM_TIMEOUT)
                if publishes
                else self.unpublished_result(call, PublishResult.NO_CHANNEL)
            )
        except asyncio.CancelledError:  # swallowed: the task ends with this result and awaits nothing more
            # The policy cancels a call after half of its time at the earliest. Nothing published by then
            # counts as a failure to connect, as after all of its time, and not as a call that was never
            # attempted: a broker that does not respond would otherwise never be detected.
            return (
                self.call_result(call, publishes, PublishResult.CANCELLED)
                if publishes
                else self.unpublished_result(call, PublishResult.NO_CHANNEL)
            )
        except Exception:
            log.exception("publishing message(s) %s to broker %s:%d failed", call.ids(), *self.address)
            return self.call_result(call, publishes, PublishResult.CONNECTION_LOST)

    async def await_confirms(
        self, call: Call, publishes: list[Publish], on_partial_result: PartialResultListener
    ) -> None:
        """Waits until each publish has its result.

        Each result but the last is reported as soon as it is known, so that a lost confirm delays its own
        message only. The last one is part of the call's result.
        """
        done = self.loop.create_future()
        remaining = sum(publish.result is None for publish in publishes)

        def on_result(entry: Entry, result: PublishResult) -> None:
            nonlocal remaining
            remaining -= 1
            if done.done():
                return
            if remaining:
                on_partial_result(call, entry, OUTCOME_BY_RESULT[result])
            else:
                done.set_result(None)

        for entry, publish in zip(call.entries, publishes, strict=True):
            publish.on_result = partial(on_result, entry)
        if remaining:
            await done

    async def prepare(self, call: Call, may_write: MayWrite) -> tuple[BrokerConnection, list[ConfirmChannel]]:
        """Gets a connection, a channel for each message and permission to write. Raises NotPublished."""
        call.process = call.receiver.process
        try:
            connection = await self.open_connection()
        except (OSError, ConnectFailed) as error:
            self.log_failure(str(error))
            local = isinstance(error, OSError) and error.errno in LOCAL_SHORTAGE
            # A local shortage, such as of file descriptors, must not count as a failure of the broker.
            raise NotPublished(PublishResult.LOCAL_LIMIT if local else PublishResult.NOT_CONNECTED) from error
        while self.channels(call, connection) is None:
            await connection.wait_for_change()
        self.require_writable(connection)
        if not await await_permission(call, may_write):
            raise NotPublished(PublishResult.NOT_PERMITTED)
        self.require_writable(connection)  # again, as its state may have changed during the wait
        channels = self.channels(call, connection)
        if channels is None:
            raise NotPublished(PublishResult.CLOSED_BEFORE_WRITE)
        if any(channel.capacity <= 0 for channel in channels):
            raise NotPublished(PublishResult.LOCAL_LIMIT)
        return connection, channels

    @staticmethod
    def require_writable(connection: BrokerConnection) -> None:
        """Raises NotPublished if the connection is closed, drains or is blocked."""
        if connection.closed:
            raise NotPublished(PublishResult.CLOSED_BEFORE_WRITE)
        if connection.draining:
            raise NotPublished(PublishResult.NOT_PERMITTED)
        if connection.blocked_reason or connection.write_paused:
            raise NotPublished(PublishResult.BLOCKED, BLOCKED_RETRY_MS)

    @staticmethod
    def channels(call: Call, connection: BrokerConnection) -> list[ConfirmChannel] | None:
        """Returns a channel for each message of the call, in order; None while any of them is not ready.

        Messages with the same key share a channel, as do those without a key. Raises NotPublished if the
        connection is closed.
        """
        if connection.closed:
            raise NotPublished(PublishResult.CLOSED_BEFORE_WRITE)
        keyless = connection.channel_for(0)
        found = [connection.channel_for(entry.key) if entry.key else keyless for entry in call.entries]
        channels = [channel for channel in found if channel is not None]
        return channels if len(channels) == len(found) else None

    def publish(
        self,
        call: Call,
        connection: BrokerConnection,
        channels: list[ConfirmChannel],
        publishes: list[Publish],
    ) -> None:
        """Publishes each message, adding it to `publishes` as it is written.

        If a later message fails, the earlier ones may already have run.
        """
        connection.calls += 1
        call.uses = connection.calls
        # The attempt counts as sent from here on: a message that is written may have run.
        call.attempt.feed(Event.SENT)
        try:
            for entry, channel in zip(call.entries, channels, strict=True):
                routing_key, properties = self.options.routing_key_for(entry), self.properties(entry)
                publishes.append(connection.publish(channel, routing_key, properties, entry.body))
        finally:
            connection.flush()

    @staticmethod
    def properties(entry: Entry) -> commands.Basic.Properties:
        """Returns the properties of a message: persistent, with its id, class, idempotency key and key."""
        headers: dict[str, object] = {"x-class": entry.cls}
        if entry.token:
            headers["x-idempotency-key"] = entry.token
        if entry.key:
            headers["x-key"] = f"{entry.key:016x}"
        return commands.Basic.Properties(
            message_id=entry.id, headers=headers, delivery_mode=2, message_type=entry.cls
        )

    # --- outcomes ---

    def call_result(
        self, call: Call, publishes: list[Publish], unconfirmed_result: PublishResult
    ) -> CallResult:
        """Returns the outcomes of a call that has ended, in the order of its messages.

        `unconfirmed_result`: for publishes without a confirm, which may still come; they are marked
        abandoned. Messages without a publish were never written.
        """
        outcomes = []
        for publish in publishes:
            result = publish.result
            if result is None:
                publish.abandoned = True
                result = PublishResult.RETURNED if publish.returned else unconfirmed_result
            elif result not in (PublishResult.ACKED, PublishResult.CONFIRM_TIMEOUT):
                self.log_failure(f"message {publish.message_id}: {result.value}")
            outcomes.append((OUTCOME_BY_RESULT[result], False))
        outcomes += [(OUTCOME_BY_RESULT[PublishResult.CLOSED_BEFORE_WRITE], False)] * (
            len(call.entries) - len(publishes)
        )
        for connection in list(
            self.connections
        ):  # a draining one closes if it waited for these confirms only
            connection.notify_waiters()
        return CallResult(outcomes)

    @staticmethod
    def unpublished_result(call: Call, result: PublishResult, retry_after: float = 0.0) -> CallResult:
        """Returns the result of a call of which nothing was published. `retry_after`: ms; 0: none."""
        return CallResult([(OUTCOME_BY_RESULT[result], False)] * len(call.entries), retry_after)


class BrokerTransports:
    """Creates a transport for each endpoint whose destination has broker options, by destination number."""

    def __init__(self, settings: i.Settings, options: Mapping[int, BrokerOptions]) -> None:
        self.settings, self.options = settings, options

    def create(self, entry: i.EndpointEntry, address: tuple[str, int]) -> BrokerTransport | None:
        """Creates an endpoint's transport; None if its destination has no broker options."""
        options = self.options.get(entry.destination)
        return BrokerTransport(self.settings, options, address) if options is not None else None
