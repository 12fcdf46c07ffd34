"""One timeline for all processes of a sender, that steps of the wall clock don't move.

Deadlines, repeat windows and waits are kept in ms of a timeline that began as Unix time, with the first
process. A process takes it up from the last one's anchor, by the time that has gone by on the monotonic
clock, which runs on between the processes of one boot. Over a reboot, or where the boot can't be told,
there is no such clock: the wall clock has to do, and what it may have done is weighed in State.clock.
"""

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_SIZE = 16  # bytes
READ_TRIES = 5


@dataclass(frozen=True, slots=True)
class Reading:
    """The monotonic clock, ms, and the boot that it belongs to; no boot: it can't be told."""

    monotonic: float
    boot: bytes

    @classmethod
    def take(cls) -> "Reading":
        return cls(time.monotonic() * 1000, boot_id())


@dataclass(frozen=True, slots=True)
class Anchor:
    """Where the timeline stood at a reading of the monotonic clock."""

    timeline: float  # ms
    reading: Reading

    def at(self, reading: Reading) -> float | None:
        """Where it stands at another reading; None where that is not of the same boot."""
        span = reading.monotonic - self.reading.monotonic
        same = bool(reading.boot) and reading.boot == self.reading.boot
        return self.timeline + span if same and span >= 0 else None


def boot_id() -> bytes:
    """Names this boot of the machine; empty where the system does not tell."""
    for _ in range(READ_TRIES):
        try:
            found = bytes.fromhex(BOOT_ID.read_text().strip().replace("-", ""))
        except (OSError, ValueError):
            continue
        return found if len(found) == BOOT_ID_SIZE else b""
    return b""
