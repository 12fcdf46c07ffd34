"""Compares throughput and CPU time per message of RESP and AMQP submission and of HTTP and AMQP delivery.

    python benchmarks/amqp_cost.py [MESSAGES]

One sidecar process with both listeners gets MESSAGES messages (default 4000) over each of the four paths in
turn, REPEATS times after a warm-up. Its CPU time is read before and after each path. Clients and endpoints
run in this process, so their CPU time does not count. All of it is done for two batch sizes.
"""

import asyncio
import logging
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from rainpier.amqp.channel import Properties
from rainpier.control.server import ask
from rainpier.demo.broker import Broker, BrokerConnection
from rainpier.demo.client import Client, Message, SubmissionResults
from rainpier.demo.publisher import Publisher
from rainpier.demo.receivers import Behaviour, Ledger, Receiver

WINDOW, CLIENTS = 16, 4  # unconfirmed publishes of one AMQP client; AMQP clients
REPEATS = 3  # measured rounds of all paths; the medians are printed
BODY = b'{"pad": "%s"}' % (b"x" * 1000)
CONFIG = """version = 1
[sidecar]
name = "bench"
state = "state"
[resp]
listen = "127.0.0.1:0"
[amqp]
listen = "127.0.0.1:0"
[limits]
slots = 64
held = 2000
[class.notice]
effect = "safe"
aim = "2 s"
deadline = "20 s"
[kind.single]
batch = {batch}
[kind.broker]
protocol = "amqp"
batch = {batch}
[destination.http]
number = 1
kind = "single"
rate = "50000/s"
endpoints = ["127.0.0.1:{http}"]
[destination.amqp]
number = 2
kind = "broker"
rate = "50000/s"
endpoints = ["127.0.0.1:{amqp}"]
"""


class CountingBroker(Broker):
    """Confirms each publish at once and counts them."""

    count = 0

    def on_publish(self, connection: BrokerConnection, channel: int, tag: int, content: object) -> None:
        self.count += 1
        connection.ack(channel, tag)


async def start_sidecar(folder: Path, config_text: str) -> tuple[asyncio.subprocess.Process, dict]:
    """Starts a sidecar process; returns it and its status once it answers on its control socket.

    Raises RuntimeError after 300 requests without an answer, 50 ms apart.
    """
    (folder / "bench.toml").write_text(config_text)
    root = str(Path(__file__).parents[1])
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rainpier", "run", "-c", str(folder / "bench.toml"),
        env=os.environ | {"PYTHONPATH": root}, stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip
    for _ in range(300):
        try:
            return process, ask(folder / "state" / "control.sock", "status")
        except OSError:
            await asyncio.sleep(0.05)
    raise RuntimeError(f"no sidecar answered on {folder}/state/control.sock in 300 attempts, 50 ms apart")


def cpu_time(pid: int) -> float:
    """Returns the user and system CPU time of a process so far, in s (proc(5): fields 14 and 15 of stat)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def submit_over_resp(port: int, ids: list[str], destination_number: int) -> None:
    """Submits the messages over WINDOW * CLIENTS connections and awaits their replies.

    Each RESP client waits for a reply before its next submission, so as many submissions are unanswered at
    once as over AMQP.
    """

    async def run_client(own_ids: list[str]) -> None:
        client = Client(port, SubmissionResults())
        for message_id in own_ids:
            await client.submit(Message(message_id, "notice", destination_number, 20_000, BODY))
        client.close()

    clients = WINDOW * CLIENTS
    await asyncio.gather(*(run_client(ids[n::clients]) for n in range(clients)))


async def publish_over_amqp(port: int, ids: list[str], destination: str) -> None:
    """Publishes the messages over CLIENTS connections, each with at most WINDOW unconfirmed publishes.

    Raises RuntimeError for a rejected publish. The last WINDOW - 1 of a client are awaited, but not checked.
    """

    async def run_client(own_ids: list[str]) -> None:
        publisher, confirms = await Publisher.connect(port), []
        for message_id in own_ids:
            confirms.append(
                publisher.publish(
                    "rainpier", f"notice.{destination}", BODY, Properties(message_id=message_id)
                )
            )
            if len(confirms) >= WINDOW and not await confirms.pop(0):
                raise RuntimeError("the sidecar rejected a publish with basic.nack")
        for confirm in confirms:
            await confirm
        publisher.close()

    await asyncio.gather(*(run_client(ids[n::CLIENTS]) for n in range(CLIENTS)))


async def measure(count: int, batch: int) -> dict[str, list[tuple[float, float]]]:
    """Returns (messages per second, CPU time per message in us) of each repeat, by path.

    `batch`: largest number of messages in one call.
    """
    receiver, broker = Receiver("one", Ledger(), Behaviour(0.0), 1), CountingBroker()
    await receiver.start()
    await broker.start()
    results: dict[str, list[tuple[float, float]]] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        process, status = await start_sidecar(
            folder, CONFIG.format(http=receiver.port, amqp=broker.port, batch=batch)
        )
        resp_port, amqp_port = (
            int(address.rpartition(":")[2]) for address in (status["listen"], status["amqp"]["listen"])
        )
        try:
            for repeat in range(REPEATS + 1):  # the first one, a warm-up, is not counted
                for path in (
                    "RESP in, HTTP out",
                    "RESP in, AMQP out",
                    "AMQP in, HTTP out",
                    "AMQP in, AMQP out",
                ):
                    ids = [f"{repeat}-{path[:4]}{path[-8:-4]}-{n}".replace(" ", "") for n in range(count)]
                    number, destination = (1, "http") if "HTTP" in path else (2, "amqp")
                    started, cpu_before = time.perf_counter(), cpu_time(process.pid)
                    if path.startswith("RESP"):
                        await submit_over_resp(resp_port, ids, number)
                    else:
                        await publish_over_amqp(amqp_port, ids, destination)
                    while ask(folder / "state" / "control.sock", "status")["held"]:
                        await asyncio.sleep(0.01)
                    elapsed, cpu_used = time.perf_counter() - started, cpu_time(process.pid) - cpu_before
                    if repeat:
                        results.setdefault(path, []).append((count / elapsed, cpu_used / count * 1e6))
        finally:
            process.terminate()
            await process.wait()
    receiver.stop()
    broker.stop()
    return results


def main(count: int) -> None:
    """Prints the medians of each path, in brackets relative to RESP in and HTTP out, and a summary line."""
    logging.disable(logging.WARNING)
    summary = ""
    for batch in (1, 20):
        results = asyncio.run(measure(count, batch))
        medians = {
            path: [statistics.median(v) for v in zip(*repeats, strict=True)]
            for path, repeats in results.items()
        }
        base = medians["RESP in, HTTP out"]
        print(f"batches of at most {batch}, {count} messages, median of {REPEATS} repeats:")
        for path, (rate, cpu_us) in medians.items():
            ratios = f"({rate / base[0]:.2f}), {cpu_us:5.0f} us CPU per message ({cpu_us / base[1]:.2f})"
            print(f"  {path}: {rate:6.0f} messages/s {ratios}")
        both = [value / of for value, of in zip(medians["AMQP in, AMQP out"], base, strict=True)]
        summary += f"batch {batch}: AMQP in and out {both[0]:.2f} of the rate, {both[1]:.2f} of the CPU; "
    print(summary.rstrip("; ") + ", of RESP in and HTTP out")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 4000)
