"""Derives from the model what a sender runs with: the policy's settings and its own `Config`. No I/O."""

from dataclasses import dataclass, field
from pathlib import Path

from .. import interface
from ..amqp.options import Limits, Login
from ..carriers.amqp.options import BrokerOptions
from ..fronts.amqp.options import Options
from . import model as schema

# File descriptors reserved for files, the platform's connections, and connections that are being closed.
RESERVED_DESCRIPTORS = 24
MAX_PARTIAL_BODIES = 4  # incomplete bodies of the largest size that one AMQP connection may have at once
EFFECTS = {"safe": interface.Effect.SAFE, "keyed": interface.Effect.KEYED, "unsafe": interface.Effect.UNSAFE}


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one sender process."""

    name: str
    listen: tuple[str, int]  # address of the RESP listener
    discovery: tuple[str, int]  # address of endpoint discovery
    state: Path  # the state folder
    seed: int  # of the random numbers
    sockets: int  # file descriptors that the process may hold
    disk: int  # bytes that the state folder may hold
    settings: interface.Settings
    zones: tuple[str, ...]
    rated: bool  # the rates of discovered endpoints are calls a second
    # The endpoint list last received, in the discovery service's JSON form.
    known: dict = field(default_factory=dict)
    largest_body: int = 65536  # bytes
    memory: int = 192_000_000  # bytes that the process may use
    files_in_memory: bool = False  # what the state folder holds counts as memory of the process
    machine: bool = False  # accepted messages have to outlast a machine crash too: fsync is required
    destinations: dict[str, int] = field(default_factory=dict)  # numbers by name, for those with a name
    brokers: dict[int, BrokerOptions] = field(default_factory=dict)  # by destination number
    amqp: Options | None = None  # of the AMQP listener; None without one
    file_keys: frozenset[str] = frozenset()  # top-level keys of the platform's file that it was read from

    @property
    def call_descriptors(self) -> int:
        """Number of file descriptors for calls and idle connections to receivers.

        Half of all descriptors without the reserve or, if the slots need more, up to half of all.
        """
        return max(
            min(self.settings.slots, self.sockets // 2),
            self.sockets - self.sockets // 2 - RESERVED_DESCRIPTORS,
        )

    @property
    def client_descriptors(self) -> int:
        """Number of file descriptors for clients: what receivers, files, AMQP and the platform leave."""
        for_amqp = self.amqp.connections if self.amqp else 0
        return max(1, self.sockets - RESERVED_DESCRIPTORS - self.call_descriptors - for_amqp)


def message_classes(model: schema.Model) -> tuple[interface.MessageClass, ...]:
    """Converts the model's classes to the policy's, in the model's order, which numbers them."""
    return tuple(
        interface.MessageClass(
            name=name, worth=cls.worth, aim=cls.aim, deadline=cls.deadline, late_worth=cls.late_worth,
            effect=EFFECTS[cls.effect], group=cls.remembered_by, repeat_window=cls.repeat_window,
            in_order=cls.order,
        )
        for name, cls in model.classes.items()
    )  # fmt: skip


def settings(model: schema.Model) -> interface.Settings:
    """Builds the policy's settings; raises ValueError if they contradict each other."""
    limits, calls, rules, fleet = model.limits, model.calls, model.rules, model.fleet
    platform = model.platform or schema.Platform()
    return interface.Settings(
        classes=message_classes(model),
        tenants=tuple(interface.Tenant(*tenant) for tenant in platform.tenants),
        kinds=tuple(interface.Kind(name, kind.batch, kind.apart) for name, kind in model.kinds.items())
        or (interface.Kind(),),
        senders=fleet.senders, ordinal=fleet.ordinal, zone=platform.zone,
        slots=limits.slots, max_open=limits.held, max_attempts=limits.attempts,
        late_halves=platform.late_halves, over_share_worth=platform.over_share_worth,
        must_ask=platform.must_ask,
        may_probe=platform.may_probe, may_cancel=calls.cancel, parallel_tries=platform.parallel_tries,
        connect_timeout=calls.connect_timeout, keep_alive=calls.keep_alive, tick=rules.tick,
        answer_grace=rules.answer_grace, drain_grace=rules.drain_grace,
        overload_factor=rules.overload_factor, fall=rules.fall, cold_from=rules.cold_from, cold=rules.cold,
        turn_gap=rules.turn_gap, zone_fee=platform.zone_fee, report_fields=platform.report_fields,
        rates_rough=fleet.rough_rates,
    )  # fmt: skip


def broker_options(model: schema.Model) -> dict[int, BrokerOptions]:
    """Builds the publishing options, by number, of the destinations whose endpoints are AMQP brokers."""
    options = {}
    for name, dest in model.destinations.items():
        kind = model.kinds.get(schema.kind_of(model, dest))
        if kind is not None and kind.protocol == "amqp":
            heartbeat_s, nack_never_ran = max(1, round(kind.heartbeat / 1000)), kind.nack == "never_ran"
            options[dest.number] = BrokerOptions(
                Login(dest.user, dest.password, dest.vhost), dest.exchange, dest.routing_key, name,
                kind.channels, kind.unconfirmed, heartbeat_s, nack_never_ran,
            )  # fmt: skip
    return options


def listener_options(model: schema.Model) -> Options | None:
    """Builds the options of the AMQP listener; None if none is configured."""
    amqp, body = model.amqp, model.limits.largest_body
    if amqp.listen is None:
        return None
    limits = Limits(
        amqp.frame, amqp.channels, body, MAX_PARTIAL_BODIES * body, max(1, round(amqp.heartbeat / 1000))
    )
    return Options(
        amqp.listen, amqp.user, amqp.password, amqp.vhost, amqp.exchange, amqp.routing_key,
        amqp.without_confirms == "accept", amqp.connections, amqp.unanswered, amqp.queues,
        amqp.queue_length, amqp.queue_idle / 1000, limits,
    )  # fmt: skip


def build_config(model: schema.Model, seed: int) -> Config:
    """Builds a sender's configuration; raises ValueError if the policy's settings contradict each other."""
    platform = model.platform
    return Config(
        name=model.sidecar.name,
        listen=model.resp.listen,
        discovery=platform.discovery if platform else ("", 0),
        state=schema.path_of(model, model.sidecar.state),
        seed=seed,
        sockets=model.limits.sockets,
        disk=model.limits.disk,
        memory=model.limits.memory,
        files_in_memory=platform is not None,
        settings=settings(model),
        zones=model.fleet.zones,
        rated=platform.rated if platform else any(dest.rate for dest in model.destinations.values()),
        known=platform.known if platform else {},
        largest_body=model.limits.largest_body,
        machine=model.sidecar.durability == "machine",
        destinations={name: dest.number for name, dest in model.destinations.items()},
        brokers=broker_options(model),
        amqp=listener_options(model),
    )
