"""What every sink does: it tells how messages ended, many at once, and again until it is heard."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from itertools import islice

from ..store.entry import Entry
from ..tasks import keep

PAUSES = (0.02, 0.05, 0.1, 0.2, 0.5)  # s between tries of the same notices
MOST = 200  # notices told at once, so that a request's body holds them


def notice(entry: Entry) -> dict[str, object]:
    """A message's end in the protocol's terms."""
    told: dict[str, object] = {"message": entry.id, "outcome": entry.end}
    return told | ({"retry_in_ms": entry.retry} if entry.end == "handed_back" else {})


class Sink(ABC):
    """Ends that wait until they are told; what is never told stays owed in the journal."""

    def __init__(self) -> None:
        self.answered: Callable[[list[Entry]], None] = lambda entries: None
        self.waiting: dict[int, Entry] = {}  # by message number, in the order of their ends
        self.some = asyncio.Event()
        self.task: asyncio.Task | None = None

    @abstractmethod
    async def tell(self, batch: list[Entry]) -> bool:
        """Tell these ends; False where they must be told again."""

    def start(self, answered: Callable[[list[Entry]], None]) -> None:
        self.answered = answered
        self.go()

    def go(self) -> None:
        self.task = asyncio.get_running_loop().create_task(keep(self.run))

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def add(self, entry: Entry) -> None:
        self.waiting[entry.number] = entry
        self.some.set()

    async def run(self) -> None:
        failures = 0
        while True:
            await self.some.wait()
            batch = list(islice(self.waiting.values(), MOST))
            if await self.tell(batch):
                failures = 0
                self.answered(batch)
                for entry in batch:
                    del self.waiting[entry.number]
                if not self.waiting:
                    self.some.clear()
            else:
                await asyncio.sleep(PAUSES[min(failures, len(PAUSES) - 1)])
                failures += 1
