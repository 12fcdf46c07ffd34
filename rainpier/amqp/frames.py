"""Frames: where one ends, what it holds, and how it is written (AMQP 0-9-1 specification, section 2.3.5).

Methods and properties are read and written by pamqp; what is not a frame of this protocol, or longer than
agreed, is refused here before it is read.
"""

import struct
from collections.abc import Iterator

from pamqp import base, commands, header
from pamqp import frame as pamqp_frame

from . import codes
from .codes import ConnectionRefusal

METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8
HEAD, END = struct.Struct(">BHI"), 0xCE
OVERHEAD = HEAD.size + 1  # bytes of a frame beside its payload
LEAST_MAX = 4096  # bytes: frame-min-size
PROTOCOL = b"AMQP\x00\x00\x09\x01"
BEAT = HEAD.pack(HEARTBEAT, 0, 0) + bytes((END,))

UNREADABLE = (ValueError, IndexError, KeyError, TypeError, struct.error, RecursionError, OverflowError)

Frame = tuple[int, int, bytes]  # kind, channel, payload


def split(buffer: bytearray, most: int) -> Iterator[Frame]:
    """The whole frames at the buffer's start, taken off it. ConnectionRefusal for what can be none.

    `most`: bytes of a frame, as agreed; a longer one is refused once its head is there, before it comes.
    """
    at = 0
    try:
        while len(buffer) - at >= HEAD.size:
            kind, channel, size = HEAD.unpack_from(buffer, at)
            if kind not in (METHOD, HEADER, BODY, HEARTBEAT):
                raise ConnectionRefusal(codes.FRAME_ERROR, f"frame type {kind}")
            if size + OVERHEAD > most:
                raise ConnectionRefusal(
                    codes.FRAME_ERROR, f"frame of {size + OVERHEAD} bytes, {most} are agreed"
                )
            end = at + HEAD.size + size
            if len(buffer) <= end:
                return
            if buffer[end] != END:
                raise ConnectionRefusal(codes.FRAME_ERROR, "a frame does not end where it says")
            payload = bytes(buffer[at + HEAD.size : end])
            at = end + 1
            yield kind, channel, payload
    finally:
        del buffer[:at]


def read_method(payload: bytes) -> base.Frame:
    """ConnectionRefusal for what is no method, or one whose arguments can't be read."""
    if len(payload) < 4:
        raise ConnectionRefusal(codes.SYNTAX_ERROR, "a method without its number")
    (index,) = struct.unpack_from(">I", payload)
    known = commands.INDEX_MAPPING.get(index)
    if known is None:
        raise ConnectionRefusal(codes.COMMAND_INVALID, f"unknown method {index >> 16}.{index & 0xFFFF}")
    method = known()
    try:
        method.unmarshal(payload[4:])
    except UNREADABLE as error:
        raise ConnectionRefusal(
            codes.SYNTAX_ERROR, f"unreadable arguments of {method.name}", number(method)
        ) from error
    return method


def read_header(payload: bytes) -> header.ContentHeader:
    """ConnectionRefusal for what can't be read."""
    head = header.ContentHeader()
    try:
        head.unmarshal(payload)
    except UNREADABLE as error:
        raise ConnectionRefusal(codes.SYNTAX_ERROR, "unreadable content header") from error
    return head


def number(method: base.Frame) -> tuple[int, int]:
    """Class and method number."""
    return method.index >> 16, method.index & 0xFFFF


def write(kind: int, channel: int, payload: bytes) -> bytes:
    return b"".join((HEAD.pack(kind, channel, len(payload)), payload, b"\xce"))


def write_method(channel: int, method: base.Frame) -> bytes:
    """ValueError where an argument can't be written."""
    return pamqp_frame.marshal(method, channel)


def write_content(
    channel: int, method: base.Frame, properties: commands.Basic.Properties, body: bytes, most: int
) -> bytes:
    """A method with its content, in frames of at most `most` bytes."""
    head = header.ContentHeader(body_size=len(body), properties=properties)
    parts = [write_method(channel, method), write(HEADER, channel, head.marshal())]
    room = most - OVERHEAD
    parts += [write(BODY, channel, body[at : at + room]) for at in range(0, len(body), room)]
    return b"".join(parts)
