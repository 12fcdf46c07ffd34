"""The journal of version 0.1.0, kept as the baseline of store_backings.py and store_pauses.py.

An append-only file with one record a line. A line is the CRC-32 of its JSON, a space, and the JSON: a list
that begins with the record's kind. A record is written before the step that it covers. Nothing is synced: the
file survives the end of the process, but not necessarily a crash of the machine.
"""

import base64
import json
import logging
import math
import os
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from rainpier.interface import Outcome

log = logging.getLogger(__name__)
# Share of the disk limit for the records of live messages, so that a rewritten file fits beside the old one.
LIVE_SHARE = 0.4
REWRITE_SHARE = 0.5  # of the disk limit: a longer file is rewritten
PROGRESS_SIZE = 120  # bytes by which a message's record may grow with its attempts
# Bytes for the remembered id of a completed message, and the share of the disk limit for all of them.
COMPLETED_ID_SIZE = 60
COMPLETED_IDS_SHARE = 0.05


@dataclass(slots=True)
class Entry:
    """An accepted message and its progress. Times are Unix time in ms."""

    number: int  # ascending in order of acceptance; identifies the message inside the sidecar
    id: str
    cls: str
    destination: int
    key: int  # 0: unordered
    token: str  # idempotency key
    deadline: float
    body: bytes
    attempts: int = 0
    begun: float = 0.0  # start of the attempt that has no outcome yet; 0: none
    begun_zone: int = 0
    risky_at: float = 0.0  # start of the first attempt that may have run; 0: none
    risky_zone: int = 0
    end: str = ""  # the decided final status, which the completion notification carries
    retry: int = 0  # ms after which the client may submit again, sent with the final status

    def record_outcome(self, outcome: Outcome) -> None:
        """Closes the open attempt with this outcome."""
        if not outcome.never_ran and not self.risky_at:
            self.risky_at, self.risky_zone = self.begun, self.begun_zone
        self.begun = 0.0

    def to_record(self) -> list:
        """Returns the record that accepts the message, with its progress so far."""
        body = base64.b64encode(self.body).decode()
        return ["take", self.number, self.id, self.cls, self.destination, self.key, self.token, self.deadline,
                body, self.attempts, self.begun, self.begun_zone, self.risky_at, self.risky_zone, self.end,
                self.retry]  # fmt: skip


def encode_line(record: list) -> bytes:
    """Encodes a record with its checksum as a line."""
    text = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def parse_line(text: bytes) -> list:
    """Returns the record in a line. Raises ValueError if the line is damaged."""
    checksum, _, payload = text.partition(b" ")
    if int(checksum, 16) != zlib.crc32(payload):
        raise ValueError("checksum differs")
    return json.loads(payload)


class Journal:
    """The messages that are not completed yet. Each change is appended to the file before it is applied."""

    def __init__(self, folder: Path, disk: int, now: float) -> None:
        """`disk`: limit of the folder, bytes; `now`: Unix time, ms."""
        self.path, self.temporary_path, self.disk_limit = folder / "journal", folder / "journal.new", disk
        self.max_completed_ids = int(COMPLETED_IDS_SHARE * disk / COMPLETED_ID_SIZE)
        self.entries: dict[int, Entry] = {}
        self.numbers: dict[str, int] = {}  # by message id
        # by id of a completed message: until when it must not be accepted again, Unix ms
        self.completed_until: dict[str, float] = {}
        self.entry_sizes: dict[int, int] = {}  # by message number: its part of live_bytes
        # live_bytes: of the records of all incomplete messages
        # torn_tail: the last write failed, and may have left part of a line
        self.live_bytes, self.file_size, self.torn_tail, self.next_number = 0, 0, False, 1
        self.file = -1
        # The file may be there, incomplete, after a crash during a rewrite.
        self.temporary_path.unlink(missing_ok=True)
        if self.path.exists():
            self.replay(self.path.read_bytes())
        self.rewrite(now)  # otherwise the next record would be appended to a torn line

    def replay(self, data: bytes) -> None:
        """Applies all intact lines of a journal; logs the damaged ones and a torn tail."""
        lines = data.split(b"\n")
        torn_tail = lines.pop()
        for line_number, text in enumerate(lines, 1):
            try:
                self.apply(parse_line(text))
            except (ValueError, KeyError, IndexError, TypeError) as error:
                if text:
                    log.error("journal: skipped damaged line %d: %s", line_number, error)
        if torn_tail:
            log.warning("journal: skipped a torn record at the end of the file")

    def apply(self, record: list) -> None:
        """Applies a record. Raises ValueError, KeyError, IndexError or TypeError if it is malformed."""
        kind, *fields = record
        if kind == "take":
            *leading, body = fields[:8]
            entry = Entry(*leading, base64.b64decode(body), *fields[8:])
            self.entries[entry.number], self.numbers[entry.id] = entry, entry.number
            self.next_number = max(self.next_number, entry.number + 1)
            self.entry_sizes[entry.number] = len(body) + len(entry.id) + PROGRESS_SIZE
            self.live_bytes += self.entry_sizes[entry.number]
        elif kind == "seen":
            self.completed_until[fields[0]] = fields[1]
        elif kind == "next":
            self.next_number = max(self.next_number, fields[0])
        elif kind == "begin":
            for number, attempts in fields[2]:
                entry = self.entries[number]
                entry.attempts, entry.begun, entry.begun_zone = attempts, fields[0], fields[1]
        elif kind == "result":
            self.entries[fields[0]].record_outcome(Outcome(fields[1]))
        elif kind == "end":
            entry = self.entries[fields[0]]
            entry.end, entry.retry = fields[1], fields[2]
        elif kind == "over":
            for number in fields:
                self.forget(number)
        else:
            raise ValueError(f"unknown kind {kind!r}")

    def forget(self, number: int) -> None:
        """Drops a completed message; its id is remembered until the message's deadline."""
        if entry := self.entries.pop(number, None):
            self.live_bytes -= self.entry_sizes.pop(number)
            self.numbers.pop(entry.id, None)
            self.completed_until[entry.id] = entry.deadline
            if len(self.completed_until) > self.max_completed_ids:
                del self.completed_until[next(iter(self.completed_until))]

    def has_room(self, body: bytes) -> bool:
        """Whether one more message can be accepted and the file still be rewritten beside the old one."""
        # 4 / 3: the body is stored in base64
        need = len(body) * 4 / 3 + PROGRESS_SIZE + len(self.completed_until) * COMPLETED_ID_SIZE
        return self.live_bytes + need <= LIVE_SHARE * self.disk_limit

    def accept(self, entry: Entry) -> bool:
        """Records a new message. False: it is not accepted."""
        return self.write([entry.to_record()])

    def record_attempts(self, entries: Iterable[Entry], now: float, zone: int) -> bool:
        """Records attempts before they are sent. False: they must not be sent."""
        return self.write([["begin", now, zone, [[e.number, e.attempts] for e in entries]]])

    def record_outcomes(self, outcomes: list[tuple[Entry, Outcome]]) -> None:
        """Records outcomes of attempts after which the messages are not completed yet."""
        held = [(entry.number, int(outcome)) for entry, outcome in outcomes if entry.number in self.entries]
        self.write([["result", *result] for result in held], mandatory=True)

    def record_final_status(self, entry: Entry, end: str, retry: int) -> None:
        """Records the decided final status; `retry`: ms after which the client may submit again."""
        self.write([["end", entry.number, end, retry]], mandatory=True)

    def complete(self, entries: list[Entry]) -> None:
        """Drops messages that were delivered or whose final status was received, and remembers their ids."""
        self.write([["over", *(entry.number for entry in entries)]], mandatory=True)

    def write(self, records: list[list], mandatory: bool = False) -> bool:
        """Appends records and applies them. False: the disk refused them; the OSError is logged here.

        `mandatory` records are applied even then.
        """
        if not records:
            return True
        # a line break first, if a torn line stands at the end of the file
        data = b"\n" * self.torn_tail + b"".join(encode_line(record) for record in records)
        written = True
        try:
            self.append(self.file, data)
            self.torn_tail = False
        except OSError as error:
            log.error("journal: %d records of %d bytes were not written: %s", len(records), len(data), error)
            written, self.torn_tail = False, True
        self.file_size += len(data)
        if written or mandatory:
            for record in records:
                self.apply(record)
        return written

    @staticmethod
    def append(file: int, data: bytes) -> None:
        """Appends until all data is written. Raises OSError."""
        while data:
            data = data[os.write(file, data) :]

    def reclaim(self, now: float) -> None:
        """Rewrites the file if it is longer than REWRITE_SHARE of the disk limit."""
        if self.file_size > REWRITE_SHARE * self.disk_limit:
            self.rewrite(now)

    def rewrite(self, now: float) -> None:
        """Replaces the file by one that holds only the live messages and the unexpired ids.

        The new file is written under a temporary name and renamed once it is complete. If that fails, the old
        one stays in use and the error is logged; at the start, where none is open, the OSError is raised.
        """
        self.completed_until = {name: until for name, until in self.completed_until.items() if until > now}
        records = [["next", self.next_number], *(["seen", *item] for item in self.completed_until.items())]
        data = b"".join(encode_line(r) for r in [*records, *(e.to_record() for e in self.entries.values())])
        try:
            file = os.open(self.temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                self.append(file, data)
                os.replace(self.temporary_path, self.path)
            except OSError:
                os.close(file)
                self.temporary_path.unlink(missing_ok=True)
                raise
        except OSError as error:
            if self.file < 0:
                raise
            log.error("journal: the file of %d bytes was not rewritten: %s", self.file_size, error)
            return
        self.close()
        self.file, self.file_size, self.torn_tail = file, len(data), False

    def is_known(self, message_id: str, now: float) -> bool:
        """Whether this id is held, or completed and remembered, so that it must not be accepted again."""
        return message_id in self.numbers or self.completed_until.get(message_id, -math.inf) > now

    def close(self) -> None:
        """Closes the file, if it is open."""
        if self.file >= 0:
            os.close(self.file)
            self.file = -1
