"""Records the rounds of a sender, and replays its decisions from the record.

A record is a file of JSON lines. The first holds the settings and the seed, each further one a round: its
time, its events, the number of its actions, and their checksum. Decisions depend on nothing else, so `replay`
restores the whole state of the policy at any round, and detects actions that differ from the recorded ones.
Bodies are not recorded, since the policy never sees them.
"""

import json
import logging
import os
import time
import types
import typing
import zlib
from collections.abc import Iterator, Sequence
from contextlib import suppress
from dataclasses import fields, is_dataclass
from enum import IntEnum
from functools import cache
from pathlib import Path

from .. import interface as i
from ..policy import Sender

log = logging.getLogger(__name__)
MAX_RECORD_BYTES = 256 << 20  # recording ends with the line that exceeds this
EVENT_TYPES = {cls.__name__: cls for cls in typing.get_args(i.Event)}


class RecordError(Exception):
    """Raised for a record that can't be read or that another build wrote; the text names the line."""


def encode(value: object) -> object:
    """Converts a value for JSON: dataclasses to lists of their fields in order, sets to sorted lists."""
    if is_dataclass(value):
        return [encode(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, tuple):
        return [encode(item) for item in value]
    return sorted(value) if isinstance(value, frozenset) else value


@cache
def field_types(cls: type) -> list[object]:
    """Returns the types of a dataclass's fields in order."""
    hints = typing.get_type_hints(cls)
    return [hints[field.name] for field in fields(cls)]


def decode(value_type: object, encoded: object) -> object:
    """Restores a value of that type from what `encode` returned for it."""
    if isinstance(value_type, types.UnionType):
        value_type = next(arg for arg in typing.get_args(value_type) if arg is not type(None))
        return None if encoded is None else decode(value_type, encoded)
    origin = typing.get_origin(value_type)
    if origin in (tuple, frozenset):
        item_type = typing.get_args(value_type)[0]
        return origin(decode(item_type, item) for item in encoded)
    if isinstance(value_type, type) and issubclass(value_type, IntEnum):
        return value_type(encoded)
    if is_dataclass(value_type):
        return value_type(
            *(
                decode(field_type, item)
                for field_type, item in zip(field_types(value_type), encoded, strict=True)
            )
        )
    return encoded


def count_and_checksum(actions: Sequence[i.Action]) -> list[int]:
    """Returns the number of actions and the CRC-32 of their repr."""
    return [len(actions), zlib.crc32(repr(actions).encode())]


class Recorder:
    """Wraps a sender: forwards everything to it, and records its rounds in a file in `folder`."""

    def __init__(self, sender: Sender, folder: Path) -> None:
        self.sender, self.bytes_written = sender, 0
        self.file: typing.TextIO | None = None
        name = f"{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{os.getpid()}.jsonl"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            # Line-buffered, so that a killed process leaves all its complete lines.
            self.file = (folder / name).open("w", buffering=1)
        except OSError as error:
            log.error("decisions are not recorded: cannot open a file in %s: %s", folder, error)
        self.write_row([encode(sender.settings), sender.seed])

    def __getattr__(self, name: str) -> object:
        """Returns the sender's attribute, for all that the recorder does not have itself."""
        return getattr(self.sender, name)

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Lets the sender handle a round at `now` (ms), and records it."""
        actions = self.sender.handle(now, events)
        self.write_row(
            [now, [[type(event).__name__, *encode(event)] for event in events], *count_and_checksum(actions)]
        )
        return actions

    def write_row(self, row: list) -> None:
        """Appends a line. A write error or the size limit ends the recording, and never the deliveries."""
        if self.file is None:
            return
        line = json.dumps(row, separators=(",", ":")) + "\n"
        self.bytes_written += len(line)
        try:
            self.file.write(line)
            if self.bytes_written <= MAX_RECORD_BYTES:
                return
        except OSError as error:
            log.error("recording of decisions ended at byte %d: %s", self.bytes_written, error)
        with suppress(OSError):  # close() writes the rest of the buffer, which fails in the same way
            self.file.close()
        self.file = None


def replay(path: Path) -> Iterator[tuple[float, list[i.Event], Sender, list[i.Action]]]:
    """Yields each round: its time in ms, its events, the sender after it, and its actions.

    Raises RecordError where a line can't be read or the actions differ from the recorded ones.
    """
    sender: Sender | None = None
    with path.open() as file:
        for number, line in enumerate(file, 1):
            try:
                row = json.loads(line)
                if sender is None:
                    sender = Sender(typing.cast(i.Settings, decode(i.Settings, row[0])), row[1])
                    continue
                now, encoded, *recorded = row
                events = [typing.cast(i.Event, decode(EVENT_TYPES[name], rest)) for name, *rest in encoded]
            except (ValueError, KeyError, TypeError, IndexError) as error:
                if not line.endswith("\n"):
                    return  # incomplete last line: the process was killed while it wrote
                text = f"{path}:{number}: can't be read: {error!r}; is it of this version?"
                raise RecordError(text) from error
            actions = sender.handle(now, events)
            if count_and_checksum(actions) != recorded:
                raise RecordError(
                    f"{path}:{number}: actions differ from the recorded ones (count, checksum: {recorded}); "
                    "is it of this version?"
                )
            yield now, events, sender, actions
