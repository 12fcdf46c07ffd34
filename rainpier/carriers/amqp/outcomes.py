"""What everything that can happen to a publish means for its message. No input or output.

The table stands in docs/design/amqp.md with its reasons. Its one question: is there proof that no queue of
the broker has the message? What has no such proof may have run.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from ...amqp import codes
from ...interface import Outcome

PUBLISH = (60, 40)  # class and method number of basic.publish
# Closes of a channel that turn down the publish itself, before it reached a queue (specification, 1.3.1 and
# the method's own exceptions; 406 is what brokers answer to a body or property that they don't take).
TURNED_DOWN = (
    codes.CONTENT_TOO_LARGE, codes.ACCESS_REFUSED, codes.NOT_FOUND, codes.PRECONDITION_FAILED
)  # fmt: skip


class What(Enum):
    """All that can become of a publish."""

    NOT_CONNECTED = "no connection, or the login or vhost refused"
    NO_CHANNEL = "no channel came up in time"
    LOST_UNWRITTEN = "connection or channel closed before the publish was written"
    BLOCKED = "the broker had blocked publishing, or did not read"
    NO_ROOM = "too many publishes without a confirm"
    NOT_ALLOWED = "a drain or a wait was told before it was written"
    ACKED = "basic.ack"
    NACKED = "basic.nack"
    NACKED_UNSEEN = "basic.nack, where the configuration says that it proves"
    RETURNED = "basic.return, whatever came after"
    TURNED_DOWN = "its channel closed with 311, 403, 404 or 406 for basic.publish, and it was alone there"
    CHANNEL_CLOSED = "its channel closed in another way"
    CONNECTION_CLOSED = "connection.close, of any code"
    CONNECTION_LOST = "the connection broke, or fell silent"
    OVERDUE = "no confirm in time"
    CALLED_OFF = "called off after it was written"


TABLE: dict[What, Outcome] = {
    What.NOT_CONNECTED: Outcome.CONNECT_FAILED,
    What.NO_CHANNEL: Outcome.CONNECT_FAILED,
    What.LOST_UNWRITTEN: Outcome.CONNECT_FAILED,
    What.BLOCKED: Outcome.FULL,
    What.NO_ROOM: Outcome.MOOT,
    What.NOT_ALLOWED: Outcome.MOOT,
    What.ACKED: Outcome.OK,
    What.NACKED: Outcome.ERROR,
    What.NACKED_UNSEEN: Outcome.FULL,
    What.RETURNED: Outcome.FULL,
    What.TURNED_DOWN: Outcome.FULL,
    What.CHANNEL_CLOSED: Outcome.RESET,
    What.CONNECTION_CLOSED: Outcome.RESET,
    What.CONNECTION_LOST: Outcome.RESET,
    What.OVERDUE: Outcome.TIMEOUT,
    What.CALLED_OFF: Outcome.CANCELLED,
}


class Astray(Exception):
    """A confirm that no publish can have caused: nothing that this channel says can be trusted any more."""


@dataclass(slots=True, eq=False)
class Publish:
    """One message on its way through a channel."""

    message: str  # its id
    what: What | None = None  # what became of it
    returned: bool = False
    doubtful: bool = False  # it, or another one of its message, was returned
    given_up: bool = False  # nobody waits for it any more, while its confirm may still come
    settled: Callable[[What], None] | None = None  # called once, when it is known what became of it

    def become(self, what: What) -> None:
        self.what = what
        if self.settled is not None:
            self.settled(what)


@dataclass(slots=True)
class Lane:
    """The publishes of one channel, and what its confirms say of them."""

    id: int
    most: int
    nack_never_ran: bool = False
    ready: bool = False  # open, and confirms are on
    last: int = 0  # the last tag given
    out: dict[int, Publish] = field(default_factory=dict)  # without a confirm, by tag, in order

    @property
    def room(self) -> int:
        return self.most - len(self.out)

    @property
    def stale(self) -> bool:
        """Full of publishes that nobody waits for."""
        return self.room <= 0 and all(publish.given_up for publish in self.out.values())

    def publish(self, message: str) -> Publish:
        """Tags count the publishes of a channel from 1 (RabbitMQ's extension "publisher confirms")."""
        self.last += 1
        publish = self.out[self.last] = Publish(message)
        return publish

    def confirmed(self, tag: int, multiple: bool, acked: bool) -> list[Publish]:
        """What a confirm settles; a tag settled before settles nothing. Astray for one never used."""
        if tag > self.last or (tag < 1 and not multiple):
            raise Astray(f"a confirm for tag {tag}, the last one was {self.last}")
        tags = [known for known in self.out if not tag or known <= tag] if multiple else [tag]
        settled = [self.out.pop(one) for one in tags if one in self.out]
        for publish in settled:
            publish.become(self.judged(publish, acked))
        return settled

    def judged(self, publish: Publish, acked: bool) -> What:
        if publish.returned:
            return What.RETURNED
        if publish.doubtful:
            return What.NACKED
        if acked:
            return What.ACKED
        return What.NACKED_UNSEEN if self.nack_never_ran else What.NACKED

    def returned(self, message: str, tag: int | None) -> None:
        """A publish came back; `tag`: what its own header says, None where the broker did not keep it.

        By the message alone two of its publishes can't be told apart, one of which may have lost its confirm:
        then neither proves anything.
        """
        if tag is not None:
            publish = self.out.get(tag)
            if publish is not None and publish.message == message:
                publish.returned = True
            return
        same = [publish for publish in self.out.values() if publish.message == message]
        for publish in same:
            publish.returned, publish.doubtful = len(same) == 1, len(same) > 1

    def closed(self, code: int, method: tuple[int, int]) -> list[Publish]:
        """The channel is closed: which publish a close code means is certain only where it was alone."""
        alone = len(self.out) == 1 and code in TURNED_DOWN and method == PUBLISH
        return list(self.end(What.TURNED_DOWN if alone else What.CHANNEL_CLOSED))

    def end(self, what: What) -> Iterator[Publish]:
        self.ready = False
        for publish in self.out.values():
            publish.become(What.RETURNED if publish.returned else what)
            yield publish
        self.out.clear()
