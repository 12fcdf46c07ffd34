"""Stand-ins for the platform, a receiver and a client, and the sender as a process. Standard library only.

Each case in the numbered folders uses them. They follow PROTOCOL and DEPLOY; addresses are on loopback.
"""

import asyncio
import base64
import ipaddress
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START = time.monotonic()
LOOPBACK = str(ipaddress.IPv4Address(socket.INADDR_LOOPBACK))  # the only host that a case listens on or calls
# The classes of the first deployment (kit/sites/burnaby-main.toml, WIRE, 14), with its limits for a sender.
SETTINGS = {
    "classes": [
        {"name": "thumb-ready", "objective": 2500.0, "hard-limit": 20000.0, "late-worth": 0.3, "worth": 1.0,
         "semantics": "free", "group": "all", "repeat-window": 5000.0, "streaming": False},
        {"name": "render-order", "objective": 4000.0, "hard-limit": 24000.0, "late-worth": 0.3, "worth": 2.0,
         "semantics": "guarded", "group": "all", "repeat-window": 15000.0, "keep-order": True,
         "streaming": False},
        {"name": "usage-charge", "objective": 2500.0, "hard-limit": 20000.0, "late-worth": 0.5, "worth": 5.0,
         "semantics": "single_shot", "group": "all", "repeat-window": 5000.0, "streaming": False},
    ],
    "kinds": ["bulk-platform", "small-customer", "payment-provider"],
    "family-info": {
        "kind-apart": [False, False, True], "per-call": [20, 1, 1], "workers": 11, "late": "even",
        "zone-fee": [0.0, 0.05], "turned-away-price": 0.05,
    },
    "fleet-size": 2, "ordinal": 0, "kind-of-service": "deliver", "layers": ["outbound-dests"],
    "membership-mode": "automatic", "over-share-worth": 0.1,
    "policy-limits": {
        "cancelling": True, "connect-timeout": 1000.0, "keepalive": 15000.0, "max-attempts": 12,
        "max-retry-after": 2000.0, "may-probe": False, "open-cap": 235, "parallel-tries": False,
        "peers": False, "retry-after": True, "streams-per-conn": 1,
    },
    "report": {"fields": [], "how": "off"},
    "rules": {
        "ask-within": 10000.0, "cold": 12000.0, "cold-from": 0.13, "drain-grace": 500.0, "fall": 3000.0,
        "grace-to-answer": 20.0, "overload-factor": 2.5, "turn-gap": 0.0,
    },
    "stage": 0, "tenants": [], "tick": 5.0, "weights": "rough", "worth-by": "request", "zone": 0,
    "zones": ["floor-2", "floor-3"],
}  # fmt: skip


def free_port() -> int:
    """Returns a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: one line for each thing sent, answered or run, with the time in s."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")

    def __call__(self, text: str) -> None:
        """Writes one line."""
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
        self.file.flush()


class TcpServer:
    """A TCP server on a free loopback port."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the port."""
        self.server = await asyncio.start_server(self.on_connection, LOOPBACK, 0)

    @property
    def address(self) -> str:
        """HOST:PORT."""
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves requests in turn; the subclasses define how."""
        raise NotImplementedError


Request = tuple[str, str, dict[str, str], bytes]  # method, target, headers (names in lower case), body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads one HTTP request; returns once its last byte has come."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, target, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Encodes an HTTP response; header names are written with _ for -."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name.replace('_', '-')}: {text}" for name, text in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


Answer = Callable[[list[str], asyncio.StreamWriter], Awaitable[bytes | None]]


class Receiver(TcpServer):
    """One endpoint: `answer(ids, writer)` returns the response to a call, or None to end the connection.

    `calls`: (message id, Idempotency-Key, body) of each message that came in a whole call, with its time.
    """

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        super().__init__()
        self.name, self.record, self.answer = name, record, answer
        self.calls: list[tuple[float, str, str, bytes]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, target, headers, body = await read_request(reader)
            if target == "/v1/messages:batch":
                rows = [(r["id"], r.get("key", ""), base64.b64decode(r["body"])) for r in json.loads(body)]
            else:
                rows = [(headers["x-call-id"], headers.get("idempotency-key", ""), body)]
            for row in rows:
                self.calls.append((time.monotonic(), *row))
                self.record(f"{self.name}: call with message {row[0]}, key {row[1] or '-'}")
            data = await self.answer([row[0] for row in rows], writer)
            if data is None:
                return
            writer.write(data)
            await writer.drain()
            self.record(f"{self.name}: answered {data[:60]!r}")


class Platform(TcpServer):
    """Discovery and the notices: /v1/servers with watches, and /reports."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record, self.hosts, self.seq = record, [], 1
        self.notices: list[tuple[float, dict]] = []
        self.changed = asyncio.Condition()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, target, _, body = await read_request(reader)
            if target == "/reports":
                for line in body.splitlines():
                    notice = json.loads(line)
                    self.notices.append((time.monotonic(), notice))
                    self.record(f"platform: notice {json.dumps(notice)}")
                writer.write(response(204))
                continue
            query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
            index, whole = int(query.get("index", -1)), "index" not in query
            if not whole:
                async with self.changed:
                    try:
                        async with asyncio.timeout(int(query.get("wait", 0)) / 1000):
                            await self.changed.wait_for(lambda index=index: self.seq > index)
                    except TimeoutError:
                        pass
            changed = [host for seq, host in self.hosts if whole or seq > index]
            listed = [host for host in changed if not whole or host["health"] != "DELETED"]
            writer.write(
                response(200, json.dumps({"seq": self.seq, "whole": whole, "hosts": listed}).encode())
            )

    async def set_host(self, name: str, dial: str, dest: int, kind: str, **other: object) -> None:
        """Adds or changes an entry of the list, which open watches get at once."""
        host = {"host": name, "dial": dial, "site": "floor-2", "class": kind, "block": dest,
                "health": "SERVING", "share": 20.0, "born_ms": 0} | other  # fmt: skip
        async with self.changed:
            self.seq += 1
            self.hosts = [entry for entry in self.hosts if entry[1]["host"] != name] + [(self.seq, host)]
            self.changed.notify_all()
        self.record(f"platform: list has {name} {host['health']} for destination {dest}")

    @property
    def known(self) -> dict:
        """The whole list in discovery's form."""
        return {"seq": self.seq, "whole": True, "hosts": [host for _, host in self.hosts]}


class Client:
    """A RESP2 client with one connection."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def command(self, *parts: bytes) -> str:
        """Sends a command; returns the first line of the answer, or how it failed within 400 ms."""
        if self.writer is None:
            await self.connect()
        assert self.reader is not None and self.writer is not None
        data = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        try:
            self.writer.write(data)
            async with asyncio.timeout(0.4):
                line = await self.reader.readuntil(b"\r\n")
            return line.decode().strip()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            return f"no answer: {type(error).__name__}"

    async def put(
        self, message: str, cls: str, dest: int, life: int, body: bytes = b"body", key: str = "0" * 16,
        token: str = "",
    ) -> str:  # fmt: skip
        """Hands in a message and returns the answer."""
        fields = f"c={cls},d={life}" + (f",k={token}" if token else "") + f",dest={dest}"
        answer = await self.command(b"MSG.PUT", key.encode(), message.encode(), fields.encode(), body)
        self.record(f"client: message {message} of {cls} for {dest}, d={life}: answered {answer}")
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class SenderProcess:
    """The sender, started by the command `run` of the deploy file as DEPLOY describes."""

    def __init__(self, record: Record, folder: Path, discovery: str, known: dict, **changes: object) -> None:
        self.record, self.folder = record, folder
        self.process: asyncio.subprocess.Process | None = None
        self.config = {
            "name": "n0", "listen": f"{LOOPBACK}:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known, "settings": SETTINGS,
        } | changes  # fmt: skip
        for name in ("state", "tmp"):
            (folder / name).mkdir(exist_ok=True)
        self.write_config()
        self.port = 0
        self.log_path = folder / "log"
        self.log_path.touch()

    def write_config(self) -> None:
        """Replaces the configuration file in one step."""
        (self.folder / "config.new").write_text(json.dumps(self.config))
        os.replace(self.folder / "config.new", self.folder / "config.json")

    async def start(self) -> None:
        """Starts the process and waits until it serves and answers PING."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        env = os.environ | {
            "EDGE_NAME": "n0", "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_STATE": str(self.folder / "state"), "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        log_start = self.log_path.stat().st_size
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        for _ in range(1500):
            found = re.search(rb"serves on [0-9.]+:(\d+)", self.log_path.read_bytes()[log_start:])
            if found or self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        assert found, self.log_path.read_text()
        self.port = int(found[1])
        client = self.client()
        assert await client.command(b"PING") == "+PONG"
        client.close()
        self.record(f"sender: process {self.process.pid} is ready on port {self.port}")

    def client(self) -> Client:
        """Returns a new client of this process."""
        return Client(self.record, (LOOPBACK, self.port))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record(f"sender: {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def memory_mb(self) -> float:
        """Returns the largest resident size of the process so far, in MB; 0 once it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) * 1024 / 1e6 if found else 0.0


class SidecarProcess:
    """The sidecar: the command `run` of the deploy file with `run -c FILE` behind it, as the README shows."""

    def __init__(self, record: Record, folder: Path, config: str) -> None:
        self.record, self.folder, self.port = record, folder, free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / "log"
        self.log_path.touch()
        self.write_config(config)

    def write_config(self, config: str) -> None:
        """Replaces the file in one step; `LISTEN` stands for its address."""
        (self.folder / "new.toml").write_text(config.replace("LISTEN", f"{LOOPBACK}:{self.port}"))
        os.replace(self.folder / "new.toml", self.folder / "shop.toml")

    async def start(self) -> None:
        """Starts the process and waits until it serves and answers PING."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = f"{tomllib.load(file)['run']} run -c {self.folder}/shop.toml"
        log_start = self.log_path.stat().st_size
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, stdout=log, stderr=log
            )
        for _ in range(1500):
            if b" serves on " in self.log_path.read_bytes()[log_start:]:
                break
            assert self.process.returncode is None, self.log_path.read_text()
            await asyncio.sleep(0.02)
        client = self.client()
        assert await client.command(b"PING") == "+PONG", self.log_path.read_text()
        client.close()
        self.record(f"sidecar: process {self.process.pid} is ready on port {self.port}")

    def client(self) -> Client:
        """Returns a new client of this process."""
        return Client(self.record, (LOOPBACK, self.port))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record(f"sidecar: {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


Scenario = Callable[[Record, Path, bool], Awaitable[int]]


def run_case(case_file: str, scenario: Scenario) -> None:
    """Runs a case with a time limit, and exits with its result: 0 held, 1 broken, 2 could not run.

    The scenario gets the record, a temporary folder, and whether the disruption is wanted (TROUBLE).
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"begin, {'with' if trouble else 'without'} the disruption")
    result = 2
    try:
        with tempfile.TemporaryDirectory() as folder:

            async def bounded() -> int:
                async with asyncio.timeout(110):
                    return await scenario(record, Path(folder), trouble)

            result = asyncio.run(bounded())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    record(f"end, exit {result}")
    sys.exit(result)
