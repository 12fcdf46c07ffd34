"""Counts the fields of the headers in a content header frame, without decoding them. No I/O.

The cost of the decoder grows with the square of a table's fields. For a table with one-byte fields that fills
a frame it would take seconds, in which nothing else runs.
"""

import struct

MAX_FIELDS = 512
# Layout of a content header (specification, 2.3.5.2): class, weight and body size, then flags, then the
# properties that they announce. Layout of tables and arrays: 4.2.5.5.
CONTENT_HEADER_SIZE = 12  # bytes
FLAGS, LENGTH = struct.Struct(">H"), struct.Struct(">I")
CONTENT_TYPE_FLAG, CONTENT_ENCODING_FLAG, HEADERS_FLAG, CONTINUATION_FLAG = 0x8000, 0x4000, 0x2000, 1
TABLE_KIND, ARRAY_KIND = b"F", b"A"
NESTED_KINDS = (TABLE_KIND, ARRAY_KIND)
SIZED_KINDS = (*NESTED_KINDS, b"S", b"x")
VALUE_SIZES = {  # bytes of a value, by kind
    b"t": 1, b"b": 1, b"B": 1, b"s": 2, b"u": 2, b"U": 2, b"I": 4, b"i": 4, b"l": 8, b"L": 8, b"f": 4,
    b"d": 8, b"D": 5, b"T": 8, b"V": 0,
}  # fmt: skip


def has_too_many(payload: bytes) -> bool:
    """Whether the headers in a content header frame have more than MAX_FIELDS fields.

    Nested tables and arrays count with their fields. False for an invalid payload, which the decoder finds.
    """
    try:
        return count_fields(payload, headers_offset(payload)) > MAX_FIELDS
    except (struct.error, IndexError, KeyError):
        return False


def headers_offset(payload: bytes) -> int:
    """Returns where the table of headers begins; the payload's end if there is none.

    Raises struct.error or IndexError if the payload is too short.
    """
    offset = CONTENT_HEADER_SIZE
    (flags,) = FLAGS.unpack_from(payload, offset)
    word = flags
    offset += FLAGS.size
    while word & CONTINUATION_FLAG:
        (word,) = FLAGS.unpack_from(payload, offset)
        offset += FLAGS.size
    for short_string_flag in (CONTENT_TYPE_FLAG, CONTENT_ENCODING_FLAG):
        if flags & short_string_flag:
            offset += 1 + payload[offset]
    return offset if flags & HEADERS_FLAG else len(payload)


def count_fields(payload: bytes, offset: int) -> int:
    """Counts the fields of the table at `offset`, up to MAX_FIELDS + 1.

    Raises struct.error, IndexError or KeyError for an invalid table.
    """
    if offset >= len(payload):
        return 0
    count, pending = 0, [(offset, True)]  # offsets of tables and arrays; whether their fields have names
    while pending:
        offset, has_names = pending.pop()
        end = offset + LENGTH.size + LENGTH.unpack_from(payload, offset)[0]
        offset += LENGTH.size
        while offset < min(end, len(payload)):
            count += 1
            if count > MAX_FIELDS:
                return count
            if has_names:
                offset += 1 + payload[offset]
            kind = payload[offset : offset + 1]
            offset += 1
            if kind in NESTED_KINDS:
                pending.append((offset, kind == TABLE_KIND))
            sized = kind in SIZED_KINDS
            offset += LENGTH.size + LENGTH.unpack_from(payload, offset)[0] if sized else VALUE_SIZES[kind]
    return count
