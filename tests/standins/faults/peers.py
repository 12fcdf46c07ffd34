"""The scripted peers of a run beside its receivers: each sender's agent, and clients."""

import asyncio
import contextlib
import json
import random
import re
import socket
from itertools import count

import hiredis
from peers import HttpPeer, command, host

from standins.faults.plan import Plan
from standins.faults.receiver import Receiver
from standins.faults.records import Drain, Message, Notice, Records
from standins.faults.sender import Sender
from standins.faults.strays import Strays

ANSWER_TIME = 0.4  # s that a client waits for an answer
RESET_TIME = 0.03  # s in which a reset follows an end
CLASSES = ("safe", "keyed", "unsafe")


class SenderAgent(HttpPeer):
    """One sender's agent: what it tells, and the notices that it is told, go into the records."""

    def __init__(self, records: Records, name: str, strays: Strays) -> None:
        super().__init__(self.reply)
        self.records, self.name, self.strays = records, name, strays
        self.strayed = False  # a stray has just been sent on the connection of the request that is answered
        self.hosts: list[dict] = []
        self.seq, self.news, self.draining = 1, asyncio.Event(), set()

    async def reply(self, request, body):
        loop, target = asyncio.get_running_loop(), request.target.decode()
        if target == "/reports":
            if self.strayed and self.strays.drops_request():
                return None
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

    def request_came(self, writer: asyncio.StreamWriter) -> None:
        self.strayed = self.strays.request_came(writer)

    def respond(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        super().respond(writer, answer)
        self.strays.follow(writer, answer, by_agent=True)

    def drain(self, name: str) -> None:
        self.hosts = [h | {"health": "DRAINING"} if h["host"] == name else h for h in self.hosts]
        self.seq += 1
        self.news.set()
        self.news = asyncio.Event()


def listed(receivers: list[Receiver], capacity: float) -> list[dict]:
    kinds = ("single", "bulk")
    return [
        host(r.name, r.dial, block=r.destination, kind=kinds[r.destination % 2], share=capacity)
        for r in receivers
    ]


class Client:
    """Hands in one message after another on one connection, which it opens anew where it ends."""

    numbers = count(1)

    def __init__(self, sender: Sender, records: Records, draw: random.Random, plan: Plan) -> None:
        self.sender, self.records, self.draw, self.plan = sender, records, draw, plan
        self.reader = self.writer = None
        self.parser = hiredis.Reader()
        self.key = next(self.numbers)

    async def run(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            while loop.time() < until:
                await self.hand_in(self.message())
                await asyncio.sleep(self.draw.expovariate(1 / self.plan.gap))
        finally:
            self.close()

    def message(self) -> Message:
        draw, number = self.draw, next(self.numbers)
        cls = draw.choice(CLASSES)
        size = draw.choice([5, 60, 300, 2000]) if draw.random() < 0.98 else 30_000
        name = f"{draw.getrandbits(32):08x}{number:08x}"
        key = self.key if cls == "keyed" and draw.random() < 0.7 else 0
        token = f"t{number:x}" if cls == "keyed" else ""
        span = draw.uniform(*self.plan.span)
        destination = draw.choice([1, 2, 3])
        if self.plan.to_first and draw.random() < self.plan.to_first:
            destination = 1
        return Message(name, cls, destination, key, token, draw.randbytes(size), span, self.sender.name)

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
