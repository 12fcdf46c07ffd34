"""Measures memory, start and rounds with 100,000 destinations, and an update of half of their endpoints.

    python benchmarks/destinations.py [DESTINATIONS] [SECONDS]

Two processes simulate all endpoints, on four loopback ports each. The sender runs in this process and gets
messages for a thousandth of the destinations (at least 100) all the time. Meanwhile half of all endpoints
move to another port, drain or are removed. SECONDS is the length of each of the three loads. The last line is
the memory of an idle destination in this process.
"""

import asyncio
import gc
import multiprocessing
import os
import random
import statistics
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from rainpier import interface as i
from rainpier.config.build import Config
from rainpier.membership.file import FileSource
from rainpier.membership.source import DiscoveredEndpoint
from rainpier.node.node import Node
from rainpier.sinks.sink import CompletionSink
from rainpier.store.entry import Entry
from rainpier.submission import Submission

PROCESSES, PORTS, RATE = 2, 4, 400  # endpoint processes; ports of each; messages a second
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Discard(CompletionSink):
    """A completion sink that discards all completions."""

    async def deliver(self, batch: list[Entry]) -> bool:
        """Confirms the batch at once."""
        return True


class SimulatedEndpoint(asyncio.Protocol):
    """An HTTP server that responds to each request with 200."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; no request has begun."""
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        """Responds to the requests that are complete."""
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            header = self.data[:end].lower()
            at = header.find(b"content-length:")
            size = int(header[at + 15 :].split(b"\r\n")[0]) if at >= 0 else 0
            if len(self.data) < end + 4 + size:
                return
            self.data = self.data[end + 4 + size :]
            self.transport.write(OK)  # type: ignore[attr-defined]


def serve_endpoints(pipe: "multiprocessing.connection.Connection", seconds: float) -> None:
    """Sends the ports of its servers through the pipe; serves until data comes back, `seconds` at most."""

    async def serve() -> None:
        """Opens PORTS servers, and waits in a thread for the end."""
        loop = asyncio.get_running_loop()
        servers = [await loop.create_server(SimulatedEndpoint, "127.0.0.1", 0) for _ in range(PORTS)]
        pipe.send([server.sockets[0].getsockname()[1] for server in servers])
        await loop.run_in_executor(None, pipe.poll, seconds)

    asyncio.run(serve())


def resident_bytes() -> int:
    """Returns the resident memory of this process, after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE")


def make_endpoint(number: int, port: int, condition: i.Condition = i.Condition.READY) -> DiscoveredEndpoint:
    """Returns the only endpoint of destination `number`, with a listed rate of 20 calls a second."""
    return DiscoveredEndpoint(
        f"partner-{number}/1", f"127.0.0.1:{port}", "", "single", number, condition, 20.0, 0.0
    )


def config(folder: Path, number: int) -> Config:
    """Returns the configuration of a node with its state in `folder`; number: of destinations."""
    settings = i.Settings(
        classes=(i.MessageClass("notice", aim=2000.0, deadline=20000.0),), kinds=(i.Kind("single"),),
        slots=64, max_open=20_000, tick=5.0, may_cancel=True, drain_grace=500.0,
    )  # fmt: skip
    local = ("127.0.0.1", 0)
    return Config("bench", local, local, folder, 1, 4096, 200_000_000, settings, ("",), True)


async def submit_load(
    node: Node, active: list[int], seconds: float, took: list[float], delays: list[float]
) -> int:
    """Submits RATE messages a second to random active destinations, and returns their number.

    Appends the seconds of each submission to `took`, and by how many the event loop was late to `delays`.
    """
    loop, rng, count = asyncio.get_running_loop(), random.Random(1), 0
    due = begun = loop.time()
    while (now := loop.time()) < begun + seconds:
        delays.append(max(0.0, now - due))
        for _ in range(RATE // 100):
            count += 1
            name, destination = f"{id(took):x}-{count}", rng.choice(active)
            submission = Submission(name, "notice", destination, 0, "", 20000.0, b"x" * 200, False, False)
            before = time.perf_counter()
            node.submit(submission)
            took.append(time.perf_counter() - before)
        due = loop.time() + 0.01
        await asyncio.sleep(0.01)
    return count


def time_rounds(node: Node, rounds: list[float]) -> None:
    """Appends the seconds of each round of the node to `rounds` from now on."""
    run_round = node.rounds.run

    def timed_round(events: list[i.Event]) -> None:
        begun = time.perf_counter()
        run_round(events)
        rounds.append(time.perf_counter() - begun)

    node.rounds.run = timed_round


def quantile_ms(values: list[float], share: float) -> float:
    """Returns a quantile of values in s, in ms."""
    return statistics.quantiles(values, n=1000)[round(share * 1000) - 1] * 1000


async def run(total: int, seconds: float, ports: list[int]) -> None:
    """Runs the node with `total` destinations, and prints the figures; each load lasts `seconds`."""
    rng = random.Random(2)
    with tempfile.TemporaryDirectory() as folder:
        initial = [make_endpoint(n, ports[n % len(ports)]) for n in range(100)]
        source = FileSource(initial)
        node = Node(config(Path(folder), total), source, Discard())
        await node.start()
        rounds: list[float] = []
        time_rounds(node, rounds)
        first_active = list(range(100))
        await submit_load(node, first_active, 1.0, [], [])  # warm-up: allocates what is needed once
        rounds.clear()
        await submit_load(node, first_active, seconds, [], [])
        p99_before = quantile_ms(rounds, 0.99)
        endpoints = initial + [make_endpoint(n, ports[n % len(ports)]) for n in range(100, total)]
        before = resident_bytes()
        begun = time.perf_counter()
        source.replace(endpoints)
        await node.endpoints.updates.wait_until_applied()
        print(f"{total} destinations listed in {time.perf_counter() - begun:.2f} s")
        bytes_each = (resident_bytes() - before) / max(1, total - 100)
        rounds.clear()
        active, delays = rng.sample(range(total), max(100, total // 1000)), list[float]()
        count = await submit_load(node, active, seconds, [], delays)
        print(f"rounds with {len(active)} active: p99 {quantile_ms(rounds, 0.99):.2f} ms, longest "
              f"{max(rounds) * 1000:.2f} ms; p99 with 100 known {p99_before:.2f} ms")  # fmt: skip
        rounds.clear()
        delays.clear()
        changed = set(rng.sample(range(total), total // 2))
        updated = [e if n not in changed else change_endpoint(e, n, ports) for n, e in enumerate(endpoints)]
        task = asyncio.ensure_future(submit_load(node, active, seconds, [], delays))
        await asyncio.sleep(0.5)
        begun = time.perf_counter()
        source.replace([e for e in updated if e is not None])
        await node.endpoints.updates.wait_until_applied()
        spent = time.perf_counter() - begun
        count += await task
        print(f"half of them changed in {spent:.2f} s: longest round {max(rounds) * 1000:.1f} ms, p99 "
              f"{quantile_ms(rounds, 0.99):.2f} ms; event loop late by {max(delays) * 1000:.0f} ms "
              "at most")  # fmt: skip
        for _ in range(300):
            if not node.store.entries:
                break
            await asyncio.sleep(0.05)
        print(f"{count} messages submitted, {len(node.store.entries)} still stored: no endpoint is ready")
        node.close()
    print(f"{bytes_each:.0f} bytes for each idle destination")


def change_endpoint(endpoint: DiscoveredEndpoint, number: int, ports: list[int]) -> DiscoveredEndpoint | None:
    """Returns the endpoint on another port or draining, or None to remove it; by number, a third each."""
    if number % 3 == 0:
        return None
    if number % 3 == 1:
        return replace(endpoint, condition=i.Condition.DRAINING)
    return replace(endpoint, address=f"127.0.0.1:{ports[(number + 1) % len(ports)]}")


def main() -> None:
    """Starts the endpoint processes, runs the node in this one, and ends them."""
    total = int(sys.argv[1]) if len(sys.argv) > 1 else 100_000
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 8.0
    processes, ports = [], []
    for _ in range(PROCESSES):
        pipe, child_pipe = multiprocessing.Pipe()
        process = multiprocessing.Process(target=serve_endpoints, args=(child_pipe, 600.0), daemon=True)
        process.start()
        ports += pipe.recv()
        processes.append((process, pipe))
    try:
        asyncio.run(run(total, seconds, ports))
    finally:
        for process, pipe in processes:
            pipe.send("end")
            process.join(5)


if __name__ == "__main__":
    main()
