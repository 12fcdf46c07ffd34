"""Group commit: a promise counts once it is on the disk itself, and many of them share one fsync."""

import asyncio
import logging
from collections.abc import Callable

from .store import Store

log = logging.getLogger(__name__)


class Commit:
    """Calls back once all that was written before is on the disk. With durability `process`, at once."""

    def __init__(self, store: Store) -> None:
        self.store, self.loop = store, asyncio.get_running_loop()
        self.waiting: list[Callable[[], None]] = []
        self.task: asyncio.Task | None = None
        self.commits = 0
        store.sure = self.after

    def after(self, done: Callable[[], None]) -> None:
        if not self.store.machine:
            return done()
        self.waiting.append(done)
        if self.task is None:
            self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """While something waits: what comes during one fsync shares the next."""
        try:
            while self.waiting and not self.store.failed:
                some, self.waiting = self.waiting, []
                handles, gone = self.store.unsynced()
                try:
                    await self.loop.run_in_executor(None, self.sync, handles)
                except OSError as error:
                    # What a failed fsync leaves on the disk is unknown, and a second one would not tell.
                    self.store.failed = f"fsync: {error}"
                    log.critical("store: %s: nothing is taken on or begun any more; start anew", error)
                    return
                self.commits += 1
                self.store.synced(handles, gone)
                for done in some:
                    done()
        finally:
            self.task = None

    def sync(self, handles: list[int]) -> None:
        for handle in handles:
            self.store.files.sync(handle)

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
