"""The scripted peers of a run: receivers, each sender's agent, and clients."""

import asyncio
import base64
import contextlib
import json
import random
import re
import socket
from itertools import count

import h11
import hiredis
from peers import HttpPeer, command, host

from standins.faults.records import CAPACITY, Call, Drain, Message, Notice, Records
from standins.faults.sender import Sender

ANSWER_TIME = 0.4  # s that a client waits for an answer
RESET_TIME = 0.03  # s in which a reset follows an end
CLASSES = ("safe", "keyed", "unsafe")


class Receiver(HttpPeer):
    """Answers each call by chance: delivered, an error, refused, told to wait, reset or left without an answer."""

    def __init__(
        self, name: str, destination: int, records: Records, draw: random.Random, trouble: float
    ) -> None:
        super().__init__(None)
        self.name, self.destination, self.records, self.draw = name, destination, records, draw
        self.trouble, self.wait_until = trouble, 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http, loop = h11.Connection(h11.SERVER), asyncio.get_running_loop()
        while True:
            try:
                request, body, begun = await self.read_call(http, reader)
            except h11.RemoteProtocolError as error:
                self.records.unreadable.append(f"{self.name}: {error}")
                return
            if request is None:
                return
            calls = self.listed(request, body, begun, loop.time())
            self.records.calls += calls
            outcome = self.choose(loop.time())
            for call in calls:
                call.outcome = outcome
            self.note_failure(calls, loop.time())
            if outcome == "hang":
                await reader.read(1)  # until the sender gives it up
                return
            await asyncio.sleep(self.draw.uniform(0.002, 0.05))
            if outcome == "reset":
                return
            writer.write(self.worded(http, outcome, calls))
            if writer.transport.is_closing():
                return
            for call in calls:
                call.written = loop.time()
            http.start_next_cycle()

    async def read_call(self, http, reader):
        request, body, begun = None, b"", 0.0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request, begun = event, asyncio.get_running_loop().time()
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request, body, begun
            else:
                return None, b"", 0.0

    def listed(self, request, body, begun: float, now: float) -> list[Call]:
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

    def worded(self, http, outcome: str, calls: list[Call]) -> bytes:
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
        head = h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))])
        return b"".join(http.send(part) or b"" for part in (head, h11.Data(body), h11.EndOfMessage()))


class SenderAgent(HttpPeer):
    """One sender's agent: what it tells, and the notices that it is told, go into the records."""

    def __init__(self, records: Records, name: str) -> None:
        super().__init__(self.reply)
        self.records, self.name = records, name
        self.hosts: list[dict] = []
        self.seq, self.news, self.draining = 1, asyncio.Event(), set()

    async def reply(self, request, body):
        loop, target = asyncio.get_running_loop(), request.target.decode()
        if target == "/reports":
            for line in body.splitlines():
                told = json.loads(line)
                self.records.notices.append(Notice(loop.time(), self.name, told["message"], told["outcome"]))
            return 204, [], b""
        if found := re.search(r"index=(\d+)&wait=(\d+)", target):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(found[2]) / 1000):
                    while self.seq <= int(found[1]):
                        await self.news.wait()
        draining = {entry["host"] for entry in self.hosts if entry["health"] != "SERVING"}
        for name in draining - self.draining:
            self.records.drains.append(Drain(loop.time(), self.name, name))
        self.draining |= draining
        told = {"seq": self.seq, "whole": True, "hosts": self.hosts}
        return 200, [], json.dumps(told).encode()

    def drain(self, name: str) -> None:
        self.hosts = [h | {"health": "DRAINING"} if h["host"] == name else h for h in self.hosts]
        self.seq += 1
        self.news.set()
        self.news = asyncio.Event()


def listed(receivers: list[Receiver]) -> list[dict]:
    kinds = ("single", "bulk")
    return [
        host(r.name, r.dial, block=r.destination, kind=kinds[r.destination % 2], share=CAPACITY)
        for r in receivers
    ]


class Client:
    """Hands in one message after another on one connection, which it opens anew where it ends."""

    numbers = count(1)

    def __init__(
        self, sender: Sender, records: Records, draw: random.Random, gap: float, span: tuple
    ) -> None:
        self.sender, self.records, self.draw, self.gap, self.span = sender, records, draw, gap, span
        self.reader = self.writer = None
        self.parser = hiredis.Reader()
        self.key = next(self.numbers)

    async def run(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            while loop.time() < until:
                await self.hand_in(self.message())
                await asyncio.sleep(self.draw.expovariate(1 / self.gap))
        finally:
            self.close()

    def message(self) -> Message:
        draw, number = self.draw, next(self.numbers)
        cls = draw.choice(CLASSES)
        size = draw.choice([5, 60, 300, 2000]) if draw.random() < 0.98 else 30_000
        name = f"{draw.getrandbits(32):08x}{number:08x}"
        key = self.key if cls == "keyed" and draw.random() < 0.7 else 0
        token = f"t{number:x}" if cls == "keyed" else ""
        span = draw.uniform(*self.span)
        return Message(
            name, cls, draw.choice([1, 2, 3]), key, token, draw.randbytes(size), span, self.sender.name
        )

    async def hand_in(self, message: Message) -> None:
        self.records.messages[message.id] = message
        await self.ask(message)
        if message.answer is None and message.lost_by == "reset":  # it crossed the end of the connection
            message.tried_again = True
            message.lost_by = ""
            await self.ask(message)

    async def ask(self, message: Message) -> None:
        loop = asyncio.get_running_loop()
        fields = f"c={message.cls},d={message.span * 1000:.0f},dest={message.destination}"
        fields += f",k={message.token}" if message.token else ""
        data = command("MSG.PUT", f"{message.key:016x}", message.id, fields, message.body)
        try:
            if self.writer is None:
                await self.connect()
            message.sent, message.life = loop.time(), len(self.sender.lives)
            self.writer.write(data)
            async with asyncio.timeout(ANSWER_TIME):
                answer = await self.answer()
        except TimeoutError:
            message.lost_by = "timeout"
        except ConnectionRefusedError:
            message.lost_by = "refused"
            await asyncio.sleep(0.05)
        except OSError:
            message.lost_by = "reset"
        else:
            message.answered = loop.time()
            if answer is None:
                message.lost_by = "reset" if await self.was_unread() else "eof"
            else:
                word = answer.split()[0] if isinstance(answer, str) else "OK"
                message.answer = {"-BUSY": "BUSY", "OK": "OK"}.get(word, "ERR")
                return
        self.close()

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.sender.port), ANSWER_TIME
        )
        self.parser = hiredis.Reader()

    async def answer(self) -> str | None:
        while (got := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                return None
            self.parser.feed(data)
        return f"-{got}" if isinstance(got, Exception) else got.decode()

    async def was_unread(self) -> bool:
        """The sender's end crossed the request: what comes to a closed socket is answered by a reset."""
        await asyncio.sleep(RESET_TIME)
        try:
            return bool(self.writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        except OSError:  # the reset was noticed already
            return True

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None
