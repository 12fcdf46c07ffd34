"""Reads the journal of version 0.1.0, one file of JSON lines, into a State. Does no I/O.

A line is the CRC-32 of its JSON, a space, and the JSON: a list that begins with the record's kind. A damaged
line may have recorded the start of an attempt of any message before it, so all of those count as having run,
as in recovery.py.
"""

import base64
import json
import zlib

from ..interface import Outcome
from .destinations import decode
from .entry import UNKNOWN_PLACE, Entry
from .recovery import Finding
from .state import UNKNOWN_TIME, State

JOURNAL_FILE = "journal"


def parse_line(text: bytes) -> list:
    """Returns the record in a line: its kind and fields. Raises ValueError if the line is damaged."""
    checksum, _, payload = text.partition(b" ")
    if int(checksum, 16) != zlib.crc32(payload):
        raise ValueError("checksum differs")
    return json.loads(payload)


def decode_entry(fields: list) -> Entry:
    """Decodes the fields of a "take": those of an entry, and its progress where it has any.

    The journal has positions of zones, in a list that is not known any more.
    """
    *leading, body = fields[:8]
    attempts, begun, _, risky_at, _, end, retry, *terms = fields[8:]
    effect, group, window = terms or (0, "all", 0.0)
    return Entry(
        *leading, base64.b64decode(body), attempts, begun, risky_at=risky_at, end=end, retry=retry,
        effect=effect, group=group, window=window,
    )  # fmt: skip


def apply_record(state: State, record: list) -> None:
    """Applies a record. Raises ValueError, KeyError, IndexError or TypeError if it is malformed."""
    kind, *fields = record
    if kind == "take":
        state.add(decode_entry(fields), 0, 0)
    elif kind == "seen":
        state.remember_completed(fields[0], fields[1], 0)
    elif kind == "next":
        state.next_number = max(state.next_number, fields[0])
    elif kind == "names":
        state.apply_destinations(decode(fields[0]), 0)
    elif kind == "begin":
        state.latest_time = max(state.latest_time, fields[0])
        for number, attempts in fields[2]:
            entry = state.entries[number]
            entry.attempts, entry.begun, entry.begun_place = attempts, fields[0], UNKNOWN_PLACE
    elif kind == "result":
        state.entries[fields[0]].record_outcome(Outcome(fields[1]))
    elif kind == "end":
        state.entries[fields[0]].end, state.entries[fields[0]].retry = fields[1], fields[2]
    elif kind == "bind":
        for number in fields[3]:
            entry = state.entries[number]
            entry.effect, entry.group, entry.window = fields[:3]
    elif kind == "over":
        for number in fields:
            state.forget(number)
    else:
        raise ValueError(f"unknown kind {kind!r}")


def read_journal(data: bytes, state: State) -> list[Finding]:
    """Applies all lines to the state; returns a finding for each damaged one."""
    findings, offset = [], 0
    *lines, torn_tail = data.split(b"\n")
    for line in lines:
        try:
            if line:
                apply_record(state, parse_line(line))
        except (ValueError, KeyError, IndexError, TypeError) as error:
            findings.append(Finding(JOURNAL_FILE, offset, f"a damaged line: {error}", harm=True))
            for entry in state.entries.values():
                entry.risky_at = entry.risky_at or entry.begun or (0.0 if entry.end else UNKNOWN_TIME)
        offset += len(line) + 1
    if torn_tail:
        findings.append(
            Finding(JOURNAL_FILE, offset, "the last line is torn: nobody was told of it", harm=False)
        )
    return findings
