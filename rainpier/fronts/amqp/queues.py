"""Reply queues: how messages ended, for the clients that gave a reply-to. No input or output.

They live in memory. A queue takes on as many ends as it has room for, those still owed included, so that an
end never finds it full: a message whose queue has no room is refused when it is handed in.
"""

import json
import secrets
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from pamqp import commands

Properties = commands.Basic.Properties
GENERATED = "amq.gen-"  # begins the names that the server gives


@dataclass(slots=True)
class Reply:
    """One end."""

    properties: Properties
    body: bytes
    again: bool = False  # it was delivered before


def reply(message: str, outcome: str, correlation: str, retry: int = 0) -> Reply:
    """An end as a message: the sink's own terms as JSON, and as headers. `retry`: ms, 0 for none."""
    told: dict[str, object] = {"message": message, "outcome": outcome}
    headers: dict[str, object] = {"x-message": message, "x-outcome": outcome}
    if retry:
        told["retry_in_ms"] = headers["x-retry-in-ms"] = retry
    properties = Properties(
        content_type="application/json", headers=headers, correlation_id=correlation or None,
        message_type="end",
    )  # fmt: skip
    return Reply(properties, json.dumps(told, separators=(",", ":")).encode())


class Consumer(Protocol):
    """Who takes replies: see session.Subscription."""

    @property
    def ready(self) -> bool: ...

    def deliver(self, reply: Reply) -> None: ...

    def cancelled(self) -> None: ...


@dataclass(slots=True, eq=False)
class Queue:
    name: str
    owner: object = None  # the connection that it is exclusive to
    auto_delete: bool = False
    idle_since: float = 0.0  # s
    claimed: bool = True  # a client has declared it; else it waits for one that comes back
    ready: deque[Reply] = field(default_factory=deque)
    unacked: int = 0
    consumers: deque[Consumer] = field(default_factory=deque)  # the next one to be served first

    @property
    def held(self) -> int:
        return len(self.ready) + self.unacked

    def add(self, reply: Reply) -> None:
        self.ready.append(reply)
        self.serve()

    def put_back(self, replies: list[Reply]) -> None:
        """Ends that were not acknowledged, in their order, ahead of all others."""
        for reply in reversed(replies):
            reply.again = True
            self.ready.appendleft(reply)
        self.serve()

    def serve(self) -> None:
        """To consumers in turn, as far as they take them."""
        while self.ready and (consumer := self.next()) is not None:
            consumer.deliver(self.ready.popleft())

    def next(self) -> Consumer | None:
        for _ in range(len(self.consumers)):
            consumer = self.consumers[0]
            self.consumers.rotate(-1)
            if consumer.ready:
                return consumer
        return None


class Full(Exception):
    """There are as many queues as are allowed."""


class Queues:
    """All reply queues of a front. `owed(name)`: ends that will come to that name."""

    def __init__(self, most: int, length: int, idle: float, owed: Callable[[str], int]) -> None:
        self.most, self.length, self.idle, self.owed = most, length, idle, owed
        self.by_name: dict[str, Queue] = {}
        self.made = self.dropped = 0
        self.nonce = secrets.token_hex(4)  # a name of an earlier process never means a queue of this one

    def __iter__(self) -> Iterator[Queue]:
        return iter(list(self.by_name.values()))

    def get(self, name: str) -> Queue | None:
        return self.by_name.get(name)

    def declare(self, name: str, now: float, owner: object = None, auto_delete: bool = False) -> Queue:
        """A queue of that name; one of an own name where it is empty. Full where there are too many."""
        if not name:
            self.made += 1
            name = f"{GENERATED}{self.nonce}-{self.made}"
        queue = self.by_name.get(name)
        if queue is None:
            if len(self.by_name) >= self.most and not self.make_room():
                raise Full
            queue = self.by_name[name] = Queue(name, owner, auto_delete, now)
        queue.claimed = True
        return queue

    def make_room(self) -> bool:
        """Give up the queue that has waited longest for a client to come back."""
        waiting = [queue for queue in self if not queue.claimed]
        if waiting:
            self.dropped += self.delete(min(waiting, key=lambda queue: queue.idle_since))
        return bool(waiting)

    def delete(self, queue: Queue) -> int:
        """Its ends are dropped: nobody can consume them any more. How many there were."""
        self.by_name.pop(queue.name, None)
        for consumer in list(queue.consumers):
            consumer.cancelled()
        count = len(queue.ready)
        queue.consumers.clear()
        queue.ready.clear()
        return count

    def room(self, name: str) -> bool:
        queue = self.by_name.get(name)
        return (queue.held if queue else 0) + self.owed(name) < self.length

    def tell(self, name: str, reply: Reply, now: float) -> None:
        """An end. Where nobody has declared the queue yet (a client that comes back), it waits for that."""
        queue = self.by_name.get(name)
        if queue is None:
            if name.startswith(GENERATED):  # a server's own name never comes back
                self.dropped += 1
                return
            try:
                queue = self.declare(name, now)
            except Full:
                self.dropped += 1
                return
            queue.claimed = False
        if queue.held >= 2 * self.length:  # guards the memory against ends of an earlier process
            self.dropped += 1
            return
        queue.add(reply)

    def sweep(self, now: float) -> None:
        """Queues that nobody has used for long."""
        for queue in self:
            if queue.consumers or queue.owner is not None or queue.unacked:
                queue.idle_since = now
            elif now - queue.idle_since > self.idle:
                self.dropped += self.delete(queue)
