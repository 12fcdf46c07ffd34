"""The store's only access to the disk: a few calls, so that a test can make each of them fail."""

import fcntl
import logging
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from ..observe.events import record
from ..startup import ResourceContended


class FolderInUse(Exception):
    """Another process has locked the folder; the text names its process id."""


class FolderContended(ResourceContended):
    """A FolderInUse, its cause, as a failure that a start retries for a limited time."""


class Files(Protocol):
    """The calls on one flat folder. Each may raise OSError, and `append` may write only part of its data."""

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        ...

    def create(self, name: str) -> int:
        """Creates an empty file, replacing one of that name; returns its handle."""
        ...

    def append(self, handle: int, data: bytes) -> int:
        """Appends to a file; returns the number of bytes written."""
        ...

    def truncate(self, handle: int, size: int) -> None:
        """Cuts a file to `size` bytes."""
        ...

    def sync(self, handle: int) -> None:
        """Returns once the content of a file is on the disk."""
        ...

    def close(self, handle: int) -> None:
        """Closes a file; never raises, since the descriptor is released even if close() fails."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one that has the new name."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file, if it is there."""
        ...

    def sync_folder(self) -> None:
        """Returns once all created, renamed and removed names are on the disk."""
        ...

    def lock(self) -> None:
        """Locks the folder until `unlock` or the end of the process. Raises FolderInUse."""
        ...

    def unlock(self) -> None:
        """Releases the lock, if it is held."""
        ...


class Folder:
    """Implements Files on a folder of the file system."""

    def __init__(self, path: Path) -> None:
        self.path, self.lock_handle = path, -1

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def create(self, name: str) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.path / name, flags, 0o600)

    def append(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def truncate(self, handle: int, size: int) -> None:
        os.ftruncate(handle, size)

    def sync(self, handle: int) -> None:
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        try:
            os.close(handle)
        except OSError as error:
            record("store_call_failed", "close", level=logging.WARNING, error=error)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        (self.path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            self.close(handle)

    def lock(self) -> None:
        self.lock_handle = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock_handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            holder = self.lock_holder()
            self.unlock()
            raise FolderInUse(f"{str(self.path)!r} is used by process {holder}") from error
        except OSError:
            self.unlock()
            raise
        with suppress(OSError):  # on a full disk the process id can't be written, but the lock is held
            os.ftruncate(self.lock_handle, 0)
            os.pwrite(self.lock_handle, b"%d\n" % os.getpid(), 0)

    def lock_holder(self) -> str:
        """Returns the process id in the lock file, or `unknown`."""
        try:
            return os.pread(self.lock_handle, 32, 0).decode("ascii", "replace").strip() or "unknown"
        except OSError:
            return "unknown"

    def unlock(self) -> None:
        handle, self.lock_handle = self.lock_handle, -1
        if handle >= 0:
            self.close(handle)
