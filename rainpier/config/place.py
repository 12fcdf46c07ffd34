"""What a sender is run with, from the model: the policy's settings and the sender's own place. No I/O."""

from dataclasses import dataclass, field
from pathlib import Path

from .. import interface as i
from ..amqp.options import Limits, Login
from ..carriers.amqp.options import BrokerOptions
from ..fronts.amqp.options import Options
from . import model as m

SPARE = 24  # descriptors kept for files, the platform's connections, and what is just being closed
PARTIAL = 4  # bodies that one AMQP connection may have in parts at once
EFFECT = {"safe": i.Effect.SAFE, "keyed": i.Effect.KEYED, "unsafe": i.Effect.UNSAFE}


@dataclass(frozen=True, slots=True)
class Config:
    """One sender's configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    sockets: int  # file descriptors it may hold
    disk: int  # bytes that the state folder may hold
    settings: i.Settings
    zones: tuple[str, ...]
    rated: bool  # the list's shares are rates
    known: dict = field(default_factory=dict)  # the receivers as last had, in discovery's form
    largest_body: int = 65536  # bytes
    machine: bool = False  # promises hold over the end of the machine too
    destinations: dict[str, int] = field(default_factory=dict)  # numbers by name, where they have names

    brokers: dict[int, BrokerOptions] = field(default_factory=dict)  # by number of the destination
    amqp: Options | None = None  # the AMQP front's, where there is one

    @property
    def for_calls(self) -> int:
        """Descriptors for calls and idle connections to receivers."""
        return max(min(self.settings.slots, self.sockets // 2), self.sockets - self.sockets // 2 - SPARE)

    @property
    def for_clients(self) -> int:
        """Descriptors for clients: what is left beside receivers, files and the platform's connections."""
        taken = self.amqp.connections if self.amqp else 0
        return max(1, self.sockets - SPARE - self.for_calls - taken)


def message_classes(model: m.Model) -> tuple[i.MessageClass, ...]:
    return tuple(
        i.MessageClass(
            name=name, worth=c.worth, aim=c.aim, deadline=c.deadline, late_worth=c.late_worth,
            effect=EFFECT[c.effect], group=c.remembered_by, repeat_window=c.repeat_window, in_order=c.order,
        )
        for name, c in model.classes.items()
    )  # fmt: skip


def settings(model: m.Model) -> i.Settings:
    """The policy's settings. ValueError where they are impossible."""
    limits, calls, rules, fleet = model.limits, model.calls, model.rules, model.fleet
    told = model.platform or m.Platform()
    return i.Settings(
        classes=message_classes(model),
        tenants=tuple(i.Tenant(*tenant) for tenant in told.tenants),
        kinds=tuple(i.Kind(name, k.batch, k.apart) for name, k in model.kinds.items()) or (i.Kind(),),
        senders=fleet.senders, ordinal=fleet.ordinal, zone=told.zone,
        slots=limits.slots, max_open=limits.held, max_attempts=limits.attempts,
        late_halves=told.late_halves, over_share_worth=told.over_share_worth, must_ask=told.must_ask,
        may_probe=told.may_probe, may_cancel=calls.cancel, parallel_tries=told.parallel_tries,
        connect_timeout=calls.connect_timeout, keep_alive=calls.keep_alive, tick=rules.tick,
        answer_grace=rules.answer_grace, drain_grace=rules.drain_grace,
        overload_factor=rules.overload_factor, fall=rules.fall, cold_from=rules.cold_from, cold=rules.cold,
        turn_gap=rules.turn_gap, zone_fee=told.zone_fee, report_fields=told.report_fields,
        rates_rough=fleet.rough_rates,
    )  # fmt: skip


def brokers(model: m.Model) -> dict[int, BrokerOptions]:
    """How the destinations are published to whose endpoints are brokers."""
    found = {}
    for name, dest in model.destinations.items():
        kind = model.kinds.get(m.kind_of(model, dest))
        if kind is not None and kind.protocol == "amqp":
            heartbeat, unseen = max(1, round(kind.heartbeat / 1000)), kind.nack == "never_ran"
            found[dest.number] = BrokerOptions(
                Login(dest.user, dest.password, dest.vhost), dest.exchange, dest.routing_key, name,
                kind.channels, kind.unconfirmed, heartbeat, unseen,
            )  # fmt: skip
    return found


def front(model: m.Model) -> Options | None:
    """The AMQP front's own settings; None where there is none."""
    told, body = model.amqp, model.limits.largest_body
    if told.listen is None:
        return None
    limits = Limits(told.frame, told.channels, body, PARTIAL * body, max(1, round(told.heartbeat / 1000)))
    return Options(
        told.listen, told.user, told.password, told.vhost, told.exchange, told.routing_key,
        told.without_confirms == "accept", told.connections, told.unanswered, told.queues,
        told.queue_length, told.queue_idle / 1000, limits,
    )  # fmt: skip


def place(model: m.Model, seed: int) -> Config:
    """What a sender needs; ValueError where the settings are impossible."""
    told = model.platform
    return Config(
        name=model.sidecar.name,
        listen=model.resp.listen,
        discovery=told.discovery if told else ("", 0),
        state=m.path_of(model, model.sidecar.state),
        seed=seed,
        sockets=model.limits.sockets,
        disk=model.limits.disk,
        settings=settings(model),
        zones=model.fleet.zones,
        rated=told.rated if told else any(dest.rate for dest in model.destinations.values()),
        known=told.known if told else {},
        largest_body=model.limits.largest_body,
        machine=model.sidecar.durability == "machine",
        destinations={name: dest.number for name, dest in model.destinations.items()},
        brokers=brokers(model),
        amqp=front(model),
    )
