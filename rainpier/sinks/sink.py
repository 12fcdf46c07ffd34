"""The base of completion sinks: reports final statuses in batches, each repeated until it is confirmed."""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from itertools import islice

from ..store.entry import Entry
from ..tasks import supervise

log = logging.getLogger(__name__)
RETRY_PAUSES = (0.02, 0.05, 0.1)  # s before each retry of a batch; the last one also before all further ones
MAX_BATCH = 200  # completions; they have to fit into the body of one request
UNCONFIRMED_PAUSE = 0.05  # s before a batch is sent again whose answer may be a duplicate of an earlier one
REQUEUE_DELAY = 5.0  # s before a completion that the receiver could not read is sent again


def notification(entry: Entry) -> dict[str, object]:
    """Returns the final status of a message as the protocol reports it."""
    fields: dict[str, object] = {"message": entry.id, "outcome": entry.end}
    return fields | ({"retry_in_ms": entry.retry} if entry.end == "handed_back" else {})


class CompletionSink(ABC):
    """A queue of completions and the task that delivers them.

    A completion that is never delivered stays in the store, so that the next process reports it.
    """

    def __init__(self) -> None:
        self.on_delivered: Callable[[list[Entry]], None] = lambda entries: None
        self.destination_number: Callable[[int], int] = int
        self.pending: dict[int, Entry] = {}  # by message number, in the order of completion
        self.batch_size = MAX_BATCH  # of the next batch; smaller while an unreadable completion is located
        self.unreadable = False  # the receiver can't read the last batch, so that a retry can't help
        self.unconfirmed = False  # the last batch was probably received: it is sent again soon to make sure
        self.set_aside: dict[int, Entry] = {}  # unreadable ones by message number, for REQUEUE_DELAY
        self.not_empty = asyncio.Event()
        self.task: asyncio.Task | None = None

    @abstractmethod
    async def deliver(self, batch: list[Entry]) -> bool:
        """Reports a batch of completions; returns False if it has to be sent again.

        It may set `unreadable` or `unconfirmed` to say why; otherwise RETRY_PAUSES apply.
        """

    def start(
        self, on_delivered: Callable[[list[Entry]], None], destination_number: Callable[[int], int] = int
    ) -> None:
        """Starts the delivery; `on_delivered` is called with each batch that was delivered.

        `destination_number`: returns the number of a destination, by its id in the store.
        """
        self.on_delivered, self.destination_number = on_delivered, destination_number
        self.start_task()

    def start_task(self) -> None:
        """Starts the task that delivers the queue."""
        self.task = asyncio.get_running_loop().create_task(supervise(self.run))

    def close(self) -> None:
        """Stops the delivery; undelivered completions stay in the store."""
        if self.task is not None:
            self.task.cancel()

    def isolate_unreadable(self, batch: list[Entry]) -> None:
        """Halves the batch size until the unreadable completion is alone in a batch, then sets it aside.

        Otherwise one completion that the receiver can't read would block all others.
        """
        self.unreadable = False
        if len(batch) > 1:
            self.batch_size = max(1, len(batch) // 2)
            return
        entry = batch[0]
        log.error(
            "completion of message %s can't be read by the receiver; sending it again in %.0f s",
            entry.id,
            REQUEUE_DELAY,
        )
        del self.pending[entry.number]
        if not self.pending:
            self.not_empty.clear()
        if not self.set_aside:
            asyncio.get_running_loop().call_later(REQUEUE_DELAY, self.requeue)
        self.set_aside[entry.number] = entry

    def requeue(self) -> None:
        """Queues the completions that were set aside again, behind the others."""
        entries, self.set_aside = list(self.set_aside.values()), {}
        for entry in entries:
            self.add(entry)

    def add(self, entry: Entry) -> None:
        """Queues the completion of a message."""
        self.pending[entry.number] = entry
        self.not_empty.set()

    async def run(self) -> None:
        """Delivers the queue in batches; after a failure the same completions are sent again."""
        failures = 0
        while True:
            await self.not_empty.wait()
            batch = list(islice(self.pending.values(), self.batch_size))
            if await self.deliver(batch):
                failures, self.batch_size = 0, min(MAX_BATCH, 2 * self.batch_size)
                self.on_delivered(batch)
                for entry in batch:
                    del self.pending[entry.number]
                if not self.pending:
                    self.not_empty.clear()
            elif self.unreadable:
                self.isolate_unreadable(batch)
            elif self.unconfirmed:
                await asyncio.sleep(UNCONFIRMED_PAUSE)
            else:
                await asyncio.sleep(RETRY_PAUSES[min(failures, len(RETRY_PAUSES) - 1)])
                failures += 1
