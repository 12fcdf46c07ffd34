"""Handles the methods of a client's channels. No I/O.

The connection's state machine is `amqp.connection`. This module implements the exchange and the queues that
stand for destinations, publishing with confirms, and consuming from reply queues.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from pamqp import base, commands

from ...amqp import codes, frames
from ...amqp import connection as amqp_connection
from ...amqp.channel import Content
from ...amqp.codes import ChannelException, ConnectionException
from ...submission import (
    Accepted,
    Duplicate,
    PendingResult,
    Rejected,
    RetryLater,
    Submission,
    SubmissionResult,
)
from .messages import PUBLISH_METHOD_ID, Routes, Unroutable, parse_publish
from .queues import Queue, Queues, Reply, TooManyQueues, make_reply

BasicMethods, ExchangeMethods, QueueMethods, TxMethods = (
    commands.Basic,
    commands.Exchange,
    commands.Queue,
    commands.Tx,
)
log = logging.getLogger(__name__)
EXCHANGE_TYPES = ("direct", "topic")  # types that the exchange may be declared with
RESERVED_PREFIX = "amq."  # queue names with it belong to the server
MAX_CONSUMERS = 64  # of one channel


@dataclass(slots=True, eq=False)
class Subscription:
    """One consumer of a reply queue on a channel."""

    session: "Session"
    channel: "ChannelState"
    tag: str
    queue: Queue
    no_ack: bool  # deliveries need no acknowledgement
    prefetch: int  # limit on unacknowledged deliveries; 0: none
    unacked: int = 0  # unacknowledged deliveries

    @property
    def ready(self) -> bool:
        """Whether the prefetch limits and the write buffer allow another delivery."""
        channel = self.channel
        return (
            not self.session.write_paused
            and (not self.prefetch or self.unacked < self.prefetch)
            and (not channel.prefetch or len(channel.unacked) < channel.prefetch)
        )

    def deliver(self, reply: Reply) -> None:
        """Sends a reply to the client."""
        channel = self.channel
        tag = channel.add_delivery(self.queue, reply, self, not self.no_ack)
        method = BasicMethods.Deliver(self.tag, tag, reply.redelivered, "", self.queue.name)
        self.session.protocol.publish(channel.id, method, reply.properties, reply.body)
        self.session.schedule_flush()

    def on_queue_deleted(self) -> None:
        """Removes the consumer of a deleted queue; notifies a client that supports consumer_cancel_notify."""
        self.channel.subscriptions.pop(self.tag, None)
        if self.session.protocol.peer_capabilities.get("consumer_cancel_notify"):
            self.session.protocol.send(self.channel.id, BasicMethods.Cancel(self.tag, True))
            self.session.schedule_flush()


@dataclass(slots=True, eq=False)
class Delivery:
    """A reply that was delivered and not acknowledged yet."""

    queue: Queue
    reply: Reply
    subscription: Subscription | None  # None: fetched by basic.get


@dataclass(slots=True, eq=False)
class ChannelState:
    """Session state of a channel: publishes, deliveries and consumers."""

    id: int
    confirm_mode: bool = False  # confirm.select was sent
    last_publish_tag: int = 0  # 0: none yet
    pending: dict[int, None] = field(default_factory=dict)  # publish tags without a result, in order
    confirms_due: dict[int, bool] = field(default_factory=dict)  # by publish tag: whether it is acked
    last_delivery_tag: int = 0  # 0: none yet
    unacked: dict[int, Delivery] = field(default_factory=dict)  # by delivery tag
    subscriptions: dict[str, Subscription] = field(default_factory=dict)  # by consumer tag
    prefetch: int = 0  # limit for the whole channel; 0: none
    consumer_prefetch: int = 0  # limit of each new consumer; 0: none
    last_queue: str = ""  # declared last; an empty queue name stands for it

    def add_delivery(
        self, queue: Queue, reply: Reply, subscription: Subscription | None, needs_ack: bool = True
    ) -> int:
        """Counts a delivery and returns its tag; without `needs_ack` it is not tracked."""
        self.last_delivery_tag += 1
        if needs_ack:
            self.unacked[self.last_delivery_tag] = Delivery(queue, reply, subscription)
            queue.unacked += 1
            if subscription is not None:
                subscription.unacked += 1
        return self.last_delivery_tag

    def remove_delivery(self, tag: int) -> Delivery:
        """Stops tracking a delivery that was acknowledged, rejected or requeued."""
        delivery = self.unacked.pop(tag)
        delivery.queue.unacked -= 1
        if delivery.subscription is not None:
            delivery.subscription.unacked -= 1
        return delivery


@dataclass(slots=True)
class SessionContext:
    """State shared by all sessions of a listener."""

    routes: Routes
    queues: Queues
    submit: Callable[[Submission], PendingResult]
    held_for: Callable[[int], int]  # by a destination's number: how many messages are held for it
    clock: Callable[[], float]  # s
    allow_without_confirms: bool = False  # publishing without confirm.select is allowed
    refused_unheard: int = 0  # messages rejected on channels without confirms, whose client cannot know


class Session:
    """The channels of one client connection. `schedule_flush` is called whenever there is output to write."""

    def __init__(
        self, protocol: amqp_connection.Server, context: SessionContext, schedule_flush: Callable[[], None]
    ) -> None:
        self.protocol, self.context, self.schedule_flush = protocol, context, schedule_flush
        self.channels: dict[int, ChannelState] = {}
        self.write_paused = False  # the transport's write buffer is full
        self.open = False  # the handshake has completed
        self.blocked = False  # admission was full at the last check
        self.closed_event: amqp_connection.Closed | None = None  # how the connection ended; None before
        self.confirms_scheduled = False  # whether send_confirms is due to run
        self.loop = asyncio.get_running_loop()

    @property
    def unanswered(self) -> int:
        """Number of publishes without a result, on all channels."""
        return sum(len(channel.pending) for channel in self.channels.values())

    def handle(self, event: amqp_connection.Event) -> None:
        """Handles an event of the connection's state machine."""
        match event:
            case amqp_connection.Opened():
                self.open = True
            case amqp_connection.ChannelOpened(number):
                self.channels[number] = ChannelState(number)
            case amqp_connection.ChannelClosed(number):
                self.remove_channel(number)
            case amqp_connection.Closed():
                self.closed_event = event
                self.release()
            case amqp_connection.Method(number, method):
                self.run_handler(number, method, lambda channel: self.on_method(channel, method))
            case Content(number, method, _, _):
                self.run_handler(number, method, lambda channel: self.on_publish(channel, event))

    def run_handler(self, number: int, method: base.Frame, handler: Callable[[ChannelState], None]) -> None:
        """Runs a method's handler; an AMQP exception closes the channel or the connection with its code.

        Any other exception closes the connection with INTERNAL_ERROR. No effect on a channel that is not
        open.
        """
        channel = self.channels.get(number)
        if channel is None or not self.protocol.is_open(number):
            return
        try:
            handler(channel)
        except ChannelException as error:
            failing_method = error.method if error.method != (0, 0) else frames.method_id(method)
            self.send_channel_confirms(channel)
            self.protocol.close_channel(number, error.code, str(error), failing_method)
            self.remove_channel(number)
        except ConnectionException as error:
            self.protocol.close(error.code, str(error), frames.method_id(method))
            self.release()
        except Exception:  # only this connection closes, not the listener
            log.exception("amqp: %s on channel %d failed; closing its connection", method.name, number)
            self.protocol.close(codes.INTERNAL_ERROR, "internal error", frames.method_id(method))
            self.release()

    def remove_channel(self, number: int) -> None:
        """Forgets a closed channel; its unacknowledged deliveries are requeued in order."""
        channel = self.channels.pop(number, None)
        if channel is None:
            return
        for subscription in list(channel.subscriptions.values()):
            self.unsubscribe(subscription)
        self.requeue_deliveries(channel, list(channel.unacked))

    def release(self) -> None:
        """Releases channels and exclusive queues of a closed connection; accepted messages stay accepted."""
        for number in list(self.channels):
            self.remove_channel(number)
        for queue in self.context.queues:
            if queue.owner is self:
                self.context.queues.delete(queue)

    # --- publishing ---

    def on_publish(self, channel: ChannelState, content: Content) -> None:
        """Checks a publish and submits its message."""
        publish = content.method
        assert isinstance(publish, BasicMethods.Publish)
        if not channel.confirm_mode and not self.context.allow_without_confirms:
            raise ChannelException(
                codes.PRECONDITION_FAILED, "publishing needs confirm.select: a refusal could not be told"
            )
        if publish.immediate:
            raise ConnectionException(codes.NOT_IMPLEMENTED, "immediate")
        if publish.exchange not in ("", self.context.routes.exchange):
            raise ChannelException(codes.NOT_FOUND, f"no exchange {publish.exchange!r}")
        channel.last_publish_tag += 1
        tag = channel.last_publish_tag
        try:
            submission = parse_publish(publish, content.properties, content.body, self.context.routes)
        except Unroutable as reason:
            self.on_unroutable(channel, tag, content, str(reason))
            return
        self.submit(channel, tag, submission)

    def on_unroutable(self, channel: ChannelState, tag: int, content: Content, reason: str) -> None:
        """Returns and acks a mandatory message, nacks any other: none is dropped silently."""
        publish = content.method
        assert isinstance(publish, BasicMethods.Publish)
        if publish.mandatory:
            text = codes.reply_text(codes.NO_ROUTE, reason)
            returned = BasicMethods.Return(codes.NO_ROUTE, text, publish.exchange, publish.routing_key)
            self.protocol.publish(channel.id, returned, content.properties, content.body)
        self.queue_confirm(channel, tag, bool(publish.mandatory))

    def submit(self, channel: ChannelState, tag: int, submission: Submission) -> None:
        """Submits a message and confirms its publish, at once or when the result is known."""
        if submission.reply_to:
            if self.context.queues.get(submission.reply_to) is None:
                raise ChannelException(
                    codes.PRECONDITION_FAILED,
                    f"reply-to {submission.reply_to!r} names no queue: declare it first",
                    PUBLISH_METHOD_ID,
                )
            if not self.context.queues.has_room(submission.reply_to):
                # Messages whose completion would have no room are rejected, so that no completion is dropped.
                self.queue_confirm(channel, tag, False)
                return
        result = self.context.submit(submission)
        if not isinstance(result, asyncio.Future):
            self.on_result(channel, tag, submission, result)
            return
        channel.pending[tag] = None
        result.add_done_callback(lambda done: self.on_result(channel, tag, submission, done.result()))

    def on_result(
        self, channel: ChannelState, tag: int, submission: Submission, result: SubmissionResult
    ) -> None:
        """Confirms a publish whose result is known.

        Results without a later completion also go to the reply queue, such as the retry-after time of a
        rejection, which a nack cannot carry.
        """
        outcome, retry_after_ms = "", 0
        match result:
            case Duplicate(completion_pending=False):  # its completion was sent before
                outcome = "known"
            case RetryLater(wait_ms):
                outcome, retry_after_ms = "handed_back", wait_ms
            case Rejected():
                outcome = "given_up"
        if submission.reply_to and outcome:
            reply = make_reply(submission.id, outcome, submission.correlation, retry_after_ms)
            self.context.queues.deliver(submission.reply_to, reply, self.context.clock())
        self.queue_confirm(channel, tag, isinstance(result, Accepted | Duplicate))

    def queue_confirm(self, channel: ChannelState, tag: int, acked: bool) -> None:
        """Queues the ack or nack of a publish; on a channel without confirms a rejection is only counted."""
        channel.pending.pop(tag, None)
        if not channel.confirm_mode:
            self.context.refused_unheard += not acked
            return
        channel.confirms_due[tag] = acked
        if not self.confirms_scheduled:  # deferred, so that one confirm may cover many results
            self.confirms_scheduled = True
            self.loop.call_soon(self.send_confirms)

    def send_confirms(self) -> None:
        """Sends the queued confirms of all channels."""
        self.confirms_scheduled = False
        for channel in self.channels.values():
            self.send_channel_confirms(channel)
        self.schedule_flush()

    def send_channel_confirms(self, channel: ChannelState) -> None:
        """Sends the queued confirms of a channel.

        One ack covers all tags before the first that is pending or rejected; the others are sent one by one.
        """
        tags = sorted(channel.confirms_due)
        first_pending = min(channel.pending, default=math.inf)
        last_acked = 0
        for tag in tags:
            if tag > first_pending or not channel.confirms_due[tag]:
                break
            last_acked = tag
        if last_acked:
            self.protocol.send(channel.id, BasicMethods.Ack(last_acked, last_acked > tags[0]))
        for tag in tags:
            if tag > last_acked:
                self.protocol.send(
                    channel.id,
                    BasicMethods.Ack(tag)
                    if channel.confirms_due[tag]
                    else BasicMethods.Nack(tag, False, False),
                )
        channel.confirms_due.clear()

    # --- methods ---

    def on_method(self, channel: ChannelState, method: base.Frame) -> None:
        """Calls the handler of a method; raises ConnectionException if it is not implemented."""
        handler = self.HANDLERS.get(type(method))
        if handler is None:
            raise ConnectionException(codes.NOT_IMPLEMENTED, method.name)
        handler(self, channel, method)

    def flow(self, channel: ChannelState, method: commands.Channel.Flow) -> None:
        """Confirms a channel.flow that resumes deliveries; raises ConnectionException for one that pauses."""
        if not method.active:
            raise ConnectionException(codes.NOT_IMPLEMENTED, "channel.flow: use basic.qos")
        self.protocol.send(channel.id, commands.Channel.FlowOk(True))

    def ignore(self, channel: ChannelState, method: base.Frame) -> None:
        """Accepts a method that needs no response."""

    def confirm_select(self, channel: ChannelState, method: commands.Confirm.Select) -> None:
        """Turns on publisher confirms for a channel."""
        channel.confirm_mode = True
        if not method.nowait:
            self.protocol.send(channel.id, commands.Confirm.SelectOk())

    # --- exchanges and queues ---

    def exchange_declare(self, channel: ChannelState, method: ExchangeMethods.Declare) -> None:
        """Confirms the declaration of the one exchange that exists; raises ChannelException for any other."""
        name = str(method.exchange)
        if name not in ("", self.context.routes.exchange):
            code = codes.NOT_FOUND if method.passive else codes.ACCESS_REFUSED
            raise ChannelException(code, f"no exchange {name!r}: there is {self.context.routes.exchange!r}")
        if not method.passive and (not name or method.exchange_type not in EXCHANGE_TYPES):
            raise ChannelException(
                codes.ACCESS_REFUSED if not name else codes.PRECONDITION_FAILED,
                f"exchange {name!r} is of type direct or topic" if name else "the default exchange",
            )
        if not method.nowait:
            self.protocol.send(channel.id, ExchangeMethods.DeclareOk())

    def queue_declare(self, channel: ChannelState, method: QueueMethods.Declare) -> None:
        """Declares a reply queue; for the queue of a destination, replies with its number of held messages.

        Raises ChannelException for a declaration that is not allowed, or at the limit on reply queues.
        """
        name, routes, now = str(method.queue), self.context.routes, self.context.clock()
        if name in routes.destinations:
            if method.exclusive or method.auto_delete:
                raise ChannelException(
                    codes.PRECONDITION_FAILED, f"{name!r} is a destination, for all and lasting"
                )
            channel.last_queue = name
            if not method.nowait:
                self.protocol.send(
                    channel.id,
                    QueueMethods.DeclareOk(name, self.context.held_for(routes.destinations[name]), 0),
                )
            return
        queue = self.context.queues.get(name) if name else None
        if queue is None and method.passive:
            raise ChannelException(codes.NOT_FOUND, f"no queue {name!r}")
        if queue is None:
            if name.startswith(RESERVED_PREFIX):
                raise ChannelException(
                    codes.ACCESS_REFUSED, f"names with {RESERVED_PREFIX!r} are the server's"
                )
            if len(name.encode()) > 128:
                raise ChannelException(codes.PRECONDITION_FAILED, "a queue's name has 128 bytes at most")
            owner = self if method.exclusive else None
            try:
                queue = self.context.queues.declare(name, now, owner, bool(method.auto_delete))
            except TooManyQueues:
                raise ChannelException(
                    codes.ACCESS_REFUSED, "there are as many queues as are allowed"
                ) from None
        self.check_owner(queue)
        # Such as a queue that was created for a reply before its client declared it.
        if method.exclusive and queue.owner is None:
            queue.owner = self
        queue.declared = True
        channel.last_queue, queue.idle_since = queue.name, now
        if not method.nowait:
            self.protocol.send(
                channel.id, QueueMethods.DeclareOk(queue.name, len(queue.ready), len(queue.consumers))
            )

    def check_owner(self, queue: Queue) -> None:
        """Raises ChannelException if the queue is exclusive to another connection."""
        if queue.owner is not None and queue.owner is not self:
            raise ChannelException(codes.RESOURCE_LOCKED, f"queue {queue.name!r} is another connection's")

    def find_queue(self, channel: ChannelState, name: str) -> Queue:
        """Returns a reply queue by name, for "" the last declared one.

        Raises ChannelException if there is none, or if it is exclusive to another connection.
        """
        name = name or channel.last_queue
        if name in self.context.routes.destinations:
            raise ChannelException(
                codes.ACCESS_REFUSED, f"{name!r} is a destination: it can only be published to"
            )
        queue = self.context.queues.get(name)
        if queue is None:
            raise ChannelException(codes.NOT_FOUND, f"no queue {name!r}")
        self.check_owner(queue)
        return queue

    def queue_bind(self, channel: ChannelState, method: QueueMethods.Bind) -> None:
        """Confirms the binding of a destination to the exchange, which always exists; no other is allowed."""
        name = str(method.queue) or channel.last_queue
        if method.exchange != self.context.routes.exchange:
            raise ChannelException(codes.NOT_FOUND, f"no exchange {method.exchange!r}")
        if name not in self.context.routes.destinations:
            self.find_queue(channel, name)
            raise ChannelException(codes.ACCESS_REFUSED, "reply queues get ends alone, and can't be bound")
        if not method.nowait:
            self.protocol.send(channel.id, QueueMethods.BindOk())

    def queue_unbind(self, channel: ChannelState, method: QueueMethods.Unbind) -> None:
        """Raises ChannelException: the bindings follow from the configuration."""
        raise ChannelException(codes.ACCESS_REFUSED, "routes follow from the configuration")

    def queue_purge(self, channel: ChannelState, method: QueueMethods.Purge) -> None:
        """Drops the replies of a queue that are not delivered yet."""
        queue = self.find_queue(channel, str(method.queue))
        count = len(queue.ready)
        queue.ready.clear()
        if not method.nowait:
            self.protocol.send(channel.id, QueueMethods.PurgeOk(count))

    def queue_delete(self, channel: ChannelState, method: QueueMethods.Delete) -> None:
        """Deletes a reply queue; raises ChannelException if if-unused or if-empty forbid it."""
        name = str(method.queue) or channel.last_queue
        if name not in self.context.routes.destinations and self.context.queues.get(name) is None:
            count = 0  # as brokers do, so that a delete may be repeated
        else:
            queue = self.find_queue(channel, name)
            if method.if_unused and queue.consumers or method.if_empty and queue.ready:
                raise ChannelException(codes.PRECONDITION_FAILED, f"queue {name!r} is in use")
            count = self.context.queues.delete(queue)
        if not method.nowait:
            self.protocol.send(channel.id, QueueMethods.DeleteOk(count))

    # --- consuming ---

    def qos(self, channel: ChannelState, method: BasicMethods.Qos) -> None:
        """Sets the prefetch limit of the channel (`global`) or of its consumers from now on."""
        if method.prefetch_size:
            raise ConnectionException(codes.NOT_IMPLEMENTED, "prefetch-size")
        if method.global_:
            channel.prefetch = method.prefetch_count
        else:
            channel.consumer_prefetch = method.prefetch_count
        self.protocol.send(channel.id, BasicMethods.QosOk())
        self.dispatch(channel)

    def consume(self, channel: ChannelState, method: BasicMethods.Consume) -> None:
        """Adds a consumer to a reply queue and starts deliveries."""
        queue, tag = self.find_queue(channel, str(method.queue)), str(method.consumer_tag)
        if tag in channel.subscriptions:
            raise ConnectionException(codes.NOT_ALLOWED, f"consumer tag {tag!r} is in use")
        if len(channel.subscriptions) >= MAX_CONSUMERS:
            raise ChannelException(codes.ACCESS_REFUSED, f"a channel has {MAX_CONSUMERS} consumers at most")
        if method.exclusive and queue.consumers:
            raise ChannelException(codes.ACCESS_REFUSED, f"queue {queue.name!r} has a consumer")
        tag = tag or f"amq.ctag-{channel.id}-{channel.last_delivery_tag}-{len(channel.subscriptions)}"
        subscription = Subscription(self, channel, tag, queue, bool(method.no_ack), channel.consumer_prefetch)
        channel.subscriptions[tag] = subscription
        if not method.nowait:
            self.protocol.send(channel.id, BasicMethods.ConsumeOk(tag))
        queue.consumers.append(subscription)
        queue.dispatch()

    def cancel(self, channel: ChannelState, method: BasicMethods.Cancel) -> None:
        """Handles basic.cancel; the consumer's unacknowledged deliveries stay with the channel."""
        subscription = channel.subscriptions.get(str(method.consumer_tag))
        if not method.nowait:
            self.protocol.send(channel.id, BasicMethods.CancelOk(method.consumer_tag))
        if subscription is not None:
            self.unsubscribe(subscription)

    def unsubscribe(self, subscription: Subscription) -> None:
        """Removes a consumer; an auto-delete queue is deleted with its last one."""
        queue = subscription.queue
        subscription.channel.subscriptions.pop(subscription.tag, None)
        if subscription in queue.consumers:
            queue.consumers.remove(subscription)
            queue.idle_since = self.context.clock()
            if queue.auto_delete and not queue.consumers and self.context.queues.get(queue.name) is queue:
                self.context.queues.delete(queue)

    def get(self, channel: ChannelState, method: BasicMethods.Get) -> None:
        """Handles basic.get: sends one reply, or get-empty."""
        queue = self.find_queue(channel, str(method.queue))
        queue.idle_since = self.context.clock()
        if not queue.ready:
            self.protocol.send(channel.id, BasicMethods.GetEmpty())
            return
        reply = queue.ready.popleft()
        tag = channel.add_delivery(queue, reply, None, not method.no_ack)
        get_ok = BasicMethods.GetOk(tag, reply.redelivered, "", queue.name, len(queue.ready))
        self.protocol.publish(channel.id, get_ok, reply.properties, reply.body)

    def select_tags(self, channel: ChannelState, tag: int, multiple: bool) -> list[int]:
        """Returns the tags of the unacknowledged deliveries that a method means.

        With `multiple`, all up to `tag`, and for 0 all. Raises ChannelException for an unknown tag.
        """
        if multiple and (tag == 0 or tag <= channel.last_delivery_tag):
            return [unacked_tag for unacked_tag in channel.unacked if tag == 0 or unacked_tag <= tag]
        if tag not in channel.unacked:
            raise ChannelException(codes.PRECONDITION_FAILED, f"unknown delivery tag {tag}")
        return [tag]

    def ack(self, channel: ChannelState, method: BasicMethods.Ack) -> None:
        """Acknowledges deliveries, which frees their room in the prefetch limits."""
        for tag in self.select_tags(channel, method.delivery_tag or 0, bool(method.multiple)):
            channel.remove_delivery(tag)
        self.dispatch(channel)

    def nack(self, channel: ChannelState, method: BasicMethods.Nack) -> None:
        """Handles basic.nack, which may reject several deliveries."""
        self.reject_deliveries(channel, method.delivery_tag or 0, bool(method.multiple), bool(method.requeue))

    def reject(self, channel: ChannelState, method: BasicMethods.Reject) -> None:
        """Handles basic.reject, which rejects one delivery."""
        self.reject_deliveries(channel, method.delivery_tag or 0, False, bool(method.requeue))

    def reject_deliveries(self, channel: ChannelState, tag: int, multiple: bool, requeue: bool) -> None:
        """Requeues or drops rejected deliveries."""
        tags = self.select_tags(channel, tag, multiple)
        if requeue:
            self.requeue_deliveries(channel, tags)
        else:
            for delivery_tag in tags:
                channel.remove_delivery(delivery_tag)
        self.dispatch(channel)

    def recover(self, channel: ChannelState, method: BasicMethods.Recover) -> None:
        """Requeues all unacknowledged deliveries of the channel."""
        if not method.requeue:
            raise ConnectionException(codes.NOT_IMPLEMENTED, "recover without requeue")
        if isinstance(method, BasicMethods.Recover):
            self.protocol.send(channel.id, BasicMethods.RecoverOk())
        self.requeue_deliveries(channel, list(channel.unacked))
        self.dispatch(channel)

    def requeue_deliveries(self, channel: ChannelState, tags: list[int]) -> None:
        """Requeues deliveries at the head of their queues, in order; drops those of deleted queues."""
        by_queue: dict[Queue, list[Reply]] = {}
        for tag in sorted(tags):
            delivery = channel.remove_delivery(tag)
            by_queue.setdefault(delivery.queue, []).append(delivery.reply)
        for queue, replies in by_queue.items():
            if self.context.queues.get(queue.name) is queue:
                queue.requeue(replies)

    def dispatch(self, channel: ChannelState) -> None:
        """Delivers replies of the queues that a channel consumes, as far as its limits allow."""
        for queue in {subscription.queue for subscription in channel.subscriptions.values()}:
            queue.dispatch()

    def resume_deliveries(self) -> None:
        """Continues deliveries once the client reads again."""
        for channel in self.channels.values():
            self.dispatch(channel)

    HANDLERS: dict[type, Callable] = {
        commands.Channel.Flow: flow, commands.Channel.FlowOk: ignore, BasicMethods.CancelOk: ignore,
        commands.Confirm.Select: confirm_select, ExchangeMethods.Declare: exchange_declare,
        QueueMethods.Declare: queue_declare, QueueMethods.Bind: queue_bind,
        QueueMethods.Unbind: queue_unbind, QueueMethods.Purge: queue_purge,
        QueueMethods.Delete: queue_delete, BasicMethods.Qos: qos, BasicMethods.Consume: consume,
        BasicMethods.Cancel: cancel, BasicMethods.Get: get, BasicMethods.Ack: ack, BasicMethods.Nack: nack,
        BasicMethods.Reject: reject, BasicMethods.Recover: recover, BasicMethods.RecoverAsync: recover,
    }  # fmt: skip
