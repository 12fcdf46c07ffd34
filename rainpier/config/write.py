"""Writes configurations: the file of `init`, the output of `show`, and the reference page. No I/O."""

from collections.abc import Iterator
from dataclasses import MISSING, dataclass, field

from . import model as schema
from . import units
from .check import disk_need, memory_need, round_up
from .codes import CODES
from .read import KeyPath, Loaded
from .types import Many, quoted

CLIENT_DESCRIPTORS = 64  # file descriptors that `init` leaves for clients and files


@dataclass
class NewClass:
    """Answers of the user on one new class; times in ms."""

    name: str
    effect: str = "safe"
    aim: float = 2000.0
    deadline: float = 20_000.0
    order_by: str = ""  # what the key stands for; "" if order is not kept


@dataclass
class NewDestination:
    """Answers of the user on one new destination; the rate in calls a second."""

    name: str
    number: int
    endpoints: list[str] = field(default_factory=list)  # HOST:PORT
    rate: float = 50.0
    broker: bool = False  # its endpoints are AMQP brokers


@dataclass
class New:
    """Answers of the user on a new application; sizes in bytes."""

    name: str
    listen: str = "127.0.0.1:6379"
    classes: list[NewClass] = field(default_factory=list)
    destinations: list[NewDestination] = field(default_factory=list)
    typical_body: int = 4096
    memory: int = 256 << 20
    disk: int = 64 << 20
    sockets: int = 1024
    sink: str = ""  # HTTP address of the completion sink; "" for a file
    amqp: str = ""  # address of the AMQP listener; "" for none


EFFECTS = {
    "safe": "A duplicate does no harm: a message is retried after any failure.",
    "keyed": "Endpoints drop duplicates of a key for a limited time: retried within that time only.",
    "unsafe": "Must never take effect twice: retried only after proof that it never ran.",
}


def fit_limits(new: New) -> schema.Limits:
    """Returns limits with as many held messages as memory and disk allow, at most the default.

    If even one held message does not fit, memory and disk are raised to the least that is enough for it.
    """
    limits = schema.Limits(
        memory=new.memory, disk=new.disk, sockets=new.sockets, typical_body=new.typical_body
    )
    limits.slots = max(1, min(limits.slots, new.sockets - CLIENT_DESCRIPTORS))
    while limits.held > 1 and (memory_need(limits) > limits.memory or disk_need(limits) > limits.disk):
        limits.held = max(1, limits.held * 3 // 4)
    limits.slots = min(limits.slots, limits.held)
    limits.memory = max(limits.memory, round_up(memory_need(limits)))
    limits.disk = max(limits.disk, round_up(disk_need(limits)))
    return limits


def init(new: New) -> str:
    """Returns a commented file that passes the check."""
    limits = fit_limits(new)
    return (
        "\n".join(
            [
                f"# Configuration of the rainpier sidecar for {new.name}.",
                "# Check it with:  rainpier check FILE     All settings: docs/reference/configuration.md",
                "version = 1",
                "",
                "[sidecar]",
                f"name = {quoted(new.name)}",
                f'state = "{new.name}-state"  # the journal; persists across restarts; not shared',
                "reload_on_change = false  # true: reload this file on changes, without SIGHUP",
                "",
                "[resp]",
                f"listen = {quoted(new.listen)}  # clients submit messages here, with any Redis client",
                "",
                *amqp_lines(new),
                *sink_lines(new),
                "",
                *comment_lines(
                    "Resource limits of the sidecar. rainpier check verifies that they are consistent."
                ),
                "[limits]",
                f"slots = {limits.slots}  # in-flight calls at most",
                f"held = {limits.held}  # held messages at most",
                f"sockets = {limits.sockets}",
                f"memory = {quoted(units.write_size(limits.memory))}",
                f"disk = {quoted(units.write_size(limits.disk))}",
                f"typical_body = {quoted(units.write_size(limits.typical_body))}",
                "",
                *comment_lines("Classes state the effect of a duplicate, and the time limits of a delivery."),
                *(line for cls in new.classes for line in class_lines(cls, new)),
                *kind_lines(new),
                *comment_lines(
                    "Clients refer to a destination by its number when they submit a message (dest=)."
                ),
                *(line for dest in new.destinations for line in destination_lines(dest)),
            ]
        ).rstrip()
        + "\n"
    )


def comment_lines(text: str) -> Iterator[str]:
    """Writes one line of comment."""
    yield f"# {text}"


def amqp_lines(new: New) -> Iterator[str]:
    """Writes the AMQP listener, if there is one."""
    if new.amqp:
        yield "# Clients publish with the routing key CLASS.DESTINATION or CLASS.DESTINATION.KEY,"
        yield "# with a message-id and publisher confirms. Notifications go to reply-to and to the sink."
        yield "[amqp]"
        yield f"listen = {quoted(new.amqp)}"
        yield 'exchange = "rainpier"'
        yield 'user = ""  # user and password for the login; empty: no login is required'
        yield ""


def kind_lines(new: New) -> Iterator[str]:
    """Declares the kinds only if a destination has brokers: the default kind needs no declaration."""
    if any(dest.broker for dest in new.destinations):
        yield "[kind.single]"
        yield "batch = 1"
        yield ""
        yield "# Brokers: messages are published with confirms, which prove that they were delivered."
        yield "[kind.broker]"
        yield 'protocol = "amqp"'
        yield "batch = 20  # publishes that wait for their confirms together"
        yield ""


def sink_lines(new: New) -> Iterator[str]:
    """Writes the completion sink."""
    yield "# Reports messages that are not delivered: handed_back (submit again) or given_up."
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
    """Writes a class, with an aim that the slowest destination's rate allows (E207)."""
    slowest = min((dest.rate for dest in new.destinations), default=1000.0)  # calls a second
    aim = max(cls.aim, float(round(1000 / slowest + 0.5)))
    deadline = max(cls.deadline, aim)
    yield f"# {EFFECTS[cls.effect]}"
    yield f"[class.{cls.name}]"
    yield f"effect = {quoted(cls.effect)}"
    yield f"aim = {quoted(units.write_duration(aim))}  # full worth if delivered within this time"
    yield f"deadline = {quoted(units.write_duration(deadline))}  # given up after this time"
    yield "late_worth = 0.2  # share of the worth that remains at the deadline"
    if cls.order_by:
        yield "order = true"
        yield f"key = {quoted(cls.order_by)}  # messages of a key are sent one at a time"
    if cls.effect == "keyed":
        yield f"repeat_window = {quoted(units.write_duration(deadline))}  # how long endpoints remember a key"
    if cls.effect != "unsafe" and any(word in cls.name for word in schema.CHARGE_WORDS):
        yield "charges = false  # transfers no money, despite its name"
    yield ""


def destination_lines(dest: NewDestination) -> Iterator[str]:
    """Writes a destination."""
    yield f"[destination.{dest.name}]"
    yield f"number = {dest.number}"
    if dest.broker:
        yield 'kind = "broker"'
        yield 'vhost = "/"'
        yield 'user = "guest"'
        yield 'password = "guest"'
        yield 'exchange = ""  # the default exchange: the routing key is the name of a queue'
        yield f"routing_key = {quoted(dest.name)}"
    yield f"rate = {quoted(units.write_rate(dest.rate))}  # approximate, from all senders together"
    yield "endpoints = ["
    for endpoint in dest.endpoints:
        yield f"    {quoted(endpoint)},"
    yield "]"
    yield ""


# --- show ---


def show(loaded: Loaded) -> str:
    """Returns the configuration in force as TOML: every setting, each with its origin in a comment."""
    rows: list[tuple[str, str]] = [("version = 1", "")]
    for name, kind in schema.SECTIONS.items():
        rows += [("", ""), (f"[{name}]", "")]
        rows += setting_rows(loaded, kind, getattr(loaded.model, name), (name,))
    for name, (attribute, kind) in schema.NAMED_TABLES.items():
        for entry, values in getattr(loaded.model, attribute).items():
            rows += [("", ""), (f"[{name}.{entry}]", "")]
            rows += setting_rows(loaded, kind, values, (name, entry))
            if isinstance(values, schema.Destination):
                rows += endpoint_rows(loaded, values, (name, entry, "endpoints"))
    return "".join(f"{text:<44} {origin}".rstrip() + "\n" for text, origin in rows)


def origin(loaded: Loaded, where: KeyPath) -> str:
    """Formats the comment on where a setting comes from."""
    return f"# {loaded.file}:{loaded.positions[where].line}" if where in loaded.positions else "# default"


def setting_rows(loaded: Loaded, kind: type, values: object, where: KeyPath) -> Iterator[tuple[str, str]]:
    """Returns each setting's text and origin.

    Passwords are not shown. A default that depends on other settings is shown as the value derived from them.
    """
    derived = {}
    if isinstance(values, schema.Class):
        derived = dict(
            zip(
                ("safe_to_repeat", "charges", "idempotency_key"),
                schema.effective_flags(str(where[1]), values),
                strict=True,
            )
        )
    elif isinstance(values, schema.Destination):
        derived = {"kind": schema.kind_of(loaded.model, values)}
    for name, setting, default in schema.settings_of(kind):
        value = getattr(values, name)
        hidden = name == "password" and value != default
        comes_from = origin(loaded, (*where, name))
        if name in derived and (value is None or value == ""):
            value, comes_from = derived[name], f"# default: {setting.shown_default}"
        if value is None or value and hidden:
            yield f"# {name} is {'set, and not shown' if hidden else 'not set'}", comes_from
        else:
            yield f"{name} = {setting.type.write(value)}", comes_from


def endpoint_rows(loaded: Loaded, dest: schema.Destination, where: KeyPath) -> Iterator[tuple[str, str]]:
    """Returns the text and origin of each endpoint, as the lines of a list."""
    yield "endpoints = [", ""
    for index, endpoint in enumerate(dest.endpoints):
        parts = [
            f"address = {schema.t.Address().write(endpoint.address)}",
            f"name = {quoted(schema.endpoint_name(endpoint))}",
            f"kind = {quoted(endpoint.kind or schema.kind_of(loaded.model, dest))}",
            f"state = {quoted(endpoint.state)}",
        ]
        parts += [f"zone = {quoted(endpoint.zone)}"] if endpoint.zone else []
        position = loaded.position((*where, index))
        yield f"    {{ {', '.join(parts)} }},", f"# {loaded.file}:{position.line}"
    yield "]", ""


# --- the reference page ---


def reference() -> str:
    """Returns the page docs/reference/configuration.md, from the model and the codes."""
    lines = [
        "# Configuration reference",
        "",
        "Generated from the model by `rainpier reference`; a test compares the two. Times, sizes and rates "
        "are strings with a unit. *live*: a change applies while the sidecar runs; *start*: at the next "
        "start.",
        "",
        "The file begins with `version = 1`.",
        "",
    ]
    for name, kind in schema.SECTIONS.items():
        lines += setting_table(f"[{name}]", kind)
    for name, (_, kind) in schema.NAMED_TABLES.items():
        lines += setting_table(f"[{name}.NAME]", kind)
    lines += ["`endpoints` is a list. Each element is an address or a table:", ""]
    lines += setting_table("An endpoint", schema.Endpoint)
    lines += ["## Codes of `rainpier check`", "", "| code | problem | reason |", "| --- | --- | --- |"]
    lines += [f"| {code} | {title} | {text} |" for code, (title, text) in CODES.items()]
    return "\n".join(lines) + "\n"


def setting_table(title: str, kind: type) -> Iterator[str]:
    """Writes the page's section on one table of settings."""
    yield f"## {title}"
    yield ""
    yield (kind.__doc__ or "").split("\n")[0]
    yield ""
    yield "| setting | type | default | change | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for name, setting, default in schema.settings_of(kind):
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
