"""Case 1: charges held for one company are sent to another one that takes over its number."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Platform, Receiver, Record, SidecarProcess, response, run_case

LIFE = 10_000  # ms for which a message may be delivered
CONFIG = """version = 1

[sidecar]
name = "shop"
state = "state"

[resp]
listen = "LISTEN"

[sink]
kind = "http"
address = "{sink}"

[limits]
slots = 11
held = 235
sockets = 1024
memory = "192 MiB"
disk = "8 MiB"
typical_body = "1 KiB"

[class.usage-charge]
effect = "unsafe"
aim = "2500 ms"
deadline = "20 s"
late_worth = 0.5
worth = 5

[class.thumb-ready]
effect = "safe"
aim = "2500 ms"
deadline = "20 s"
late_worth = 0.3
"""


def destination(name: str, number: int, address: str) -> str:
    """Returns the table of a destination with one endpoint."""
    return f'\n[destination.{name}]\nnumber = {number}\nrate = "20/s"\nendpoints = ["{address}"]\n'


async def scenario(record: Record, folder: Path, trouble: bool) -> int:
    """Runs the case; returns 1 if a company got a message that was handed in for another one."""
    sink = Platform(record)  # takes the completions
    await sink.start()

    async def full(ids: list[str], writer: asyncio.StreamWriter) -> bytes:
        return response(503)

    async def good(ids: list[str], writer: asyncio.StreamWriter) -> bytes:
        await asyncio.sleep(0.05)
        return response(200)

    alpha, beta = Receiver("alpha", record, full), Receiver("beta", record, good)
    gamma = Receiver("gamma", record, good)
    for receiver in (alpha, beta, gamma):
        await receiver.start()
    base = CONFIG.format(sink=sink.address)
    kept = destination("beta", 2, beta.address)
    sidecar = SidecarProcess(record, folder, base + destination("alpha", 1, alpha.address) + kept)
    try:
        await sidecar.start()
        client = sidecar.client()
        for number in range(10):
            charge, notice = f"{number + 1:016x}", f"{number + 101:016x}"
            body = f"charge {number} for alpha".encode()
            assert await client.put(charge, "usage-charge", 1, LIFE, body) == "+OK"
            assert await client.put(notice, "thumb-ready", 2, LIFE, b"notice for beta") == "+OK"
            await asyncio.sleep(0.1)
        if trouble:
            record("operator: replaces alpha by gamma in the file, with alpha's number, and sends SIGHUP")
            sidecar.write_config(base + destination("gamma", 1, gamma.address) + kept)
            sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(LIFE / 1000 + 1)
        ended = {notice["message"] for _, notice in sink.notices}
        foreign = [(message, body) for _, message, _, body in gamma.calls if b"alpha" in body]
        record(f"alpha: {len(alpha.calls)} calls, all turned away; completions: {sorted(ended)}")
        for message, body in foreign:
            record(f"broken: gamma got message {message}, {body!r}, and ran it")
        record(f"sidecar: {sidecar.log_path.read_text().splitlines()[-1]}")
        return 1 if foreign else 0
    finally:
        await sidecar.kill()


if __name__ == "__main__":
    run_case(__file__, scenario)
