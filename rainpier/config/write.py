"""Writes configurations: what `init` gives a new application, what `show` prints, the reference. No I/O."""

from collections.abc import Iterator
from dataclasses import MISSING, dataclass, field

from . import model as m
from . import units as u
from .check import disk_need, memory_need, round_up
from .codes import CODES
from .read import Loaded, Where
from .types import Many, quoted

WIDTH = 100


@dataclass
class NewClass:
    """What a new class's author says of it."""

    name: str
    effect: str = "safe"
    aim: float = 2000.0
    deadline: float = 20_000.0
    order_by: str = ""  # what the key stands for; "": no order


@dataclass
class NewDestination:
    name: str
    number: int
    endpoints: list[str] = field(default_factory=list)  # HOST:PORT
    rate: float = 50.0
    broker: bool = False  # its endpoints speak AMQP


@dataclass
class New:
    """An application's answers."""

    name: str
    listen: str = "127.0.0.1:6379"
    classes: list[NewClass] = field(default_factory=list)
    destinations: list[NewDestination] = field(default_factory=list)
    typical_body: int = 4096
    memory: int = 256 << 20
    disk: int = 64 << 20
    sockets: int = 1024
    sink: str = ""  # an HTTP address; "": a file
    amqp: str = ""  # the AMQP listener's address; "": none


EFFECTS = {
    "safe": "Repeating does no harm: a message is sent again after any failure.",
    "keyed": "Endpoints drop repeats of a key for a while: sent again within that window only.",
    "unsafe": "Must never take effect twice: sent again only after proof that it never ran.",
}


def fitting(new: New) -> m.Limits:
    """Limits that hold as many messages as memory and disk allow, of the defaults at most."""
    limits = m.Limits(memory=new.memory, disk=new.disk, sockets=new.sockets, typical_body=new.typical_body)
    limits.slots = max(1, min(limits.slots, new.sockets - 64))
    while limits.held > 1 and (memory_need(limits) > limits.memory or disk_need(limits) > limits.disk):
        limits.held = max(1, limits.held * 3 // 4)
    limits.slots = min(limits.slots, limits.held)
    limits.memory = max(limits.memory, round_up(memory_need(limits)))
    limits.disk = max(limits.disk, round_up(disk_need(limits)))
    return limits


def init(new: New) -> str:
    """A commented file that passes the check."""
    limits = fitting(new)
    return (
        "\n".join(
            [
                f"# Configuration of the rainpier sidecar for {new.name}.",
                "# Check it with:  rainpier check FILE     Every setting: docs/reference/configuration.md",
                "version = 1",
                "",
                "[sidecar]",
                f"name = {quoted(new.name)}",
                f'state = "{new.name}-state"  # the journal; lasts over restarts; of this sidecar alone',
                "reload_on_change = false  # true: take over edits of this file without SIGHUP",
                "",
                "[resp]",
                f"listen = {quoted(new.listen)}  # clients hand messages in here, with any Redis client",
                "",
                *front(new),
                *sink(new),
                "",
                *comment("What the sidecar may use. rainpier check sees to it that these fit together."),
                "[limits]",
                f"slots = {limits.slots}  # calls out at once",
                f"held = {limits.held}  # messages held at once",
                f"sockets = {limits.sockets}",
                f"memory = {quoted(u.write_size(limits.memory))}",
                f"disk = {quoted(u.write_size(limits.disk))}",
                f"typical_body = {quoted(u.write_size(limits.typical_body))}",
                "",
                *comment("Classes say what a repeat of a message would do, and how long it may take."),
                *(line for cls in new.classes for line in class_lines(cls, new)),
                *kinds(new),
                *comment("Destinations are named by their number when a message is handed in (dest=)."),
                *(line for dest in new.destinations for line in destination_lines(dest)),
            ]
        ).rstrip()
        + "\n"
    )


def comment(text: str) -> Iterator[str]:
    yield f"# {text}"


def front(new: New) -> Iterator[str]:
    if new.amqp:
        yield "# Clients publish with the routing key CLASS.DESTINATION or CLASS.DESTINATION.KEY,"
        yield "# with a message-id and publisher confirms; ends go to reply-to as well as to the sink."
        yield "[amqp]"
        yield f"listen = {quoted(new.amqp)}"
        yield 'exchange = "rainpier"'
        yield 'user = ""  # with a password: who may log in'
        yield ""


def kinds(new: New) -> Iterator[str]:
    """Only where one destination differs from what is taken for granted."""
    if any(dest.broker for dest in new.destinations):
        yield "[kind.single]"
        yield "batch = 1"
        yield ""
        yield "# Brokers: messages are published with confirms, which say that they were delivered."
        yield "[kind.broker]"
        yield 'protocol = "amqp"'
        yield "batch = 20  # publishes that wait for their confirms together"
        yield ""


def sink(new: New) -> Iterator[str]:
    yield "# Messages that end undelivered are told here: handed_back (hand in again) or given_up."
    yield "[sink]"
    if new.sink:
        yield 'kind = "http"'
        yield f"address = {quoted(new.sink)}  # POST /reports"
    else:
        yield 'kind = "file"'
        yield f'file = "{new.name}-ends.jsonl"'
        yield 'rotate_at = "16 MiB"'
        yield "keep = 5"


def class_lines(cls: NewClass, new: New) -> Iterator[str]:
    slowest = min((d.rate for d in new.destinations), default=1000.0)
    aim = max(cls.aim, float(round(1000 / slowest + 0.5)))
    deadline = max(cls.deadline, aim)
    yield f"# {EFFECTS[cls.effect]}"
    yield f"[class.{cls.name}]"
    yield f"effect = {quoted(cls.effect)}"
    yield f"aim = {quoted(u.write_duration(aim))}  # full worth when delivered within this"
    yield f"deadline = {quoted(u.write_duration(deadline))}  # given up after this"
    yield "late_worth = 0.2  # share of the worth that is left at the deadline"
    if cls.order_by:
        yield "order = true"
        yield f"key = {quoted(cls.order_by)}  # messages of one key go one at a time"
    if cls.effect == "keyed":
        yield f"repeat_window = {quoted(u.write_duration(deadline))}  # how long endpoints remember a key"
    if cls.effect != "unsafe" and any(word in cls.name for word in m.CHARGES):
        yield "charges = false  # no money moves, whatever the name says"
    yield ""


def destination_lines(dest: NewDestination) -> Iterator[str]:
    yield f"[destination.{dest.name}]"
    yield f"number = {dest.number}"
    if dest.broker:
        yield 'kind = "broker"'
        yield 'vhost = "/"'
        yield 'user = "guest"'
        yield 'password = "guest"'
        yield 'exchange = ""  # the default exchange: the routing key is a queue\'s name'
        yield f"routing_key = {quoted(dest.name)}"
    yield f"rate = {quoted(u.write_rate(dest.rate))}  # what it takes from all senders, roughly"
    yield "endpoints = ["
    for endpoint in dest.endpoints:
        yield f"    {quoted(endpoint)},"
    yield "]"
    yield ""


# --- show ---


def show(f: Loaded) -> str:
    """The configuration in force as TOML: every setting, and behind each where it comes from."""
    rows: list[tuple[str, str]] = [("version = 1", "")]
    for name, kind in m.SECTIONS.items():
        rows += [("", ""), (f"[{name}]", "")]
        rows += shown(f, kind, getattr(f.model, name), (name,))
    for name, (attribute, kind) in m.NAMED.items():
        for entry, values in getattr(f.model, attribute).items():
            rows += [("", ""), (f"[{name}.{entry}]", "")]
            rows += shown(f, kind, values, (name, entry))
            if isinstance(values, m.Destination):
                rows += endpoint_rows(f, values, (name, entry, "endpoints"))
    return "".join(f"{text:<44} {origin}".rstrip() + "\n" for text, origin in rows)


def origin(f: Loaded, where: Where) -> str:
    return f"# {f.file}:{f.places[where].line}" if where in f.places else "# default"


def shown(f: Loaded, kind: type, values: object, where: Where) -> Iterator[tuple[str, str]]:
    derived = {}
    if isinstance(values, m.Class):
        derived = dict(
            zip(
                ("safe_to_repeat", "charges", "idempotency_key"),
                m.effective(str(where[1]), values),
                strict=True,
            )
        )
    elif isinstance(values, m.Destination):
        derived = {"kind": m.kind_of(f.model, values)}
    for name, setting, default in m.settings_of(kind):
        value = getattr(values, name)
        secret = name == "password" and value != default
        at = origin(f, (*where, name))
        if name in derived and (value is None or value == ""):
            value, at = derived[name], f"# default: {setting.shown_default}"
        if value is None or value and secret:
            yield f"# {name} is {'set, and not shown' if secret else 'not set'}", at
        else:
            yield f"{name} = {setting.type.write(value)}", at


def endpoint_rows(f: Loaded, dest: m.Destination, where: Where) -> Iterator[tuple[str, str]]:
    yield "endpoints = [", ""
    for n, e in enumerate(dest.endpoints):
        parts = [
            f"address = {m.t.Address().write(e.address)}",
            f"name = {quoted(m.endpoint_name(e))}",
            f"kind = {quoted(e.kind or m.kind_of(f.model, dest))}",
            f"state = {quoted(e.state)}",
        ]
        parts += [f"zone = {quoted(e.zone)}"] if e.zone else []
        place = f.place((*where, n))
        yield f"    {{ {', '.join(parts)} }},", f"# {f.file}:{place.line}"
    yield "]", ""


# --- the reference page ---


def reference() -> str:
    """docs/reference/configuration.md, from the model and the codes."""
    out = [
        "# Configuration reference",
        "",
        "Generated from the model by `rainpier reference`; a test compares the two. Times, sizes and rates "
        "are texts with their unit. *live*: an edit takes hold while the sidecar runs; *start*: at the next.",
        "",
        "The file begins with `version = 1`.",
        "",
    ]
    for name, kind in m.SECTIONS.items():
        out += table(f"[{name}]", kind)
    for name, (_, kind) in m.NAMED.items():
        out += table(f"[{name}.NAME]", kind)
    out += ["`endpoints` is a list, of which each element is an address or a table:", ""]
    out += table("an endpoint", m.Endpoint)
    out += ["## What `rainpier check` tells", "", "| code | what | why |", "| --- | --- | --- |"]
    out += [f"| {code} | {title} | {text} |" for code, (title, text) in CODES.items()]
    return "\n".join(out) + "\n"


def table(title: str, kind: type) -> Iterator[str]:
    yield f"## {title}"
    yield ""
    yield (kind.__doc__ or "").split("\n")[0]
    yield ""
    yield "| setting | type | default | change | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for name, setting, default in m.settings_of(kind):
        if setting.shown_default:
            text = setting.shown_default
        elif default is MISSING:
            text = "**required**"
        elif default is None or default == () and isinstance(setting.type, Many):
            text = "none"
        else:
            text = f"`{setting.type.write(default)}`"
        yield f"| `{name}` | {setting.type.described} | {text} | {setting.change} | {setting.doc} |"
    yield ""
