"""Publisher confirms: the result of each publish and the outcome it means for the message. No I/O.

A message has certainly not run only if there is proof that no queue of the broker has it. Without such proof
it may have run. docs/design/amqp.md gives the reason for each row of OUTCOME_BY_RESULT.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from ...amqp import codes
from ...interface import Outcome

BASIC_PUBLISH = (60, 40)  # class ID and method ID of basic.publish
# Reply codes of a channel.close that rejects the publish itself before it reached a queue (AMQP 0-9-1
# specification, 1.3.1 and the exceptions of basic.publish; brokers send 406 for a body or a property that
# they do not accept).
REJECTED_CODES = (
    codes.CONTENT_TOO_LARGE, codes.ACCESS_REFUSED, codes.NOT_FOUND, codes.PRECONDITION_FAILED
)  # fmt: skip


class PublishResult(Enum):
    """The result of a publish, or why it was not written; the values are texts for the log."""

    NOT_CONNECTED = "no connection, or the login or vhost was refused"
    NO_CHANNEL = "no channel was open in time"
    CLOSED_BEFORE_WRITE = "connection or channel closed before the publish was written"
    BLOCKED = "the broker blocked publishing, or did not read"
    LOCAL_LIMIT = "too many unconfirmed publishes, or no descriptor free for a connection"
    NOT_PERMITTED = "a drain or a retry-after held it back before it was written"
    ACKED = "basic.ack"
    NACKED = "basic.nack"
    NACKED_NEVER_RAN = "basic.nack, which by the configuration proves that no queue has the message"
    RETURNED = "basic.return, whatever followed"
    REJECTED = "the only unconfirmed publish of a channel closed with 311, 403, 404 or 406 for basic.publish"
    CHANNEL_CLOSED = "its channel closed in another way"
    CONNECTION_CLOSED = "connection.close, of any code"
    CONNECTION_LOST = "the connection broke, or missed its heartbeats"
    CONFIRM_TIMEOUT = "no confirm in time"
    CANCELLED = "the call was cancelled after the publish was written"


OUTCOME_BY_RESULT: dict[PublishResult, Outcome] = {
    PublishResult.NOT_CONNECTED: Outcome.CONNECT_FAILED,
    PublishResult.NO_CHANNEL: Outcome.CONNECT_FAILED,
    PublishResult.CLOSED_BEFORE_WRITE: Outcome.CONNECT_FAILED,
    PublishResult.BLOCKED: Outcome.FULL,
    PublishResult.LOCAL_LIMIT: Outcome.MOOT,
    PublishResult.NOT_PERMITTED: Outcome.MOOT,
    PublishResult.ACKED: Outcome.OK,
    PublishResult.NACKED: Outcome.ERROR,
    PublishResult.NACKED_NEVER_RAN: Outcome.FULL,
    PublishResult.RETURNED: Outcome.FULL,
    PublishResult.REJECTED: Outcome.FULL,
    PublishResult.CHANNEL_CLOSED: Outcome.RESET,
    PublishResult.CONNECTION_CLOSED: Outcome.RESET,
    PublishResult.CONNECTION_LOST: Outcome.RESET,
    PublishResult.CONFIRM_TIMEOUT: Outcome.TIMEOUT,
    PublishResult.CANCELLED: Outcome.CANCELLED,
}


class UnknownDeliveryTag(Exception):
    """A confirm for a delivery tag that was never used: the channel's confirms cannot be trusted any more."""


@dataclass(slots=True, eq=False)
class Publish:
    """One publish of a message on a channel."""

    message_id: str
    result: PublishResult | None = None  # None until known
    returned: bool = False  # it came back with basic.return: no queue has the message
    return_ambiguous: bool = False  # a basic.return was for it or for another publish of the same message
    abandoned: bool = False  # its call has ended without its result; its confirm may still come
    on_result: Callable[[PublishResult], None] | None = None  # called once, when the result is known

    def resolve(self, result: PublishResult) -> None:
        """Sets the result and passes it to `on_result`."""
        self.result = result
        if self.on_result is not None:
            self.on_result(result)


@dataclass(slots=True)
class ConfirmChannel:
    """The publishes of one channel in confirm mode that have no confirm yet."""

    number: int
    max_unconfirmed: int
    nack_never_ran: bool = False  # see BrokerOptions
    ready: bool = False  # open, and in confirm mode
    last_tag: int = 0  # the delivery tag of the latest publish
    unconfirmed: dict[int, Publish] = field(default_factory=dict)  # by delivery tag, in order

    @property
    def capacity(self) -> int:
        """The number of publishes that are allowed before the next confirm."""
        return self.max_unconfirmed - len(self.unconfirmed)

    @property
    def exhausted(self) -> bool:
        """Whether its whole capacity is taken by publishes whose calls have ended."""
        return self.capacity <= 0 and all(publish.abandoned for publish in self.unconfirmed.values())

    def publish(self, message_id: str) -> Publish:
        """Registers a publish; delivery tags count from 1 on each channel (RabbitMQ's publisher confirms)."""
        self.last_tag += 1
        publish = self.unconfirmed[self.last_tag] = Publish(message_id)
        return publish

    def on_confirm(self, tag: int, multiple: bool, acked: bool) -> list[Publish]:
        """Resolves and returns the publishes of a confirm; a tag that was confirmed before has no effect.

        Raises UnknownDeliveryTag for a tag that was never used.
        """
        if tag > self.last_tag or (tag < 1 and not multiple):
            raise UnknownDeliveryTag(f"confirm for delivery tag {tag}, the last one used is {self.last_tag}")
        tags = [known for known in self.unconfirmed if not tag or known <= tag] if multiple else [tag]
        confirmed = [self.unconfirmed.pop(each) for each in tags if each in self.unconfirmed]
        for publish in confirmed:
            publish.resolve(self.confirm_result(publish, acked))
        return confirmed

    def confirm_result(self, publish: Publish, acked: bool) -> PublishResult:
        """Returns the result of a confirmed publish.

        A returned publish is acked as well, so the basic.return decides.
        """
        if publish.returned:
            return PublishResult.RETURNED
        if publish.return_ambiguous:
            return PublishResult.NACKED
        if acked:
            return PublishResult.ACKED
        return PublishResult.NACKED_NEVER_RAN if self.nack_never_ran else PublishResult.NACKED

    def on_return(self, message_id: str, tag: int | None) -> None:
        """Marks the publish that a basic.return is for.

        `tag`: delivery tag from the returned message's header, None if the broker dropped the header. The
        message id alone cannot tell two unconfirmed publishes of a message apart: the return then proves
        nothing for either.
        """
        if tag is not None:
            publish = self.unconfirmed.get(tag)
            if publish is not None and publish.message_id == message_id:
                publish.returned = True
            return
        same = [publish for publish in self.unconfirmed.values() if publish.message_id == message_id]
        for publish in same:
            publish.returned, publish.return_ambiguous = len(same) == 1, len(same) > 1

    def on_closed(self, code: int, method: tuple[int, int]) -> list[Publish]:
        """Resolves all unconfirmed publishes after channel.close, and returns them.

        A reply code that rejects a publish proves a rejection only for the only unconfirmed one: of several,
        any may be meant.
        """
        rejected = len(self.unconfirmed) == 1 and code in REJECTED_CODES and method == BASIC_PUBLISH
        return list(self.resolve_all(PublishResult.REJECTED if rejected else PublishResult.CHANNEL_CLOSED))

    def resolve_all(self, result: PublishResult) -> Iterator[Publish]:
        """Yields each unconfirmed publish, resolved with `result` or as returned.

        Each is resolved when the iteration reaches it.
        """
        self.ready = False
        for publish in self.unconfirmed.values():
            publish.resolve(PublishResult.RETURNED if publish.returned else result)
            yield publish
        self.unconfirmed.clear()
