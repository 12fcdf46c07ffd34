"""Group commit: a record is durable once it is on the disk itself, and many records share one fsync."""

import asyncio
import logging
from collections.abc import Callable

from ..observe.events import record
from .store import Store

REWRITE_POLL_S = 0.02  # interval between checks whether the store was rewritten after a failed fsync


class GroupCommit:
    """Calls back once everything written before is on the disk; at once if the store requires no fsync.

    The setting `durability` decides: with `process`, records have to survive the end of the process; with
    `machine`, a crash of the machine too.
    """

    def __init__(self, store: Store) -> None:
        """Replaces the store's `when_durable`. An event loop must be running."""
        self.store, self.loop = store, asyncio.get_running_loop()
        self.pending: list[Callable[[], None]] = []  # called after the next fsync
        self.task: asyncio.Task | None = None  # commits while there are callbacks; None: there are none
        self.commit_count = 0  # group commits that succeeded
        store.when_durable = self.when_durable

    def when_durable(self, on_durable: Callable[[], None]) -> None:
        """Calls `on_durable` once everything written so far is durable."""
        if not self.store.fsync_required:
            return on_durable()
        self.pending.append(on_durable)
        if self.task is None:
            self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Commits until no callback is pending; callbacks that arrive during one fsync share the next."""
        try:
            while self.pending:
                callbacks, self.pending = self.pending, []
                await self.make_durable()
                for on_durable in callbacks:
                    on_durable()
        finally:
            self.task = None

    async def make_durable(self) -> None:
        """Returns once all that is written now is on the disk.

        After a failed fsync it waits until the store has rewritten everything; see Store.rewrite_all.
        """
        while self.store.sync_failed or not await self.sync_all():
            await asyncio.sleep(REWRITE_POLL_S)
            if not self.store.sync_failed:  # rewritten and synced in the meantime
                return

    async def sync_all(self) -> bool:
        """Syncs all that is written. False: an fsync failed, and the store has been notified."""
        handles, removable = self.store.begin_sync()
        try:
            await self.sync_in_thread(handles)
        except OSError as error:
            self.store.on_sync_failed(error, removable)
            return False
        finally:
            self.store.syncing = False
        self.commit_count += 1
        self.store.finish_sync(handles, removable)
        return True

    async def sync_in_thread(self, handles: list[int]) -> None:
        """Syncs the handles outside the event loop. Raises OSError if one of them can't be synced."""
        try:
            await self.loop.run_in_executor(None, self.sync_handles, handles)
        except RuntimeError as error:  # no thread can be started, and nothing was synced yet: block instead
            record("store", "no_thread", level=logging.WARNING, error=error)
            self.sync_handles(handles)

    def sync_handles(self, handles: list[int]) -> None:
        """Syncs each handle; blocks meanwhile. Raises OSError."""
        for handle in handles:
            self.store.files.sync(handle)

    def close(self) -> None:
        """Stops committing; callbacks that are still pending are never called."""
        if self.task is not None:
            self.task.cancel()
