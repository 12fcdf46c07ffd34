"""The project's sender as a process of its own, started by the command `run` of the deploy file."""

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path

from .client import Client
from .loopback import LOOPBACK
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
RESTART_PAUSE_S = 0.6  # from SIGKILL to the next start


def free_port() -> int:
    """Returns a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Sender:
    """One sender with its folder, which lasts, and its configuration file."""

    def __init__(self, record: Record, folder: Path, name: str, settings: dict, discovery: str) -> None:
        self.record, self.folder, self.name, self.settings = record, folder / name, name, settings
        self.discovery, self.port, self.starts = discovery, free_port(), 0
        self.process: asyncio.subprocess.Process | None = None
        (self.folder / "state").mkdir(parents=True)
        (self.folder / "tmp").mkdir()

    def configuration(self, known: dict[str, object]) -> dict[str, object]:
        """Returns the configuration as the page DEPLOY shows it."""
        return {
            "name": self.name, "listen": f"{LOOPBACK}:{self.port}", "discovery": self.discovery,
            "seed": f"8c1f30d27a5be9{self.starts:02x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known, "settings": self.settings,
        }  # fmt: skip

    def write_configuration(self, configuration: dict[str, object]) -> None:
        """Replaces the file of the configuration."""
        new = self.folder / "config.json.new"
        new.write_text(json.dumps(configuration))
        new.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Starts the process and waits until it answers PING."""
        self.starts += 1
        inherited = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        environment = inherited | {
            "EDGE_NAME": self.name, "EDGE_LISTEN": f"{LOOPBACK}:{self.port}",
            "EDGE_DISCOVERY": self.discovery,
            "EDGE_STATE": str(self.folder / "state"), "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / f"log-{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(self.name, f"is started, process {self.starts}")
        client = Client(self.record, self.port)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                assert self.process.returncode is None, "the sender has ended"
                try:
                    if await client.command(b"PING") == "+PONG":
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.02)
        client.close()
        self.record.write(self.name, "is ready")

    def hup(self) -> None:
        """Sends SIGHUP."""
        assert self.process is not None
        self.record.write(self.name, "gets SIGHUP")
        self.process.send_signal(signal.SIGHUP)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record.write(self.name, "gets SIGKILL")
            self.process.kill()
        await self.process.wait()

    async def restart(self) -> None:
        """Kills the process, and starts the next one after the time that the page PROTOCOL names."""
        await self.kill()
        await asyncio.sleep(RESTART_PAUSE_S)
        await self.start()

    @property
    def log(self) -> str:
        """What the processes wrote to their logs."""
        paths = sorted(self.folder.glob("log-*.txt"))
        return "".join(f"--- {path.name}\n{path.read_text(errors='replace')}" for path in paths)
