"""Structured log records, and counters by event and reason.

A record is one line of `event=NAME reason=REASON field=value ...`, which any parser of logfmt reads. Every
record is counted by its name and reason, whether or not its level is logged. `rainpier status` shows the
counters, and they are logged at intervals (`CounterLogger.log_counts`). A gauge is a value that goes up and
down, such as the memory that the process uses; gauges are shown and logged beside the counters.
"""

import logging
import re
from collections import Counter
from collections.abc import Callable

log = logging.getLogger("rainpier.events")
COUNTS: Counter[tuple[str, str]] = Counter()  # by name and reason, since this process started
GAUGES: dict[str, Callable[[], int]] = {}  # by name: the function that reads the current value
UNQUOTED = re.compile(r"[^\s\"=]+")
MAX_VALUE_LENGTH = 200  # characters; longer values are truncated


def record(name: str, reason: str = "", /, *, level: int = logging.INFO, **fields: object) -> None:
    """Counts an event, and logs it if its level is enabled.

    `reason`: one of a small, fixed set of words for each name, since it is a key of the counters. Values that
    vary (ids, error texts) go into `fields`.
    """
    COUNTS[name, reason] += 1
    if log.isEnabledFor(level):
        pairs = {"event": name} | ({"reason": reason} if reason else {}) | fields
        log.log(level, "%s", " ".join(f"{key}={logfmt_value(value)}" for key, value in pairs.items()))


def logfmt_value(value: object) -> str:
    """Formats a value for logfmt: quoted if it holds spaces, quotes or equal signs."""
    text = str(value)[:MAX_VALUE_LENGTH]
    if UNQUOTED.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def counts() -> dict[str, int]:
    """Returns all counters, by `name` or `name.reason`."""
    return {f"{name}.{reason}" if reason else name: n for (name, reason), n in sorted(COUNTS.items())}


def register_gauge(name: str, read: Callable[[], int]) -> None:
    """Adds a gauge, or replaces the one of that name. The unit is part of the name, such as `_bytes`."""
    GAUGES[name] = read


def gauges() -> dict[str, int]:
    """Returns the current values of all gauges, by name."""
    return {name: read() for name, read in GAUGES.items()}


class CounterLogger:
    """Logs the gauges, and the counters that have changed since the previous call."""

    def __init__(self) -> None:
        self.logged = dict(counts())

    def log_counts(self) -> None:
        """Logs the gauges in one record, and in another the counters with a new value, if there are any."""
        if current_gauges := gauges():
            log.info("event=gauges %s", " ".join(f"{name}={value}" for name, value in current_gauges.items()))
        current = counts()
        changed = {name: n for name, n in current.items() if n != self.logged.get(name)}
        if changed:
            log.info("event=counters %s", " ".join(f"{name}={n}" for name, n in changed.items()))
        self.logged = current
