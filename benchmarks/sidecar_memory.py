"""Memory of a sidecar: of the idle program, and of each held message, byte of a body and call in flight.

    python benchmarks/sidecar_memory.py

These are the figures that `rainpier check` assumes in its memory rule, E403. Sidecars hold messages for an
endpoint that accepts connections and never responds; their resident size is read from /proc.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from rainpier.config.check import CONTROL_SOCKET_NAME, MESSAGE_MEMORY, PROGRAM_MEMORY, SLOT_MEMORY
from rainpier.control.server import ask
from rainpier.demo.client import Client, Message, SubmissionResults

CONFIG_TEMPLATE = """version = 1
[sidecar]
name = "memory"
state = "state"
[resp]
listen = "127.0.0.1:0"
[limits]
slots = {slots}
held = 8000
disk = "512 MiB"
memory = "2 GiB"
[class.notice]
effect = "safe"
aim = "2 s"
deadline = "10 min"
late_worth = 0.5
[destination.silent]
number = 1
rate = "10000/s"
endpoints = ["127.0.0.1:{port}"]
"""


async def resident_size(slots: int, messages: int, body_size: int) -> int:
    """Returns the resident bytes of a sidecar with `slots` slots that holds `messages` messages.

    `body_size`: bytes of each message's body.
    """
    endpoint = await asyncio.start_server(lambda reader, writer: reader.read(), "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "a.toml"
        config_path.write_text(CONFIG_TEMPLATE.format(slots=slots, port=endpoint.sockets[0].getsockname()[1]))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "rainpier", "run", "-c", str(config_path),
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            status = await wait_for_status(Path(folder) / "state" / CONTROL_SOCKET_NAME)
            client = Client(int(status["listen"].rpartition(":")[2]), submitted := SubmissionResults())
            for n in range(messages):
                await client.submit(Message(f"m{n}", "notice", 1, 600_000, b"x" * body_size))
            assert len(submitted.accepted) == messages, len(submitted.accepted)
            row = next(r for r in Path(f"/proc/{process.pid}/status").read_text().split("\n") if "VmRSS" in r)
            return int(row.split()[1]) * 1024  # the row's unit is kB, of 1024 bytes
        finally:
            process.kill()
            await process.wait()
            endpoint.close()


async def wait_for_status(control_socket: Path) -> dict:
    """Waits until the sidecar answers on its control socket; returns its status.

    Raises RuntimeError after 20 s or more.
    """
    for _ in range(1000):
        try:
            return ask(control_socket, "status")
        except (OSError, ValueError):
            await asyncio.sleep(0.02)
    raise RuntimeError(f"no sidecar answered on {control_socket} in 1000 tries, 20 ms apart")


async def main() -> None:
    """Measures sidecars that differ in one figure each, and prints the differences."""
    idle = await resident_size(8, 0, 10)
    small_bodies, large_bodies = await resident_size(8, 2000, 100), await resident_size(8, 2000, 4096)
    few_slots, many_slots = await resident_size(8, 400, 4096), await resident_size(384, 400, 4096)
    message = (small_bodies - idle) / 2000
    message_overhead = message - 2 * 100  # E403 counts each byte of a body twice
    body_byte = (large_bodies - small_bodies) / 2000 / (4096 - 100)
    # One destination may use 3/4 of the slots at most.
    call = (many_slots - few_slots) / (384 * 3 // 4 - 8 * 3 // 4)
    print(f"idle {idle / 2**20:.1f} MiB (check assumes {PROGRAM_MEMORY / 2**20:.0f})")
    print(
        f"a byte of a held body {body_byte:.2f} bytes (check assumes 2), "
        f"a call in flight {call / 1024:.1f} KiB (check assumes {SLOT_MEMORY / 1024:.0f})"
    )
    print(f"a held message beside its body: {message_overhead:.0f} bytes (the check's: {MESSAGE_MEMORY})")


if __name__ == "__main__":
    asyncio.run(main())
