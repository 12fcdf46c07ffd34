"""Derives a run from its seed: the fleet, the load, the signals, and which system calls fail when."""

import random
from dataclasses import dataclass, field

from standins.faults.records import CAPACITY
from standins.faults.shim import FOREVER, Rule
from standins.faults.strays import StrayPlan

# Fault kinds that can be combined in one run; "mixed" is three of them drawn at random.
# "storage": file operations fail for a while; "start": a few of them fail from each process's start on; "torn":
# writes are short, and the process is killed in the middle of one; "sockets": socket operations fail; "clock":
# the wall clock steps; "signals": each sender is restarted; "recovery": a destination has an outage, and the
# wall clock steps.
MIXABLE = ("storage", "start", "torn", "sockets", "clock", "signals", "recovery")
# "answers": peers send unsolicited data after their responses (strays.py).
# "crowd": hundreds of clients that misbehave, or one at full speed, at senders with the least memory that the pages
# name, and signals in series (crowd.py).
KINDS = (*MIXABLE, "mixed", "answers", "answers+mixed", "crowd")
# Crowds whose clients submit nothing that is accepted.
CROWDS = ("half", "half-largest", "half-again", "slow", "many-parts", "many-fields", "flood-ping", "flood-command",
          "flood-unsound", "flood-fields")  # fmt: skip
CROWD_LIMITS = {"memory_mb": 32, "sockets": 1024}
TRAFFIC_TIME = 6.0  # s for which clients submit messages
# Operations of the shim on files and sockets (shim.c), and the errors with which they fail.
STORE_CALLS = ("open", "list", "read", "write", "truncate", "rename", "unlink", "sync", "lock", "close")
STORE_ERRORS = ("EIO", "ENOSPC", "EDQUOT", "EROFS", "EMFILE", "EINTR")
SOCKET_FAULTS = (
    ("accept", ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EPERM")),
    ("socket", ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM")),
    ("connect", ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EAGAIN", "EINTR", "ENOBUFS")),
    ("setsockopt", ("ENOBUFS", "ENOMEM")),
    ("recv", ("EINTR", "ENOMEM", "ENOBUFS", "short")),
    ("send", ("EINTR", "ENOBUFS", "ENOMEM", "short")),
    ("epoll_add", ("ENOMEM", "ENOSPC")),
    ("bind", ("EADDRINUSE", "ENOBUFS")),
    ("listen", ("EADDRINUSE", "ENOBUFS")),
    ("epoll_create", ("EMFILE", "ENOMEM")),
    ("socketpair", ("ENFILE", "EMFILE")),
)
MAX_EINTR_PERCENT = 50  # a signal interrupts a call now and then, not every call for seconds
CLOCK_STEPS_MS = (1_000, 7_000, 3_600_000, 86_400_000)  # of the wall clock
MAX_STRAY_DELAY = 0.06  # s from a response to the unsolicited data after it
RESTART_DELAY = 0.6  # s between a kill and the next start
SIGTERM_GRACE = 3.7  # s between SIGTERM and SIGKILL


@dataclass(frozen=True)
class Restart:
    """One restart of a sender."""

    at: float  # s into the run
    sender: int  # number of the sender, from 0
    sigterm_first: bool  # SIGTERM, and SIGKILL only after SIGTERM_GRACE
    kills: int = 1  # SIGKILLs; each further one hits the process that was just started


@dataclass
class Plan:
    """All parameters of one run."""

    seed: int
    kind: str
    senders: int  # how many
    clients: int  # of each sender
    message_interval: float  # mean s between two messages of one client
    lifetime: tuple[float, float]  # range of the messages' lifetimes, s
    failure_share: float  # share of the calls to which receivers do not respond with 200
    idle_connections: int  # held open to each sender by clients
    rules: dict[int, list[Rule]] = field(default_factory=dict)  # by sender
    restarts: list[Restart] = field(default_factory=list)
    outage: tuple[int, float, float] | None = None  # destination, start and end (s); it is cold after it
    drain_at: float | None = None  # s into the run when one receiver starts to drain
    response_time: tuple[float, float] = (0.002, 0.05)  # range of the receivers' response times, s
    capacity: float = CAPACITY  # calls a second of each receiver in the endpoint list
    first_destination_share: float = 0.0  # share of messages sent to the first destination in any case
    strays: StrayPlan = StrayPlan()  # unsolicited data from receivers or discovery servers
    crowd: str = ""  # kind of the crowd at each sender; "": none

    def __str__(self) -> str:
        """Describes the run, with the faults of each sender."""
        rules = [f"n{n}: {rule.line()}" for n, sender_rules in self.rules.items() for rule in sender_rules]
        strays = [str(self.strays)] if self.strays.share else []
        return "; ".join([f"seed {self.seed} {self.kind} {self.crowd}, {self.senders} senders x {self.clients} clients, "
                          f"idle connections {self.idle_connections}", *map(str, self.restarts), *rules, *strays])  # fmt: skip


def draw_plan(seed: int, kind: str = "mixed") -> Plan:
    """Draws the plan of a run.

    The same seed and kind must give the same plan, so the order of the draws must not change.
    """
    rng = random.Random(f"{seed} {kind}")
    plan = Plan(
        seed, kind, rng.randint(1, 4), rng.randint(2, 4), rng.uniform(0.03, 0.1),
        (rng.uniform(0.8, 1.5), rng.uniform(2.0, 4.0)), rng.choice([0.0, 0.1, 0.3]),
        idle_connections=rng.choice([0, 0, 0, 60]),
    )  # fmt: skip
    kinds = rng.sample(MIXABLE, 3) if kind.endswith("mixed") else [kind]
    if kind.startswith("answers"):
        plan.strays = draw_strays(rng)
        plan.response_time = (0.01, rng.uniform(0.1, 0.3))
        plan.message_interval = rng.uniform(0.01, 0.03)
        plan.lifetime = (2.0, 6.0)
        if "recovery" not in kinds:  # a returning destination accepts only the listed capacity
            plan.capacity = rng.choice([CAPACITY, 10 * CAPACITY, 10 * CAPACITY])
        plan.first_destination_share = rng.choice([0.0, 0.8, 0.8])
    if kind == "crowd":
        plan.crowd, plan.senders, plan.idle_connections = rng.choice(CROWDS), rng.randint(1, 2), 0
        kinds = ["signals"]
    plan.drain_at = rng.uniform(1.0, 5.0) if rng.random() < 0.5 else None
    if "recovery" in kinds:
        since = rng.uniform(0.5, 1.5)
        plan.outage = (rng.choice([1, 2, 3]), since, since + rng.uniform(1.0, 2.5))
        plan.message_interval = rng.uniform(0.02, 0.04)
        plan.lifetime = (2.0, 6.0)
    for n in range(plan.senders):
        plan.rules[n] = [rule for one in kinds for rule in draw_rules(one, rng)]
        if "signals" in kinds or "start" in kinds or "torn" in kinds or rng.random() < 0.5:
            plan.restarts.append(draw_restart(n, rng))
    return plan


def draw_strays(rng: random.Random) -> StrayPlan:
    """Draws how often and when peers send unsolicited data."""
    return StrayPlan(
        share=rng.choice([0.05, 0.15, 0.4]),
        delay=(0.0, rng.choice([0.01, 0.03, MAX_STRAY_DELAY])),
        on_next_request=rng.random() < 0.7,
        malformed_share=rng.choice([0.0, 0.3]),
        from_discovery=rng.random() < 0.3,
        dropped_share=rng.choice([0.0, 0.2]),
    )


def draw_restart(sender: int, rng: random.Random) -> Restart:
    """Draws one restart of a sender; an earlier one if SIGKILL comes only after SIGTERM_GRACE."""
    sigterm_first = rng.random() < 0.4
    return Restart(
        rng.uniform(0.8, 2.0 if sigterm_first else 4.5), sender, sigterm_first, rng.choice([1, 1, 2])
    )


def draw_interval(rng: random.Random, max_duration: float) -> tuple[float, float]:
    """Draws a start and an end, in ms since the run began; from 1000 ms on, when the senders serve.

    `max_duration`: longest time between the two, in s.
    """
    since = rng.uniform(1000, 4500)
    return since, since + rng.uniform(100, max_duration * 1000)


def draw_rules(kind: str, rng: random.Random) -> list[Rule]:
    """Draws the rules by which the shim makes system calls of one sender fail."""
    if kind == "storage":
        calls = rng.sample(STORE_CALLS, rng.randint(1, 4))
        return [storage_rule(call, rng, *draw_interval(rng, 2.5)) for call in calls]
    if kind == "start":
        calls = rng.sample(STORE_CALLS, rng.randint(1, 3))
        return [storage_rule(call, rng, 0, FOREVER, rng.choice([1, 2, 5])) for call in calls]
    if kind == "torn":
        since = rng.uniform(1000, 4000)
        return [
            Rule("write", "kill", since, FOREVER, rng.choice([3, 10]), 1),
            Rule("write", "short", 0, FOREVER, 30),
        ]
    if kind == "sockets":
        return [socket_rule(rng) for _ in range(rng.randint(2, 5))]
    if kind in ("clock", "recovery"):
        steps = [f"{rng.choice([-1, 1]) * rng.choice(CLOCK_STEPS_MS):+d}" for _ in range(rng.randint(1, 3))]
        return [Rule("clock", step, rng.uniform(0, 6000)) for step in steps]
    return []


def storage_rule(call: str, rng: random.Random, since: float, until: float, max_calls: int = 0) -> Rule:
    """Draws the error and the share of failing calls of a file operation. `since`, `until`: ms."""
    error = rng.choice(STORE_ERRORS)
    percent = rng.choice([20, 50, 100, 100])
    return Rule(
        call, error, since, until, min(percent, MAX_EINTR_PERCENT) if error == "EINTR" else percent, max_calls
    )


def socket_rule(rng: random.Random) -> Rule:
    """Draws a fault of a socket operation: in an interval, or for a small share of the calls in the whole run."""
    call, errors = rng.choice(SOCKET_FAULTS)
    error = rng.choice(errors)
    since, until = draw_interval(rng, 1.5) if rng.random() < 0.7 else (0, FOREVER)
    percent = rng.choice([20, 50, 100]) if until < FOREVER else rng.choice([2, 10])
    percent = min(percent, MAX_EINTR_PERCENT) if error == "EINTR" else percent
    return Rule(call, error, since, until, percent, rng.choice([0, 1, 10]))
