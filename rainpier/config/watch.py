"""Reloads the sidecar's configuration file on SIGHUP, or when it changes.

`ChangeDetector` decides from the file's metadata when to read it, without I/O; `Reloader` does the rest.
"""

import asyncio
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..startup import is_transient
from . import model as schema
from .change import changes, keep_numbering, startup_only
from .check import check_text
from .problem import errors
from .read import Loaded
from .toml import MAX_FILE_BYTES

log = logging.getLogger(__name__)
POLL_INTERVAL = 0.2  # s between checks of the file's metadata
MAX_DETAILS = 20  # problems or changed settings that one result keeps for the log and the status
FileStamp = tuple[int, int, int] | None  # mtime in ns, size in bytes, inode; None: there is no file


class Unreadable(Exception):
    """The file can't be read as text, or is too long.

    `transient`: the cause may pass, so reading can be tried again.
    """

    def __init__(self, text: str, transient: bool = False) -> None:
        super().__init__(text)
        self.transient = transient


def read_text(path: Path) -> str:
    """Reads a UTF-8 file of at most MAX_FILE_BYTES; raises Unreadable."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise Unreadable(f"longer than {MAX_FILE_BYTES} bytes")
        return data.decode("utf-8-sig")
    except OSError as error:
        raise Unreadable(str(error), is_transient(error)) from error
    except ValueError as error:
        raise Unreadable(str(error)) from error


class ChangeDetector:
    """Detects that a file has changed and is complete: two checks in a row see the same metadata."""

    def __init__(self, stamp: FileStamp) -> None:
        self.last_read, self.last = stamp, stamp

    def should_read(self, stamp: FileStamp) -> bool:
        """Returns whether to read the file now.

        Waiting for two equal checks avoids half-written files, and the moment between the two renames of an
        editor in which the file is missing.
        """
        unchanged, self.last = stamp == self.last, stamp
        if stamp is None or not unchanged or stamp == self.last_read:
            return False
        self.last_read = stamp
        return True


@dataclass
class ReloadResult:
    """Result of one reload."""

    at: float  # Unix time, s
    result: str  # "applied", "unchanged", "rejected" or "needs a start"
    details: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, object]:
        return {"at": round(self.at, 3), "result": self.result, "details": self.details}


class Reloader:
    """Reads the file on request and when it changes. An edit that can't be applied changes nothing."""

    def __init__(self, path: Path, model: schema.Model, apply: Callable[[schema.Model], None]) -> None:
        self.path, self.model, self.apply = path, model, apply
        self.requested = asyncio.Event()
        self.last: ReloadResult | None = None
        self.applied = self.rejected = 0
        self.change_detector = ChangeDetector(self.file_stamp())

    def request(self) -> None:
        """Requests a reload. Called from a signal handler, also several times at once."""
        self.requested.set()

    def file_stamp(self) -> FileStamp:
        """Returns the file's metadata; None if there is no file, as between an editor's two renames."""
        try:
            stat = os.stat(self.path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino

    async def run(self) -> None:
        """Reloads the file on each request, and on changes if `reload_on_change` is set, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL if self.model.sidecar.reload_on_change else None):
                    await self.requested.wait()
            except TimeoutError:
                if not self.change_detector.should_read(self.file_stamp()):
                    continue
            self.requested.clear()
            await self.load()

    async def load(self) -> ReloadResult:
        """Reads and checks the file, applies it if possible, then records and logs the result."""
        try:
            # In a thread: checking thousands of destinations takes seconds, and would block the loop.
            loaded = await self.read()
        except Unreadable as error:
            if error.transient:
                asyncio.get_running_loop().call_later(POLL_INTERVAL, self.request)
            self.last = ReloadResult(time.time(), "rejected", [f"{self.path}: {error}"])
        else:
            self.last = self.apply_if_live(loaded)
        self.rejected += self.last.result in ("rejected", "needs a start")
        self.applied += self.last.result == "applied"
        level = logging.ERROR if self.last.result == "rejected" else logging.WARNING
        for text in self.last.details if self.last.result != "applied" else ():
            log.log(level, "configuration not applied, keeping the current one: %s", text)
        log.info("configuration reload: %s", self.last.result)
        return self.last

    async def read(self) -> Loaded:
        """Reads and checks the file in a thread, or in the event loop if no thread can be started.

        Raises Unreadable.
        """
        try:
            return await asyncio.to_thread(self.check)
        except RuntimeError as error:
            log.warning("%s: checking the configuration file in the event loop instead of a thread", error)
            return self.check()

    def check(self) -> Loaded:
        """Reads and checks the file; blocks. Raises Unreadable."""
        return check_text(read_text(self.path), str(self.path))

    def apply_if_live(self, loaded: Loaded) -> ReloadResult:
        """Applies a file without errors, if all its changes can be applied while the process runs."""
        now, mistakes = time.time(), errors(loaded.problems)
        if mistakes:
            omitted = [f"and {len(mistakes) - MAX_DETAILS} more"] if len(mistakes) > MAX_DETAILS else []
            return ReloadResult(
                now, "rejected", [str(p).split("\n")[0] for p in mistakes[:MAX_DETAILS]] + omitted
            )
        new = keep_numbering(self.model, loaded.model)
        changed = changes(self.model, new)
        if not changed:
            return ReloadResult(now, "unchanged")
        not_live = startup_only(changed)
        if not_live:
            return ReloadResult(
                now,
                "needs a start",
                [
                    f"{name} can only change at a start, so nothing of this edit is in force"
                    for name in not_live
                ],
            )
        self.apply(new)
        self.model = new
        return ReloadResult(now, "applied", [change.where for change in changed[:MAX_DETAILS]])
