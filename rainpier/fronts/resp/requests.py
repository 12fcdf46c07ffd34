"""Framing, parsing and validation of RESP2 requests, and encoding of replies, without I/O."""

import re

import hiredis

from ...submission import (
    KEY,
    MAX_DESTINATION,
    MAX_LIFETIME,
    NAME,
    Rejected,
    RetryLater,
    Submission,
    SubmissionResult,
)

MAX_BODY = 65536  # bytes of a message's body
MAX_REQUEST = 2 * MAX_BODY  # bytes; larger than the limits of its parts, so that those get their own errors
NUMBER = re.compile(rb"[0-9]{1,15}")  # decimal
FLAG = re.compile(rb"[01]")
# Headers of a request with up to 99 parts and of one part with up to 999,999 bytes.
ARRAY, BULK = re.compile(rb"\*([1-9]\d?)\r\n"), re.compile(rb"\$(\d{1,6})\r\n")
MAX_HEADER_BYTES = 10  # an array or bulk string header of valid length is shorter


class BadRequest(Exception):
    """Raised for an invalid request; the text is sent to the client as an error."""


def error_reply(text: str) -> bytes:
    """Encodes an error reply; characters outside ASCII become `?`."""
    return f"-ERR {text}\r\n".encode("ascii", "replace")


def encode_result(result: SubmissionResult) -> bytes:
    """Encodes a submission's result as a reply.

    A duplicate gets the same reply as an accepted message: clients submit again what they got no reply for.
    """
    match result:
        case RetryLater(retry_after_ms):
            return b"-BUSY %d\r\n" % retry_after_ms
        case Rejected(reason):
            return error_reply(reason)
    return b"+OK\r\n"


def printable(value: bytes) -> str:
    """Returns the first 64 bytes of a value escaped for an error reply, which must not contain line ends."""
    return ascii(value[:64].decode("latin-1"))


def match_field(pattern: re.Pattern[bytes], value: bytes, name: str) -> str:
    """Returns a value that matches the whole pattern as text; raises BadRequest with `name` otherwise."""
    if not pattern.fullmatch(value):
        raise BadRequest(f"unreadable {name}: {printable(value)}")
    return value.decode()


def parse_number(fields: dict[bytes, bytes], name: bytes, minimum: int, maximum: int) -> int:
    """Returns the whole number in a field; raises BadRequest if it is invalid or out of range."""
    value = int(match_field(NUMBER, fields[name], f"field {name.decode()}"))
    if not minimum <= value <= maximum:
        raise BadRequest(f"field {name.decode()} out of range: {value}")
    return value


def parse_fields(field_list: bytes) -> dict[bytes, bytes]:
    """Parses at most 33 `name=value` pairs separated by commas; returns the values by name.

    Raises BadRequest for a pair without a name or an equals sign, for a name given twice, and for more pairs.
    """
    fields: dict[bytes, bytes] = {}
    for part in field_list.split(b",", 32):
        name, separator, value = part.partition(b"=")
        if not separator or not name or b"," in value:
            raise BadRequest(f"unreadable field: {printable(part)}")
        if name in fields:
            raise BadRequest(f"field given twice: {printable(name)}")
        fields[name] = value
    return fields


def parse_submission(args: list[bytes]) -> Submission:
    """Parses the arguments of MSG.PUT: key, id, fields and body.

    Raises BadRequest if one is missing or invalid.
    """
    if len(args) != 4:
        raise BadRequest("wrong number of arguments for 'MSG.PUT'")
    key, name, field_list, body = args
    if len(body) > MAX_BODY:
        raise BadRequest(f"body longer than {MAX_BODY} bytes")
    fields = parse_fields(field_list)
    for required in (b"c", b"d", b"dest"):
        if required not in fields:
            raise BadRequest(f"missing field {required.decode()}")
    token = match_field(NAME, fields[b"k"], "field k") if b"k" in fields else ""
    tenant = match_field(NAME, fields[b"t"], "field t") if b"t" in fields else ""
    repeated, inherited = (
        match_field(FLAG, fields.get(f, b"0"), f"field {f.decode()}") for f in (b"r", b"again")
    )
    return Submission(
        match_field(NAME, name, "id"), match_field(NAME, fields[b"c"], "field c"),
        parse_number(fields, b"dest", 0, MAX_DESTINATION), int(match_field(KEY, key, "key"), 16), token,
        parse_number(fields, b"d", 1, MAX_LIFETIME), body, repeated == "1", inherited == "1", tenant=tenant,
    )  # fmt: skip


class RequestParser:
    """Parser of complete requests, shared by all connections."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()

    def parse(self, data: bytes) -> list[bytes]:
        """Splits one complete request into its parts.

        Raises hiredis.ProtocolError for an invalid one; the reader is then replaced, so that the next request
        is not affected.
        """
        try:
            self.reader.feed(data)
            request = self.reader.gets()
        except hiredis.ProtocolError:
            self.reader = hiredis.Reader()
            raise
        if not isinstance(request, list):
            self.reader = hiredis.Reader()
            raise hiredis.ProtocolError("not a whole array of bulk strings")
        return request


def find_request_end(data: bytearray, start: int = 0) -> int:
    """Returns where the request that begins at `start` ends, or 0 while it is incomplete.

    Raises hiredis.ProtocolError for invalid framing, and for a request that its headers announce as longer
    than MAX_REQUEST, before its data arrives, which limits the buffer. The parser gets only checked counts,
    as it allocates as many elements as a header announces (2,000,000,000 blocked the event loop for seconds
    and used up the memory).
    """
    end, all_announced = announced_end(data, start)
    return end if all_announced and end <= len(data) else 0


def announced_end(data: bytearray, start: int = 0) -> tuple[int, bool]:
    """Returns up to where the headers received so far announce a request, and whether that is all of it.

    Raises hiredis.ProtocolError as find_request_end does.
    """
    if not (header := ARRAY.match(data, start)):
        check_partial_header(data, start)
        return start, False
    position = header.end()
    for _ in range(int(header[1])):
        if not (bulk := BULK.match(data, position)):
            check_partial_header(data, position)
            return position, False
        position = bulk.end() + int(bulk[1]) + 2
        if position - start > MAX_REQUEST:
            raise hiredis.ProtocolError("request too long")
        if len(data) >= position and data[position - 2 : position] != b"\r\n":
            raise hiredis.ProtocolError("a bulk string does not end where it says")
    return position, True


def check_partial_header(data: bytearray, position: int) -> None:
    """Raises hiredis.ProtocolError if an incomplete header cannot become a valid one."""
    header = data[position : position + MAX_HEADER_BYTES]
    if b"\n" in header or len(header) == MAX_HEADER_BYTES or header[:1] not in (b"", b"*", b"$"):
        raise hiredis.ProtocolError("expected an array of bulk strings")
