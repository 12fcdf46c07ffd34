"""Case 2: after an edit of the zones' order and a restart, keyed orders run in a second zone too."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Platform, Receiver, Record, SidecarProcess, response, run_case

ORDERS = 24
LIFE = 15_000  # ms for which an order may be delivered
WINDOW_S = 60.0  # for which a zone remembers the key of an order
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

[fleet]
zones = {zones}

[class.render-order]
effect = "keyed"
aim = "4 s"
deadline = "24 s"
late_worth = 0.3
worth = 2
repeat_window = "60 s"
remembered_by = "zone"

[destination.alpha]
number = 1
rate = "20/s"
endpoints = [
    {{ address = "{first}", zone = "floor-2" }},
    {{ address = "{second}", zone = "floor-3" }},
]
"""


class Zone:
    """The endpoint in one zone: runs an order unless its key was seen there within the window.

    While `failing` it answers 500 after the run, which says nothing of the effect.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.record, self.failing = record, True
        self.ran: dict[str, float] = {}  # by key: when it ran
        self.receiver = Receiver(name, record, self.answer)

    async def answer(self, ids: list[str], writer: asyncio.StreamWriter) -> bytes:
        """Runs the order of the call that has just come, or drops it as a repeat, and answers."""
        _, message, key, _ = next(call for call in reversed(self.receiver.calls) if call[1] == ids[0])
        if time.monotonic() - self.ran.get(key, -WINDOW_S) >= WINDOW_S:
            self.ran[key] = time.monotonic()
            self.record(f"{self.receiver.name}: runs order {key} of message {message}")
        else:
            self.record(f"{self.receiver.name}: drops the repeat of order {key}")
        return response(500 if self.failing else 200)


async def scenario(record: Record, folder: Path, trouble: bool) -> int:
    """Runs the case; returns 1 if an order ran in both zones."""
    sink = Platform(record)  # takes the completions
    await sink.start()
    zones = [Zone("floor-2", record), Zone("floor-3", record)]
    for zone in zones:
        await zone.receiver.start()

    def config(order: str) -> str:
        first, second = (zone.receiver.address for zone in zones)
        return CONFIG.format(sink=sink.address, zones=order, first=first, second=second)

    sidecar = SidecarProcess(record, folder, config('["floor-2", "floor-3"]'))
    try:
        await sidecar.start()
        client = sidecar.client()
        for number in range(ORDERS):
            message, key = f"{number + 1:016x}", f"order-{number + 1}"
            assert await client.put(message, "render-order", 1, LIFE, token=key) == "+OK"
        await asyncio.sleep(1.5)
        if trouble:
            record(
                "operator: the sidecar moves to floor-3, which is therefore put first in fleet.zones; SIGHUP"
            )
            sidecar.write_config(config('["floor-3", "floor-2"]'))
            sidecar.signal(signal.SIGHUP)
            await asyncio.sleep(1)
            record("operator: the log says that this needs a start, so the sidecar is restarted")
        assert sidecar.process is not None
        sidecar.signal(signal.SIGTERM)
        await sidecar.process.wait()
        for zone in zones:
            zone.failing = False
        await sidecar.start()
        await asyncio.sleep(LIFE / 1000)
        twice = sorted(zones[0].ran.keys() & zones[1].ran.keys())
        ran = zones[0].ran.keys() | zones[1].ran.keys()
        record(f"orders that ran: {len(ran)} of {ORDERS}; completions: {len(sink.notices)}")
        for key in twice:
            record(f"broken: {key} took effect in floor-2 and in floor-3")
        for line in sidecar.log_path.read_text().splitlines():
            if "configuration not applied" in line or "Traceback" in line:
                record(f"log: {line}")
        return 1 if twice else 0
    finally:
        await sidecar.kill()


if __name__ == "__main__":
    run_case(__file__, scenario)
