"""Case 3: answers with trailers that never end take the sender over its memory limit."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Client, Platform, Receiver, Record, SenderProcess, response, run_case

MEMORY_MB = 192  # the largest limit of the scored days (DEPLOY, Limits)
HEALTHY, BAD = 3, 4  # destinations
SPOILT_ANSWERS = 4  # the first ones of the bad receiver, one after another
LINE = 16_000  # bytes of a line of the trailer
SPOILT_S = 8.0  # after which the receiver ends the answer by itself


async def scenario(record: Record, folder: Path, trouble: bool) -> int:
    """Runs the case; returns 1 if the sender needed more memory than it may have, or ended."""
    platform = Platform(record)
    await platform.start()
    spoilt = 0

    async def good(ids: list[str], writer: asyncio.StreamWriter) -> bytes:
        await asyncio.sleep(0.1)
        return response(200)

    async def some_spoilt(ids: list[str], writer: asyncio.StreamWriter) -> bytes | None:
        """Answers the first calls with chunked answers that go on after their last chunk."""
        nonlocal spoilt
        await asyncio.sleep(0.1)
        if spoilt >= SPOILT_ANSWERS or not trouble:
            return response(200)
        spoilt += 1
        record("bad: an answer begins that never ends")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
        written, line = 0, b"X-Report-%d: " + b"v" * LINE + b"\r\n"
        try:
            async with asyncio.timeout(SPOILT_S):
                while True:
                    block = b"".join(line % (written + n) for n in range(32))
                    written += 32
                    writer.write(block)
                    await writer.drain()
        except (OSError, TimeoutError) as error:
            record(f"bad: the answer has ended after {written * LINE / 1e6:.0f} MB: {type(error).__name__}")
        return None

    receivers = [Receiver("healthy", record, good), Receiver("bad", record, some_spoilt)]
    for receiver, dest in zip(receivers, (HEALTHY, BAD), strict=True):
        await receiver.start()
        await platform.set_host(receiver.name, receiver.address, dest, "small-customer")
    sender = SenderProcess(
        record, folder, platform.address, platform.known,
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024, "disk_mb": 3},
    )  # fmt: skip
    try:
        await sender.start()
        before = sender.memory_mb()
        client: Client = sender.client()
        for number in range(20):
            dest = BAD if number % 2 else HEALTHY
            assert await client.put(f"{number + 1:016x}", "thumb-ready", dest, 5000) == "+OK"
            await asyncio.sleep(0.2)
        peak = before
        for _ in range(20):
            peak = max(peak, sender.memory_mb())
            await asyncio.sleep(0.2)
        assert sender.process is not None
        record(f"sender: {before:.0f} MB at its start, {peak:.0f} MB at most, the limit is {MEMORY_MB} MB")
        record(f"calls: {sum(len(r.calls) for r in receivers)}; notices: {len(platform.notices)}")
        if sender.process.returncode is not None:
            record(f"sender: ended with {sender.process.returncode}")
            return 1
        if peak > MEMORY_MB:
            record("broken: over its memory limit the platform kills the sender, which counts as a crash")
            return 1
        return 0
    finally:
        await sender.kill()


if __name__ == "__main__":
    run_case(__file__, scenario)
