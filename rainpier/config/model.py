"""Model of the configuration: every setting with its type, default, meaning, and when it can change. No I/O.

Reading, checking, writing, showing and the reference page are all derived from these classes; the platform's
JSON is read into the same classes (platform.py). Times are in ms, sizes in bytes, rates in calls a second.
"""

import os
from dataclasses import MISSING, dataclass, field, fields
from functools import cache
from pathlib import Path
from typing import Any

from . import types as t

VERSION = 1  # of the file's format
MAX_DRAIN_GRACE = 500.0  # ms; the drain rule allows nothing new to be sent later than this (E501)
RETRY_BASE, RETRY_CAP = 100.0, 5000.0  # ms; limits of the decorrelated jitter, which the design fixes (E502)
NAME = r"[a-z][a-z0-9_-]{0,62}"  # pattern of names of tables and zones
# A class whose name contains one of these counts as usage charges (E202).
CHARGE_WORDS = ("charge", "bill", "payment", "invoice", "debit", "refund", "payout")

START, LIVE = "start", "live"  # when an edit takes effect: at the next start, or while the process runs
# An AMQP short string (at most 255 bytes): 100 characters leave room for the names that are filled in.
SHORT_TEXT = t.Text("string of 1 to 100 characters", r"[ -~]{1,100}")


@dataclass(frozen=True, slots=True)
class Setting:
    """Type, description and kind of change of one setting."""

    type: Any
    doc: str
    change: str = START  # when an edit takes effect: START or LIVE
    shown_default: str = ""  # text on the default if it is derived from other settings


def setting(type: Any, doc: str, default: Any = MISSING, change: str = START, derived: str = "") -> Any:  # noqa: ANN401
    """Declares a dataclass field as a setting; `derived` becomes `Setting.shown_default`."""
    metadata = {"setting": Setting(type, doc, change, derived)}
    return field(metadata=metadata) if default is MISSING else field(default=default, metadata=metadata)


@dataclass(kw_only=True)
class Sidecar:
    """The sidecar process."""

    name: str = setting(t.Text("name", NAME), "Name of the sidecar in its log and its status.")
    state: str = setting(
        t.Text("path"),
        "Folder of the journal, which persists across restarts; must not be shared with another sidecar.",
    )
    durability: str = setting(
        t.Choice(("process", "machine")),
        "What accepted messages survive: a crash of the process, or also one of the machine (each step then "
        "waits for an fsync, which concurrent steps share).",
        "process",
    )
    reload_on_change: bool = setting(t.Flag(), "Reload this file when it changes, not only on SIGHUP.", False)


@dataclass(kw_only=True)
class Resp:
    """The listener on which clients submit messages over RESP."""

    listen: tuple[str, int] = setting(t.Address(numeric=True, least_port=0), "Address to listen on.")
    password: str = setting(
        t.Text("password, 8 to 256 printable characters without spaces", r"[!-~]{8,256}", empty=True),
        "Password that clients send with AUTH or HELLO; empty: none is required.",
        "",
    )


@dataclass(kw_only=True)
class Amqp:
    """The listener on which clients publish messages over AMQP 0-9-1 and consume notifications."""

    listen: tuple[str, int] | None = setting(
        t.Address(numeric=True, least_port=0),
        "Address to listen on; without it there is no AMQP listener.",
        None,
    )
    user: str = setting(
        t.Text("string", r"[!-~]{1,128}", empty=True),
        "User that may log in; empty: no login is required.",
        "",
    )
    password: str = setting(
        t.Text("password, 8 to 256 printable characters without spaces", r"[!-~]{8,256}", empty=True),
        "Password of the user.",
        "",
    )
    vhost: str = setting(SHORT_TEXT, "Name of the only virtual host.", "/")
    exchange: str = setting(
        t.Text("name", r"[A-Za-z0-9_.:-]{1,127}"),
        "Name of the exchange that clients publish to, for all destinations.",
        "rainpier",
    )
    routing_key: str = setting(
        SHORT_TEXT,
        "Pattern of routing keys, from {class}, {destination} and {key}; headers take precedence over it.",
        "{class}.{destination}.{key}",
    )
    without_confirms: str = setting(
        t.Choice(("refuse", "accept")),
        "Whether to accept publishes without confirm.select; their clients are not notified of a rejection.",
        "refuse",
    )
    connections: int = setting(t.Count(1, 10_000), "Maximum number of concurrent connections.", 32)
    channels: int = setting(t.Count(1, 2047), "Maximum number of channels of a connection.", 32)
    unanswered: int = setting(
        t.Count(1, 65_536),
        "Maximum number of publishes of a connection without a result; further ones are not read until then.",
        256,
    )
    frame: int = setting(t.size(4096, 1 << 20), "Maximum size of a frame.", 128 << 10)
    heartbeat: float = setting(
        t.duration(1000, 3_600_000), "Heartbeat interval that is proposed; the client chooses.", 30_000.0
    )
    queues: int = setting(t.Count(1, 100_000), "Maximum number of reply queues.", 64)
    queue_length: int = setting(
        t.Count(1, 100_000),
        "Maximum number of completions in a reply queue, including pending ones; above it, publishes are "
        "rejected.",
        1000,
    )
    queue_idle: float = setting(
        t.duration(1000, 86_400_000), "Time after which an unused reply queue is deleted.", 600_000.0
    )


@dataclass(kw_only=True)
class Sink:
    """The completion sink, which receives the final status of messages that are not delivered."""

    kind: str = setting(
        t.Choice(("file", "http")), "file: a file of JSON lines; http: an HTTP address.", "file"
    )
    file: str = setting(t.Text("path"), "Path of the file, for kind file.", "ends.jsonl")
    rotate_at: int = setting(t.size(4096, 2**40), "Size at which the file is rotated.", 16 << 20)
    keep: int = setting(t.Count(0, 1000), "Number of rotated files to keep.", 5)
    address: tuple[str, int] | None = setting(
        t.Address(numeric=True), "Address that accepts POST /reports, for kind http.", None
    )


@dataclass(kw_only=True)
class Limits:
    """Resource limits of the sidecar; `rainpier check` verifies that they are consistent."""

    slots: int = setting(
        t.Count(1, 4096), "Maximum number of in-flight calls to all destinations together.", 64
    )
    held: int = setting(t.Count(1, 1_000_000), "Maximum number of held messages, in flight or waiting.", 1000)
    attempts: int = setting(t.Count(1, 1000), "Maximum number of attempts per message.", 12)
    sockets: int = setting(
        t.Count(32, 1_000_000), "Maximum number of open file descriptors of the process.", 1024
    )
    memory: int = setting(t.size(48 << 20), "Maximum memory of the process.", 256 << 20)
    disk: int = setting(t.size(256 << 10), "Maximum size of the state folder.", 64 << 20)
    largest_body: int = setting(
        t.size(1, 64 << 10), "Maximum size of the body of a message; larger ones are rejected.", 64 << 10
    )
    typical_body: int = setting(
        t.size(1, 64 << 10),
        "Typical size of a body, from which the need of memory and disk is estimated.",
        4 << 10,
    )


@dataclass(kw_only=True)
class Calls:
    """How calls to endpoints are made."""

    connect_timeout: float = setting(t.duration(10, 60_000), "Timeout for opening a connection.", 1000.0)
    keep_alive: float = setting(
        t.duration(1000, 3_600_000), "Time after which endpoints close idle connections.", 15_000.0
    )
    cancel: bool = setting(t.Flag(), "Cancel the most overdue call when all slots are in use.", True)


@dataclass(kw_only=True)
class Rules:
    """Rules that apply to all messages and destinations."""

    drain_grace: float = setting(
        t.duration(), "Time after the notice of a drain after which no new call may begin.", MAX_DRAIN_GRACE
    )
    answer_grace: float = setting(
        t.duration(0, 10_000), "Time after a deadline within which the final status is reported.", 250.0
    )
    retry_base: float = setting(t.duration(), "Minimum wait before a retry; fixed by the design.", RETRY_BASE)
    retry_cap: float = setting(t.duration(), "Maximum wait before a retry; fixed by the design.", RETRY_CAP)
    turn_gap: float = setting(
        t.duration(0, 60_000), "Pause of a key after an attempt that may still be running.", 0.0
    )
    overload_factor: float = setting(
        t.Number(1, 100),
        "Multiple of its current capacity above which a recovered destination fails again.",
        2.0,
    )
    fall: float = setting(
        t.duration(100, 600_000),
        "Duration of such an overload after which a recovered destination fails again.",
        3000.0,
    )
    cold_from: float = setting(
        t.Number(0.01, 1), "Share of its capacity that a recovered destination starts with.", 0.2
    )
    cold: float = setting(
        t.duration(0, 3_600_000), "Time until a recovered destination has its full capacity.", 10_000.0
    )
    tick: float = setting(t.duration(1, 1000), "Minimum time between two rounds of decisions.", 5.0)


@dataclass(kw_only=True)
class Fleet:
    """The other sidecars that send to the same destinations."""

    senders: int = setting(t.Count(1, 100_000), "Number of senders, including this one.", 1)
    ordinal: int = setting(t.Count(0, 99_999), "Ordinal of this sender in the fleet, from 0.", 0)
    zones: tuple[str, ...] = setting(
        t.Many(t.Text("name", NAME)), "Names of the zones; the first is the zone of this sidecar.", ()
    )
    rough_rates: bool = setting(t.Flag(), "Whether the rates of destinations are only approximate.", True)


@dataclass(kw_only=True)
class Class:
    """A class of messages: the effect of a duplicate, and the time limits of a delivery."""

    effect: str = setting(
        t.Choice(("safe", "keyed", "unsafe")),
        "Effect of a duplicate: none (safe), none while the endpoint remembers its key (keyed), or harm "
        "(unsafe).",
        change=LIVE,
    )
    aim: float = setting(
        t.duration(1), "Time after submission within which a delivery has its full worth.", change=LIVE
    )
    deadline: float = setting(
        t.duration(1), "Time after submission at which a message is given up.", change=LIVE
    )
    worth: float = setting(
        t.Number(0.000001, 1e6),
        "Worth of a message; when resources are short, messages of higher worth are preferred.",
        1.0,
        LIVE,
    )
    late_worth: float = setting(t.Number(0, 1), "Share of the worth that remains at the deadline.", 0.0, LIVE)
    order: bool = setting(
        t.Flag(), "Send the messages of a key one at a time, in the order of their submission.", False
    )
    key: str = setting(t.Text("string", empty=True), "What the key of an ordered message stands for.", "")
    safe_to_repeat: bool | None = setting(
        t.Flag(),
        "Repeats the statement of `effect`, as a safeguard against mistakes.",
        None,
        LIVE,
        "true for safe, else false",
    )
    charges: bool | None = setting(
        t.Flag(),
        "Whether the class transfers money, so that its effect must be unsafe.",
        None,
        LIVE,
        f"true if the name of the class contains one of {', '.join(CHARGE_WORDS)}",
    )
    idempotency_key: bool | None = setting(
        t.Flag(), "Whether messages carry an idempotency key.", None, LIVE, "true for keyed, else false"
    )
    repeat_window: float = setting(
        t.duration(), "Keyed: time for which an endpoint remembers an idempotency key.", 0.0, LIVE
    )
    remembered_by: str = setting(
        t.Choice(("all", "zone")), "Keyed: endpoints that remember keys together.", "all", LIVE
    )


@dataclass(kw_only=True)
class Kind:
    """A kind of endpoint: its protocol, batch size and routes."""

    batch: int = setting(t.Count(1, 1000), "Maximum number of messages in a call.", 1)
    apart: bool = setting(
        t.Flag(), "Whether its endpoints are separate routes, each with its own limits.", False
    )
    protocol: str = setting(
        t.Choice(("http", "amqp")), "Protocol of its endpoints; amqp for brokers.", "http"
    )
    channels: int = setting(
        t.Count(1, 256), "amqp: number of channels of the only connection to an endpoint.", 4
    )
    unconfirmed: int = setting(
        t.Count(1, 65_536), "amqp: maximum number of unconfirmed publishes of a channel.", 256
    )
    heartbeat: float = setting(
        t.duration(1000, 3_600_000), "amqp: heartbeat interval that is requested.", 30_000.0
    )
    nack: str = setting(
        t.Choice(("may_have_run", "never_ran")),
        "amqp: what basic.nack proves. Use never_ran only if a publish reaches at most one queue.",
        "may_have_run",
    )


@dataclass(kw_only=True)
class Endpoint:
    """A server of a destination, written as a table, or as a string with its address."""

    address: tuple[str, int] = setting(t.Address(numeric=True), "Address that it listens on.", change=LIVE)
    name: str = setting(
        t.Text("name", r"[A-Za-z0-9][A-Za-z0-9_.:\[\]/-]{0,127}", empty=True),
        "Its name, which must stay the same while it is the same server.",
        "",
        LIVE,
        "its address",
    )
    kind: str = setting(
        t.Text("name", NAME, empty=True), "Its kind.", "", LIVE, "the kind of the destination"
    )
    zone: str = setting(t.Text("name", NAME, empty=True), "Its zone.", "", LIVE, "the first zone")
    state: str = setting(
        t.Choice(("ready", "draining")),
        "draining: it receives no new calls and finishes those in flight.",
        "ready",
        LIVE,
    )


@dataclass(kw_only=True)
class Destination:
    """A target of messages: one or more endpoints, each of which can receive any of its messages."""

    number: int = setting(t.Count(0, 2**31 - 1), "Number by which clients refer to it (dest=).")
    kind: str = setting(
        t.Text("name", NAME, empty=True), "Kind of its endpoints.", "", START, "the first kind of the file"
    )
    rate: float | None = setting(
        t.rate(1e-6), "Approximate rate of calls that it accepts from all senders together.", None, LIVE
    )
    vhost: str = setting(SHORT_TEXT, "amqp: virtual host.", "/")
    user: str = setting(t.Text("string", r"[!-~]{1,128}"), "amqp: user for the login.", "guest")
    password: str = setting(t.Text("string", r"[!-~]{1,256}"), "amqp: password of the user.", "guest")
    exchange: str = setting(
        t.Text("string of at most 100 characters", r"[ -~]{1,100}", empty=True),
        "amqp: exchange to publish to; empty: the default exchange.",
        "",
    )
    routing_key: str = setting(
        SHORT_TEXT, "amqp: routing key; {class}, {destination} and {key} are replaced.", "{destination}"
    )
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass
class Platform:
    """Settings that only the platform's JSON gives.

    Most are passed on to the fields of the same name of interface.Settings, which describes them.
    """

    discovery: tuple[str, int] = ("", 0)  # address of endpoint discovery
    known: dict = field(default_factory=dict)  # the endpoint list last received, in discovery's JSON form
    tenants: tuple[tuple[str, float], ...] = ()  # name and quota, in messages a second
    late_halves: bool = False
    over_share_worth: float = 1.0
    must_ask: bool = False
    may_probe: bool = False
    parallel_tries: bool = False
    zone: int = 0
    zone_fee: tuple[float, ...] = ()
    report_fields: tuple[str, ...] = ()
    rated: bool = False  # the rates of discovered endpoints are calls a second


@dataclass(kw_only=True)
class Model:
    """The whole configuration of one sidecar."""

    sidecar: Sidecar
    resp: Resp
    amqp: Amqp
    sink: Sink
    limits: Limits
    calls: Calls
    rules: Rules
    fleet: Fleet
    classes: dict[str, Class]
    kinds: dict[str, Kind]
    destinations: dict[str, Destination]
    platform: Platform | None = None
    file: Path | None = None  # the file that it was read from; relative paths start at its folder


SECTIONS: dict[str, type] = {
    "sidecar": Sidecar,
    "resp": Resp,
    "amqp": Amqp,
    "sink": Sink,
    "limits": Limits,
    "calls": Calls,
    "rules": Rules,
    "fleet": Fleet,
}
# Tables with names: [class.NAME] in the file is an entry of Model.classes.
NAMED_TABLES: dict[str, tuple[str, type]] = {
    "class": ("classes", Class),
    "kind": ("kinds", Kind),
    "destination": ("destinations", Destination),
}
DEFAULT_KIND = "single"  # name of the kind if the file declares none


@cache
def settings_of(section: type) -> tuple[tuple[str, Setting, Any], ...]:
    """Returns name, setting and default of each setting of a table; MISSING if it is required."""
    declared = (entry for entry in fields(section) if "setting" in entry.metadata)
    return tuple((entry.name, entry.metadata["setting"], entry.default) for entry in declared)


def effective_flags(name: str, cls: Class) -> tuple[bool, bool, bool]:
    """Returns safe_to_repeat, charges and idempotency_key, derived from effect and name if not given."""
    safe_to_repeat = cls.effect == "safe" if cls.safe_to_repeat is None else cls.safe_to_repeat
    is_charge = any(word in name for word in CHARGE_WORDS) if cls.charges is None else cls.charges
    has_key = cls.effect == "keyed" if cls.idempotency_key is None else cls.idempotency_key
    return safe_to_repeat, is_charge, has_key


def kind_of(model: Model, destination: Destination) -> str:
    """Returns the name of a destination's kind; by default the first kind of the file."""
    return destination.kind or next(iter(model.kinds), DEFAULT_KIND)


def endpoint_name(endpoint: Endpoint) -> str:
    """Returns an endpoint's name; by default its address."""
    return endpoint.name or t.write_address(endpoint.address)


def path_of(model: Model, text: str) -> Path:
    """Resolves a path of the file; relative ones start at the file's own folder."""
    base = model.file.parent if model.file else Path()
    return Path(os.path.normpath((base / Path(text).expanduser()).absolute()))
