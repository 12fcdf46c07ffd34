"""Compares the store with the journal of 0.1.0, SQLite and LMDB, which do the same steps in the same run.

    python benchmarks/store_backings.py [MESSAGES]

Each message is accepted, attempted and completed, as the node does it. Each step is written before the next,
and HELD messages are held at a time. All four promise the same: records survive the end of the process, but
not a crash of the machine. The four alternate, ROUNDS times. SQLite and LMDB only write the rows; the journal
and the store also keep the resulting state in memory.
"""

import os
import sqlite3
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

import lmdb
from journal_0_1 import Entry as JournalEntry
from journal_0_1 import Journal

from rainpier.store.entry import AttemptPlace, Entry
from rainpier.store.files import Folder
from rainpier.store.store import Store

# DISK_LIMIT: bytes of the folder; HELD: messages held at a time; ROUNDS: runs of each backing
DISK_LIMIT, HELD, ROUNDS = 3_000_000, 100, 4
BODY_SIZES = (200, 1024)  # bytes
PLACE = AttemptPlace("north", 1)  # of the attempts


def new_entry(number: int, size: int) -> Entry:
    """Returns a message with a random body of `size` bytes."""
    body = os.urandom(size // 2).hex().encode()
    return Entry(number, f"{number:016x}", "notice", 3, 0, f"{number * 7:016x}", 1.8e12, body, effect=1)


class StoreBacking:
    """The store."""

    name = "store"

    def __init__(self, folder: Path) -> None:
        self.files = CountingFolder(folder)
        self.store = Store(self.files, DISK_LIMIT, 1000.0)

    def accept(self, e: Entry) -> None:
        assert self.store.accept(e)
        self.store.next_number = max(self.store.next_number, e.number + 1)

    def begin(self, e: Entry) -> None:
        assert self.store.record_attempts([e], 2000.0, PLACE)

    def complete(self, e: Entry) -> None:
        self.store.complete([e])
        self.store.reclaim(2000.0)

    def bytes_written(self) -> int:
        return self.files.bytes_written

    def close(self) -> None:
        self.store.close()


class CountingFolder(Folder):
    """A store folder that counts the bytes appended to its files."""

    bytes_written = 0

    def append(self, handle: int, data: bytes) -> int:
        self.bytes_written += len(data)
        return super().append(handle, data)


class JournalBacking:
    """The journal of 0.1.0; counts the bytes appended to its files."""

    name = "journal of 0.1.0"

    def __init__(self, folder: Path) -> None:
        self.journal, self.total = Journal(folder, DISK_LIMIT, 1000.0), 0
        append = Journal.append

        def counting_append(file: int, data: bytes) -> None:
            self.total += len(data)
            append(file, data)

        self.journal.append = counting_append  # type: ignore[method-assign]

    def accept(self, e: Entry) -> None:
        entry = JournalEntry(e.number, e.id, e.cls, e.destination, e.key, e.token, e.deadline, e.body)
        assert self.journal.accept(entry)

    def begin(self, e: Entry) -> None:
        assert self.journal.record_attempts([self.journal.entries[e.number]], 2000.0, 0)

    def complete(self, e: Entry) -> None:
        self.journal.complete([self.journal.entries[e.number]])
        self.journal.reclaim(2000.0)

    def bytes_written(self) -> int:
        return self.total

    def close(self) -> None:
        self.journal.close()


class SqliteBacking:
    """A table with a row for each message, updated by its attempt and deleted by its completion."""

    name = "SQLite (WAL, synchronous off)"

    def __init__(self, folder: Path) -> None:
        self.db = sqlite3.connect(folder / "db", isolation_level=None)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute("pragma synchronous=off")
        self.db.execute("create table m (n integer primary key, head blob, begun real, body blob)")
        self.written_before = process_bytes_written()

    def accept(self, e: Entry) -> None:
        head = f"{e.id},{e.cls},{e.destination},{e.token},{e.deadline}"
        self.db.execute("insert into m values (?, ?, 0, ?)", (e.number, head, e.body))

    def begin(self, e: Entry) -> None:
        self.db.execute("update m set begun = 2000.0 where n = ?", (e.number,))

    def complete(self, e: Entry) -> None:
        self.db.execute("delete from m where n = ?", (e.number,))

    def bytes_written(self) -> int:
        return process_bytes_written() - self.written_before

    def close(self) -> None:
        self.db.close()


class LmdbBacking:
    """A key for each message and one for its attempt; the completion deletes both."""

    name = "LMDB (no sync)"

    def __init__(self, folder: Path) -> None:
        self.env = lmdb.open(str(folder), map_size=64 << 20, sync=False, metasync=False)
        self.written_before = process_bytes_written()

    def put(self, e: Entry, begun: float) -> None:
        """Writes a message in a transaction of its own; `begun`: start of its attempt, Unix ms, 0: none."""
        head = f"{e.id},{e.cls},{e.destination},{e.token},{e.deadline},{begun},".encode()
        with self.env.begin(write=True) as tx:
            tx.put(b"%016x" % e.number, head + e.body)

    def accept(self, e: Entry) -> None:
        self.put(e, 0)

    def begin(self, e: Entry) -> None:
        with self.env.begin(write=True) as tx:
            tx.put(b"b%016x" % e.number, b"2000.0")

    def complete(self, e: Entry) -> None:
        with self.env.begin(write=True) as tx:
            tx.delete(b"%016x" % e.number)
            tx.delete(b"b%016x" % e.number)

    def bytes_written(self) -> int:
        return process_bytes_written() - self.written_before

    def close(self) -> None:
        self.env.close()


def process_bytes_written() -> int:
    """Returns the bytes that this process has passed to write calls, as the kernel counts them."""
    rows = Path("/proc/self/io").read_text().split("\n")
    return int(next(row for row in rows if row.startswith("wchar")).split()[1])


def run(backing: object, first: int, count: int, size: int) -> float:
    """Handles `count` messages, numbered from `first`, with bodies of `size` bytes; returns the time, s."""
    held: deque[Entry] = deque()
    entries = [new_entry(first + n, size) for n in range(count)]
    started = time.perf_counter()
    for e in entries:
        backing.accept(e)  # type: ignore[attr-defined]
        held.append(e)
        if len(held) > HELD:
            oldest = held.popleft()
            oldest.attempts = 1
            backing.begin(oldest)  # type: ignore[attr-defined]
            backing.complete(oldest)  # type: ignore[attr-defined]
    while held:
        oldest = held.popleft()
        oldest.attempts = 1
        backing.begin(oldest)  # type: ignore[attr-defined]
        backing.complete(oldest)  # type: ignore[attr-defined]
    return time.perf_counter() - started


def measure(count: int, size: int) -> str:
    """Prints the rate and the bytes of each backing; returns the store's, relative to the journal's."""
    with tempfile.TemporaryDirectory() as folder:
        backings = []
        for kind in (StoreBacking, JournalBacking, SqliteBacking, LmdbBacking):
            (Path(folder) / kind.__name__).mkdir()
            backings.append(kind(Path(folder) / kind.__name__))
        times, sizes = dict.fromkeys(backings, 0.0), dict.fromkeys(backings, 0)
        for turn in range(ROUNDS):
            for backing in backings:
                before = backing.bytes_written()
                times[backing] += run(backing, 1 + turn * count, count // ROUNDS, size)
                sizes[backing] += backing.bytes_written() - before
        for backing in backings:
            backing.close()
    print(f"bodies of {size} bytes, {count} messages")
    for backing in backings:
        # three records for each message: accepted, attempted, completed
        rate, bytes_a_message = 3 * count / times[backing], sizes[backing] / count
        print(f"  {backing.name:<32} {rate:>9.0f} records/s  {bytes_a_message:>7.0f} bytes written a message")
    store, journal = backings[0], backings[1]
    faster, smaller = times[journal] / times[store], sizes[store] / sizes[journal]
    return f"{faster:.1f} times the records a second, {smaller:.2f} of the bytes"


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    results = [f"{size} bytes: {measure(count, size)}" for size in BODY_SIZES]
    print("against the journal of 0.1.0, bodies of " + "; ".join(results))


if __name__ == "__main__":
    main()
