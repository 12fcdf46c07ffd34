"""Responses that never end: memory holds little of them, and nothing once their exchange has failed."""

import asyncio
import gc
import tracemalloc
import weakref
from contextlib import contextmanager
from itertools import count

import pytest
from peers import TcpServer, run_with_timeout, wait_until
from test_receivers import GOOD, ReceiversFixture, outcomes

from rainpier.carriers.http import connection as connection_module
from rainpier.carriers.http.client import Client
from rainpier.carriers.http.connection import READ_SIZE
from rainpier.carriers.http.exchange import (
    EXCHANGE_ERRORS,
    MAX_OVERHEAD_BYTES,
    Exchange,
    MalformedResponse,
)
from rainpier.interface import Outcome as O

MAX_BODY = 4096  # bytes
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
READS = 400  # of an endless part: 26 MB
# An exchange fails in the read in which its limit is exceeded, and the first read of a part may not count.
MAX_FED_BYTES = MAX_OVERHEAD_BYTES + 2 * READ_SIZE
MAX_KEPT_BYTES = 2 * MAX_FED_BYTES  # a parsed header is held as text beside the bytes


def repeated(data):
    """Returns a function of a read's number; it returns the read's bytes, which repeat `data`."""
    block = data * (READ_SIZE // len(data))
    return lambda number: block


def header_lines(number):
    """Returns the bytes of one read: four header lines whose names occur in no other read."""
    return b"".join(b"X-%d-%d: %b\r\n" % (number, line, b"v" * 16_000) for line in range(4))


ENDLESS_PARTS = {
    "trailer-lines": (CHUNKED + b"0\r\n", header_lines),
    "trailer-value": (CHUNKED + b"0\r\nX: ", repeated(b"v")),
    "trailer-name": (CHUNKED + b"0\r\n", repeated(b"v")),
    "chunk-extension": (CHUNKED + b"1;name=", repeated(b"v")),
    "last-chunk-extension": (CHUNKED + b"0;name=", repeated(b"v")),
    "chunk-size": (CHUNKED, repeated(b"0")),
    "chunks": (CHUNKED, repeated(b"1\r\nx\r\n")),
    "header-lines": (STATUS_LINE, header_lines),
    "header-value": (STATUS_LINE + b"X: ", repeated(b"v")),
    "reason": (b"HTTP/1.1 200 ", repeated(b"v")),
    "informational-responses": (b"", repeated(b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n")),
    "body": (STATUS_LINE + b"\r\n", repeated(b"v")),
}


@contextmanager
def traced_memory():
    """Traces allocations, without the garbage collector; yields a function that returns the bytes held."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
        gc.enable()


# Guards against a sender that goes over its memory limit: trailers were kept without a limit.
@pytest.mark.parametrize("part", ENDLESS_PARTS)
def test_endless_part_of_a_response_fails_it_within_the_limit(part):
    async def scenario():
        start, read = ENDLESS_PARTS[part]
        with traced_memory() as held:
            exchange, fed = Exchange(MAX_BODY, 60.0), 0
            exchange.feed(start)
            for number in range(READS):
                if exchange.response.done():
                    break
                data = read(number)
                exchange.feed(data)
                fed += len(data)
            assert fed <= MAX_FED_BYTES and held() <= MAX_KEPT_BYTES
            assert isinstance(exchange.response.exception(), MalformedResponse)

    run_with_timeout(scenario())


# Guards against a limit that counts what a long, well-formed response needs: chunk sizes around its body.
def test_long_response_in_small_chunks_is_complete():
    async def scenario():
        exchange, body = Exchange(20_000, 60.0), b"x" * 20_000
        data = CHUNKED + b"1\r\nx\r\n" * len(body) + b"0\r\n\r\n"
        for offset in range(0, len(data), 1500):
            exchange.feed(data[offset : offset + 1500])
        assert exchange.response.result().body == body and exchange.reusable

    run_with_timeout(scenario())


# Guards against a trailer that passes for a header, such as a retry-after (RFC 9110, 6.5.1).
def test_trailers_are_discarded():
    async def scenario():
        exchange = Exchange(MAX_BODY, 60.0)
        exchange.feed(CHUNKED + b"2\r\nok\r\n0\r\nX-Retry-In-Ms: 40\r\nX-Call-Id: b\r\n\r\n")
        response = exchange.response.result()
        assert response.body == b"ok" and response.headers == {"transfer-encoding": "chunked"}
        assert exchange.reusable and not exchange.extra_bytes

    run_with_timeout(scenario())


class EndlessPeer(TcpServer):
    """Answers each request with headers, a body and trailers that never end."""

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED + b"2\r\nok\r\n0\r\n")
        for number in count():
            writer.write(header_lines(number))
            await writer.drain()


def record_exchanges(monkeypatch):
    """Makes connections record their exchanges; returns the list, of weak references."""
    exchanges = []

    class RecordedExchange(Exchange):
        def __init__(self, max_body, response_timeout):
            super().__init__(max_body, response_timeout)
            exchanges.append(weakref.ref(self))

    monkeypatch.setattr(connection_module, "Exchange", RecordedExchange)
    return exchanges


# Guards against failed responses that stay in memory until the garbage collector finds them.
@pytest.mark.parametrize(("names", "outcome"), [(("a",), O.OK), (("a", "b"), O.ERROR)])
def test_failed_response_to_a_call_is_freed_without_the_garbage_collector(names, outcome, monkeypatch):
    async def scenario():
        exchanges = record_exchanges(monkeypatch)
        async with EndlessPeer() as peer:
            fixture = ReceiversFixture(peer.port)
            with traced_memory():
                for _ in range(5):
                    assert set(outcomes(await fixture.call(*names))) == {outcome}
                await wait_until(lambda: not any(exchange() for exchange in exchanges))
            assert len(exchanges) == 5

    run_with_timeout(scenario())


# The same in the client of discovery and of the completion sink, whose responses take up to 4 MiB.
def test_failed_response_to_a_request_is_freed_without_the_garbage_collector(monkeypatch):
    async def scenario():
        exchanges = record_exchanges(monkeypatch)
        async with EndlessPeer() as peer:
            client = Client(("127.0.0.1", peer.port), MAX_BODY)
            with traced_memory():
                for _ in range(5):
                    with pytest.raises(EXCHANGE_ERRORS):
                        await client.request("GET", "/v1/servers", b"", 5.0)
                await wait_until(lambda: not any(exchange() for exchange in exchanges))
            assert len(exchanges) == 5 and not client.idle

    run_with_timeout(scenario())


# The same where the request's timeout ends an exchange that waits for the rest of a response.
def test_response_of_a_request_that_timed_out_is_freed_without_the_garbage_collector(monkeypatch):
    class StallingPeer(TcpServer):
        async def serve(self, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(GOOD[:-1])
            await asyncio.get_running_loop().create_future()

    async def scenario():
        exchanges = record_exchanges(monkeypatch)
        async with StallingPeer() as peer:
            client = Client(("127.0.0.1", peer.port), MAX_BODY)
            with traced_memory():
                with pytest.raises(TimeoutError):
                    await client.request("GET", "/v1/servers", b"", 0.1, io_timeout=5.0)
                await wait_until(lambda: not any(exchange() for exchange in exchanges))
            assert len(exchanges) == 1

    run_with_timeout(scenario())


# Incident 40fa21: each call in flight kept a head of very many short fields, 13 times its bytes.
def test_a_head_of_very_many_short_fields_is_not_kept():
    async def scenario():
        head = STATUS_LINE + b"".join(b"%x:\r\n" % n for n in range(2000))
        assert len(head) < MAX_OVERHEAD_BYTES
        exchange = Exchange(MAX_BODY, 0.5)
        tracemalloc.start()
        exchange.feed(head)
        kept, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert not exchange.response.done() and kept < len(head)
        exchange.feed(b"Content-Length: 2\r\nX-RETRY-IN-MS: 70\r\n\r\nok")
        response = await exchange.response
        assert (response.body, response.headers["x-retry-in-ms"]) == (b"ok", "70")

    run_with_timeout(scenario())
