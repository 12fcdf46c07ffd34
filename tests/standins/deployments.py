"""Deployments made up from a seed: classes, kinds, destinations, senders, and what happens; and their fair share.

No operator's figures are in it. The ranges are wide on purpose: from three senders to 230, from five servers to
600, classes that may go to one kind only, keys that a few senders have, lists that are off by half.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from rainpier import interface as i

from .fleet import SWING, Destination, Fleet

SERVERS = 2.3  # of a destination, in the mean
SPAN = 20_000.0  # ms for which messages are handed in
HOT = 1.0  # messages a second of a hot key: one after another, some three could go
FEW = 0.05  # share of the messages from which a class counts
FALL = (6000.0, 13_000.0)  # ms: while limits are low
KILLS = (7000.0, 14_000.0)  # ms: seven senders in ten are killed, then three in ten


@dataclass
class Deployment:
    seed: int
    day: str  # "calm", "herd" (limits fall, senders are killed) or "join" (limits fall)
    senders: int
    servers: int
    classes: tuple[i.MessageClass, ...]
    shares: tuple[float, ...]
    own: bool  # each class goes to a kind of its own
    hot: float  # share of the ordered messages that hot keys have; no key has more than HOT a second
    kinds: tuple[i.Kind, ...]
    destinations: list[Destination]
    low: float  # what is left of a limit that falls

    def __str__(self) -> str:
        own = ", a kind for each" if self.own else ""
        keys = sum(d.hot for d in self.destinations)
        hot = f", {keys} keys with {self.hot:.2f} of the ordered" if keys else ""
        return f"seed {self.seed}: {self.day}, {self.senders} senders, {self.servers} servers, {len(self.classes)} classes{own}{hot}"

    def play(self) -> Fleet:
        slots = max(4, 600 // self.senders)
        fleet = Fleet(
            self.senders, self.destinations, self.seed, hot=self.hot, classes=self.classes, shares=self.shares,
            kinds=self.kinds, slots=slots,
        )  # fmt: skip
        if self.day == "herd":
            for at, part in zip(KILLS, (0.7, 0.3), strict=True):
                for n in fleet.rng.sample(range(self.senders), int(part * self.senders)):
                    fleet.at(at, fleet.kill, n)
        fleet.play(SPAN)
        return fleet


def limit(rate: float, low: float, falls: bool) -> Callable[[float], float]:
    return lambda now: rate * low if falls and FALL[0] <= now < FALL[1] else rate


def make_class(rng: random.Random, n: int) -> i.MessageClass:
    effect = rng.choice((i.Effect.SAFE, i.Effect.KEYED, i.Effect.UNSAFE))
    aim, deadline = rng.uniform(1500, 4500), rng.uniform(8000, 16_000)
    order, window = effect is i.Effect.KEYED and rng.random() < 0.6, 7500.0
    worth, late = math.exp(rng.uniform(-0.7, 1.8)), rng.uniform(0, 0.6)
    return i.MessageClass(f"class-{n}", worth, aim, deadline, late, effect, "all", window, order)


def make(seed: int) -> Deployment:
    rng = random.Random(seed)
    day = ("join", "herd", "calm")[seed % 3]
    senders = rng.choice((3, 12, 40, 90, 180, 230))
    servers = round(math.exp(rng.uniform(math.log(5), math.log(600))))
    classes = tuple(make_class(rng, n) for n in range(rng.choice((1, 2, 3, 3, 5, 8))))
    weights = [math.exp(rng.gauss(0, 0.6)) for _ in classes]
    own = len(classes) > 1 and rng.random() < 0.4
    kinds = tuple(i.Kind(f"kind-{n}", rng.choice((1, 1, 20))) for n in range(len(classes) if own else 3))
    hot = rng.uniform(0.3, 0.9) if rng.random() < 0.6 else 0.0
    ordered = sum(w for w, cls in zip(weights, classes, strict=True) if cls.in_order) / sum(weights)
    count, low = max(len(kinds), round(servers / SERVERS)), rng.uniform(0.3, 0.7)
    total, zipf, load = rng.uniform(150, 500), rng.uniform(0.5, 0.9), rng.uniform(0.65, 1.1)
    ranks = [(n + 1) ** -zipf for n in range(count)]
    destinations = []
    for n, rank in enumerate(ranks):
        rate, kind = max(2.0, total * rank / sum(ranks)), n % len(kinds)
        heat = hot * rate * (ordered if not own else float(classes[kind].in_order))
        listed = rate * math.exp(rng.gauss(0, 0.35))
        destinations.append(
            Destination(
                n + 1,
                limit(rate, low, day != "calm" and rng.random() < 0.6),
                kind,
                listed,
                load * math.exp(rng.gauss(0, 0.25)),
                1000.0,
                rng.random() < 0.4,
                size=2.0 if kinds[kind].batch > 1 else 1.0,
                hot=math.ceil(heat / HOT),
                classes=frozenset({kind}) if own else frozenset(),
            )  # fmt: skip
        )
    return Deployment(
        seed,
        day,
        senders,
        servers,
        classes,
        tuple(w / sum(weights) for w in weights),
        own,
        hot,
        kinds,
        destinations,
        low,
    )


def fair(fleet: Fleet, cls: int) -> float:
    """The share of a class that it would get if at each destination all got the same, as far as limits go.

    A call carries as many messages as the demand is reckoned with; time on either side of a fall counts alike.
    """
    share = total = 0.0
    for d in fleet.destinations.values():
        if not d.takes(cls):
            continue
        steps = range(0, int(SPAN), int(SWING))
        able = sum(d.rate(at) for at in steps) / len(steps)
        weight = d.rate(0.0) * d.demand
        share, total = share + weight * min(1.0, able / weight), total + weight
    return share / total if total else 1.0
