"""Servers and clients on loopback for tests over sockets: receivers, endpoint discovery and a RESP client."""

import asyncio
import json

import h11
import hiredis

from rainpier import interface as i
from rainpier.config.platform import Config
from rainpier.membership.platform import Discovery
from rainpier.node.node import Node
from rainpier.sinks.http import HttpSink

WAIT_TIMEOUT_S = 10.0  # time limit of each single wait in a test
SETTINGS = {
    "classes": [
        {"name": "safe", "objective": 2000.0, "hard-limit": 20000.0, "semantics": "free"},
        {"name": "keyed", "objective": 2000.0, "hard-limit": 20000.0, "semantics": "guarded", "repeat-window": 15000.0,
         "keep-order": True},
        {"name": "unsafe", "objective": 2000.0, "hard-limit": 20000.0, "semantics": "single_shot", "worth": 5.0},
    ],
    "kinds": ["single", "bulk", "routes"],
    "family-info": {"workers": 8, "per-call": [1, 20, 1], "kind-apart": [False, False, True]},
    "policy-limits": {"open-cap": 100, "max-attempts": 12, "cancelling": True, "keepalive": 15000.0},
    "rules": {"drain-grace": 500.0, "turn-gap": 0.0},
    "tick": 5.0, "weights": "off", "zones": ["a", "b"], "fleet-size": 2,
}  # fmt: skip


def run_with_timeout(coroutine):
    """Runs a test's coroutine with a time limit of 4 * WAIT_TIMEOUT_S."""

    async def bounded():
        async with asyncio.timeout(4 * WAIT_TIMEOUT_S):
            await coroutine

    asyncio.run(bounded())


async def wait_until(condition, what="condition"):
    """Polls until `condition()` is true. Raises TimeoutError after WAIT_TIMEOUT_S."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class TcpServer:
    """A TCP server on a free port; its connections are aborted when the context exits."""

    def __init__(self):
        self.server, self.writers, self.connections_accepted = None, set(), 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """The server's address as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def handle_connection(self, reader, writer):
        """Serves one connection and aborts it when `serve` returns or fails."""
        self.connections_accepted += 1
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, h11.RemoteProtocolError):
            pass
        except asyncio.CancelledError:  # when the loop ends; asyncio's streams would log it as an error
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class HttpServer(TcpServer):
    """An HTTP server that responds with the result of `handler(request, body)`.

    The handler returns (status, headers, body), raw bytes, or None to close the connection without a response; or
    an awaitable of these. After raw bytes the connection is closed.
    """

    def __init__(self, handler):
        super().__init__()
        self.handler, self.requests = handler, asyncio.Queue()

    async def serve(self, reader, writer):
        """Serves the requests of one connection in turn."""
        http = h11.Connection(h11.SERVER)
        while True:
            request, body = await self.read_request(http, reader)
            if request is None:
                return
            self.requests.put_nowait((request.target.decode(), dict(request.headers), body))
            self.on_request(writer)
            response = self.handler(request, body)
            if asyncio.iscoroutine(response) or isinstance(response, asyncio.Future):
                response = await response
            if response is None:
                return
            if isinstance(response, bytes):
                writer.write(response)
                await writer.drain()
                return
            status, headers, content = response
            head = h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(content)))])
            parts = (head, h11.Data(content), h11.EndOfMessage())
            self.write_response(writer, b"".join(http.send(part) or b"" for part in parts))
            await writer.drain()
            if http.our_state is not h11.DONE:  # the response says that the connection is closed
                return
            http.start_next_cycle()

    def on_request(self, writer):
        """Called after each request, before its handler; does nothing by default."""

    def write_response(self, writer, response):
        """Writes one encoded response."""
        writer.write(response)

    async def read_request(self, http, reader):
        """Returns the next request and its body; (None, b"") when the connection was closed."""
        request, body = None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request, body
            else:
                return None, b""

    async def next_request(self):
        """Waits for the next request that was received; returns its (target, headers, body)."""
        return await asyncio.wait_for(self.requests.get(), WAIT_TIMEOUT_S)


class DiscoveryServer(HttpServer):
    """Endpoint discovery of the platform: serves the endpoint list, holds watches until the list changes, and
    records notifications.

    While `unresponsive` is true, requests for the list get no response; the next `notifications_to_reject`
    notification requests get status 500. `update_requests` has (target, loop time) of each request for the list.
    """

    def __init__(self, endpoints=()):
        super().__init__(self.handle_request)
        self.endpoints, self.version, self.changed = list(endpoints), 1, asyncio.Event()
        self.unresponsive, self.notifications_to_reject = False, 0
        self.update_requests, self.notifications = [], asyncio.Queue()

    async def handle_request(self, request, body):
        """Records notifications, or responds with the endpoint list."""
        target = request.target.decode()
        if target == "/reports":
            if self.notifications_to_reject:
                self.notifications_to_reject -= 1
                return 500, [], b""
            for line in body.splitlines():
                self.notifications.put_nowait(json.loads(line))
            return 204, [], b""
        self.update_requests.append((target, asyncio.get_running_loop().time()))
        if self.unresponsive:
            await asyncio.get_running_loop().create_future()
        if "index" in target:
            await self.changed.wait()
            self.changed.clear()
        update = {"seq": self.version, "whole": "index" not in target, "hosts": self.endpoints}
        return 200, [], json.dumps(update).encode()

    def set_endpoints(self, *endpoints):
        """Replaces the endpoint list and completes a held watch."""
        self.version, self.endpoints = self.version + 1, list(endpoints)
        self.changed.set()

    async def next_notification(self):
        """Waits for the next notification."""
        return await asyncio.wait_for(self.notifications.get(), WAIT_TIMEOUT_S)


def endpoint_entry(name, address, destination=3, kind="single", health="SERVING", zone="a", rate=1.0):
    """Returns an endpoint entry as discovery sends it."""
    return {"host": name, "dial": address, "site": zone, "class": kind, "block": destination, "health": health,
            "share": rate, "born_ms": 0}  # fmt: skip


def make_config(folder, discovery, cached_endpoints=(), listen=("127.0.0.1", 0), **settings):
    """Returns the configuration of a node. `settings` replace top-level entries of SETTINGS."""
    raw = SETTINGS | settings
    from rainpier.config.platform import settings as decode

    return Config("n0", listen, ("127.0.0.1", discovery.port), folder, 7, 1024, 3_000_000, decode(raw),
                  tuple(raw["zones"]), raw["weights"] != "off",
                  {"seq": 1, "whole": True, "hosts": list(cached_endpoints)})  # fmt: skip


def make_node(config):
    """Returns a complete node as on the platform: endpoint discovery and notifications at one address."""
    # Without a version, so that the complete list is requested.
    cached = {"hosts": config.known.get("hosts", [])}
    return Node(config, Discovery(config.discovery, cached), HttpSink(config.discovery))


def encode_command(*parts):
    """Encodes a RESP command."""
    parts = [part if isinstance(part, bytes) else str(part).encode() for part in parts]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def encode_submission(
    message_id, cls="safe", deadline_ms=10000, destination=3, key="0" * 16, body=b"body", extra_fields=""
):
    """Encodes the MSG.PUT command of a message. `extra_fields`: further fields, each with a leading comma."""
    fields = f"c={cls},d={deadline_ms},dest={destination}{extra_fields}"
    return encode_command("MSG.PUT", key, message_id, fields, body)


class RespClient:
    """One RESP connection of a client."""

    def __init__(self, port):
        self.port, self.parser = port, hiredis.Reader(notEnoughData=self)

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    async def request(self, data):
        """Sends encoded commands and returns the next reply."""
        self.writer.write(data)
        return await self.read_reply()

    async def read_reply(self):
        """Returns the next reply as text, an error with a leading "-"; None when the connection was closed."""
        while (reply := self.parser.gets()) is self:
            data = await asyncio.wait_for(self.reader.read(65536), WAIT_TIMEOUT_S)
            if not data:
                return None
            self.parser.feed(data)
        return f"-{reply}" if isinstance(reply, Exception) else reply.decode()


def interface_endpoint_entry(number=1, destination=3, kind=0, zone=0):
    """Returns an endpoint entry of the policy interface."""
    return i.EndpointEntry(number, destination, zone, kind)
