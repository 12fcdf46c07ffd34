"""A small HTTP/1.1 server on a loopback address, for the agent and the receivers."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .loopback import LOOPBACK

REASONS = {200: "OK", 204: "No Content", 429: "Too Many Requests", 500: "Internal Server Error"}


@dataclass(frozen=True)
class Request:
    """One request, with the loop times (s) of its first and last byte."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    began: float
    ended: float


@dataclass(frozen=True)
class Response:
    """One response; see RESET and SILENCE for statuses that are none."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self) -> bytes:
        """Returns the response as it goes over the connection."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


RESET = Response(0)  # the connection is reset without a response
SILENCE = Response(-1)  # no response comes, and the connection stays open until the peer closes it
Handler = Callable[[Request], Awaitable[Response]]


class HttpServer:
    """Serves kept-alive connections, one request after another, with `handler`."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.port = 0
        self.busy: set[asyncio.StreamWriter] = set()  # of connections with a request that is being served
        self.ending = False  # connections are closed once their request is answered

    async def start(self, port: int = 0) -> None:
        """Listens on a free loopback port, or on `port`."""
        self.ending = False
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The server's address as HOST:PORT."""
        return f"{LOOPBACK}:{self.port}"

    def stop_listening(self) -> None:
        """Takes no new connection any more; open ones stay open."""
        if self.server is not None:
            self.server.close()

    def end(self) -> None:
        """Stops listening; closes idle connections now, the others once their request is answered."""
        self.stop_listening()
        self.ending = True
        for writer in self.writers - self.busy:
            writer.close()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until its peer closes it."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await self.read_request(reader)) is not None:
                self.busy.add(writer)
                response = await self.handler(request)
                self.busy.discard(writer)
                if response == RESET:
                    break
                if response == SILENCE:
                    await reader.read()
                    self.on_given_up(request)
                    break
                writer.write(response.encode())
                await writer.drain()
                if self.ending:
                    writer.close()
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            self.busy.discard(writer)
            if not writer.is_closing():
                writer.transport.abort()

    def on_given_up(self, request: Request) -> None:
        """Called when the peer has closed a connection on which it waited in vain."""

    @staticmethod
    async def read_request(reader: asyncio.StreamReader) -> Request | None:
        """Reads one request; None when the peer has closed the connection."""
        first = await reader.read(1)
        if not first:
            return None
        loop = asyncio.get_running_loop()
        began = loop.time()
        head = first + await reader.readuntil(b"\r\n\r\n")
        line, *rows = head.decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ", 2)
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(method, target, headers, body, began, loop.time())
