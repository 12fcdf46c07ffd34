"""Tables of very many short fields, which the decoder would take seconds for."""

import asyncio
import time

import pytest
from pamqp import commands, header

from rainpier.amqp import codes, fields, frames
from rainpier.amqp import connection as amqp_connection
from rainpier.amqp.codes import ConnectionException
from rainpier.amqp.options import Login
from rainpier.carriers.amqp.link import BrokerConnection
from rainpier.carriers.amqp.options import BrokerOptions

MAX_READ_S = 0.05  # for one read
MAX_DECODE_S = 0.25  # for one frame; others wait meanwhile
Properties = commands.Basic.Properties


def content_header(headers, **properties):
    """Returns the payload of a content header frame."""
    return header.ContentHeader(body_size=1, properties=Properties(headers=headers, **properties)).marshal()


def void_array(count):
    """Returns a content header whose only field is an array of `count` values without a size."""
    value = b"V" * count
    table = b"\x01aA" + len(value).to_bytes(4) + value
    return content_header({})[:12] + b"\x20\x00" + len(table).to_bytes(4) + table


def decode_refused(read, payload):
    """Returns the reply code with which a payload is refused; 0 if it is decoded."""
    begun = time.perf_counter()
    try:
        read(payload)
    except ConnectionException as error:
        return error.code
    finally:
        assert time.perf_counter() - begun < MAX_DECODE_S
    return 0


# Incident 40fa21, picture (b): one frame stopped the event loop for 0.1 s, and up to seconds by its kind of fields.
@pytest.mark.parametrize(
    "payload",
    [
        content_header({f"{n:x}": True for n in range(16_000)}),
        content_header({"a": {f"{n:x}": True for n in range(16_000)}}, content_type="x"),
        content_header({"a": [{"b": list(range(300))}, list(range(300))]}, content_encoding="y"),
        void_array(120_000),
    ],
    ids=["fields", "nested", "arrays", "void"],
)
def test_content_headers_with_very_many_fields_are_refused_before_they_are_decoded(payload):
    assert decode_refused(frames.read_header, payload) == codes.RESOURCE_ERROR


def test_method_with_a_large_table_is_refused_before_it_is_decoded():
    arguments = {f"{n:x}": True for n in range(16_000)}
    payload = frames.write_method(1, commands.Queue.Declare(0, "q", arguments=arguments))[7:-1]
    assert decode_refused(frames.read_method, payload) == codes.RESOURCE_ERROR


@pytest.mark.parametrize(
    "payload",
    [
        content_header({"x-large": "v" * 100_000, "x-bytes": bytearray(9000)}),
        content_header({f"x-{n}": "value" * 10 for n in range(fields.MAX_FIELDS - 1)}),
        content_header({"x-death": [{"count": n, "queue": "q" * 50} for n in range(100)]}),
        content_header(None, content_type="t" * 200, content_encoding="e" * 200, message_id="m" * 200),
        content_header({"t": 2**40, "d": 1.5, "n": None, "y": True}, reply_to="r" * 255, app_id="a" * 255),
    ],
    ids=["large values", "most fields", "nested", "none", "kinds"],
)
def test_headers_of_usual_messages_are_decoded_whatever_their_size(payload):
    assert decode_refused(frames.read_header, payload) == 0


def test_every_cut_of_a_header_is_left_to_the_decoder():
    """The count must not fail on what is invalid."""
    payload = content_header({"a": {"b": [1, "x", None]}, "c": "d" * 600}, content_type="t")
    for end in range(len(payload)):
        assert fields.has_too_many(payload[:end]) is False


# The same from a broker at full speed: one read stopped the event loop for 0.1 s and more.
def test_one_read_from_a_broker_takes_little_time():
    async def scenario():
        connection = BrokerConnection(BrokerOptions(Login(), "", "", "orders"), lambda closed: None)
        connection.protocol.phase = amqp_connection.Phase.RUNNING
        buffer = connection.get_buffer(-1)
        size = len(buffer) // len(frames.HEARTBEAT_FRAME) * len(frames.HEARTBEAT_FRAME)
        buffer[:size] = frames.HEARTBEAT_FRAME * (size // len(frames.HEARTBEAT_FRAME))
        begun = time.perf_counter()
        connection.buffer_updated(size)
        assert time.perf_counter() - begun < MAX_READ_S
        assert not connection.protocol.input and not connection.closed

    asyncio.run(scenario())
