"""The control socket: a Unix socket on which a running sidecar answers requests, one JSON object a line.

    {"ask": "status"}  ->  {"ok": {...}}  or  {"error": "..."}

Only the owner of the process can open it: the mode of the socket is 0600.
"""

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)
MAX_REQUEST = 64 << 10  # bytes
MAX_CONNECTIONS = 16  # at once
CONNECTION_TIMEOUT = 10.0  # s; longest life of a connection


class Control:
    """The server side; `answers` maps each request to the function that answers it."""

    def __init__(self, path: Path, answers: dict[str, Callable[[], dict[str, object]]]) -> None:
        self.path, self.answers, self.connection_count = path, answers, 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Binds the socket, in place of one that an earlier process left; raises OSError.

        The lock on the state folder ensures that no other process is using it.
        """
        self.path.unlink(missing_ok=True)
        old_umask = os.umask(0o177)  # creates the socket with mode 0600
        try:
            self.server = await asyncio.start_unix_server(self.serve, str(self.path), limit=MAX_REQUEST)
        finally:
            os.umask(old_umask)

    async def close(self) -> None:
        """Stops listening and removes the socket's file; does nothing before `listen`."""
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection; closes it at once above MAX_CONNECTIONS."""
        self.connection_count += 1
        try:
            if self.connection_count <= MAX_CONNECTIONS:
                async with asyncio.timeout(CONNECTION_TIMEOUT):
                    while line := await reader.readline():
                        writer.write(json.dumps(self.answer(line)).encode() + b"\n")
                        await writer.drain()
                        await asyncio.sleep(0)  # others run between two requests of one connection
        except (OSError, ValueError, TimeoutError):
            pass  # the client went away, or sent too long a line, or took too long
        finally:
            self.connection_count -= 1
            writer.close()

    def answer(self, line: bytes) -> dict[str, object]:
        """Answers one request line: an object with `ok` or `error`."""
        try:
            request = json.loads(line)["ask"]
            if request not in self.answers:
                return {"error": f"unknown: {str(request)[:64]!r}; known are {', '.join(self.answers)}"}
        except (ValueError, KeyError, TypeError, RecursionError):
            return {"error": 'expected a line like {"ask": "status"}'}
        try:
            return {"ok": self.answers[request]()}
        except Exception:
            log.exception("control socket: request %s failed", request)
            return {"error": "internal error"}


def ask(path: Path, what: str, timeout: float = 5.0) -> dict[str, object]:
    """Sends the request `what` to a sidecar and returns the answer; `timeout` in s.

    Raises OSError if no sidecar answers, and ValueError with the error's text if the answer is an error.
    """
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout)
        connection.connect(str(path))
        connection.sendall(json.dumps({"ask": what}).encode() + b"\n")
        with connection.makefile("rb") as file:
            reply = json.loads(file.readline() or b"{}")
    if "ok" not in reply:
        raise ValueError(reply.get("error", "no answer"))
    return reply["ok"]
