"""One timeline for all processes of a sidecar that steps of the wall clock do not move.

Deadlines, repeat windows and retry-after deadlines are kept in ms of a timeline that began as Unix time when
the first process started. Each later process continues it from the last process's anchor, by the time that
has passed on the monotonic clock, which keeps running between the processes of one boot. After a reboot, or
where the boot cannot be identified, no such clock is available: the wall clock is used instead, and
State.apply_start_time handles a wall clock that was set back.
"""

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_SIZE = 16  # bytes
BOOT_ID_READ_ATTEMPTS = 5  # in a row, while the file can't be read or holds no hexadecimal id


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the monotonic clock, and the boot of the machine that it belongs to."""

    monotonic: float  # ms
    boot: bytes  # boot id; empty: unknown

    @classmethod
    def now(cls) -> "ClockReading":
        """Reads the monotonic clock and the boot id."""
        return cls(time.monotonic() * 1000, boot_id())


@dataclass(frozen=True, slots=True)
class ClockAnchor:
    """The timeline's time at one reading of the monotonic clock."""

    timeline: float  # ms
    reading: ClockReading

    def timeline_at(self, reading: ClockReading) -> float | None:
        """Returns the timeline's time at another reading, ms.

        None if that is of another or an unknown boot, or earlier.
        """
        elapsed = reading.monotonic - self.reading.monotonic
        same_boot = bool(reading.boot) and reading.boot == self.reading.boot
        return self.timeline + elapsed if same_boot and elapsed >= 0 else None


def boot_id() -> bytes:
    """Returns the id of the machine's current boot; empty if the system does not provide one."""
    for _ in range(BOOT_ID_READ_ATTEMPTS):
        try:
            found = bytes.fromhex(BOOT_ID_FILE.read_text().strip().replace("-", ""))
        except (OSError, ValueError):
            continue
        return found if len(found) == BOOT_ID_SIZE else b""
    return b""
