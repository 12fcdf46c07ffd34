"""The store's format: segments, frames, and what each kind of record holds. No input or output.

A segment begins with a head of 32 bytes; frames follow, each of 12 bytes and its payload:

    head    magic 8 | version u16 | flags u16 | segment u32 | first sequence number u64 | store u32 | CRC u32
    frame   CRC u32 | payload's length << 8 | kind, u32 | low half of the sequence number u32 | payload

All numbers are little-endian. The checksum is CRC-32 of IEEE 802.3 (polynomial 0x04C11DB7, reflected, as
in zlib and gzip): it finds every burst of up to 32 bits, every 3 wrong bits in a record of 11 KiB and
every 2 in a longer one, and misses other damage once in 4e9; the standard library computes it in C.
Castagnoli's would find 3 in the longer ones too, and cost a dependency. A frame's checksum starts from
the store's and the segment's number, so that a stale block of another segment or another store never
passes for one of this.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from .clock import BOOT_ID_SIZE, Anchor, Reading
from .entry import Entry

MAGIC, VERSION = b"RPSTORE\n", 4
READS = (1, 2, 3, 4)  # 2: messages may name a reply queue; 3: and a tenant; 4: anchors of the clock
HEAD, FRAME = struct.Struct("<8sHHIQI"), struct.Struct("<III")
CRC, REST = struct.Struct("<I"), struct.Struct("<II")
HEAD_SIZE = HEAD.size + CRC.size
MAX_PAYLOAD = (1 << 24) - 1
MESSAGE, PROGRESS, KEY = struct.Struct("<QdIHBBB"), struct.Struct("<IdHdHBI"), struct.Struct("<Q")
BEGIN, BEGUN, RESULT = struct.Struct("<dH"), struct.Struct("<QI"), struct.Struct("<QB")
END, SEEN, TIME, CLASS = (
    struct.Struct("<QBI"),
    struct.Struct("<dB"),
    struct.Struct("<d"),
    struct.Struct("<HBBd"),
)
START, UPGRADED, BIND = struct.Struct("<Qd"), struct.Struct("<QI"), struct.Struct("<H")
CLOCK = struct.Struct(f"<dd{BOOT_ID_SIZE}s")
HEX_ID, HEX_TOKEN, KEYED, SNAPSHOT, REPLY, TENANT = 1, 2, 4, 8, 16, 32  # flags of a message
ENDS = ("", "given_up", "handed_back")
GROUPS = ("all", "zone")


class Kind(IntEnum):
    CLASS = 1  # number, effect, group, window, name: what messages refer to
    MESSAGE = 2  # taken on, or with its progress so far
    BEGIN = 3  # an attempt of each of these is about to be written
    RESULT = 4  # outcomes of attempts that leave their messages owed
    END = 5  # the decided end, before it is told
    OVER = 6  # nothing more is owed for these
    SEEN = 7  # an id that is over, and until when it is remembered
    NEXT = 8  # numbers below this are given
    NAMES = 9  # destinations' names and numbers
    BIND = 10  # these are bound by another class from now on
    WAIT = 11  # a told wait of a route
    OUTAGE = 12  # a route is down, or answers again
    START = 13  # a process began, at that time
    UPGRADED = 14  # size and checksum of the journal that this segment was made of
    CLOCK = 15  # where the timeline stood at a reading of the monotonic clock


class Unreadable(ValueError):
    """A payload that its kind can't have."""


@dataclass(slots=True, frozen=True)
class Head:
    segment: int
    first: int  # sequence number of its first frame
    store: int


def write_head(head: Head) -> bytes:
    data = HEAD.pack(MAGIC, VERSION, 0, head.segment, head.first, head.store)
    return data + CRC.pack(zlib.crc32(data))


def read_head(data: bytes) -> Head | None:
    """None where it is damaged; Unreadable for a later version."""
    if len(data) < HEAD_SIZE or data[:8] != MAGIC:
        return None
    if CRC.unpack_from(data, HEAD.size)[0] != zlib.crc32(data[: HEAD.size]):
        return None
    _, version, _, segment, first, store = HEAD.unpack_from(data)
    if version not in READS:
        raise Unreadable(f"format version {version}, this program reads {VERSION}")
    return Head(segment, first, store)


def salt(head: Head) -> int:
    return zlib.crc32(CRC.pack(head.store) + CRC.pack(head.segment))


def frame(kind: int, seq: int, payload: bytes, seed: int) -> bytes:
    rest = REST.pack(len(payload) << 8 | kind, seq & 0xFFFFFFFF)
    return CRC.pack(zlib.crc32(payload, zlib.crc32(rest, seed))) + rest + payload


@dataclass(slots=True, frozen=True)
class Frame:
    at: int  # offset in its segment
    kind: int
    seq: int
    payload: bytes

    @property
    def size(self) -> int:
        return FRAME.size + len(self.payload)


@dataclass(slots=True)
class Scan:
    """A segment's bytes as far as they can be read."""

    head: Head
    frames: list[Frame] = field(default_factory=list)
    damaged: list[tuple[int, int]] = field(default_factory=list)  # byte ranges, good frames behind them
    tail: int = 0  # offset from which nothing more could be read
    torn: bool = False  # ... and what stands there is the beginning of a frame, as a crash leaves it
    size: int = 0


def frame_at(data: bytes, at: int, seed: int) -> tuple[int, int, int] | None:
    """Kind, low half of the sequence number and payload's length of the good frame there."""
    if at + FRAME.size > len(data):
        return None
    crc, word, low = FRAME.unpack_from(data, at)
    length, kind = word >> 8, word & 0xFF
    end = at + FRAME.size + length
    if not kind or end > len(data):
        return None
    view = memoryview(data)[at + CRC.size : end]
    return (kind, low, length) if zlib.crc32(view, seed) == crc else None


def plausible(kind: int, length: int) -> bool:
    """Whether a payload of that kind can have that length: a wrong one could look like a tear."""
    step = {
        Kind.BEGIN: (BEGIN.size, BEGUN.size),
        Kind.RESULT: (0, RESULT.size),
        Kind.OVER: (0, KEY.size),
    }.get(kind)
    fixed = {
        Kind.END: END.size, Kind.NEXT: KEY.size, Kind.START: START.size, Kind.UPGRADED: UPGRADED.size,
        Kind.CLOCK: CLOCK.size,
    }  # fmt: skip
    if step is not None:
        return length >= step[0] and (length - step[0]) % step[1] == 0
    return kind in iter(Kind) and length == fixed.get(kind, length)


def torn(data: bytes, at: int, expected: int) -> bool:
    """Whether the bytes from there to the end can be the beginning of the next frame, cut off."""
    if len(data) - at < FRAME.size:
        return True
    _, word, low = FRAME.unpack_from(data, at)
    beyond = at + FRAME.size + (word >> 8) > len(data)
    return beyond and low == expected & 0xFFFFFFFF and plausible(word & 0xFF, word >> 8)


def scan(data: bytes, head: Head) -> Scan:
    """All good frames in order. What is damaged is stepped over, to the next good frame further on."""
    out, at, expected, seed = Scan(head, size=len(data)), HEAD_SIZE, head.first, salt(head)
    while at < len(data):
        found = frame_at(data, at, seed)
        start = at
        while found is None or (found[1] - expected) & 0xFFFFFFFF >= 1 << 31:
            at += 1  # a frame that begins at the damaged place itself has a checksum to prove itself by
            if at + FRAME.size > len(data):
                out.tail, out.torn = start, torn(data, start, expected)
                return out
            found = frame_at(data, at, seed)
        if at > start:
            out.damaged.append((start, at))
        kind, low, length = found
        seq = expected + ((low - expected) & 0xFFFFFFFF)
        body = at + FRAME.size
        out.frames.append(Frame(at, kind, seq, data[body : body + length]))
        at, expected = body + length, seq + 1
    out.tail = at
    return out


# --- payloads ---


def packed(text: str) -> bytes | None:
    """Lower-case hexadecimal digits in half the room; None where it is something else."""
    if len(text) % 2 == 0 and len(text) <= 255:
        try:
            data = bytes.fromhex(text)
        except ValueError:
            return None
        return data if data.hex() == text else None
    return None


def write_message(e: Entry, cls: int) -> bytes:
    flags, ident, token = 0, packed(e.id), packed(e.token) if e.token else b""
    flags |= HEX_ID if ident is not None else 0
    flags |= HEX_TOKEN if token else 0
    ident = e.id.encode() if ident is None else ident
    token = e.token.encode() if token is None else token
    parts = [ident, token, e.body]
    if e.tenant:
        flags |= TENANT
        tenant = e.tenant.encode()
        parts.insert(0, bytes((len(tenant),)) + tenant)
    if e.reply_to:
        flags |= REPLY
        reply_to, correlation = e.reply_to.encode(), e.correlation.encode()
        parts.insert(0, bytes((len(reply_to), len(correlation))) + reply_to + correlation)
    if e.key:
        flags |= KEYED
        parts.insert(0, KEY.pack(e.key))
    if e.attempts or e.end or e.risky_at or e.begun:
        flags |= SNAPSHOT
        end = ENDS.index(e.end)
        parts.insert(0, PROGRESS.pack(
            e.attempts, e.begun, e.begun_zone, e.risky_at, e.risky_zone, end, min(e.retry, 0xFFFFFFFF)
        ))  # fmt: skip
    head = MESSAGE.pack(e.number, e.deadline, e.destination, cls, flags, len(ident), len(token))
    return b"".join([head, *parts])


def read_message(data: bytes, classes: dict[int, tuple[str, int, str, float]]) -> Entry:
    number, deadline, destination, cls, flags, ident_size, token_size = MESSAGE.unpack_from(data)
    at, key, progress = MESSAGE.size, 0, None
    if flags & SNAPSHOT:
        progress = PROGRESS.unpack_from(data, at)
        at += PROGRESS.size
    if flags & KEYED:
        (key,) = KEY.unpack_from(data, at)
        at += KEY.size
    reply_to = correlation = ""
    if flags & REPLY:
        first, second = data[at], data[at + 1]
        reply_to = data[at + 2 : at + 2 + first].decode()
        correlation = data[at + 2 + first : at + 2 + first + second].decode()
        at += 2 + first + second
    tenant = ""
    if flags & TENANT:
        tenant = data[at + 1 : at + 1 + data[at]].decode()
        at += 1 + data[at]
    ident, token = data[at : at + ident_size], data[at + ident_size : at + ident_size + token_size]
    body = data[at + ident_size + token_size :]
    if cls not in classes:
        raise Unreadable(f"class {cls} was never declared")
    name, effect, group, window = classes[cls]
    entry = Entry(
        number, ident.hex() if flags & HEX_ID else ident.decode(), name, destination, key,
        token.hex() if flags & HEX_TOKEN else token.decode(), deadline, body,
        effect=effect, group=group, window=window, reply_to=reply_to, correlation=correlation, tenant=tenant,
    )  # fmt: skip
    if progress:
        (entry.attempts, entry.begun, entry.begun_zone, entry.risky_at, entry.risky_zone, end,
         entry.retry) = progress  # fmt: skip
        entry.end = ENDS[end]
    return entry


def write_anchor(anchor: Anchor) -> bytes:
    return CLOCK.pack(anchor.timeline, anchor.reading.monotonic, anchor.reading.boot)


def read_anchor(data: bytes) -> Anchor:
    timeline, monotonic, boot = CLOCK.unpack(data)
    return Anchor(timeline, Reading(monotonic, boot))


def pairs(data: bytes, form: struct.Struct, at: int = 0) -> Iterator[tuple]:
    if (len(data) - at) % form.size:
        raise Unreadable("a list that does not end where it should")
    return form.iter_unpack(data[at:])


def numbers(data: bytes, at: int = 0) -> list[int]:
    return [number for (number,) in pairs(data, KEY, at)]


def write_numbers(some: list[int]) -> bytes:
    return struct.pack(f"<{len(some)}Q", *some)
