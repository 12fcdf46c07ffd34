"""Structured log records and counters of what happened, to what, and why.

A record is one line of `event=NAME reason=REASON field=value ...`, which any tool that reads logfmt takes
apart. Every record is counted by its name and reason, whether or not its level is logged; the counters are
shown by `rainpier status` and logged now and then (`log_counts`).
"""

import logging
import re
from collections import Counter

log = logging.getLogger("rainpier.events")
COUNTS: Counter[tuple[str, str]] = Counter()  # by name and reason, of this process
PLAIN = re.compile(r"[^\s\"=]+")
MOST_SHOWN = 200  # characters of a value


def record(name: str, reason: str = "", /, *, level: int = logging.INFO, **fields: object) -> None:
    """Count an event, and log it where its level is on.

    `reason`: one of a small, fixed set of words for each name, since it is a key of the counters; what varies
    (ids, error texts) goes into `fields`.
    """
    COUNTS[name, reason] += 1
    if log.isEnabledFor(level):
        told = {"event": name} | ({"reason": reason} if reason else {}) | fields
        log.log(level, "%s", " ".join(f"{key}={shown(value)}" for key, value in told.items()))


def shown(value: object) -> str:
    """A value as logfmt has it: quoted where it holds spaces, quotes or equal signs."""
    text = str(value)[:MOST_SHOWN]
    if PLAIN.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def counts() -> dict[str, int]:
    """All counters, by `name` or `name.reason`."""
    return {f"{name}.{reason}" if reason else name: n for (name, reason), n in sorted(COUNTS.items())}


class Summary:
    """Logs the counters that have changed since the last time, as one record."""

    def __init__(self) -> None:
        self.logged = dict(counts())

    def log_counts(self) -> None:
        now = counts()
        changed = {name: n for name, n in now.items() if n != self.logged.get(name)}
        if changed:
            log.info("event=counters %s", " ".join(f"{name}={n}" for name, n in changed.items()))
        self.logged = now
