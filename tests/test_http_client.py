"""The HTTP client of endpoint discovery and the HTTP completion sink, with peers that duplicate responses."""

import errno

import pytest
from peers import HttpServer, TcpServer, run_with_timeout, wait_until

from rainpier.carriers.http.client import MAX_IDLE, Client
from rainpier.carriers.http.connection import Connection
from rainpier.carriers.http.exchange import EXCHANGE_ERRORS, Response
from rainpier.sinks.http import HttpSink
from rainpier.store.entry import Entry

NO_CONTENT = b"HTTP/1.1 204 Done\r\nContent-Length: 0\r\n\r\n"


class DuplicatingPeer(TcpServer):
    """Responds to its first request, and to a second one on the same connection with a duplicate of that.

    Then it closes the connection. Requests on other connections get no response.
    """

    def __init__(self):
        super().__init__()
        self.responses_sent = 0

    async def serve(self, reader, writer):
        for request_number in (1, 2):
            await reader.readuntil(b"\r\n\r\n")
            if request_number == 2:
                writer.write(NO_CONTENT)
            if self.responses_sent or request_number == 2:
                return
            writer.write(NO_CONTENT)
            self.responses_sent += 1


def test_duplicate_response_is_not_the_response_to_the_next_request():
    """Otherwise a notification that the peer has not read would count as delivered."""

    async def scenario():
        async with DuplicatingPeer() as peer:
            client = Client(("127.0.0.1", peer.port), 1000)
            assert (await client.request("POST", "/reports", b"", 5.0)).status == 204
            with pytest.raises(EXCHANGE_ERRORS):
                await client.request("POST", "/reports", b"", 5.0)
            client.drop()

    run_with_timeout(scenario())


def test_request_uses_a_connection_in_quarantine_if_none_can_be_opened(monkeypatch):
    """Otherwise notifications would be late while connect() fails, although an idle connection works."""

    async def scenario():
        async with HttpServer(lambda request, body: (204, [], b"")) as peer:
            client = Client(("127.0.0.1", peer.port), 1000)
            assert (await client.request("POST", "/reports", b"1", 5.0)).matched

            async def fail_open(address):
                raise OSError(errno.ENETUNREACH, "Network is unreachable")

            monkeypatch.setattr(Connection, "open", fail_open)
            response = await client.request("POST", "/reports", b"2", 5.0)
            assert response.status == 204 and not response.matched and peer.connections_accepted == 1
            await wait_until(lambda: client.idle[0].out_of_quarantine)
            assert (await client.request("POST", "/reports", b"3", 5.0)).matched
            client.drop()
            with pytest.raises(OSError):
                await client.request("POST", "/reports", b"4", 5.0)

    run_with_timeout(scenario())


class FallingSilent(HttpServer):
    """Answers 204; after `fall_silent` no connection that was open then gets any answer, and new ones do."""

    def __init__(self):
        super().__init__(lambda request, body: (204, [], b""))
        self.silent = set()

    def fall_silent(self):
        """Stops answering on the connections that are open."""
        self.silent |= self.writers

    def write_response(self, writer, response):
        if writer not in self.silent:
            super().write_response(writer, response)


async def client_with_idle_connections(peer, count):
    """Returns a client with so many idle connections that have left their quarantine."""
    client = Client(("127.0.0.1", peer.port), 1000)
    for _ in range(count):  # each opens one, since the ones before are still in quarantine
        await client.request("POST", "/reports", b"", 5.0)
    assert len(client.idle) == count
    await wait_until(lambda: all(connection.out_of_quarantine for connection in client.idle))
    return client


# Guards against notifications that are late by one timeout for each kept connection, when all fall silent together.
@pytest.mark.parametrize("count", [2, MAX_IDLE])
def test_connections_that_fell_silent_with_another_one_are_not_tried_one_after_the_other(count):
    async def scenario():
        async with FallingSilent() as peer:
            client = await client_with_idle_connections(peer, count)
            peer.fall_silent()
            with pytest.raises(TimeoutError):
                await client.request("POST", "/reports", b"", 0.1)
            for _ in range(3):
                assert (await client.request("POST", "/reports", b"", 5.0)).status == 204
            # Each request opened one, since those before are in quarantine; suspect ones made room for them.
            assert len(client.idle) <= MAX_IDLE and sum(not idle.suspect for idle in client.idle) == 3
            client.drop()

    run_with_timeout(scenario())


def test_suspect_connections_are_used_while_none_can_be_opened_and_trusted_once_they_answer(monkeypatch):
    """Otherwise a single request without an answer would cost the spare connections while connect() fails."""

    async def scenario():
        async with FallingSilent() as peer:
            client = await client_with_idle_connections(peer, 2)
            peer.silent = {
                next(
                    writer for writer in peer.writers if port_of(writer) == port_of(client.idle[-1].transport)
                )
            }

            async def fail_open(address):
                raise OSError(errno.ENETUNREACH, "Network is unreachable")

            monkeypatch.setattr(Connection, "open", fail_open)
            with pytest.raises(TimeoutError):
                await client.request("POST", "/reports", b"", 0.1)
            (spare,) = client.idle
            assert spare.suspect
            response = await client.request("POST", "/reports", b"", 5.0)
            assert response.status == 204 and response.matched and not spare.suspect
            client.drop()

    run_with_timeout(scenario())


def test_a_suspect_connection_is_used_after_one_in_quarantine_while_none_can_be_opened(monkeypatch):
    async def scenario():
        async with FallingSilent() as peer:
            client = await client_with_idle_connections(peer, 2)
            peer.fall_silent()
            with pytest.raises(TimeoutError):
                await client.request("POST", "/reports", b"", 0.1)
            assert (await client.request("POST", "/reports", b"", 5.0)).matched

            async def fail_open(address):
                raise OSError(errno.ENETUNREACH, "Network is unreachable")

            monkeypatch.setattr(Connection, "open", fail_open)
            assert (await client.request("POST", "/reports", b"", 5.0)).status == 204
            client.drop()

    run_with_timeout(scenario())


def port_of(transport_or_writer):
    """Returns the client's port of a connection, seen from either side."""
    name = "peername" if hasattr(transport_or_writer, "drain") else "sockname"
    return transport_or_writer.get_extra_info(name)[1]


def test_notifications_are_resent_until_a_response_is_matched():
    """A response on a connection in quarantine may be a duplicate, so the notification is sent again at once.

    Otherwise a completion could be forgotten, or a pause between the attempts would delay the others.
    """

    async def scenario():
        delivered, requests = [], []
        sink = HttpSink(("127.0.0.1", 1))

        async def request(method, target, body, timeout):
            requests.append(body)
            return Response(204, {}, b"", matched=len(requests) > 3)

        sink.client.request = request
        sink.start(delivered.extend)
        entry = Entry(1, "m1", "safe", 3, 0, "", 0.0, b"", end="given_up")
        sink.add(entry)
        await wait_until(lambda: delivered)
        assert delivered == [entry] and len(requests) == 4 and len(set(requests)) == 1
        sink.close()

    run_with_timeout(scenario())


def test_connection_out_of_quarantine_carries_the_next_request():
    """Otherwise each request would open a new connection."""

    async def scenario():
        async with DuplicatingPeer() as peer:
            client = Client(("127.0.0.1", peer.port), 1000)
            await client.request("POST", "/reports", b"", 5.0)
            await wait_until(lambda: client.idle[0].out_of_quarantine)
            assert (await client.request("POST", "/reports", b"", 5.0)).status == 204
            assert peer.connections_accepted == 1
            client.drop()

    run_with_timeout(scenario())
