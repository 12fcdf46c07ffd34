"""The longest pause of the event loop by compaction, the recovery time and the memory, by the live bytes.

    python benchmarks/store_pauses.py [MB ...]

Held messages with bodies of 4 KiB fill the store. Then up to 20,000 more are accepted, attempted and
completed; a round does this for one of them and reclaims, as the node's round does. The journal of 0.1.0
does the same.
"""

import gc
import os
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from journal_0_1 import Entry as JournalEntry
from journal_0_1 import Journal

from rainpier.store.entry import AttemptPlace, Entry
from rainpier.store.files import Folder
from rainpier.store.store import Store

BODY_SIZE = 4096  # bytes
MB = 1_000_000
PLACE = AttemptPlace("north", 1)  # of the attempts; the journal has the position of a zone


def new_entry(entry_type: type, number: int) -> Entry | JournalEntry:
    """Returns a message with a body of BODY_SIZE bytes."""
    return entry_type(
        number, f"{number:016x}", "notice", 3, 0, f"{number:016x}", 9e12, os.urandom(BODY_SIZE // 2) * 2
    )


def run_rounds(backing: Store | Journal, entry_type: type, first: int, count: int) -> list[float]:
    """Accepts, attempts and completes messages numbered from `first`; returns the time of each round, s."""
    times = []
    for n in range(count):
        entry = new_entry(entry_type, first + n)
        started = time.perf_counter()
        assert backing.accept(entry)
        entry.attempts = 1
        assert backing.record_attempts([entry], 2000.0, PLACE if isinstance(backing, Store) else 0)
        backing.complete([entry])
        backing.reclaim(2000.0)
        times.append(time.perf_counter() - started)
    return times


def measure(live: int) -> tuple[float, float]:
    """Holds bodies of `live` bytes; returns the longest round of the store and that of the journal, s."""
    # the disk limit: the bodies are 28 % of it, just below what the store accepts (LIVE_SHARE)
    count, disk = live // BODY_SIZE, int(live * 3.6)

    def open_store(folder: Path) -> Store:
        return Store(Folder(folder), disk, 1000.0)

    longest = {}
    for name in ("store", "journal"):
        with tempfile.TemporaryDirectory() as folder:
            open_backing = open_store if name == "store" else lambda f: Journal(f, disk, 1e3)
            entry_type = Entry if name == "store" else JournalEntry
            backing = open_backing(Path(folder))
            gc.collect()
            tracemalloc.start()
            for n in range(1, count + 1):
                assert backing.accept(new_entry(entry_type, n))
                backing.reclaim(1000.0)
            overhead = tracemalloc.get_traced_memory()[0] / count - BODY_SIZE
            tracemalloc.stop()
            gc.collect()
            gc.freeze()  # pauses of the garbage collector are the program's, whichever store it uses
            # twice the disk limit in new bodies, but between 2,000 and 20,000 of them
            times = sorted(
                run_rounds(backing, entry_type, count + 1, min(20_000, max(2000, 2 * disk // BODY_SIZE)))
            )
            longest[name] = times[-1]
            relocated = backing.relocated_records if name == "store" else 0
            backing.close()
            started = time.perf_counter()
            recovered = open_backing(Path(folder))
            recovery = time.perf_counter() - started
            assert len(recovered.entries) == count
            recovered.close()
            gc.unfreeze()
            print(f"{live / MB:.0f} MB live in the {name}: longest round {times[-1] * 1000:.1f} ms, 99.9 % "
                  f"{times[int(len(times) * 0.999)] * 1000:.2f} ms, {relocated} records relocated; "
                  f"recovery {recovery:.2f} s; {overhead:.0f} bytes a message besides its body")  # fmt: skip
    return longest["store"], longest["journal"]


def main() -> None:
    results = []
    for size in [float(argument) for argument in sys.argv[1:]] or [1.0, 10.0, 100.0]:
        store, journal = measure(int(size * MB))
        results.append(f"{size:.0f} MB {store * 1000:.1f} ms ({journal * 1000:.0f})")
    print("longest round of the store (the journal): " + ", ".join(results))


if __name__ == "__main__":
    main()
