"""A scripted receiver that records when each call arrived and until when it was in flight."""

import asyncio
import base64
import json
import random
import select

import h11
from peers import TcpServer

from standins.faults.records import Call, Records
from standins.faults.strays import Strays

CallBatch = list[Call]  # the records of one call, one for each message in it


def is_closed_by_peer(writer: asyncio.StreamWriter) -> bool:
    """Returns whether the peer has closed its end of a connection, even if that has not been read yet."""
    if writer.transport.is_closing():
        return True
    poller = select.poll()
    poller.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


class Receiver(TcpServer):
    """Gives each call a random outcome: delivered, an error, overloaded, retry-after, a reset or no response.

    Reads pipelined calls while earlier ones have no response yet.

    `failure_share`: share of calls without a 200; `response_time`: least and longest response time, in s.
    """

    def __init__(
        self,
        name: str,
        destination: int,
        records: Records,
        rng: random.Random,
        failure_share: float,
        strays: Strays,
        response_time: tuple[float, float],
    ) -> None:
        super().__init__()
        self.name, self.destination, self.records, self.rng = name, destination, records, rng
        # rejects_until: loop time of the last retry-after deadline
        self.failure_share, self.rejects_until = failure_share, 0.0
        self.strays, self.response_time = strays, response_time

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Responds to the calls of one connection in turn."""
        arrived: asyncio.Queue[CallBatch | None] = asyncio.Queue()
        open_calls: list[Call] = []
        reader_task = asyncio.get_running_loop().create_task(
            self.read_calls(reader, writer, arrived, open_calls)
        )
        try:
            while (calls := await arrived.get()) is not None:
                if not await self.respond(calls, writer, reader_task):
                    return
                self.mark_closed(calls)
                for call in calls:
                    open_calls.remove(call)
        finally:
            reader_task.cancel()
            self.mark_closed(open_calls)

    @staticmethod
    def mark_closed(calls: list[Call]) -> None:
        """Records that calls are no longer in flight: a response was written, or their connection ended."""
        for call in calls:
            if call.closed is None:
                call.closed = asyncio.get_running_loop().time()

    async def respond(
        self, calls: CallBatch, writer: asyncio.StreamWriter, reader_task: asyncio.Task
    ) -> bool:
        """Handles one call; returns whether the connection stays open."""
        loop = asyncio.get_running_loop()
        outcome = self.choose_outcome(loop.time())
        for call in calls:
            call.outcome = outcome
        self.record_outage_failure(calls, loop.time())
        if outcome == "hang":
            await asyncio.wait([reader_task])  # until the sender closes the connection
            return False
        await asyncio.sleep(self.rng.uniform(*self.response_time))
        if outcome == "reset":
            return False
        response = self.encode_response(outcome, calls)
        if is_closed_by_peer(writer):  # the sender has given the call up, so that no response reaches it
            return False
        writer.write(response)
        if writer.transport.is_closing():
            return False
        for call in calls:
            call.written = loop.time()
        self.strays.schedule(writer, response)
        return True

    async def read_calls(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        arrived: asyncio.Queue[CallBatch | None],
        open_calls: list[Call],
    ) -> None:
        """Reads calls until the sender closes the connection; None in `arrived` marks the end."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                header = await reader.readuntil(b"\r\n\r\n")
                started = loop.time()
                request, body = await self.read_body(header, reader)
                calls = self.parse_calls(request, body, started, loop.time())
                self.records.calls += calls
                open_calls += calls
                arrived.put_nowait(calls)
                self.strays.on_request(writer)
        except h11.RemoteProtocolError as error:
            self.records.invalid_requests.append(f"{self.name}: {error}")
        except (OSError, EOFError):
            pass
        self.mark_closed(open_calls)
        arrived.put_nowait(None)

    async def read_body(self, header: bytes, reader: asyncio.StreamReader) -> tuple[h11.Request, bytes]:
        """Returns the request of an encoded header, and its body."""
        http = h11.Connection(h11.SERVER)
        http.receive_data(header)
        request = http.next_event()
        length = int(dict(request.headers)[b"content-length"])
        return request, await reader.readexactly(length)

    def parse_calls(self, request: h11.Request, body: bytes, started: float, now: float) -> list[Call]:
        """Returns the records of one call, one for each message.

        `started`, `now`: loop times at which its header and its last byte were read.
        """
        header = {name.decode(): value.decode() for name, value in request.headers}
        if request.target == b"/v1/messages":
            rows = [(header.get("x-call-id", ""), header.get("idempotency-key", ""), body)]
        elif request.target == b"/v1/messages:batch":
            rows = [(r["id"], r.get("key", ""), base64.b64decode(r["body"])) for r in json.loads(body)]
        else:
            self.records.invalid_requests.append(f"{self.name}: {request.target!r}")
            rows = []
        return [
            Call(name, token, text, self.name, self.destination, started, now) for name, token, text in rows
        ]

    def record_outage_failure(self, calls: list[Call], now: float) -> None:
        """Records which senders had a call fail in the outage, and so can know of it from `now` on."""
        outage = self.records.outage
        if outage is None or outage.destination != self.destination or not outage.since <= now < outage.until:
            return
        for call in calls:
            if (message := self.records.messages.get(call.message)) is not None:
                outage.first_failure.setdefault(message.sender, now)

    def choose_outcome(self, now: float) -> str:
        """Returns the outcome of a call: by the retry-after deadline, by the outage, or at random."""
        if now < self.rejects_until:
            return "full"
        outage = self.records.outage
        if outage is not None and outage.destination == self.destination:
            if outage.since <= now < outage.until:
                return "reset"
            if outage.rejects_call(now):
                return "full"
        if self.rng.random() >= self.failure_share:
            return "ok"
        return self.rng.choice(["error", "full", "wait", "reset", "reset", "hang"])

    def encode_response(self, outcome: str, calls: list[Call]) -> bytes:
        """Returns the HTTP response for an outcome; sets the retry-after deadline for "wait"."""
        loop, headers, body = asyncio.get_running_loop(), [], b""
        status = {"ok": 200, "error": 500, "full": 503, "wait": 429}[outcome]
        if outcome == "wait":
            wait = self.rng.choice([0.2, 0.4])
            headers = [("X-Retry-In-Ms", str(int(wait * 1000)))]
            self.rejects_until = loop.time() + wait
            for call in calls:
                call.retry_after = wait
        if outcome == "ok" and len(calls) > 1:
            body = json.dumps([{"id": call.message, "state": "delivered"} for call in calls]).encode()
        lines = [f"HTTP/1.1 {status} ", *(f"{name}: {value}" for name, value in headers)]
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
