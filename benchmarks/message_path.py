"""Compares the CPU time per message, RESP in and HTTP out on loopback, with another checkout of the project.

    python benchmarks/message_path.py --against FOLDER [--pairs N]

Measures the two checkouts in turn, N times (default 5), each time in a process of its own. The endpoint,
which answers 200 to every request, runs in another process, so that its CPU time does not count. The last
line is the ratio of the medians, this checkout over the other one.
"""

import argparse
import asyncio
import dataclasses
import os
import statistics
import subprocess
import sys
import tempfile
import time
from multiprocessing import Process, get_context
from multiprocessing.connection import Connection
from pathlib import Path

THIS_CHECKOUT = Path(__file__).resolve().parents[1]
MESSAGES = 6000  # of one measurement
WINDOW = 32  # submissions without a reply, at most


class Endpoint(asyncio.Protocol):
    """Answers each complete request with 200 and an empty body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            headers = self.buffer[:end].lower()
            body_size = int(headers.split(b"content-length: ")[1].split(b"\r\n")[0])
            if len(self.buffer) < end + 4 + body_size:
                return
            self.buffer = self.buffer[end + 4 + body_size :]
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")  # type: ignore[attr-defined]


def run_endpoint(pipe: Connection) -> None:
    """Runs an endpoint in the current process for 600 s and sends its port through the pipe."""

    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(Endpoint, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.sleep(600)

    asyncio.run(serve())


async def measure_cpu(port: int) -> float:
    """Returns the CPU time of this process per message, in us; `port` is the endpoint's.

    The imports are here because the process runs against the checkout that its PYTHONPATH names.
    """
    try:
        from peers import DiscoveryServer, encode_submission, endpoint_entry, make_config, make_node
    except ImportError:  # an older checkout, where they have other names
        from peers import Agent as DiscoveryServer
        from peers import config as make_config
        from peers import host as endpoint_entry
        from peers import node_of as make_node
        from peers import put as encode_submission

    from rainpier.fronts.resp.server import RespListener

    limits = {"policy-limits": {"open-cap": 5000, "max-attempts": 12}}
    with tempfile.TemporaryDirectory() as folder:
        async with DiscoveryServer([endpoint_entry("r1", f"127.0.0.1:{port}")]) as discovery:
            settings = dataclasses.replace(make_config(Path(folder), discovery, **limits), disk=200_000_000)
            node = make_node(settings)
            await node.start()
            listener = RespListener(node.submit, 100)
            await listener.listen(("127.0.0.1", 0))
            await asyncio.sleep(0.3)  # lets the endpoint list arrive
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            started, sent, answered = time.process_time(), 0, 0
            while answered < MESSAGES:
                while sent < MESSAGES and sent - answered < WINDOW:
                    writer.write(encode_submission(f"m{sent}", body=b"x" * 200))
                    sent += 1
                replies = await reader.read(65536)
                if b"-" in replies:
                    raise SystemExit(f"the sidecar rejected a submission: {replies[:80]!r}")
                answered += replies.count(b"\r\n")
            while node.store.entries:
                await asyncio.sleep(0.01)
            return (time.process_time() - started) / MESSAGES * 1e6


def run_child() -> None:
    """Starts an endpoint, prints the result of one measurement against it, and ends the process."""
    own_end, endpoint_end = get_context("fork").Pipe()
    endpoint = Process(target=run_endpoint, args=(endpoint_end,), daemon=True)
    endpoint.start()
    try:
        print(asyncio.run(measure_cpu(own_end.recv())), flush=True)
    finally:
        endpoint.kill()
    os._exit(0)  # without closing what is still open, which has no effect on the result


def measure_checkout(root: Path) -> float:
    """Returns the CPU time per message of the checkout at `root`, in us, measured in a child process."""
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(root / "tests")))}
    command = [sys.executable, str(Path(__file__).resolve()), "--child"]
    run = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True)
    return float(run.stdout.split()[-1])


def main() -> None:
    """Runs the comparison, or with --child one measurement, as the arguments say."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout of the project")
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        return run_child()
    if options.against is None:
        parser.error("--against FOLDER is missing: the checkout to compare with")
    this_us, other_us = [], []
    for _ in range(options.pairs):
        other_us.append(measure_checkout(options.against.resolve()))
        this_us.append(measure_checkout(THIS_CHECKOUT))
        print(f"{this_us[-1]:.0f} us per message here, {other_us[-1]:.0f} us in the other checkout")
    print(f"{statistics.median(this_us) / statistics.median(other_us):.3f}")


if __name__ == "__main__":
    main()
