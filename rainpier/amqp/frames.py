"""Framing, decoding and encoding of frames (AMQP 0-9-1 specification, section 2.3.5).

pamqp decodes and encodes methods and properties. Invalid frames, and those above the size limit, are rejected
here before they are decoded.
"""

import struct
from collections.abc import Iterator

from pamqp import base, commands, header
from pamqp import frame as pamqp_frame

from . import codes, fields
from .codes import ConnectionException

METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8
FRAME_HEADER, FRAME_END = struct.Struct(">BHI"), 0xCE
OVERHEAD = FRAME_HEADER.size + 1  # bytes of a frame in addition to its payload
MIN_FRAME_MAX = 4096  # bytes; frame-min-size of the specification
PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
HEARTBEAT_FRAME = FRAME_HEADER.pack(HEARTBEAT, 0, 0) + bytes((FRAME_END,))

MAX_METHOD_SIZE = 8192  # bytes; see fields.py for the cost of a table in it

# What pamqp raises for invalid input.
DECODE_ERRORS = (ValueError, IndexError, KeyError, TypeError, struct.error, RecursionError, OverflowError)

Frame = tuple[int, int, bytes]  # kind, channel, payload


def split(buffer: bytearray, max_frame: int) -> Iterator[Frame]:
    """Yields the complete frames at the start of the buffer and removes them from it.

    Raises ConnectionException for an invalid frame. `max_frame`: largest size of a frame in bytes; a longer
    one is rejected as soon as its header has arrived, so that it is never buffered.
    """
    offset = 0
    try:
        while len(buffer) - offset >= FRAME_HEADER.size:
            kind, channel, size = FRAME_HEADER.unpack_from(buffer, offset)
            if kind not in (METHOD, HEADER, BODY, HEARTBEAT):
                raise ConnectionException(codes.FRAME_ERROR, f"frame type {kind}")
            if size + OVERHEAD > max_frame:
                raise ConnectionException(
                    codes.FRAME_ERROR, f"frame of {size + OVERHEAD} bytes, {max_frame} are agreed"
                )
            end = offset + FRAME_HEADER.size + size
            if len(buffer) <= end:
                return
            if buffer[end] != FRAME_END:
                raise ConnectionException(codes.FRAME_ERROR, "a frame does not end where it says")
            payload = bytes(buffer[offset + FRAME_HEADER.size : end])
            offset = end + 1
            yield kind, channel, payload
    finally:
        del buffer[:offset]


def read_method(payload: bytes) -> base.Frame:
    """Decodes a method frame's payload; raises ConnectionException for an unknown or invalid method."""
    if len(payload) < 4:
        raise ConnectionException(codes.SYNTAX_ERROR, "a method without its number")
    if len(payload) > MAX_METHOD_SIZE:
        raise ConnectionException(
            codes.RESOURCE_ERROR, f"a method of {len(payload)} bytes, {MAX_METHOD_SIZE} at most"
        )
    (index,) = struct.unpack_from(">I", payload)
    method_class = commands.INDEX_MAPPING.get(index)
    if method_class is None:
        raise ConnectionException(codes.COMMAND_INVALID, f"unknown method {index >> 16}.{index & 0xFFFF}")
    method = method_class()
    try:
        method.unmarshal(payload[4:])
    except DECODE_ERRORS as error:
        raise ConnectionException(
            codes.SYNTAX_ERROR, f"unreadable arguments of {method.name}", method_id(method)
        ) from error
    return method


def read_header(payload: bytes) -> header.ContentHeader:
    """Decodes a content header frame's payload; raises ConnectionException if that fails."""
    if len(payload) > fields.MAX_FIELDS and fields.has_too_many(payload):
        raise ConnectionException(codes.RESOURCE_ERROR, f"headers have {fields.MAX_FIELDS} fields at most")
    content_header = header.ContentHeader()
    try:
        content_header.unmarshal(payload)
    except DECODE_ERRORS as error:
        raise ConnectionException(codes.SYNTAX_ERROR, "unreadable content header") from error
    return content_header


def method_id(method: base.Frame) -> tuple[int, int]:
    """Returns the class ID and method ID of a method."""
    return method.index >> 16, method.index & 0xFFFF


def write_frame(kind: int, channel: int, payload: bytes) -> bytes:
    """Encodes one frame."""
    return b"".join((FRAME_HEADER.pack(kind, channel, len(payload)), payload, b"\xce"))


def write_method(channel: int, method: base.Frame) -> bytes:
    """Encodes a method frame; raises ValueError if an argument cannot be encoded."""
    return pamqp_frame.marshal(method, channel)


def write_content(
    channel: int, method: base.Frame, properties: commands.Basic.Properties, body: bytes, max_frame: int
) -> bytes:
    """Encodes a method with its content in frames of at most `max_frame` bytes."""
    content_header = header.ContentHeader(body_size=len(body), properties=properties)
    frames = [write_method(channel, method), write_frame(HEADER, channel, content_header.marshal())]
    max_payload = max_frame - OVERHEAD
    frames += [
        write_frame(BODY, channel, body[offset : offset + max_payload])
        for offset in range(0, len(body), max_payload)
    ]
    return b"".join(frames)
