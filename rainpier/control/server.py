"""A local socket on which a running sidecar answers: one JSON object a line each way.

    {"ask": "status"}  ->  {"ok": {...}}  or  {"error": "..."}

Only its owner can open it: the socket's mode is 0600.
"""

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)
MAX_LINE = 64 << 10  # bytes of a request
MOST = 16  # connections at once
TIME = 10.0  # s that one may stay


class Control:
    def __init__(self, path: Path, answers: dict[str, Callable[[], dict[str, object]]]) -> None:
        self.path, self.answers, self.open = path, answers, 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """In the place of what an earlier process left; the state folder's lock keeps others out."""
        self.path.unlink(missing_ok=True)
        before = os.umask(0o177)
        try:
            self.server = await asyncio.start_unix_server(self.serve, str(self.path), limit=MAX_LINE)
        finally:
            os.umask(before)

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            if self.open <= MOST:
                async with asyncio.timeout(TIME):
                    while line := await reader.readline():
                        writer.write(json.dumps(self.answer(line)).encode() + b"\n")
                        await writer.drain()
        except (OSError, ValueError, TimeoutError):
            pass  # the other side's matter
        finally:
            self.open -= 1
            writer.close()

    def answer(self, line: bytes) -> dict[str, object]:
        try:
            asked = json.loads(line)["ask"]
            if asked not in self.answers:
                return {"error": f"unknown: {str(asked)[:64]!r}; known are {', '.join(self.answers)}"}
        except (ValueError, KeyError, TypeError, RecursionError):
            return {"error": 'expected a line like {"ask": "status"}'}
        try:
            return {"ok": self.answers[asked]()}
        except Exception:
            log.exception("control: %s failed", asked)
            return {"error": "internal error"}


def ask(path: Path, what: str, timeout: float = 5.0) -> dict[str, object]:
    """From another process; OSError where nobody answers, ValueError where the answer is an error."""
    with socket.socket(socket.AF_UNIX) as peer:
        peer.settimeout(timeout)
        peer.connect(str(path))
        peer.sendall(json.dumps({"ask": what}).encode() + b"\n")
        with peer.makefile("rb") as file:
            told = json.loads(file.readline() or b"{}")
    if "ok" not in told:
        raise ValueError(told.get("error", "no answer"))
    return told["ok"]
