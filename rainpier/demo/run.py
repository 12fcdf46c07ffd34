"""Runs the demo: a sidecar in its own process, stand-in receivers in this one, messages of three classes."""

import asyncio
import json
import os
import random
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..config.check import CONTROL_SOCKET_NAME
from ..control.server import ask
from .broker import BrokerReceiver
from .client import AmqpClient, Client, Message, SubmissionResults
from .receivers import Behaviour, Ledger, Receiver

RATE = 250.0  # messages submitted a second
CLIENT_COUNT = 12
VIDEO_COUNT = 24  # the number of keys of ordered messages
LIFETIME = 10_000  # ms until the deadline of a message
START_TIMEOUT = 15.0  # s for the sidecar to start
START_POLL_INTERVAL = 0.02  # s between attempts to reach the starting sidecar
POLL_INTERVAL = 0.05  # s between status requests while messages are outstanding
PROGRESS_INTERVAL = 0.5  # s between progress lines
COMPLETION_MARGIN = 5  # s after the last deadline until the demo stops waiting for completions
SEED = 20  # of the random numbers, so that every run has the same messages
NUMBERS = {"thumbnails": 1, "renders": 2, "billing": 3}  # by destination
DESTINATIONS = {"notice": "thumbnails", "render": "renders", "charge": "billing"}  # by class
Echo = Callable[[str], None]

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
    """Final counts over all messages."""

    total: int
    delivered: int
    refused: int  # rejected by the sidecar or handed back; safe to submit again
    failed: int  # no reply from the sidecar, or completed without delivery
    lost: int  # accepted, without an effect and without a completion; must be 0
    repeated: int  # sent more than once
    twice: int  # took effect more than once where that does harm; must be 0
    out_of_order: int  # effects after that of a later message of the same key; must be 0

    @property
    def good(self) -> bool:
        """Whether no message was lost, took effect twice to harm, or took effect out of order."""
        return not (self.lost or self.twice or self.out_of_order)

    def table(self) -> str:
        """Formats the counts as a table."""
        rows = [("delivered", self.delivered), ("rejected (safe to submit again)", self.refused),
                ("failed (given up)", self.failed), ("lost without a completion", self.lost),
                ("sent more than once", self.repeated), ("duplicate effects", self.twice),
                ("effects out of order", self.out_of_order)]  # fmt: skip
        return "\n".join(f"  {name:<34}{count:>8}" for name, count in rows)

    def line(self) -> str:
        """Formats the main counts as one line."""
        return (f"delivered {self.delivered} rejected {self.refused} failed {self.failed} of {self.total}, "
                f"{self.twice} duplicate effects, {self.out_of_order} out of order")  # fmt: skip


Endpoint = Receiver | BrokerReceiver


def make_receivers(ledger: Ledger, length: float, carrier: str = "http") -> dict[str, list[Endpoint]]:
    """Makes receivers by destination: one is slow at times, one has a rate limit, one fails for a while.

    `length` is the duration of the traffic in seconds.
    """
    behaviours = {
        "thumbnails": [Behaviour(), Behaviour(0.02, slow_share=0.2)],
        "renders": [Behaviour(0.01), Behaviour(0.01, fails_at=0.3 * length, downtime=0.3 * length)],
        # The limit is a fifth of the rate at which charges, a third of all messages, are submitted.
        "billing": [Behaviour(0.01, limit=RATE / 15), Behaviour(0.02)],
    }
    kind = BrokerReceiver if carrier == "amqp" else Receiver
    return {
        name: [kind(f"{name}-{n}", ledger, behaviour, SEED + 10 * d + n) for n, behaviour in enumerate(group)]
        for d, (name, group) in enumerate(behaviours.items())
    }


def make_messages(count: int) -> list[Message]:
    """Makes messages of the three classes in turn; `seq` numbers the renders of each video."""
    made, seq = [], [0] * VIDEO_COUNT
    draw = random.Random(SEED)
    for n in range(count):
        cls = ("notice", "render", "charge")[n % 3]
        content: dict[str, object] = {"n": n}
        key, token = 0, ""
        if cls == "render":
            video = draw.randrange(VIDEO_COUNT)
            seq[video] += 1
            key, token, content = video + 1, f"tok{n}", content | {"key": video, "seq": seq[video]}
        body = json.dumps(content).encode()
        made.append(Message(f"{cls}-{n}", cls, NUMBERS[DESTINATIONS[cls]], LIFETIME, body, key, token))
    return made


def make_configuration(receivers: dict[str, list[Endpoint]], carrier: str = "http") -> str:
    """Returns the sidecar's configuration with one destination for each entry of `receivers`."""
    parts, kind = [CONFIG], "broker" if carrier == "amqp" else "single"
    for name, group in receivers.items():
        endpoints = ", ".join(f'"127.0.0.1:{receiver.port}"' for receiver in group)
        parts.append(
            f'[destination.{name}]\nnumber = {NUMBERS[name]}\nkind = "{kind}"\nrate = "{RATE:.0f}/s"\n'
            f"endpoints = [{endpoints}]\n"
        )
    return "\n".join(parts)


class Demo:
    """One run of the demo in `folder`."""

    def __init__(
        self, folder: Path, count: int, echo: Echo, front: str = "resp", carrier: str = "http"
    ) -> None:
        self.folder, self.count, self.echo, self.front, self.carrier = folder, count, echo, front, carrier
        self.ledger, self.submitted = Ledger(), SubmissionResults()
        self.receivers = make_receivers(self.ledger, count / RATE, carrier)
        self.socket = folder / "state" / CONTROL_SOCKET_NAME
        self.config_file = folder / "sidecar.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.clients: list[Client | AmqpClient] = []

    async def run(self) -> Report:
        """Runs the receivers, the sidecar and the clients until all messages are completed."""
        all_receivers = [receiver for group in self.receivers.values() for receiver in group]
        for receiver in all_receivers:
            await receiver.start()
        self.config_file.write_text(make_configuration(self.receivers, self.carrier))
        tasks: list[asyncio.Task] = []
        try:
            port = await self.start()
            self.echo(f"sidecar on 127.0.0.1:{port}, {len(all_receivers)} receivers, {self.count} messages")
            tasks = [asyncio.create_task(receiver.run_outage()) for receiver in all_receivers]
            progress = asyncio.create_task(self.progress())
            tasks.append(progress)
            await self.submit_all(port)
            await self.wait_until_empty()
            await asyncio.sleep(0)
            if self.front == "amqp":
                self.echo(f"completions from reply queues: {len(self.submitted.completions)}")
        finally:
            for client in self.clients:
                client.close()
            for task in tasks:
                task.cancel()
            await self.stop()
            for receiver in all_receivers:
                receiver.stop()
        return self.report()

    # --- the sidecar ---

    async def start(self) -> int:
        """Starts the sidecar and returns its port; raises RuntimeError with its log if it does not start."""
        with (self.folder / "sidecar.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "rainpier", "run", "-c", str(self.config_file), stderr=log,
                env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[2])},
            )  # fmt: skip
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        while asyncio.get_running_loop().time() < deadline and self.process.returncode is None:
            try:
                status = ask(self.socket, "status")
                listen = status["amqp"]["listen"] if self.front == "amqp" else status["listen"]  # type: ignore[index]
                return int(str(listen).rpartition(":")[2])
            except (OSError, ValueError):
                await asyncio.sleep(START_POLL_INTERVAL)
        raise RuntimeError("the sidecar did not start:\n" + (self.folder / "sidecar.log").read_text())

    async def stop(self) -> None:
        """Sends SIGTERM to the sidecar, if it runs, and waits for its exit."""
        if self.process is not None and self.process.returncode is None:
            self.process.terminate()
            await self.process.wait()

    async def status(self) -> dict:
        """Returns the sidecar's status from its control socket; raises OSError or ValueError."""
        return await asyncio.get_running_loop().run_in_executor(None, ask, self.socket, "status")

    # --- the traffic ---

    async def submit_all(self, port: int) -> None:
        """Submits all messages at RATE; those of one video over the same client, in their order."""
        queues: list[asyncio.Queue[Message | None]] = [asyncio.Queue() for _ in range(CLIENT_COUNT)]
        workers = [asyncio.create_task(self.run_client(port, queue)) for queue in queues]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for n, message in enumerate(make_messages(self.count)):
            await asyncio.sleep(max(0.0, started_at + n / RATE - loop.time()))
            queues[(message.key or n) % CLIENT_COUNT].put_nowait(message)
        for queue in queues:
            queue.put_nowait(None)
        await asyncio.gather(*workers)

    async def run_client(self, port: int, queue: asyncio.Queue[Message | None]) -> None:
        """Submits the messages of a queue one after the other, until a None."""
        client = AmqpClient(port, self.submitted) if self.front == "amqp" else Client(port, self.submitted)
        self.clients.append(client)
        while (message := await queue.get()) is not None:
            await client.submit(message)

    async def wait_until_empty(self) -> None:
        """Waits until every message is completed, which happens at its deadline at the latest."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LIFETIME / 1000 + COMPLETION_MARGIN
        while loop.time() < deadline:
            status = await self.status()
            if not status["held"] and not status["ends_waiting"]:
                return
            await asyncio.sleep(POLL_INTERVAL)

    async def progress(self) -> None:
        """Prints a line of counts every PROGRESS_INTERVAL, until it is cancelled."""
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            status = await self.status()
            calls = sum(receiver.calls for group in self.receivers.values() for receiver in group)
            refused = sum(receiver.refused for group in self.receivers.values() for receiver in group)
            self.echo(
                f"submitted {self.submitted.finished:>6} of {self.count}   held {status['held']:>4}   "
                f"in flight {status['out']:>3}   calls {calls:>6}   rejected by receivers {refused:>4}"
            )

    # --- the results ---

    def report(self) -> Report:
        """Counts the results; the completion sink is not notified of delivered messages."""
        completions = self.read_completions()
        handed_back = {name for name, outcome in completions.items() if outcome == "handed_back"}
        undelivered = set(completions) - handed_back
        unreported = self.submitted.accepted - set(completions)
        delivered = {name for name in unreported if self.ledger.effects.get(name)}
        harmless = lambda message: message.startswith("notice")  # noqa: E731
        return Report(
            total=self.count, delivered=len(delivered), refused=len(self.submitted.rejected | handed_back),
            failed=len(self.submitted.failed | undelivered), lost=len(unreported - delivered),
            repeated=self.ledger.repeated, twice=self.ledger.twice(harmless),
            out_of_order=self.ledger.out_of_order,
        )  # fmt: skip

    def read_completions(self) -> dict[str, str]:
        """Reads the outcome of each message from the file of the completion sink."""
        path = self.folder / "ends.jsonl"
        rows = path.read_text().splitlines() if path.exists() else []
        return {row["message"]: row["outcome"] for row in map(json.loads, rows)}


def demo(count: int, echo: Echo, front: str = "resp", carrier: str = "http") -> Report:
    """Runs the demo in a temporary folder; `echo` gets the lines of its progress."""
    with tempfile.TemporaryDirectory(prefix="rainpier-demo-") as folder:
        return asyncio.run(Demo(Path(folder), count, echo, front, carrier).run())
