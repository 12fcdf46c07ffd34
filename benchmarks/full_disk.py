"""A sidecar that is killed on a full disk and started there: nothing lost or repeated, and service resumes.

    python benchmarks/full_disk.py FOLDER [ROUNDS]

FOLDER must be on a file system of its own, of about 9 MB, which the benchmark fills. In each round a sidecar
under load is killed once the disk is full and started there, gets traffic that it must reject, and has room
again after 3 s. In every other round its reserve file is removed before the start, and the room is filled, as
if another program had used it first.
"""

import asyncio
import os
import shutil
import statistics
import sys
import time
from pathlib import Path

from rainpier.config.check import CONTROL_SOCKET_NAME
from rainpier.control.server import ask
from rainpier.demo.client import Client, Message, SubmissionResults, put
from rainpier.demo.receivers import Behaviour, Ledger, Receiver

CONFIG = """version = 1
[sidecar]
name = "full"
state = "{folder}/state"
[resp]
listen = "127.0.0.1:0"
[sink]
file = "{folder}/ends.jsonl"
[limits]
held = 400
disk = "4 MiB"
typical_body = "1 KiB"
[class.notice]
effect = "safe"
aim = "2 s"
deadline = "30 s"
late_worth = 0.5
[class.charge]
effect = "unsafe"
aim = "2 s"
deadline = "30 s"
late_worth = 0.5
[destination.partner]
number = 1
rate = "300/s"
endpoints = ["127.0.0.1:{port}"]
"""
BODY = b'{"frames": "%s"}' % (b"x" * 1000)
FULL_S = 3.0  # time that the disk stays full after the start
LOAD_S = 1.0  # duration of the traffic around the kill: the disk is full after half, the kill comes after 3/4


class Filler:
    """A file of another program that takes all the room on the disk."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "filler"

    def fill(self) -> None:
        """Appends to the file until the disk is full, in ever smaller writes."""
        handle = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        for size in (1 << 16, 1 << 9, 1):
            try:
                while os.write(handle, bytes(size)):
                    pass
            except OSError:
                continue
        os.close(handle)


class Sidecar:
    """The sidecar, of which one process runs at a time, and its clients."""

    def __init__(self, folder: Path, port: int) -> None:
        """`port`: of the receiver."""
        self.folder, self.file, self.count = folder, folder / "full.toml", 0
        self.file.write_text(CONFIG.format(folder=folder, port=port))
        self.submitted, self.rejected = SubmissionResults(), 0

    async def start(self) -> float:
        """Starts a process; returns the time until it answers its control socket, s."""
        started, socket = time.perf_counter(), self.folder / "state" / CONTROL_SOCKET_NAME
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "rainpier", "run", "-c", str(self.file),
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        while True:
            try:
                status = ask(socket, "status")
                if status["pid"] == self.process.pid:
                    self.port = int(str(status["listen"]).rpartition(":")[2])
                    return time.perf_counter() - started
            except (OSError, ValueError):
                if self.process.returncode is not None:
                    raise SystemExit(
                        f"sidecar ended with exit code {self.process.returncode} before it was ready"
                    ) from None
            await asyncio.sleep(0.02)

    def status(self) -> dict:
        """Returns the status that the running process reports."""
        return ask(self.folder / "state" / CONTROL_SOCKET_NAME, "status")

    async def wait_until_accepting(self) -> None:
        """Submits a message every 10 ms until one is accepted, regardless of the delay in a BUSY reply."""
        client, reply = Client(self.port, self.submitted), None
        while reply != b"OK":
            await asyncio.sleep(0.01)
            self.count += 1
            name = f"notice-{self.count}"
            reply = await client.ask(put(Message(name, "notice", 1, 30_000, BODY)))
        self.submitted.accepted.add(name)
        client.close()

    async def kill(self) -> None:
        """Kills the process."""
        self.process.kill()
        await self.process.wait()

    async def send_traffic(self, duration: float) -> int:
        """Submits messages for `duration` seconds; returns the number of accepted ones."""
        before, until = len(self.submitted.accepted), time.perf_counter() + duration
        client = Client(self.port, self.submitted)
        while time.perf_counter() < until:
            self.count += 1
            cls = "charge" if self.count % 2 else "notice"
            await client.submit(Message(f"{cls}-{self.count}", cls, 1, 30_000, BODY))
            await asyncio.sleep(0.002)
        client.close()
        return len(self.submitted.accepted) - before


async def main() -> None:
    folder, rounds = Path(sys.argv[1]).absolute(), int(sys.argv[2]) if len(sys.argv) > 2 else 6
    if shutil.disk_usage(folder).total > 64 << 20:
        raise SystemExit(
            f"{folder}: the benchmark fills the file system of this folder, which is larger than 64 MiB"
        )
    ledger = Ledger()
    receiver = Receiver("partner", ledger, Behaviour(0.05), 1)
    await receiver.start()
    for name in ("ends.jsonl", "filler"):
        (folder / name).unlink(missing_ok=True)
    shutil.rmtree(folder / "state", ignore_errors=True)
    # starts, resumes: times in s, one for each round; accepted: messages while the disk was full
    sidecar, filler, starts, resumes, accepted = Sidecar(folder, receiver.port), Filler(folder), [], [], 0
    await sidecar.start()
    for turn in range(rounds):
        load = asyncio.create_task(sidecar.send_traffic(LOAD_S))
        await asyncio.sleep(LOAD_S / 2)
        filler.fill()
        await asyncio.sleep(LOAD_S / 4)
        await sidecar.kill()
        await asyncio.gather(load, return_exceptions=True)
        if turn % 2:
            (folder / "state" / "reserve").unlink(missing_ok=True)
        filler.fill()
        starts.append(await sidecar.start())
        filler.fill()
        accepted += await sidecar.send_traffic(FULL_S)
        filler.path.unlink()
        freed_at = time.perf_counter()
        await sidecar.wait_until_accepting()
        resumes.append(time.perf_counter() - freed_at)
    while sidecar.status()["held"]:
        await asyncio.sleep(0.05)
    await sidecar.kill()
    ends = (folder / "ends.jsonl").read_text().splitlines() if (folder / "ends.jsonl").exists() else []
    lost = len(sidecar.submitted.accepted - ledger.effects.keys()) - len(ends)
    twice = ledger.twice(lambda message: message.startswith("notice"))
    print(f"{rounds} kills on a full disk, {len(sidecar.submitted.accepted)} accepted, "
          f"{len(ends)} undelivered")  # fmt: skip
    print(f"while it was full {accepted} were accepted")
    print(f"starts on the full disk: {statistics.median(starts):.2f} s, the longest {max(starts):.2f} s")
    print(f"{lost} lost, {twice} charges twice; served again {statistics.median(resumes):.2f} s after there "
          f"was room, {max(resumes):.2f} s at most")  # fmt: skip


if __name__ == "__main__":
    asyncio.run(main())
