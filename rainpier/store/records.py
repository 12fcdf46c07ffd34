"""The store's format: segments, frames, and the payload of each kind of record. Does no I/O.

A segment begins with a header of 32 bytes; frames follow, each of 12 bytes and its payload:

    header  magic 8 | version u16 | flags u16 | segment u32 | first sequence number u64 | store u32 | CRC u32
    frame   CRC u32 | payload's length << 8 | kind, u32 | low half of the sequence number u32 | payload

All numbers are little-endian. The checksum is CRC-32 of IEEE 802.3 (polynomial 0x04C11DB7, reflected, as in
zlib and gzip). It detects every burst of up to 32 bits, every 3 wrong bits in a record of up to 11 KiB and
every 2 in a longer one, and misses other damage once in 4e9; the standard library computes it in C. CRC-32C
(Castagnoli) would detect 3 wrong bits in the longer records too, but needs a dependency. A frame's checksum
is seeded with the ids of its store and segment, so that a stale block of another segment or store never
passes as valid here.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from .clock import BOOT_ID_SIZE, ClockAnchor, ClockReading
from .entry import UNKNOWN_PLACE, AttemptPlace, Entry

MAGIC, VERSION = b"RPSTORE\n", 6
# Version 2 added reply queues to messages, 3 tenants, 4 CLOCK records, 5 KEY_PAUSE records, and 6 the places
# of attempts (ATTEMPT records, PLACED messages) instead of positions in the list of zones.
READABLE_VERSIONS = (1, 2, 3, 4, 5, 6)
HEADER, FRAME = struct.Struct("<8sHHIQI"), struct.Struct("<III")
CRC, FRAME_REST = struct.Struct("<I"), struct.Struct("<II")
HEADER_SIZE = HEADER.size + CRC.size
MAX_PAYLOAD = (1 << 24) - 1  # bytes; the frame has 24 bits for the length
# The fixed part of each payload, and what follows it. Times are in ms on the timeline of clock.py.
#   MESSAGE    number, deadline, destination, class version, flags, bytes of the id, bytes of the token; then,
#              each only if its flag is set: PROGRESS, the PLACE of the open attempt, that of the risky one,
#              ordering key, reply queue with correlation id, tenant (the lengths of these texts come first, a
#              byte each); then the id, the token and the body
#   PROGRESS   attempts, begun, position of its zone, risky_at, position of its zone, end, retry; the
#              positions are 0 since version 6, and those of earlier builds refer to a list that is not known
#   PLACE      CRC-32 of the endpoint's name, bytes of the zone's name or UNKNOWN_ZONE_SIZE; then that name
#   BEGIN      time, position of the zone; then a BEGUN for each message: number, attempts; until version 5
#   ATTEMPT    time; then a PLACE; then a BEGUN for each message
#   RESULT     number, outcome; repeated for each message
#   END        number, end, retry
#   SEEN       time, 1 if the message was repeatable, else 0; then the id
#   TIME       (of WAIT and OUTAGE) time; then the route
#   CLASS      number, effect, group, repeat window in ms; then the name
#   START      processes so far, time
#   UPGRADED   bytes, CRC-32
#   BIND       class version; then message numbers
#   CLOCK      the timeline's time, the monotonic clock in ms, the boot id
#   KEY_PAUSE  ordering key, end of the call, pause in ms
# NEXT is a U64, OVER a list of them, and NAMES a JSON object.
MESSAGE, PROGRESS, U64 = struct.Struct("<QdIHBBB"), struct.Struct("<IdHdHBI"), struct.Struct("<Q")
BEGIN, BEGUN, RESULT = struct.Struct("<dH"), struct.Struct("<QI"), struct.Struct("<QB")
ATTEMPT, PLACE = struct.Struct("<d"), struct.Struct("<IH")
UNKNOWN_ZONE_SIZE = 0xFFFF  # in a PLACE: the zone is not known, and no name follows
END, SEEN, TIME, CLASS = (
    struct.Struct("<QBI"),
    struct.Struct("<dB"),
    struct.Struct("<d"),
    struct.Struct("<HBBd"),
)
START, UPGRADED, BIND = struct.Struct("<Qd"), struct.Struct("<QI"), struct.Struct("<H")
CLOCK = struct.Struct(f"<dd{BOOT_ID_SIZE}s")
KEY_PAUSE = struct.Struct("<Qdd")
# Flags of a MESSAGE record: its id and its token are hexadecimal digits, packed two to a byte; it has an
# ordering key, a PROGRESS, a reply queue, a tenant, the places of its attempts.
HEX_ID, HEX_TOKEN, KEYED, SNAPSHOT, REPLY, TENANT, PLACED = 1, 2, 4, 8, 16, 32, 64
GIVEN_UP, HANDED_BACK = "given_up", "handed_back"
ENDS = ("", GIVEN_UP, HANDED_BACK)  # final statuses; records hold the position
GROUPS = ("all", "zone", "cell")  # records hold the position


class Kind(IntEnum):
    """The kinds of records. Their numbers are stored."""

    CLASS = 1  # declares a class version that messages refer to: number, effect, group, window, name
    MESSAGE = 2  # an accepted message, or a relocated one with its progress so far
    BEGIN = 3  # as ATTEMPT, in folders of earlier builds
    RESULT = 4  # outcomes of attempts after which the messages are not completed yet
    END = 5  # a decided final status; up to the deadline it is recorded before anyone is notified of it
    OVER = 6  # these messages are completed
    SEEN = 7  # the id of a completed message, and until when it is remembered
    NEXT = 8  # message numbers below this one are used
    NAMES = 9  # the destinations' names and numbers
    BIND = 10  # these messages follow another class version from now on
    WAIT = 11  # a route's retry-after deadline
    OUTAGE = 12  # a route's outage began or ended
    START = 13  # a process started, and when
    UPGRADED = 14  # size and checksum of the journal of 0.1.0 that this segment was converted from
    CLOCK = 15  # the timeline's time at a reading of the monotonic clock
    KEY_PAUSE = 16  # a call that may still be running ended, or goes on; its key pauses from its end
    ATTEMPT = 17  # an attempt of each of these messages is about to be written to its receiver


class Unreadable(ValueError):
    """A payload does not fit its kind, or this program can't read the format version."""


@dataclass(slots=True, frozen=True)
class SegmentHeader:
    """The start of a segment file, which identifies the segment and its store."""

    segment: int  # its number
    first_seq: int  # sequence number of its first frame
    store_id: int


def encode_header(header: SegmentHeader) -> bytes:
    """Encodes a header, followed by its CRC-32."""
    data = HEADER.pack(MAGIC, VERSION, 0, header.segment, header.first_seq, header.store_id)
    return data + CRC.pack(zlib.crc32(data))


def decode_header(data: bytes) -> SegmentHeader | None:
    """Decodes a header; None if it is damaged. Raises Unreadable for an unknown version."""
    if len(data) < HEADER_SIZE or data[:8] != MAGIC:
        return None
    if CRC.unpack_from(data, HEADER.size)[0] != zlib.crc32(data[: HEADER.size]):
        return None
    _, version, _, segment, first_seq, store_id = HEADER.unpack_from(data)
    if version not in READABLE_VERSIONS:
        raise Unreadable(f"format version {version}, this program reads {VERSION}")
    return SegmentHeader(segment, first_seq, store_id)


def checksum_seed(header: SegmentHeader) -> int:
    """Returns the value that the checksums of this segment's frames start from."""
    return zlib.crc32(CRC.pack(header.store_id) + CRC.pack(header.segment))


def encode_frame(kind: int, seq: int, payload: bytes, seed: int) -> bytes:
    """Encodes one record; `seed`: the segment's checksum_seed."""
    rest = FRAME_REST.pack(len(payload) << 8 | kind, seq & 0xFFFFFFFF)
    return CRC.pack(zlib.crc32(payload, zlib.crc32(rest, seed))) + rest + payload


@dataclass(slots=True, frozen=True)
class Frame:
    """One intact record as it stands in a segment."""

    offset: int  # in its segment, bytes
    kind: int
    seq: int
    payload: bytes

    @property
    def size(self) -> int:
        """Bytes of the whole frame in the segment."""
        return FRAME.size + len(self.payload)


@dataclass(slots=True)
class SegmentScan:
    """What can be read of a segment's bytes."""

    header: SegmentHeader
    frames: list[Frame] = field(default_factory=list)
    # byte ranges (start, end) that are followed by intact frames
    damaged_ranges: list[tuple[int, int]] = field(default_factory=list)
    tail_offset: int = 0  # offset from which nothing more could be read
    torn_tail: bool = False  # the bytes from there on are an incomplete frame, as a crash leaves it
    size: int = 0  # bytes


def frame_at(data: bytes, at: int, seed: int) -> tuple[int, int, int] | None:
    """Decodes the frame at the offset `at`; `seed`: the segment's checksum_seed.

    Returns its kind, the low 32 bits of its sequence number and the length of its payload in bytes. None if
    no intact frame stands there.
    """
    if at + FRAME.size > len(data):
        return None
    checksum, word, seq_low = FRAME.unpack_from(data, at)
    length, kind = word >> 8, word & 0xFF
    end = at + FRAME.size + length
    if not kind or end > len(data):
        return None
    view = memoryview(data)[at + CRC.size : end]
    return (kind, seq_low, length) if zlib.crc32(view, seed) == checksum else None


def plausible(kind: int, length: int) -> bool:
    """Whether a payload of that kind can have that length, bytes.

    Without this check a frame whose length is damaged could pass for a torn tail.
    """
    item_list = {
        Kind.BEGIN: (BEGIN.size, BEGUN.size),
        Kind.RESULT: (0, RESULT.size),
        Kind.OVER: (0, U64.size),
    }.get(kind)
    fixed = {
        Kind.END: END.size, Kind.NEXT: U64.size, Kind.START: START.size, Kind.UPGRADED: UPGRADED.size,
        Kind.CLOCK: CLOCK.size,
    }  # fmt: skip
    if kind == Kind.ATTEMPT:  # the name of the zone may have any length
        return length >= ATTEMPT.size + PLACE.size + BEGUN.size
    if item_list is not None:
        return length >= item_list[0] and (length - item_list[0]) % item_list[1] == 0
    return kind in iter(Kind) and length == fixed.get(kind, length)


def is_torn(data: bytes, at: int, expected: int) -> bool:
    """Whether the bytes from the offset `at` to the end can be the beginning of the next frame, cut off.

    `expected`: its sequence number.
    """
    if len(data) - at < FRAME.size:
        return True
    _, word, seq_low = FRAME.unpack_from(data, at)
    cut_off = at + FRAME.size + (word >> 8) > len(data)
    return cut_off and seq_low == expected & 0xFFFFFFFF and plausible(word & 0xFF, word >> 8)


def scan_segment(data: bytes, header: SegmentHeader) -> SegmentScan:
    """Collects all intact frames in order, and skips damaged bytes up to the next intact frame."""
    result = SegmentScan(header, size=len(data))
    offset = HEADER_SIZE
    expected = header.first_seq
    seed = checksum_seed(header)
    while offset < len(data):
        found = frame_at(data, offset, seed)
        start = offset
        # An intact frame of an earlier sequence number is skipped like damage: modulo 2**32, its difference
        # from the expected one is 2**31 or more.
        while found is None or (found[1] - expected) & 0xFFFFFFFF >= 1 << 31:
            offset += 1  # trying every byte is safe: an intact frame is recognised by its checksum
            if offset + FRAME.size > len(data):
                result.tail_offset, result.torn_tail = start, is_torn(data, start, expected)
                return result
            found = frame_at(data, offset, seed)
        if offset > start:
            result.damaged_ranges.append((start, offset))
        kind, seq_low, length = found
        seq = expected + ((seq_low - expected) & 0xFFFFFFFF)
        payload = offset + FRAME.size
        result.frames.append(Frame(offset, kind, seq, data[payload : payload + length]))
        offset, expected = payload + length, seq + 1
    result.tail_offset = offset
    return result


# --- payloads ---


def pack_hex(text: str) -> bytes | None:
    """Packs lower-case hexadecimal digits, two to a byte; None for any other text."""
    if len(text) % 2 == 0 and len(text) <= 255:
        try:
            data = bytes.fromhex(text)
        except ValueError:
            return None
        return data if data.hex() == text else None
    return None


def encode_message(e: Entry, cls: int) -> bytes:
    """Encodes a message with its progress, if it has any; `cls`: the number of its class version."""
    flags, ident, token = 0, pack_hex(e.id), pack_hex(e.token) if e.token else b""
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
        parts.insert(0, U64.pack(e.key))
    if e.attempts or e.end or e.risky_at or e.begun:
        flags |= SNAPSHOT | PLACED
        end, retry = ENDS.index(e.end), min(e.retry, 0xFFFFFFFF)
        progress = PROGRESS.pack(e.attempts, e.begun, 0, e.risky_at, 0, end, retry)
        parts.insert(0, progress + encode_place(e.begun_place) + encode_place(e.risky_place))
    fixed = MESSAGE.pack(e.number, e.deadline, e.destination, cls, flags, len(ident), len(token))
    return b"".join([fixed, *parts])


def decode_message(data: bytes, classes: dict[int, tuple[str, int, str, float]]) -> Entry:
    """Decodes a message; `classes`: the declared class versions by number.

    Raises Unreadable if the message's class version is not one of them.
    """
    number, deadline, destination, cls, flags, ident_size, token_size = MESSAGE.unpack_from(data)
    at, key, progress = MESSAGE.size, 0, None
    if flags & SNAPSHOT:
        progress = PROGRESS.unpack_from(data, at)
        at += PROGRESS.size
    begun_place = risky_place = UNKNOWN_PLACE
    if flags & PLACED:
        begun_place, at = decode_place(data, at)
        risky_place, at = decode_place(data, at)
    if flags & KEYED:
        (key,) = U64.unpack_from(data, at)
        at += U64.size
    reply_to = correlation = ""
    if flags & REPLY:
        reply_size, correlation_size = data[at], data[at + 1]
        reply_to = data[at + 2 : at + 2 + reply_size].decode()
        correlation = data[at + 2 + reply_size : at + 2 + reply_size + correlation_size].decode()
        at += 2 + reply_size + correlation_size
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
        begun_place=begun_place, risky_place=risky_place,
    )  # fmt: skip
    if progress:
        entry.attempts, entry.begun, _, entry.risky_at, _, end, entry.retry = progress
        entry.end = ENDS[end]
    return entry


def encode_place(place: AttemptPlace) -> bytes:
    """Encodes a PLACE."""
    if place.zone is None:
        return PLACE.pack(place.endpoint, UNKNOWN_ZONE_SIZE)
    name = place.zone.encode()
    return PLACE.pack(place.endpoint, len(name)) + name


def decode_place(data: bytes, at: int) -> tuple[AttemptPlace, int]:
    """Decodes the PLACE at the offset `at`; returns it and the offset behind it. Raises Unreadable."""
    endpoint, size = PLACE.unpack_from(data, at)
    at += PLACE.size
    if size == UNKNOWN_ZONE_SIZE:
        return AttemptPlace(None, endpoint), at
    if at + size > len(data):
        raise Unreadable(f"name of a zone of {size} bytes, {len(data) - at} are left")
    return AttemptPlace(data[at : at + size].decode(), endpoint), at + size


@dataclass(slots=True, frozen=True)
class AttemptRecord:
    """The payload of an ATTEMPT record, or of a BEGIN record, whose place is not known."""

    time: float  # Unix ms
    place: AttemptPlace
    attempts: list[tuple[int, int]]  # number of each message, and its attempts so far


def encode_attempt(time: float, place: AttemptPlace, entries: list[Entry]) -> bytes:
    """Encodes the payload of an ATTEMPT record. `time`: Unix ms."""
    parts = [ATTEMPT.pack(time), encode_place(place)]
    parts += [BEGUN.pack(entry.number, entry.attempts) for entry in entries]
    return b"".join(parts)


def decode_attempt(kind: int, data: bytes) -> AttemptRecord:
    """Decodes the payload of an ATTEMPT or BEGIN record. Raises Unreadable, struct.error if it is short."""
    if kind == Kind.BEGIN:  # its position refers to a list of zones that is not known any more
        time, place, at = BEGIN.unpack_from(data)[0], UNKNOWN_PLACE, BEGIN.size
    else:
        (time,) = ATTEMPT.unpack_from(data)
        place, at = decode_place(data, ATTEMPT.size)
    return AttemptRecord(time, place, list(unpack_items(data, BEGUN, at)))


def encode_anchor(anchor: ClockAnchor) -> bytes:
    """Encodes the payload of a CLOCK record."""
    return CLOCK.pack(anchor.timeline, anchor.reading.monotonic, anchor.reading.boot)


def decode_anchor(data: bytes) -> ClockAnchor:
    """Decodes the payload of a CLOCK record. Raises struct.error if its length is wrong."""
    timeline, monotonic, boot = CLOCK.unpack(data)
    return ClockAnchor(timeline, ClockReading(monotonic, boot))


def unpack_items(data: bytes, item: struct.Struct, at: int = 0) -> Iterator[tuple]:
    """Decodes a list that runs from that offset to the end. Raises Unreadable if an item is incomplete."""
    if (len(data) - at) % item.size:
        raise Unreadable(f"list of {len(data) - at} bytes is not made of items of {item.size} bytes")
    return item.iter_unpack(data[at:])


def decode_numbers(data: bytes, at: int = 0) -> list[int]:
    """Decodes message numbers from that offset to the end. Raises Unreadable if the last is incomplete."""
    return [number for (number,) in unpack_items(data, U64, at)]


def encode_numbers(message_numbers: list[int]) -> bytes:
    """Encodes a list of message numbers, which runs to the end of its payload."""
    return struct.pack(f"<{len(message_numbers)}Q", *message_numbers)
