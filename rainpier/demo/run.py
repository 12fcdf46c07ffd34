"""The demo: a sidecar in its own process, stand-in receivers in this one, three classes, a table."""

import asyncio
import json
import os
import random
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..config.check import SOCKET
from ..control.server import ask
from .broker import BrokerReceiver
from .client import AmqpClient, Client, Handed, Message
from .receivers import Behaviour, Ledger, Receiver

RATE = 250.0  # messages a second that are handed in
CLIENTS = 12
VIDEOS = 24  # keys of ordered messages
SPAN = 10_000  # ms that a message may live
STARTED = 15.0  # s for the sidecar to come up
SEED = 20
NUMBERS = {"thumbnails": 1, "renders": 2, "billing": 3}
CLASSES = {"notice": "thumbnails", "render": "renders", "charge": "billing"}
Say = Callable[[str], None]

CONFIG = """version = 1
[sidecar]
name = "demo"
state = "state"
[resp]
listen = "127.0.0.1:0"
[amqp]
listen = "127.0.0.1:0"
[kind.single]
batch = 1
[kind.broker]
protocol = "amqp"
[sink]
file = "ends.jsonl"
[class.notice]
effect = "safe"
aim = "1 s"
deadline = "10 s"
late_worth = 0.2
[class.render]
effect = "keyed"
aim = "2 s"
deadline = "10 s"
late_worth = 0.2
order = true
key = "video"
repeat_window = "30 s"
[class.charge]
effect = "unsafe"
aim = "2 s"
deadline = "10 s"
late_worth = 0.5
worth = 5
"""


@dataclass
class Report:
    """What came of all messages."""

    total: int
    delivered: int
    refused: int
    failed: int
    lost: int  # no end at all: none may be
    repeated: int
    twice: int
    out_of_order: int

    @property
    def good(self) -> bool:
        return not (self.lost or self.twice or self.out_of_order)

    def table(self) -> str:
        rows = [("delivered", self.delivered), ("refused (safe to hand in again)", self.refused),
                ("failed (given up)", self.failed), ("lost without an end", self.lost),
                ("sent more than once", self.repeated), ("effects seen twice", self.twice),
                ("order broken", self.out_of_order)]  # fmt: skip
        return "\n".join(f"  {name:<34}{count:>8}" for name, count in rows)

    def line(self) -> str:
        return (f"delivered {self.delivered} refused {self.refused} failed {self.failed} of {self.total}, "
                f"{self.twice} twice, {self.out_of_order} out of order")  # fmt: skip


Endpoint = Receiver | BrokerReceiver


def receivers(ledger: Ledger, length: float, carrier: str = "http") -> dict[str, list[Endpoint]]:
    """By destination: one is slow now and then, one refuses with a wait, one dies and returns."""
    made = {
        "thumbnails": [Behaviour(), Behaviour(0.02, slow_share=0.2)],
        "renders": [Behaviour(0.01), Behaviour(0.01, dies_at=0.3 * length, away=0.3 * length)],
        "billing": [Behaviour(0.01, limit=RATE / 15), Behaviour(0.02)],
    }
    kind = BrokerReceiver if carrier == "amqp" else Receiver
    return {
        name: [kind(f"{name}-{n}", ledger, one, SEED + 10 * d + n) for n, one in enumerate(behaviours)]
        for d, (name, behaviours) in enumerate(made.items())
    }


def messages(count: int) -> list[Message]:
    """Of three classes in turn; renders are numbered along each of their videos."""
    found, seq = [], [0] * VIDEOS
    draw = random.Random(SEED)
    for n in range(count):
        cls = ("notice", "render", "charge")[n % 3]
        told: dict[str, object] = {"n": n}
        key, token = 0, ""
        if cls == "render":
            video = draw.randrange(VIDEOS)
            seq[video] += 1
            key, token, told = video + 1, f"tok{n}", told | {"key": video, "seq": seq[video]}
        body = json.dumps(told).encode()
        found.append(Message(f"{cls}-{n}", cls, NUMBERS[CLASSES[cls]], SPAN, body, key, token))
    return found


def configuration(made: dict[str, list[Endpoint]], carrier: str = "http") -> str:
    parts, kind = [CONFIG], "broker" if carrier == "amqp" else "single"
    for name, some in made.items():
        listed = ", ".join(f'"127.0.0.1:{receiver.port}"' for receiver in some)
        parts.append(
            f'[destination.{name}]\nnumber = {NUMBERS[name]}\nkind = "{kind}"\nrate = "{RATE:.0f}/s"\n'
            f"endpoints = [{listed}]\n"
        )
    return "\n".join(parts)


class Demo:
    def __init__(
        self, folder: Path, count: int, say: Say, front: str = "resp", carrier: str = "http"
    ) -> None:
        self.folder, self.count, self.say, self.front, self.carrier = folder, count, say, front, carrier
        self.ledger, self.handed = Ledger(), Handed()
        self.made = receivers(self.ledger, count / RATE, carrier)
        self.socket = folder / "state" / SOCKET
        self.file = folder / "sidecar.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.clients: list[Client | AmqpClient] = []

    async def run(self) -> Report:
        every = [receiver for some in self.made.values() for receiver in some]
        for receiver in every:
            await receiver.start()
        self.file.write_text(configuration(self.made, self.carrier))
        lives: list[asyncio.Task] = []
        try:
            port = await self.start()
            self.say(f"sidecar on 127.0.0.1:{port}, {len(every)} receivers, {self.count} messages")
            lives = [asyncio.create_task(receiver.live()) for receiver in every]
            progress = asyncio.create_task(self.progress())
            lives.append(progress)
            await self.hand_in(port)
            await self.settle()
            await asyncio.sleep(0)
            if self.front == "amqp":
                self.say(f"ends heard from reply queues: {len(self.handed.heard)}")
        finally:
            for client in self.clients:
                client.close()
            for task in lives:
                task.cancel()
            await self.stop()
            for receiver in every:
                receiver.stop()
        return self.report()

    # --- the sidecar ---

    async def start(self) -> int:
        """Its port, once it serves; RuntimeError with its log where it does not."""
        with (self.folder / "sidecar.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "rainpier", "run", "-c", str(self.file), stderr=log,
                env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[2])},
            )  # fmt: skip
        until = asyncio.get_running_loop().time() + STARTED
        while asyncio.get_running_loop().time() < until and self.process.returncode is None:
            try:
                told = ask(self.socket, "status")
                listen = told["amqp"]["listen"] if self.front == "amqp" else told["listen"]  # type: ignore[index]
                return int(str(listen).rpartition(":")[2])
            except (OSError, ValueError):
                await asyncio.sleep(0.02)
        raise RuntimeError("the sidecar did not start:\n" + (self.folder / "sidecar.log").read_text())

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.terminate()
            await self.process.wait()

    async def status(self) -> dict:
        return await asyncio.get_running_loop().run_in_executor(None, ask, self.socket, "status")

    # --- the traffic ---

    async def hand_in(self, port: int) -> None:
        """At an even rate; the messages of one video over one client, in their order."""
        queues: list[asyncio.Queue[Message | None]] = [asyncio.Queue() for _ in range(CLIENTS)]
        workers = [asyncio.create_task(self.work(port, queue)) for queue in queues]
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for n, message in enumerate(messages(self.count)):
            await asyncio.sleep(max(0.0, begun + n / RATE - loop.time()))
            queues[(message.key or n) % CLIENTS].put_nowait(message)
        for queue in queues:
            queue.put_nowait(None)
        await asyncio.gather(*workers)

    async def work(self, port: int, queue: asyncio.Queue[Message | None]) -> None:
        client = AmqpClient(port, self.handed) if self.front == "amqp" else Client(port, self.handed)
        self.clients.append(client)
        while (message := await queue.get()) is not None:
            await client.hand_in(message)

    async def settle(self) -> None:
        """Until every message has its end, which is at its deadline at the latest."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SPAN / 1000 + 5
        while loop.time() < until:
            told = await self.status()
            if not told["held"] and not told["ends_waiting"]:
                return
            await asyncio.sleep(0.05)

    async def progress(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            told = await self.status()
            calls = sum(receiver.calls for some in self.made.values() for receiver in some)
            refused = sum(receiver.refused for some in self.made.values() for receiver in some)
            self.say(f"handed in {self.handed.answered:>6} of {self.count}   held {told['held']:>4}   out "
                     f"{told['out']:>3}   calls {calls:>6}   refused by receivers {refused:>4}")  # fmt: skip

    # --- the end ---

    def report(self) -> Report:
        ends = self.ends()
        back = {name for name, end in ends.items() if end == "handed_back"}
        given = set(ends) - back
        owed = self.handed.taken - set(ends)
        delivered = {name for name in owed if self.ledger.effects.get(name)}
        harmless = lambda message: message.startswith("notice")  # noqa: E731
        return Report(
            total=self.count, delivered=len(delivered), refused=len(self.handed.refused | back),
            failed=len(self.handed.failed | given), lost=len(owed - delivered),
            repeated=self.ledger.repeated, twice=self.ledger.twice(harmless),
            out_of_order=self.ledger.out_of_order,
        )  # fmt: skip

    def ends(self) -> dict[str, str]:
        path = self.folder / "ends.jsonl"
        rows = path.read_text().splitlines() if path.exists() else []
        return {told["message"]: told["outcome"] for told in map(json.loads, rows)}


def demo(count: int, say: Say, front: str = "resp", carrier: str = "http") -> Report:
    """Runs in a folder of its own, which it removes."""
    with tempfile.TemporaryDirectory(prefix="rainpier-demo-") as folder:
        return asyncio.run(Demo(Path(folder), count, say, front, carrier).run())
