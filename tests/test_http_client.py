"""The client of discovery and of notices, before a peer that answers more than it is asked."""

import pytest
from peers import Peer, drive, until

from rainpier.carriers.http.client import Client
from rainpier.carriers.http.exchange import BROKEN

DONE = b"HTTP/1.1 204 Done\r\nContent-Length: 0\r\n\r\n"


class Copying(Peer):
    """Answers the first request; to any other it sends the same answer again, and ends without reading it."""

    def __init__(self):
        super().__init__()
        self.answered = 0

    async def serve(self, reader, writer):
        for turn in (1, 2):
            await reader.readuntil(b"\r\n\r\n")
            if turn == 2:
                writer.write(DONE)
            if self.answered or turn == 2:
                return
            writer.write(DONE)
            self.answered += 1


def test_copy_of_an_answer_is_not_the_answer_to_the_next_request():
    """Guards against a notice that counts as told by the copy of the last one's answer, and that nobody read."""

    async def story():
        async with Copying() as peer:
            client = Client(("127.0.0.1", peer.port), 1000)
            assert (await client.request("POST", "/reports", b"", 5.0)).status == 204
            with pytest.raises(BROKEN):
                await client.request("POST", "/reports", b"", 5.0)
            client.drop()

    drive(story())


def test_settled_connection_carries_the_next_request():
    """Guards against a new connection for each request."""

    async def story():
        async with Copying() as peer:
            client = Client(("127.0.0.1", peer.port), 1000)
            await client.request("POST", "/reports", b"", 5.0)
            await until(lambda: client.connection.settled)
            assert (await client.request("POST", "/reports", b"", 5.0)).status == 204
            assert peer.accepted == 1
            client.drop()

    drive(story())
