"""Reply time of a sidecar to its clients while its configuration is reloaded, compared with no reloads.

    python benchmarks/reload_under_load.py [SECONDS]

Rounds without and with edits of the configuration file alternate in one run. An edit adds or removes
endpoints of the destination in use; every third edit is invalid and is rejected.
"""

import asyncio
import os
import signal
import statistics
import sys
import tempfile
from pathlib import Path

from rainpier.config.check import CONTROL_SOCKET_NAME
from rainpier.control.server import ask
from rainpier.demo.client import Client, Message, SubmissionResults
from rainpier.demo.receivers import Behaviour, Ledger, Receiver

CONFIG_HEAD = """version = 1
[sidecar]
name = "reload"
state = "state"
[resp]
listen = "127.0.0.1:0"
[class.notice]
effect = "unsafe"
aim = "2 s"
deadline = "10 s"
late_worth = 0.5
"""
UNUSED_DESTINATIONS = 200  # destinations without traffic, which make the file longer to read and check
EDITS_PER_S = 10
ROUND_TIME_S = 2.0


def make_config_text(ports: list[int], number: int) -> str:
    """Returns the configuration file after the edit with this number.

    The bits of `number` select the ports of the used destination's endpoints; the first port if none is set.
    In every third file a setting's name is misspelt, so that the check rejects the file.
    """
    used = [f'"127.0.0.1:{port}"' for k, port in enumerate(ports) if (number >> k) & 1] or [
        f'"127.0.0.1:{ports[0]}"'
    ]
    parts = [
        CONFIG_HEAD,
        f'[destination.used]\nnumber = 1\nrate = "1000/s"\nendpoints = [{", ".join(used)}]\n',
    ]
    for k in range(2, 2 + UNUSED_DESTINATIONS):
        parts.append(f'[destination.d{k}]\nnumber = {k}\nrate = "50/s"\nendpoints = ["10.0.{k}.1:80"]\n')
    return "".join(parts).replace("aim =", "aym =" if number % 3 == 2 else "aim =")


async def submit_messages(
    port: int, submitted: SubmissionResults, duration: float, reply_times: list[float], last_id: list[int]
) -> None:
    """Submits messages one after another for `duration` s and appends the time of each, in s.

    `last_id` has one element, the number of the last message id, and is shared by all clients.
    """
    loop, client = asyncio.get_running_loop(), Client(port, submitted)
    end = loop.time() + duration
    while loop.time() < end:
        last_id[0] += 1
        started = loop.time()
        await client.submit(Message(f"m{last_id[0]}", "notice", 1, 10_000, b'{"n":1}'))
        reply_times.append(loop.time() - started)
        await asyncio.sleep(0.005)
    client.close()


async def main() -> None:
    """Runs the sidecar, its clients and its receivers, and prints the counts and the reply times."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    ledger, submitted, last_id = Ledger(), SubmissionResults(), [0]
    receivers = [Receiver(str(n), ledger, Behaviour(0.004), n) for n in range(3)]
    for receiver in receivers:
        await receiver.start()
    ports = [receiver.port for receiver in receivers]
    reply_times: dict[bool, list[float]] = {False: [], True: []}  # by whether the round has edits; s
    with tempfile.TemporaryDirectory() as folder:
        config_path, control_socket = Path(folder) / "a.toml", Path(folder) / "state" / CONTROL_SOCKET_NAME
        config_path.write_text(make_config_text(ports, 1))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "rainpier", "run", "-c", str(config_path),
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            while True:
                try:
                    port = int(str(ask(control_socket, "status")["listen"]).rpartition(":")[2])
                    break
                except (OSError, ValueError):
                    await asyncio.sleep(0.05)
            edits = 0
            for number in range(int(seconds / ROUND_TIME_S)):
                clients = [
                    submit_messages(port, submitted, ROUND_TIME_S, reply_times[number % 2 == 1], last_id)
                    for _ in range(4)
                ]
                tasks = [asyncio.create_task(client) for client in clients]
                while number % 2 and not all(task.done() for task in tasks):
                    edits += 1
                    new_file = config_path.with_suffix(".new")
                    new_file.write_text(make_config_text(ports, edits))
                    os.replace(new_file, config_path)
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(1 / EDITS_PER_S)
                await asyncio.gather(*tasks)
            while ask(control_socket, "status")["held"]:
                await asyncio.sleep(0.05)
            reloads = ask(control_socket, "status")["reload"]
        finally:
            process.kill()
            await process.wait()
        # The completion sink's file has one line for each message that was not delivered.
        completions = Path(folder) / "ends.jsonl"
        undelivered = len(completions.read_text().splitlines()) if completions.exists() else 0
    lost = len(submitted.accepted - ledger.effects.keys()) - undelivered
    print(
        f"{edits} edits of {UNUSED_DESTINATIONS + 1} destinations: "
        f"{reloads['applied']} applied, {reloads['rejected']} rejected"
    )
    print(f"{len(submitted.accepted)} messages accepted, {undelivered} undelivered, {lost} lost, "
          f"{ledger.twice(lambda m: False)} delivered twice")  # fmt: skip
    # Element k - 1 of each is the k % quantile.
    quantiles = {with_edits: statistics.quantiles(times, n=100) for with_edits, times in reply_times.items()}
    for with_edits, q in quantiles.items():
        print(
            f"{'with' if with_edits else 'without'} edits: "
            f"median {q[49] * 1000:.1f} ms, 99 % {q[98] * 1000:.1f} ms"
        )
    print(f"99 % of answers take {quantiles[True][98] / quantiles[False][98]:.1f} times as long with edits")


if __name__ == "__main__":
    asyncio.run(main())
