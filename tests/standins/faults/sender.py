"""Runs a real sender process under the shim, any number of times on the same folder and port."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from standins.faults.shim import Rule, environment
from standins.memory import memory_of

ROOT = Path(__file__).resolve().parents[3]
DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}


@dataclass
class Incarnation:
    """One process of a sender. Times are loop times in seconds; None: has not happened."""

    started: float
    ready: float | None = None
    sigterm_at: float | None = None  # when it got SIGTERM
    killed: float | None = None
    ended: float | None = None
    status: int | None = None  # exit code; negative: number of the signal that ended it
    crashed: bool = False  # ended without a signal

    @property
    def unavailable_from(self) -> float | None:
        """When it was first signalled or ended: from then on no deadline has to be kept."""
        times = [time for time in (self.sigterm_at, self.killed, self.ended) if time is not None]
        return min(times, default=None)


def reserve_port() -> socket.socket:
    """Binds a socket to a free port, so that no other process gets it.

    SO_REUSEADDR lets a sender listen on the port nevertheless.
    """
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    return holder


@dataclass
class Sender:
    """A sender and all its processes."""

    name: str
    folder: Path  # for its configuration and its state folder
    discovery: object  # its DiscoveryServer or SenderDiscoveryServer
    library: Path  # the compiled shim
    settings: dict  # of its configuration
    rules: list[Rule] = field(default_factory=list)  # the faults injected into it
    seed: int = 1
    began: float = 0.0  # monotonic time that the rules' times are relative to, s
    limits: dict = field(default_factory=dict)  # of its configuration, in place of the defaults
    incarnations: list[Incarnation] = field(default_factory=list)
    log: bytes = b""  # standard error of all its processes
    killed_by_plan: bool = False  # the plan kills it in the middle of a write
    peak_memory: int = 0  # highest resident memory of any of its processes, bytes

    def __post_init__(self) -> None:
        self.reserved = reserve_port()  # also held between two processes
        self.port = self.reserved.getsockname()[1]
        self.state = self.folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.process: asyncio.subprocess.Process | None = None
        self.log_reader: asyncio.Task | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The process that was started last."""
        return self.incarnations[-1]

    @property
    def alive(self) -> bool:
        """Whether it has a running process."""
        return bool(self.incarnations) and self.incarnation.ended is None

    def write_config(self) -> dict[str, str]:
        """Writes the configuration and the shim's plan; returns the environment of the next process."""
        limits = DEFAULT_LIMITS | self.limits
        raw = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery.address,
            "seed": f"{self.seed + len(self.incarnations):x}", "limits": limits, "settings": self.settings,
            "known": {"seq": 1, "whole": True, "hosts": self.discovery.endpoints},
        }  # fmt: skip
        file = self.folder / "config.json"
        file.write_text(json.dumps(raw))
        plan = self.folder / "plan"
        env = environment(self.library, plan, self.rules, [self.state, file], self.seed, self.began)
        return env | {"EDGE_CONFIG": str(file), "EDGE_STATE": str(self.state), "PYTHONUNBUFFERED": "1"}

    async def start(self) -> None:
        """Starts a process; `wait_until_ready` waits until it serves."""
        assert not self.alive, f"{self.name} already has a running process"
        loop = asyncio.get_running_loop()
        env = os.environ | self.write_config()
        self.incarnations.append(Incarnation(loop.time()))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "rainpier", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self.log_reader = loop.create_task(self.read_log(self.process, self.incarnation))

    async def read_log(self, process: asyncio.subprocess.Process, incarnation: Incarnation) -> None:
        """Collects the log of a process until its end, and records how it ended."""
        loop = asyncio.get_running_loop()
        async for line in process.stderr:
            self.log += line
        incarnation.status = await process.wait()
        incarnation.ended = loop.time()
        incarnation.crashed = incarnation.sigterm_at is None and incarnation.killed is None
        if incarnation.crashed and incarnation.status == -signal.SIGKILL and self.killed_by_plan:
            incarnation.crashed, incarnation.killed = False, incarnation.ended

    async def wait_until_ready(self, timeout: float) -> bool:
        """Returns whether it replied to a PING within `timeout` s; returns early when the process ends."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout
        incarnation = self.incarnation
        while loop.time() < until and incarnation.ended is None:
            if await self.ping():
                incarnation.ready = loop.time()
                return True
            await asyncio.sleep(0.02)
        return False

    async def ping(self) -> bool:
        """Returns whether it replies to a PING within 1 s."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    return await reader.readexactly(7) == b"+PONG\r\n"
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, EOFError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is alive, and records the time of the first SIGTERM and SIGKILL."""
        if not self.alive or self.process is None:
            return
        now = asyncio.get_running_loop().time()
        if number == signal.SIGTERM and self.incarnation.sigterm_at is None:
            self.incarnation.sigterm_at = now
        if number == signal.SIGKILL and self.incarnation.killed is None:
            self.incarnation.killed = now
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            return

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        self.signal(signal.SIGKILL)
        if self.log_reader is not None:
            await self.log_reader

    @property
    def memory_limit(self) -> int:
        """Bytes that each of its processes may use."""
        return (DEFAULT_LIMITS | self.limits)["memory_mb"] * 1_000_000

    def read_memory(self) -> None:
        """Updates `peak_memory` from the process, if it runs."""
        if self.alive and self.process is not None:
            self.peak_memory = max(self.peak_memory, memory_of(self.process.pid)[1])

    def cpu_time(self) -> float:
        """Returns the CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_matches(self, pattern: str) -> bool:
        """Returns whether the log of all its processes has a match of a regular expression."""
        return re.search(pattern.encode(), self.log) is not None
