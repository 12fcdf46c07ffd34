"""The record of a case: what was sent, answered and run, with times."""

import time
from pathlib import Path


class Record:
    """Writes lines to record.txt, each with the seconds since the case began."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.started

    def write(self, source: str, text: str) -> None:
        """Writes one line and flushes it."""
        self.file.write(f"{self.now:8.3f}  {source:<10} {text}\n")
        self.file.flush()
