"""A client: hands in messages over one kept RESP connection."""

import asyncio
import contextlib

from .loopback import LOOPBACK
from .record import Record

ANSWER_TIMEOUT_S = 0.4


class Client:
    """One client; opens its connection anew when the sender has closed it."""

    def __init__(self, record: Record, port: int, name: str = "client") -> None:
        self.record, self.port, self.name = record, port, name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def command(self, *parts: bytes) -> str:
        """Sends one command and returns the answer's line; "" if none came within the time."""
        if self.writer is None or self.reader is None or self.reader.at_eof() or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)
        request = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
        self.writer.write(request)
        try:
            return (await asyncio.wait_for(self.reader.readline(), ANSWER_TIMEOUT_S)).decode().strip()
        except (TimeoutError, OSError):
            self.close()
            return ""

    async def put(
        self, message: str, cls: str, lifetime_ms: int, dest: int, key: str = "0" * 16, token: str = "",
        body: bytes = b"body",
    ) -> bool:  # fmt: skip
        """Hands in one message; returns whether it was taken on."""
        fields = f"c={cls},d={lifetime_ms},dest={dest}" + (f",k={token}" if token else "")
        self.record.write(self.name, f"hands in {message}: key {key}, {fields}")
        answer = await self.command(b"MSG.PUT", key.encode(), message.encode(), fields.encode(), body)
        self.record.write(self.name, f"is answered {answer or 'nothing'} to {message}")
        return bool(answer) and not answer.startswith("-")

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            with contextlib.suppress(OSError):
                self.writer.transport.abort()
        self.reader = self.writer = None
