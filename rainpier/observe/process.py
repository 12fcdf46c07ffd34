"""Memory and file descriptors that this process uses, as the operating system counts them."""

import os
import re
from dataclasses import dataclass

STATUS_FILE, DESCRIPTOR_FOLDER = "/proc/self/status", "/proc/self/fd"  # proc(5)
RESIDENT = re.compile(rb"^VmRSS:\s+(\d+) kB$", re.MULTILINE)
PEAK = re.compile(rb"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Resident memory in bytes: now, and its highest value since the start. 0 where it can't be read."""

    resident: int
    peak: int


def memory_use() -> MemoryUse:
    """Reads the memory that the process uses."""
    try:
        with open(STATUS_FILE, "rb") as file:
            status = file.read()
    except OSError:
        return MemoryUse(0, 0)
    return MemoryUse(kilobytes(RESIDENT, status), kilobytes(PEAK, status))


def kilobytes(pattern: re.Pattern[bytes], status: bytes) -> int:
    """Returns the value that the pattern finds, in bytes; 0 if there is none."""
    found = pattern.search(status)
    return int(found[1]) * 1024 if found else 0


def open_descriptors() -> int:
    """Returns the number of open file descriptors; 0 where it can't be read."""
    try:
        return len(os.listdir(DESCRIPTOR_FOLDER)) - 1  # without the one that lists the folder
    except OSError:
        return 0
