"""A fleet of real sender processes before one destination that has an outage and is cold after it.

    cd tests; python -m standins.recovering --seeds 1-50 [--jobs 2] [--logs FOLDER]

Each sender reaches the destination at an address of its own, so that the receiver knows who calls. Clients keep
submitting messages on one connection to each sender. Senders may be killed during the outage and started again
on the same state folder. The finding of a run is the largest share of the calls that the overload rule allows
(Destination.overload). Times are in s where no unit is named.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import re
import signal
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import h11
from peers import SETTINGS, DiscoveryServer, HttpServer, RespClient, encode_submission, endpoint_entry

from standins.fleet import COLD_MS, COLD_SHARE, Destination, OutageKind

ROOT = Path(__file__).resolve().parents[2]
OVERLOAD_FACTOR, FALL_MS = 2.5, 3000.0  # of the overload rule
LIFETIME_MS = 20_000  # of each message
START_TIMEOUT = 30.0
PARALLEL_STARTS = 8
RESPONSE_TIME = (0.05, 0.3)  # range
TRAFFIC_BEFORE = 3.0  # from the first message to the outage
OBSERVED_AFTER = 5.0  # from the end of the outage to the end of the run
RESTART_DELAY = 0.6  # from a kill to the next start
SIGTERM_GRACE = 3.7  # from SIGTERM to SIGKILL
CALL_TIMEOUT = 2.0  # the least after which a sender gives a call up
CLASSES = ("safe", "safe", "unsafe")  # of the messages, drawn at random
CONNECTION_CLOSE = [("Connection", "close")]


@dataclass(frozen=True)
class Restart:
    """One restart of a sender."""

    at: float  # after the first message
    sender: int
    sigterm_first: bool  # SIGTERM, and SIGKILL only after SIGTERM_GRACE
    kills: int = 1  # each further one hits the process that was just started


@dataclass
class Plan:
    """All parameters of a run."""

    seed: int
    senders: int
    rate: float  # calls a second that the destination takes when it is warm
    kind: OutageKind
    outage: float  # its length
    demand: float = 0.8  # messages a second, as a share of `rate`
    retry_after_share: float = 0.8  # share of the refusals of a SHUT destination
    closes: bool = False  # it closes the connection after each response during the outage
    listed_factor: float = 1.0  # listed rate as a share of `rate`
    batch: bool = False  # calls may carry several messages
    restarts: list[Restart] = field(default_factory=list)

    @property
    def outage_ms(self) -> tuple[float, float]:
        """Begin and end of the outage, ms after the first message."""
        return TRAFFIC_BEFORE * 1000, (TRAFFIC_BEFORE + self.outage) * 1000


def draw_plan(seed: int) -> Plan:
    """Draws the plan of a run. The same seed must give the same plan, so the order of the draws must not change."""
    rng = random.Random(seed)
    plan = Plan(
        seed, rng.choice([3, 10, 24, 51, 51, 64]), rng.choice([6.0, 10.0, 20.0, 40.0]), rng.choice(list(OutageKind)),
        rng.uniform(3.0, 10.0), rng.choice([0.8, 1.2]), rng.choice([0.0, 0.3, 0.8, 1.0]), rng.random() < 0.3,
        rng.choice([0.7, 1.0, 1.4]), rng.random() < 0.5,
    )  # fmt: skip
    if rng.random() < 0.5:
        share, sigterm_share = rng.choice([0.3, 0.7]), rng.choice([0.0, 0.5])
        at = TRAFFIC_BEFORE + rng.uniform(0.5, plan.outage)
        for sender in range(plan.senders):
            if rng.random() < share:
                sigterm_first = rng.random() < sigterm_share
                begins = max(0.5, at - SIGTERM_GRACE) if sigterm_first else at
                plan.restarts.append(
                    Restart(begins + rng.uniform(0, 0.3), sender, sigterm_first, rng.choice([1, 1, 2]))
                )
    return plan


class Receiver(HttpServer):
    """The destination at the address that one sender knows."""

    def __init__(self, run: "Run", sender: int) -> None:
        super().__init__(self.respond)
        self.run, self.sender = run, sender

    async def handle_connection(self, reader, writer) -> None:
        """Serves one connection; resets it at once during an outage of kind DOWN."""
        if self.run.in_outage and self.run.plan.kind is OutageKind.DOWN:
            self.run.destination.informed.add(self.sender)
            writer.transport.abort()
            return
        await super().handle_connection(reader, writer)

    async def respond(self, request: h11.Request, body: bytes) -> tuple[int, list, bytes]:
        """Returns the response to a call."""
        run, now = self.run, self.run.now_ms
        if run.in_outage:
            return await self.fail()
        if now >= run.destination.outage[1]:
            run.destination.calls_after_outage.append((now, self.sender))
        if not run.destination.admit(now):
            return 503, [], b""
        await asyncio.sleep(run.rng.uniform(*RESPONSE_TIME))
        results = [{"id": message["id"], "state": "delivered"} for message in json.loads(body)] if (
            request.target.endswith(b":batch")
        ) else []  # fmt: skip
        run.delivered += max(1, len(results))
        return 200, [], json.dumps(results).encode()

    async def fail(self) -> tuple[int, list, bytes]:
        """Responds as the outage has it; a sender that is not answered is informed when it gives the call up."""
        run, plan = self.run, self.run.plan
        headers = CONNECTION_CLOSE if plan.closes else []
        if plan.kind is OutageKind.HUNG:
            await asyncio.sleep(CALL_TIMEOUT)
            if run.in_outage:
                run.destination.informed.add(self.sender)
            await asyncio.get_running_loop().create_future()
        run.destination.informed.add(self.sender)
        if plan.kind is OutageKind.FAILING:
            return 500, headers, b""
        if run.rng.random() < plan.retry_after_share:
            wait = max(1, round(run.destination.outage[1] - run.now_ms))
            return 429, [*headers, ("X-Retry-In-Ms", str(wait))], b""
        return 503, headers, b""


class SenderProcess:
    """One sender: its configuration, state folder and the process that runs now."""

    def __init__(self, folder: Path, config: dict) -> None:
        self.folder, self.log, self.port = folder, b"", 0
        (folder / "state").mkdir(parents=True)
        (folder / "config.json").write_text(json.dumps(config))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts a process and waits until it serves."""
        env = os.environ | {
            "EDGE_CONFIG": str(self.folder / "config.json"), "EDGE_STATE": str(self.folder / "state")
        }  # fmt: skip
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "rainpier", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        async with asyncio.timeout(START_TIMEOUT):
            while True:
                line = await self.process.stderr.readline()
                assert line, self.log.decode()
                self.log += line
                if found := re.search(rb"serves on 127\.0\.0\.1:(\d+)", line):
                    self.port = int(found[1])
                    break
        self.log_reader = asyncio.create_task(self.read_log(self.process))

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        """Collects the log of a process until its end."""
        async for line in process.stderr:
            self.log += line

    async def kill(self, sigterm_first: bool = False) -> None:
        """Ends the process."""
        with contextlib.suppress(ProcessLookupError):
            if sigterm_first:
                self.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(SIGTERM_GRACE)
            self.process.kill()
        await self.process.wait()
        await self.log_reader


class Run:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.rng = plan, folder, random.Random(plan.seed)
        self.destination = Destination(
            1, lambda now: plan.rate, counts_refused=False, outage=plan.outage_ms, outage_kind=plan.kind
        )
        self.began, self.delivered, self.submitted = float("inf"), 0, 0
        self.senders: list[SenderProcess] = []
        self.ended = False

    @property
    def now_ms(self) -> float:
        """Time since the first message; negative before it."""
        return (asyncio.get_running_loop().time() - self.began) * 1000

    @property
    def in_outage(self) -> bool:
        """Whether the destination's outage goes on."""
        return self.destination.outage[0] <= self.now_ms < self.destination.outage[1]

    def settings(self) -> dict:
        """Returns the senders' settings."""
        classes = [
            cls | {"objective": 2500.0, "hard-limit": float(LIFETIME_MS)} for cls in SETTINGS["classes"]
        ]
        rules = {
            "overload-factor": OVERLOAD_FACTOR,
            "fall": FALL_MS,
            "cold-from": COLD_SHARE,
            "cold": COLD_MS,
        }
        info = SETTINGS["family-info"] | {"workers": 4 if self.plan.senders > 16 else 16}
        return SETTINGS | {
            "classes": classes, "rules": SETTINGS["rules"] | rules, "family-info": info,
            "weights": "rough", "fleet-size": self.plan.senders,
        }  # fmt: skip

    async def play(self) -> float:
        """Plays the plan; returns the largest share of the allowed calls that the destination got."""
        receivers = []
        async with contextlib.AsyncExitStack() as stack:
            for index in range(self.plan.senders):
                receiver = await stack.enter_async_context(Receiver(self, index))
                receivers.append(receiver)
                entry = endpoint_entry(
                    "r1", receiver.address, destination=1, kind="bulk" if self.plan.batch else "single",
                    rate=self.plan.rate * self.plan.listed_factor,
                )  # fmt: skip
                discovery = await stack.enter_async_context(DiscoveryServer([entry]))
                config = {
                    "name": f"n{index}", "listen": "127.0.0.1:0", "discovery": discovery.address,
                    "seed": f"{self.plan.seed * 1000 + index:x}", "known": {"seq": 1, "whole": True, "hosts": [entry]},
                    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384, "disk_mb": 3},
                    "settings": self.settings(),
                }  # fmt: skip
                self.senders.append(SenderProcess(self.folder / f"n{index}", config))
            try:
                await self.play_signals_and_traffic(receivers)
            finally:
                for sender in self.senders:
                    if sender.process is not None and sender.process.returncode is None:
                        await sender.kill()
        return self.destination.overload(OVERLOAD_FACTOR, FALL_MS)

    async def play_signals_and_traffic(self, receivers: list[Receiver]) -> None:
        """Starts all senders, then lets clients and signals come until the end of the run."""
        starts = asyncio.Semaphore(PARALLEL_STARTS)

        async def start(sender: SenderProcess) -> None:
            async with starts:
                await sender.start()

        await asyncio.gather(*map(start, self.senders))
        self.began = asyncio.get_running_loop().time()
        tasks = [asyncio.create_task(self.submit_messages(index)) for index in range(self.plan.senders)]
        tasks += [asyncio.create_task(self.restart(restart)) for restart in self.plan.restarts]
        tasks.append(asyncio.create_task(self.reset_connections(receivers)))
        await asyncio.sleep(TRAFFIC_BEFORE + self.plan.outage + OBSERVED_AFTER)
        self.ended = True
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        errors = [result for result in results if isinstance(result, Exception)]
        assert not errors, errors

    async def reset_connections(self, receivers: list[Receiver]) -> None:
        """Resets the open connections of a DOWN destination when its outage begins."""
        if self.plan.kind is OutageKind.DOWN:
            await asyncio.sleep(TRAFFIC_BEFORE)
            for receiver in receivers:
                for writer in list(receiver.writers):
                    writer.transport.abort()

    async def restart(self, restart: Restart) -> None:
        """Ends a sender and starts it again, as often as planned."""
        await asyncio.sleep(restart.at)
        sender = self.senders[restart.sender]
        for n in range(restart.kills):
            await sender.kill(restart.sigterm_first and n == 0)
            await asyncio.sleep(RESTART_DELAY)
            await sender.start()

    async def submit_messages(self, index: int) -> None:
        """Submits messages to one sender at random times, on one connection for as long as it stays open."""
        rng, client = random.Random(f"{self.plan.seed} {index}"), None
        mean_interval = self.plan.senders / (self.plan.rate * self.plan.demand)
        try:
            while not self.ended:  # asyncio.wait_for may swallow a cancellation
                await asyncio.sleep(rng.expovariate(1 / mean_interval))
                self.submitted += 1
                name, cls = f"{index:04x}{self.submitted:012x}", rng.choice(CLASSES)
                message = encode_submission(name, cls, LIFETIME_MS, 1, body=b"x" * 200)
                client = await self.submit(message, client, index)
        finally:
            if client is not None:
                client.writer.close()

    async def submit(self, message: bytes, client: RespClient | None, index: int) -> RespClient | None:
        """Submits a message, again on a new connection if the kept one is closed; returns the open connection."""
        for kept in (client, None):
            with contextlib.suppress(OSError):
                if kept is None:
                    kept = await RespClient(self.senders[index].port).__aenter__()
                if await kept.request(message) is not None:
                    return kept
                kept.writer.close()
        return None


def play(plan: Plan, logs: Path | None = None) -> tuple[float, str]:
    """Plays a plan; returns the finding and a line that describes the run. `logs`: folder for those of senders."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(plan, Path(folder))
        share = asyncio.run(run.play())
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
        for index, sender in enumerate(run.senders):
            (logs / f"{plan.seed}-n{index}.log").write_bytes(sender.log)
    destination = run.destination
    line = (f"seed {plan.seed}: {share:.2f} of the allowed calls; {plan.senders} senders, {plan.rate:.0f}/s, "
            f"{plan.kind.name} for {plan.outage:.1f} s, {len(destination.informed)} informed, "
            f"{len(destination.calls_after_outage)} calls after it, {run.delivered} of {run.submitted} delivered, "
            f"retry-after {plan.retry_after_share}, closes {plan.closes}, listed {plan.listed_factor}, "
            f"batch {plan.batch}, demand {plan.demand}, restarts {len(plan.restarts)}")  # fmt: skip
    return share, line


def play_all(plans: list[Plan], jobs: int, logs: Path | None = None) -> Iterator[tuple[float, str]]:
    """Plays plans, `jobs` at once, each in a process of its own; yields their results in order."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play, plans, [logs] * len(plans))


def main() -> None:
    """Plays the plans of the given seeds; exits with 1 if a run broke the rule."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", required=True, help="FIRST-LAST or one seed")
    parser.add_argument("--jobs", type=int, default=1, help="runs at once")
    parser.add_argument("--logs", type=Path, help="folder for the logs of the senders")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    plans = [draw_plan(seed) for seed in range(int(first), int(last or first) + 1)]
    broken = []
    for plan, (share, line) in zip(plans, play_all(plans, options.jobs, options.logs), strict=True):
        print(("BROKEN " if share > 1 else "kept ") + line, flush=True)
        broken += [plan.seed] if share > 1 else []
    print(f"{len(broken)} of {len(plans)} broken: {broken}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
