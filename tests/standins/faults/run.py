"""Runs one plan and checks the rules."""

import asyncio
import contextlib
import random
import signal
import tempfile
from pathlib import Path

from peers import SETTINGS

from standins import crowd
from standins.faults.peers import Client, SenderDiscoveryServer, endpoint_entries
from standins.faults.plan import (
    CROWD_LIMITS,
    RESTART_DELAY,
    SIGTERM_GRACE,
    TRAFFIC_TIME,
    Plan,
    Restart,
)
from standins.faults.receiver import Receiver
from standins.faults.records import Outage, Records
from standins.faults.sender import Sender
from standins.faults.strays import Strays
from standins.faults.verdict import (
    COLD_FROM,
    COLD_TIME,
    FALL_TIME,
    NOTIFICATION_TIME_AFTER_START,
    OVERLOAD_FACTOR,
    REPEAT_WINDOW,
    Verdict,
)

RECOVERY_RULES = {
    "overload-factor": OVERLOAD_FACTOR, "fall": FALL_TIME * 1000, "cold-from": COLD_FROM, "cold": COLD_TIME * 1000,
}  # fmt: skip
MEMORY_CHECK_S = 0.02  # between readings of the senders' memory
READY_TIME = 12.0  # s for a start, including its injected faults
DESTINATIONS = (1, 2, 3)
# A small disk limit makes the store rotate and compact segments constantly, also while calls fail.
DISK_MB = 0.5
# Times in ms.
CLASSES = [cls | {"objective": 500.0, "hard-limit": 6000.0} for cls in SETTINGS["classes"]]
CLASSES[1] = CLASSES[1] | {"repeat-window": REPEAT_WINDOW * 1000}


class Run:
    """One run of a plan. `library`: path of the compiled shim; `folder`: for the senders' state."""

    def __init__(self, plan: Plan, library: Path, folder: Path) -> None:
        self.plan, self.library, self.folder = plan, library, folder
        self.rng, self.records = random.Random(plan.seed), Records()
        self.senders: list[Sender] = []
        self.findings: list[str] = []

    async def execute(self) -> list[str]:
        """Runs the fleet, its clients and the plan's faults until all messages are completed.

        Returns the findings.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self.start_fleet(stack)
            loop = asyncio.get_running_loop()
            lag_task = loop.create_task(self.measure_observer_lag())
            memory_task = loop.create_task(self.measure_memory())
            await self.start_crowds(stack)
            until = self.began + TRAFFIC_TIME
            tasks = [loop.create_task(self.run_restart(restart)) for restart in self.plan.restarts]
            tasks += [loop.create_task(client.run(until)) for client in self.make_clients()]
            tasks += [
                loop.create_task(self.restart_after_torn_write(sender, until)) for sender in self.senders
            ]
            tasks.append(loop.create_task(self.drain()))
            idle_writers = await self.open_idle_connections()
            await asyncio.gather(*tasks)
            await self.wait_for_completions()
            for writer in idle_writers:
                writer.transport.abort()
            lag_task.cancel()
            memory_task.cancel()
        verdict = Verdict(self.records, self.senders)
        self.findings += verdict.run(loop.time())
        return self.findings

    async def start_fleet(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts receivers, discovery servers and senders, which end with `stack`."""
        loop = asyncio.get_running_loop()
        self.strays = Strays(self.plan.strays, random.Random(f"{self.plan.seed} strays"))
        self.receivers = [
            await stack.enter_async_context(self.make_receiver(f"r{dest}{n}", dest))
            for dest in DESTINATIONS for n in (1, 2)
        ]  # fmt: skip
        self.discovery_servers = []
        for n in range(self.plan.senders):
            discovery = await stack.enter_async_context(
                SenderDiscoveryServer(self.records, f"n{n}", self.strays)
            )
            discovery.endpoints = endpoint_entries(self.receivers, self.plan.capacity)
            self.discovery_servers.append(discovery)
        self.began = loop.time()
        settings = SETTINGS | {
            "classes": CLASSES, "fleet-size": self.plan.senders, "weights": "nominal",
            "rules": SETTINGS["rules"] | RECOVERY_RULES,
        }  # fmt: skip
        if self.plan.outage is not None:
            destination, since, until = self.plan.outage
            self.records.outage = Outage(destination, self.began + since, self.began + until)
        limits = {"disk_mb": DISK_MB} | ({"sockets": 160} if self.plan.idle_connections else {})
        limits |= CROWD_LIMITS if self.plan.crowd else {}
        for n, discovery in enumerate(self.discovery_servers):
            sender = Sender(f"n{n}", self.folder / f"n{n}", discovery, self.library, settings,
                            self.plan.rules.get(n, []), self.plan.seed, self.began, limits)  # fmt: skip
            sender.killed_by_plan = any(rule.action == "kill" for rule in sender.rules)
            self.senders.append(sender)
            stack.push_async_callback(sender.kill)
        await asyncio.gather(*(self.start_sender(sender) for sender in self.senders))

    def make_receiver(self, name: str, destination: int) -> Receiver:
        """Makes a receiver with the plan's behaviour."""
        plan = self.plan
        return Receiver(
            name, destination, self.records, self.rng, plan.failure_share, self.strays, plan.response_time
        )

    async def start_sender(self, sender: Sender) -> None:
        """Starts a process and waits until it is ready.

        Adds a finding if it is not ready within READY_TIME although it runs and got no signal.
        """
        await sender.start()
        incarnation = sender.incarnation
        if (
            not await sender.wait_until_ready(READY_TIME)
            and incarnation.ended is None
            and incarnation.unavailable_from is None
        ):
            self.findings.append(f"crash: {sender.name} was not ready within {READY_TIME} s of its start")

    def make_clients(self) -> list[Client]:
        """Makes the clients of all senders, each with random numbers of its own."""
        plan = self.plan
        return [
            Client(sender, self.records, random.Random(f"{plan.seed} {sender.name} {n}"), plan)
            for sender in self.senders for n in range(plan.clients)
        ]  # fmt: skip

    async def open_idle_connections(self) -> list[asyncio.StreamWriter]:
        """Opens connections that never send a request."""
        writers = []
        for sender in self.senders:
            for _ in range(self.plan.idle_connections):
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(0.2):
                        writers.append((await asyncio.open_connection("127.0.0.1", sender.port))[1])
        return writers

    async def start_crowds(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts a crowd at each sender, if the plan has one; they end with `stack`."""
        self.records.has_crowd = bool(self.plan.crowd)
        if self.plan.crowd:
            clients = crowd.FLOOD_CLIENTS if self.plan.crowd.startswith("flood") else crowd.CROWD_CLIENTS
            for sender in self.senders:
                await stack.enter_async_context(
                    crowd.running_crowd("resp", self.plan.crowd, sender.port, clients, TRAFFIC_TIME)
                )

    async def measure_memory(self) -> None:
        """Reads the senders' memory at intervals, for their highest use."""
        while True:
            for sender in self.senders:
                sender.read_memory()
            await asyncio.sleep(MEMORY_CHECK_S)

    async def sleep_until(self, at: float) -> None:
        """Sleeps until `at` s into the run."""
        await asyncio.sleep(max(0.0, self.began + at - asyncio.get_running_loop().time()))

    async def run_restart(self, restart: Restart) -> None:
        """Ends and starts a sender as one restart of the plan says."""
        sender = self.senders[restart.sender]
        await self.sleep_until(restart.at)
        if restart.sigterm_first:
            sender.signal(signal.SIGTERM)
            await asyncio.sleep(SIGTERM_GRACE)
        for n in range(restart.kills):
            await sender.kill()
            await asyncio.sleep(RESTART_DELAY)
            if n + 1 < restart.kills:
                # `restart_after_torn_write` may have started it already, after a kill within a write.
                if not sender.alive:
                    await sender.start()
                await asyncio.sleep(self.rng.uniform(0.05, 0.5))  # during its start or shortly after
        if not sender.alive:
            await self.start_sender(sender)

    async def restart_after_torn_write(self, sender: Sender, until: float) -> None:
        """Restarts a sender each time the plan has killed it in the middle of a write."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(0.05)
            incarnation = sender.incarnation
            killed_in_write = (
                sender.killed_by_plan
                and incarnation.ended is not None
                and incarnation.killed == incarnation.ended
                and incarnation.sigterm_at is None
            )
            if killed_in_write and loop.time() > incarnation.ended + RESTART_DELAY:
                await self.start_sender(sender)

    async def drain(self) -> None:
        """Marks receiver r12 as draining at the plan's time, if it has one."""
        if self.plan.drain_at is not None:
            await self.sleep_until(self.plan.drain_at)
            for discovery in self.discovery_servers:
                discovery.drain("r12")

    async def wait_for_completions(self) -> None:
        """Waits until every accepted message is completed or can no longer be on time."""
        loop, verdict = asyncio.get_running_loop(), Verdict(self.records, self.senders)
        last_due = max(
            (verdict.completion_due(m) or 0.0 for m in self.records.messages.values() if m.reply == "OK"),
            default=0.0,
        )
        latest = loop.time() + NOTIFICATION_TIME_AFTER_START + 8.0
        while loop.time() < min(latest, last_due + 0.1):
            verdict = Verdict(self.records, self.senders)
            if all(verdict.completed_at(m) for m in self.records.messages.values() if m.reply == "OK"):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.2)

    async def measure_observer_lag(self) -> None:
        """Measures how late this event loop runs, for which the checks allow."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(0.01)
            self.records.observer_lag = max(self.records.observer_lag, loop.time() - before - 0.01)

    def summary(self) -> str:
        """Counts what happened in the run, in one line."""
        messages = self.records.messages.values()
        by_reply = {reply: sum(m.reply == reply for m in messages) for reply in ("OK", "BUSY", "ERR", None)}
        failed_calls = sum(sender.log.count(b"fault: ") for sender in self.senders)
        budget_use = f", budget used {self.records.max_budget_use:.2f}" if self.records.outage else ""
        incarnations = sum(len(sender.incarnations) for sender in self.senders)
        peak = max(sender.peak_memory for sender in self.senders) / 1e6
        return (f"{len(messages)} messages, {by_reply['OK']} accepted, {by_reply['BUSY']} busy, {by_reply['ERR']} failed, "
                f"{by_reply[None]} unanswered, {len(self.records.calls)} calls, {len(self.records.notifications)} notices, "
                f"{incarnations} processes, {failed_calls} system calls failed, {self.strays.sent} strays, lag {self.records.observer_lag * 1000:.0f} ms, memory at most {peak:.1f} MB{budget_use}")  # fmt: skip


async def run_plan(plan: Plan, library: Path, logs: Path | None = None) -> tuple[list[str], str]:
    """Runs a plan; returns the findings and a summary.

    `library`: path of the compiled shim; `logs`: folder to which the senders' logs are written.
    """
    with tempfile.TemporaryDirectory() as folder:
        run = Run(plan, library, Path(folder))
        findings = await run.execute()
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            for sender in run.senders:
                (logs / f"{plan.kind}-{plan.seed}-{sender.name}.log").write_bytes(sender.log)
        return findings, run.summary()
