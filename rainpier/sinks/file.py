"""Completions as JSON lines in a file that is rotated by size.

A completion counts as delivered once its whole line is written. If the process dies before the store has
recorded that, the next process finds the line (see `recover`), so that each completion is in the file once.
Other programs may rename the file at any time: the next line goes to a new file.
"""

import asyncio
import errno
import json
import logging
import os
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

from ..store.entry import Entry
from .sink import CompletionSink, notification

log = logging.getLogger(__name__)
TAIL_SIZE = 4 << 20  # bytes at the end of a file that are searched for lines that were written before
LOG_INTERVAL = 10.0  # s between log lines about a file that can't be written


def encode_line(entry: Entry, destination_number: int, now: float) -> bytes:
    """Encodes a completion: the fields of the notification, and further ones for operators.

    `destination_number`: by which clients call the destination. `now`: Unix time in s.
    """
    fields = notification(entry) | {
        "class": entry.cls, "destination": destination_number, "attempts": entry.attempts,
        "may_have_run": bool(entry.risky_at), "at": round(now, 3),
    }  # fmt: skip
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class FileSink(CompletionSink):
    """Appends to the file `path`, which is renamed to `path.1` at `rotate_at` bytes.

    `keep`: number of old files that are kept.
    """

    def __init__(self, path: Path, rotate_at: int, keep: int) -> None:
        super().__init__()
        self.path, self.rotate_at, self.keep = path, rotate_at, keep
        # descriptor (-1: closed); whether its last line is torn; when an error was last logged, monotonic s
        self.file, self.torn, self.logged_at = -1, False, -LOG_INTERVAL
        self.partly_written = False  # some lines of a failed batch may be in the file
        # ids whose completions are in the file already; removed when the completion counts as delivered
        self.written_ids: set[str] = set()

    # --- the file ---

    def rotated_path(self, number: int) -> Path:
        """Returns the path of an old file; 0: the current one."""
        return self.path.with_name(f"{self.path.name}.{number}") if number else self.path

    def open(self) -> None:
        """Opens the file. A torn last line is terminated by the next write. Raises OSError."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        size = os.fstat(self.file).st_size
        self.torn = size > 0 and os.pread(self.file, 1, size - 1) != b"\n"

    def close_file(self) -> None:
        """Closes the file, if it is open."""
        file, self.file = self.file, -1
        if file >= 0:
            with suppress(OSError):  # the descriptor is released even if close fails
                os.close(file)

    def close(self) -> None:
        """Stops the delivery and closes the file."""
        super().close()
        self.close_file()

    def ensure_open(self) -> None:
        """Reopens a file that was renamed or removed; rotates one that is too long. Raises OSError."""
        if self.file >= 0:
            try:
                at_path = os.stat(self.path)
            except FileNotFoundError:
                at_path = None
            opened = os.fstat(self.file)
            if at_path is None or (at_path.st_dev, at_path.st_ino) != (opened.st_dev, opened.st_ino):
                self.close_file()  # renamed or removed
        if self.file < 0:
            self.open()
        if os.fstat(self.file).st_size >= self.rotate_at:
            self.rotate()

    def rotate(self) -> None:
        """Renames the files to the next number, drops the oldest and opens a new file. Raises OSError."""
        self.close_file()
        if self.keep == 0:
            self.path.unlink(missing_ok=True)
        for number in range(self.keep, 0, -1):
            newer = self.rotated_path(number - 1)
            if newer.exists():
                os.replace(newer, self.rotated_path(number))
        self.open()

    # --- completions ---

    def recover(self, ids: Iterable[str]) -> None:
        """Looks up which completions with these ids an earlier process wrote already. Raises OSError."""
        wanted = set(ids)
        for path in (self.path, self.rotated_path(1)) if wanted else ():
            if path.exists():
                with path.open("rb") as file:
                    self.written_ids |= self.find_ids(file.fileno(), wanted)

    @staticmethod
    def find_ids(file: int, wanted: set[str]) -> set[str]:
        """Returns the wanted ids in whole lines of the last TAIL_SIZE bytes of a file. Raises OSError.

        A last line that lacks only its end counts: `write` terminates it.
        """
        size = os.fstat(file).st_size
        tail = os.pread(file, TAIL_SIZE, max(0, size - TAIL_SIZE))
        found = set()
        for row in tail.split(b"\n"):
            try:
                found.add(str(json.loads(row)["message"]))
            except (ValueError, KeyError, TypeError):
                continue
        return found & wanted

    async def deliver(self, batch: list[Entry]) -> bool:
        """Appends the completions that are not in the file yet; False if it cannot be written."""
        now = time.time()
        try:
            if self.partly_written:  # the failed batch may have left whole lines in the file
                # Before the file is opened anew: another program may have renamed the one with the lines.
                self.written_ids |= self.find_ids(self.file, {entry.id for entry in batch})
                self.write(b"")
                self.partly_written = False
            self.ensure_open()
            new_entries = [entry for entry in batch if entry.id not in self.written_ids]
            lines = (
                encode_line(entry, self.destination_number(entry.destination), now) for entry in new_entries
            )
            self.write(b"".join(lines))
        except OSError as error:
            if time.monotonic() - self.logged_at > LOG_INTERVAL:
                self.logged_at = time.monotonic()
                log.error("completion sink: can't write %s: %s; retrying until it succeeds", self.path, error)
            return False
        self.written_ids.difference_update(entry.id for entry in batch)
        await asyncio.sleep(0)  # lets other tasks run between two batches
        return True

    def write(self, data: bytes) -> None:
        """Appends a batch as a whole: on failure, what was written of it is truncated. Raises OSError.

        Terminates a torn last line first, also if `data` is empty.
        """
        if not data and not self.torn:
            return
        size_before, torn_before = os.fstat(self.file).st_size, self.torn
        unwritten = b"\n" * torn_before + data
        try:
            while unwritten:
                written = os.write(self.file, unwritten)
                if not written:
                    raise OSError(errno.EIO, f"wrote 0 of {len(unwritten)} bytes")
                unwritten = unwritten[written:]
        except OSError:
            self.torn = self.partly_written = True  # until the written part is truncated away
            os.ftruncate(self.file, size_before)
            self.torn, self.partly_written = torn_before, False
            raise
        self.torn = False
