"""A scripted receiver of a run, which notes when each call came, and until when it was out."""

import asyncio
import base64
import json
import random

import h11
from peers import Peer

from standins.faults.records import Call, Records
from standins.faults.strays import Strays

Arrived = list[Call]  # what travels in one call


class Receiver(Peer):
    """Answers each call by chance: delivered, an error, refused, told to wait, reset or left without an answer.

    Calls are read as they come, also while the one before has no answer yet; `answer_time`: s, the least and most.
    """

    def __init__(
        self,
        name: str,
        destination: int,
        records: Records,
        draw: random.Random,
        trouble: float,
        strays: Strays,
        answer_time: tuple[float, float],
    ) -> None:
        super().__init__()
        self.name, self.destination, self.records, self.draw = name, destination, records, draw
        self.trouble, self.wait_until = trouble, 0.0
        self.strays, self.answer_time = strays, answer_time

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrived: asyncio.Queue[Arrived | None] = asyncio.Queue()
        open_calls: list[Call] = []
        reading = asyncio.get_running_loop().create_task(self.read_calls(reader, writer, arrived, open_calls))
        try:
            while (calls := await arrived.get()) is not None:
                if not await self.answer(calls, writer, reading):
                    return
                self.end(calls)
                for call in calls:
                    open_calls.remove(call)
        finally:
            reading.cancel()
            self.end(open_calls)

    @staticmethod
    def end(calls: list[Call]) -> None:
        """They are out no longer: their answer is written, or their connection has ended."""
        for call in calls:
            if call.closed is None:
                call.closed = asyncio.get_running_loop().time()

    async def answer(self, calls: Arrived, writer: asyncio.StreamWriter, reading: asyncio.Task) -> bool:
        """Whether the connection goes on."""
        loop = asyncio.get_running_loop()
        outcome = self.choose(loop.time())
        for call in calls:
            call.outcome = outcome
        self.note_failure(calls, loop.time())
        if outcome == "hang":
            await asyncio.wait([reading])  # until the sender gives it up
            return False
        await asyncio.sleep(self.draw.uniform(*self.answer_time))
        if outcome == "reset":
            return False
        answer = self.worded(outcome, calls)
        writer.write(answer)
        if writer.transport.is_closing():
            return False
        for call in calls:
            call.written = loop.time()
        self.strays.follow(writer, answer)
        return True

    async def read_calls(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        arrived: asyncio.Queue[Arrived | None],
        open_calls: list[Call],
    ) -> None:
        """Until the sender ends the connection."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                begun = loop.time()
                request, body = await self.read_body(head, reader)
                calls = self.listed(request, body, begun, loop.time())
                self.records.calls += calls
                open_calls += calls
                arrived.put_nowait(calls)
                self.strays.request_came(writer)
        except h11.RemoteProtocolError as error:
            self.records.unreadable.append(f"{self.name}: {error}")
        except (OSError, EOFError):
            pass
        self.end(open_calls)
        arrived.put_nowait(None)

    async def read_body(self, head: bytes, reader: asyncio.StreamReader) -> tuple[h11.Request, bytes]:
        http = h11.Connection(h11.SERVER)
        http.receive_data(head)
        request = http.next_event()
        length = int(dict(request.headers)[b"content-length"])
        return request, await reader.readexactly(length)

    def listed(self, request: h11.Request, body: bytes, begun: float, now: float) -> list[Call]:
        head = {name.decode(): value.decode() for name, value in request.headers}
        if request.target == b"/v1/messages":
            rows = [(head.get("x-call-id", ""), head.get("idempotency-key", ""), body)]
        elif request.target == b"/v1/messages:batch":
            rows = [(r["id"], r.get("key", ""), base64.b64decode(r["body"])) for r in json.loads(body)]
        else:
            self.records.unreadable.append(f"{self.name}: {request.target!r}")
            rows = []
        return [
            Call(name, token, text, self.name, self.destination, begun, now) for name, token, text in rows
        ]

    def note_failure(self, calls: list[Call], now: float) -> None:
        """Whose call failed in the outage: from then on it knows of it."""
        outage = self.records.outage
        if outage is None or outage.destination != self.destination or not outage.since <= now < outage.until:
            return
        for call in calls:
            if (message := self.records.messages.get(call.message)) is not None:
                outage.failed.setdefault(message.sender, now)

    def choose(self, now: float) -> str:
        if now < self.wait_until:
            return "full"
        outage = self.records.outage
        if outage is not None and outage.destination == self.destination:
            if outage.since <= now < outage.until:
                return "reset"
            if outage.full(now):
                return "full"
        if self.draw.random() >= self.trouble:
            return "ok"
        return self.draw.choice(["error", "full", "wait", "reset", "reset", "hang"])

    def worded(self, outcome: str, calls: list[Call]) -> bytes:
        loop, headers, body = asyncio.get_running_loop(), [], b""
        status = {"ok": 200, "error": 500, "full": 503, "wait": 429}[outcome]
        if outcome == "wait":
            wait = self.draw.choice([0.2, 0.4])
            headers = [("X-Retry-In-Ms", str(int(wait * 1000)))]
            self.wait_until = loop.time() + wait
            for call in calls:
                call.wait = wait
        if outcome == "ok" and len(calls) > 1:
            body = json.dumps([{"id": call.message, "state": "delivered"} for call in calls]).encode()
        lines = [f"HTTP/1.1 {status} ", *(f"{name}: {value}" for name, value in headers)]
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
