"""Measures HTTP delivery latency while a broker blocks publishing, and counts what becomes of its messages.

    python benchmarks/amqp_blocked.py [SECONDS]

RESP clients submit messages for an HTTP destination and for a broker at the same rate: first for SECONDS
(default 30) while the broker accepts publishes, then for as long after it has sent connection.blocked.
Latency is the time from submission to the request's arrival at the HTTP endpoint. The last line gives the
ratio of its 99th percentiles, during the block over before it.
"""

import asyncio
import logging
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from peers import HttpServer  # noqa: E402
from standins.broker import ScriptedBroker  # noqa: E402
from standins.station import Station, make_config_text  # noqa: E402

RATE = 25  # messages per second to each destination


async def submit_at_rate(station: Station, prefix: str, seconds: float, sent: dict[str, float]) -> None:
    """Submits RATE messages per second to each destination; returns when all of them are answered.

    Ids begin with `prefix`. `sent` gets the submission time of each HTTP message, in s of time.perf_counter.
    """
    loop = asyncio.get_running_loop()
    started, tasks = loop.time(), []
    for n in range(int(seconds * RATE)):
        await asyncio.sleep(max(0.0, started + n / RATE - loop.time()))
        sent[f"{prefix}h{n}"] = time.perf_counter()
        tasks.append(
            asyncio.create_task(station.submit(f"{prefix}h{n}", "charge", 2, f"{prefix}h{n}".encode()))
        )
        # The lifetime of every other message for the broker is shorter than the default block, which is 30 s;
        # that of the others is longer.
        lifetime_ms = 8000 if n % 2 else 60_000
        tasks.append(
            asyncio.create_task(station.submit(f"{prefix}b{n}", "charge", 1, lifetime_ms=lifetime_ms))
        )
    await asyncio.gather(*tasks)


async def measure(seconds: float) -> str:
    """Runs both halves of the measurement, prints the latencies and returns the closing line."""
    latency: dict[str, float] = {}  # s, by message id
    sent: dict[str, float] = {}

    def respond(request: object, body: bytes) -> tuple:
        latency[body.decode()] = time.perf_counter() - sent[body.decode()]
        return 200, [], b""

    with tempfile.TemporaryDirectory() as folder:
        async with ScriptedBroker() as broker, HttpServer(respond) as http_server:
            config = make_config_text(
                {"orders": [broker.address]}, {"others": [http_server.address]}, deadline="60 s", rate="200/s"
            )
            async with Station(Path(folder), config) as station:
                await submit_at_rate(station, "a", seconds, sent)
                await asyncio.sleep(1)  # lets the last messages reach the broker before they are counted
                published_before = len(broker.published)
                broker.block("low on memory")
                await asyncio.sleep(0.1)  # lets connection.blocked reach the sidecar
                await submit_at_rate(station, "c", seconds, sent)
                published_blocked = len(broker.published) - published_before
                broker.block("")
                await station.wait_until_settled(60)
                lost = [message for message in sent if message not in latency]
                handed_back = list(station.sink.status_by_message.values()).count("handed_back")
                other = len(station.sink.status_by_message) - handed_back
                twice = sum(count > 1 for count in broker.effects.values())
    before, during = ([1000 * s for message, s in latency.items() if message[0] == prefix] for prefix in "ac")
    p99 = [statistics.quantiles(values, n=100)[98] for values in (before, during)]
    median = [statistics.median(values) for values in (before, during)]
    print(f"HTTP latency before and during the block, ms: median {median[0]:.1f} and {median[1]:.1f}")
    print(f"99th percentile {p99[0]:.1f} and {p99[1]:.1f}; {len(lost)} messages lost")
    kept = (
        f"{published_blocked} published meanwhile, {handed_back} handed back at their deadline, "
        f"{other} ended otherwise"
    )
    ratio = p99[1] / p99[0]
    return f"blocked for {seconds:.0f} s: {kept}, {twice} twice; HTTP's 99 % {ratio:.2f} of that before"


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    print(asyncio.run(measure(float(sys.argv[1]) if len(sys.argv) > 1 else 30.0)))
