"""What one seed means: the fleet, the load, the signals, and which calls fail when."""

import random
from dataclasses import dataclass, field

from standins.faults.records import CAPACITY
from standins.faults.shim import FOREVER, Rule
from standins.faults.strays import StrayPlan

MIXABLE = ("storage", "start", "torn", "sockets", "clock", "signals", "recovery")
KINDS = (*MIXABLE, "mixed", "answers", "answers+mixed")
TRAFFIC = 6.0  # s for which clients hand messages in
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
INTERRUPTED = 50  # percent: a call is interrupted by a signal now and then, not each time for seconds
STEPS = (1_000, 7_000, 3_600_000, 86_400_000)  # ms
STRAY_TIME = 0.06  # s behind an answer in which something more may come
START_TIME = 0.6  # s between a kill and the next start
TERM_TIME = 3.7  # s between SIGTERM and SIGKILL


@dataclass(frozen=True)
class Restart:
    """`at`: s since the run began; `kills`: how many in a row, each in the middle of the start before."""

    at: float
    sender: int
    gently: bool  # SIGTERM first
    kills: int = 1


@dataclass
class Plan:
    seed: int
    kind: str
    senders: int
    clients: int  # of each sender
    gap: float  # s between the messages of a client, in the mean
    span: tuple[float, float]  # s for which messages live
    trouble: float  # share of the calls that receivers do not answer with 200
    crowd: int  # idle connections that clients hold open
    rules: dict[int, list[Rule]] = field(default_factory=dict)  # by sender
    restarts: list[Restart] = field(default_factory=list)
    outage: tuple[int, float, float] | None = None  # destination, from, to: s; it returns cold
    drain_at: float | None = None  # s, when one receiver of each destination drains
    answer_time: tuple[float, float] = (0.002, 0.05)  # s in which receivers answer
    capacity: float = CAPACITY  # calls a second of each receiver, as listed
    to_first: float = 0.0  # share of the messages that all go to the first destination
    strays: StrayPlan = StrayPlan()  # what receivers and agents send beyond their answers

    def __str__(self) -> str:
        rules = [f"n{n}: {rule.line()}" for n, some in self.rules.items() for rule in some]
        strays = [str(self.strays)] if self.strays.share else []
        return "; ".join([f"seed {self.seed} {self.kind}, {self.senders} senders x {self.clients} clients, "
                          f"crowd {self.crowd}", *map(str, self.restarts), *rules, *strays])  # fmt: skip


def draw(seed: int, kind: str = "mixed") -> Plan:
    chance = random.Random(f"{seed} {kind}")
    plan = Plan(
        seed, kind, chance.randint(1, 4), chance.randint(2, 4), chance.uniform(0.03, 0.1),
        (chance.uniform(0.8, 1.5), chance.uniform(2.0, 4.0)), chance.choice([0.0, 0.1, 0.3]),
        crowd=chance.choice([0, 0, 0, 60]),
    )  # fmt: skip
    kinds = chance.sample(MIXABLE, 3) if kind.endswith("mixed") else [kind]
    if kind.startswith("answers"):
        plan.strays = strays(chance)
        plan.answer_time = (0.01, chance.uniform(0.1, 0.3))
        plan.gap = chance.uniform(0.01, 0.03)
        plan.span = (2.0, 6.0)
        if "recovery" not in kinds:  # a destination that returns takes what is listed
            plan.capacity = chance.choice([CAPACITY, 10 * CAPACITY, 10 * CAPACITY])
        plan.to_first = chance.choice([0.0, 0.8, 0.8])
    plan.drain_at = chance.uniform(1.0, 5.0) if chance.random() < 0.5 else None
    if "recovery" in kinds:
        since = chance.uniform(0.5, 1.5)
        plan.outage = (chance.choice([1, 2, 3]), since, since + chance.uniform(1.0, 2.5))
        plan.gap = chance.uniform(0.02, 0.04)
        plan.span = (2.0, 6.0)
    for n in range(plan.senders):
        plan.rules[n] = [rule for one in kinds for rule in rules_of(one, chance)]
        if "signals" in kinds or "start" in kinds or "torn" in kinds or chance.random() < 0.5:
            plan.restarts.append(restart(n, chance))
    return plan


def strays(chance: random.Random) -> StrayPlan:
    return StrayPlan(
        share=chance.choice([0.05, 0.15, 0.4]),
        delay=(0.0, chance.choice([0.01, 0.03, STRAY_TIME])),
        at_next=chance.random() < 0.7,
        broken=chance.choice([0.0, 0.3]),
        at_agents=chance.random() < 0.3,
        dropped=chance.choice([0.0, 0.2]),
    )


def restart(sender: int, chance: random.Random) -> Restart:
    gently = chance.random() < 0.4
    return Restart(chance.uniform(0.8, 2.0 if gently else 4.5), sender, gently, chance.choice([1, 1, 2]))


def window(chance: random.Random, longest: float) -> tuple[float, float]:
    """ms since the run began; from 1.0 s on, when the senders serve."""
    since = chance.uniform(1000, 4500)
    return since, since + chance.uniform(100, longest * 1000)


def rules_of(kind: str, chance: random.Random) -> list[Rule]:
    if kind == "storage":
        calls = chance.sample(STORE_CALLS, chance.randint(1, 4))
        return [storage(call, chance, *window(chance, 2.5)) for call in calls]
    if kind == "start":
        calls = chance.sample(STORE_CALLS, chance.randint(1, 3))
        return [storage(call, chance, 0, FOREVER, chance.choice([1, 2, 5])) for call in calls]
    if kind == "torn":
        since = chance.uniform(1000, 4000)
        return [
            Rule("write", "kill", since, FOREVER, chance.choice([3, 10]), 1),
            Rule("write", "short", 0, FOREVER, 30),
        ]
    if kind == "sockets":
        return [sockets(chance) for _ in range(chance.randint(2, 5))]
    if kind in ("clock", "recovery"):
        steps = [f"{chance.choice([-1, 1]) * chance.choice(STEPS):+d}" for _ in range(chance.randint(1, 3))]
        return [Rule("clock", step, chance.uniform(0, 6000)) for step in steps]
    return []


def storage(call: str, chance: random.Random, since: float, until: float, most: int = 0) -> Rule:
    error = chance.choice(STORE_ERRORS)
    percent = chance.choice([20, 50, 100, 100])
    return Rule(call, error, since, until, min(percent, INTERRUPTED) if error == "EINTR" else percent, most)


def sockets(chance: random.Random) -> Rule:
    call, errors = chance.choice(SOCKET_FAULTS)
    error = chance.choice(errors)
    since, until = window(chance, 1.5) if chance.random() < 0.7 else (0, FOREVER)
    percent = chance.choice([20, 50, 100]) if until < FOREVER else chance.choice([2, 10])
    percent = min(percent, INTERRUPTED) if error == "EINTR" else percent
    return Rule(call, error, since, until, percent, chance.choice([0, 1, 10]))
