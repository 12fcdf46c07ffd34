"""What the scripted receiver records of a call whose sender closes the connection."""

import asyncio
import random
import socket

import pytest
from standins.faults.receiver import Receiver
from standins.faults.records import Records
from standins.faults.strays import StrayPlan, Strays

REQUEST = b"POST /v1/messages HTTP/1.1\r\nHost: receiver\r\nX-Call-Id: m1\r\nContent-Length: 2\r\n\r\nhi"


class RetryAfterReceiver(Receiver):
    """Responds to each call with a retry delay; calls `before_response` right before it writes the response."""

    def __init__(self, before_response):
        strays = Strays(StrayPlan(), random.Random(1))
        super().__init__("r1", 1, Records(), random.Random(1), 0.0, strays, (0.0, 0.0))
        self.before_response, self.calls_ended = before_response, asyncio.Event()

    def choose_outcome(self, now):
        return "wait"

    def encode_response(self, outcome, calls):
        self.before_response()
        return super().encode_response(outcome, calls)

    async def serve(self, reader, writer):
        await super().serve(reader, writer)
        self.calls_ended.set()


async def call_once(stays):
    """Makes one call; the client closes its connection after the response, or right before it is written."""
    loop, client = asyncio.get_running_loop(), socket.socket()
    client.setblocking(False)
    async with RetryAfterReceiver(lambda: stays or client.close()) as receiver:
        await loop.sock_connect(client, ("127.0.0.1", receiver.port))
        await loop.sock_sendall(client, REQUEST)
        if stays:
            assert b" 429 " in await loop.sock_recv(client, 1000)
            client.close()
        await receiver.calls_ended.wait()
        [call] = receiver.records.calls
        return call


# The soak test, seed 5, recovery: a sender had given a call up 2 ms before its retry-after was written, and was then
# held to a delay that it had never been sent.
@pytest.mark.parametrize("stays", [True, False])
def test_a_response_counts_as_written_only_if_the_sender_has_not_closed_the_connection(stays):
    call = asyncio.run(call_once(stays))
    assert call.outcome == "wait" and call.retry_after > 0
    assert (call.written is not None) is stays
