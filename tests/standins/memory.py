"""Memory of other processes, from proc(5)."""

import re
from pathlib import Path


def memory_of(pid: int) -> tuple[int, int]:
    """Returns the resident memory of a process now and at its highest, in bytes; zeros once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0, 0
    found = [re.search(rf"{name}:\s+(\d+) kB", status) for name in ("VmRSS", "VmHWM")]
    return (int(found[0][1]) << 10, int(found[1][1]) << 10) if all(found) else (0, 0)
