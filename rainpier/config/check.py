"""Checks the values of configurations against each other: the rules of codes.py from E201 on. No I/O.

Each rule checks one file, or compares one fact over many files. A value that could not be read is None;
read.py has reported it, so the rules skip it.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from ..fronts.amqp.messages import compile_routing_key
from . import model as schema
from . import units
from .build import MAX_PARTIAL_BODIES
from .problem import Problem
from .read import KeyPath, Loaded, parse
from .types import write_address

RESERVED_DESCRIPTORS = 24  # file descriptors reserved for files and connections that are being closed
MIN_CLIENT_DESCRIPTORS = 4  # file descriptors for clients, below which a listener is of no use
PROGRAM_MEMORY = 40 << 20  # bytes of memory for the interpreter and the program (docs/design/sidecar.md)
MESSAGE_MEMORY = 1536  # bytes of memory for each held message beside its body
SLOT_MEMORY = 40 << 10  # bytes of memory for each call in flight: the call, its response and its connection
RECORD_OVERHEAD = 416  # bytes that the store counts for a message beside its body
MAX_LIVE_SHARE = 0.3  # share of the disk that messages without a final status may fill (store/store.py)
MAX_SOCKET_PATH = 100  # bytes; a local socket's path can hold slightly more
CONTROL_SOCKET_NAME = "control.sock"  # file name of the control socket, in the state folder
LATE_FACTOR = 20  # multiple of the aim from which a deadline without late_worth is warned of (W806)
MIN_KEEP_ALIVE = 2000.0  # ms; below this most calls need a new connection (W808)
AMQP_CONNECTION_MEMORY = 256 << 10  # bytes of memory for the buffers of one AMQP connection
REPLY_MEMORY = 1024  # bytes of memory for a completion in a reply queue
# Settings that have an effect only for brokers (E310).
BROKER_KIND_SETTINGS = ("channels", "unconfirmed", "heartbeat", "nack")
BROKER_DESTINATION_SETTINGS = ("vhost", "user", "password", "exchange", "routing_key")


def check_text(text: str, file: str) -> Loaded:
    """Parses and checks one file's text; the rules are skipped after a syntax error."""
    loaded = parse(text, file)
    if loaded.complete:
        for rule in RULES:
            rule(loaded)
    loaded.problems.sort(key=lambda problem: problem.sort_key)
    return loaded


# --- classes ---


def check_classes(loaded: Loaded) -> None:
    """Checks every class."""
    if not loaded.model.classes and loaded.model.sidecar.name is not None:
        loaded.add("E209", ("class",), "no class is declared", "declare at least one, like [class.notice]")
    for name, cls in loaded.model.classes.items():
        if cls.effect is not None:
            check_effect(loaded, name, cls)
        check_order(loaded, name, cls)
        check_times(loaded, name, cls)


def check_effect(loaded: Loaded, name: str, cls: schema.Class) -> None:
    """Checks that a class's settings on repeats agree with its effect."""
    path: KeyPath = ("class", name)
    safe_to_repeat, is_charge, has_key = schema.effective_flags(name, cls)
    if is_charge and cls.effect != "unsafe":
        reason = "charges = true" if cls.charges else "its name refers to money"
        hint = 'set effect = "unsafe"' + (
            "" if cls.charges else ", or charges = false if the class transfers no money"
        )
        loaded.add(
            "E202",
            (*path, "effect"),
            f"class {name!r} counts as charges ({reason}), but its effect is {cls.effect!r}",
            hint,
            loaded,
            (*path, "charges") if cls.charges else path,
        )
    if cls.effect == "unsafe":
        if safe_to_repeat:
            loaded.add(
                "E201",
                (*path, "safe_to_repeat"),
                f"class {name!r} is unsafe, but safe_to_repeat is true",
                "remove safe_to_repeat",
                loaded,
                (*path, "effect"),
            )
        if cls.repeat_window:
            loaded.add(
                "E203",
                (*path, "repeat_window"),
                f"repeat_window, {units.write_duration(cls.repeat_window)}, has no effect on the unsafe "
                f"class {name!r}",
                'remove the line, or set effect = "keyed" if endpoints drop duplicates',
                loaded,
                (*path, "effect"),
            )
        if has_key:
            loaded.add(
                "E203",
                (*path, "idempotency_key"),
                f"idempotency_key has no effect on the unsafe class {name!r}",
                'remove the line, or set effect = "keyed" if endpoints drop duplicates',
                loaded,
                (*path, "effect"),
            )
    elif cls.effect == "keyed":
        if not cls.repeat_window and not loaded.is_invalid(*path, "repeat_window"):
            loaded.add(
                "E204",
                (*path, "repeat_window") if loaded.is_given(*path, "repeat_window") else (*path, "effect"),
                f"class {name!r} is keyed, but has no repeat_window above 0 ms",
                'state how long endpoints remember a key, like repeat_window = "15 s"',
            )
        if not has_key:
            loaded.add(
                "E208",
                (*path, "idempotency_key"),
                f"class {name!r} is keyed, but idempotency_key is false",
                'remove the line, or set effect = "unsafe"',
                loaded,
                (*path, "effect"),
            )
        if safe_to_repeat:
            loaded.add(
                "E201",
                (*path, "safe_to_repeat"),
                f"class {name!r} is keyed, so a repeat is harmless for a limited time only, but "
                "safe_to_repeat is true",
                "remove safe_to_repeat",
                loaded,
                (*path, "effect"),
            )
        if cls.repeat_window and cls.deadline and cls.repeat_window < cls.deadline:
            loaded.add(
                "W803",
                (*path, "repeat_window"),
                f"repeat_window of class {name!r}, {units.write_duration(cls.repeat_window)} from the first "
                f"attempt, is shorter than its deadline, {units.write_duration(cls.deadline)}",
                "use a shorter deadline, or a longer repeat_window if endpoints remember keys for longer",
            )
    elif not safe_to_repeat:
        loaded.add(
            "E210",
            (*path, "safe_to_repeat"),
            f"class {name!r} is safe, but safe_to_repeat is false",
            'remove safe_to_repeat, or set effect = "unsafe"',
            loaded,
            (*path, "effect"),
        )


def check_order(loaded: Loaded, name: str, cls: schema.Class) -> None:
    """Checks that an ordered class says what its key stands for."""
    path: KeyPath = ("class", name)
    if cls.order and not cls.key.strip() and not loaded.is_invalid(*path, "key"):
        loaded.add(
            "E205",
            (*path, "order"),
            f"class {name!r} keeps order, but does not state what its key stands for",
            'add the key, like key = "video"',
        )


def check_times(loaded: Loaded, name: str, cls: schema.Class) -> None:
    """Checks a class's aim against its deadline and against one call's share of the lowest rate (E207)."""
    path: KeyPath = ("class", name)
    if cls.aim is None or cls.deadline is None:
        return
    if cls.deadline < cls.aim:
        loaded.add(
            "E206",
            (*path, "deadline"),
            f"deadline of class {name!r}, {units.write_duration(cls.deadline)}, is shorter than its aim, "
            f"{units.write_duration(cls.aim)}",
            f"use at least {units.write_duration(cls.aim)}",
            loaded,
            (*path, "aim"),
        )
    elif cls.deadline >= LATE_FACTOR * cls.aim and not cls.late_worth:
        loaded.add(
            "W806",
            (*path, "deadline"),
            f"deadline of class {name!r}, {units.write_duration(cls.deadline)}, is "
            f"{cls.deadline / cls.aim:.0f} times its aim, {units.write_duration(cls.aim)}, but "
            "late_worth is 0",
            "set late_worth, or use a shorter deadline",
        )
    rates = [(dest.rate, dest_name) for dest_name, dest in loaded.model.destinations.items() if dest.rate]
    if rates and cls.aim < 1000 / min(rates)[0]:
        rate, slowest = min(rates)
        loaded.add(
            "E207",
            (*path, "aim"),
            f"aim of class {name!r}, {units.write_duration(cls.aim)}, is shorter than the time of one call "
            f"at the rate of destination {slowest!r}: {1000 / rate:.0f} ms at {units.write_rate(rate)}",
            f"use at least {units.write_duration(math.ceil(1000 / rate))}",
            loaded,
            ("destination", slowest, "rate"),
        )


# --- destinations ---


def check_destinations(loaded: Loaded) -> None:
    """Checks every destination, and the kinds."""
    if not loaded.model.destinations and loaded.model.sidecar.name is not None:
        loaded.add(
            "E308",
            ("destination",),
            "no destination is declared",
            "declare at least one, like [destination.thumbnails]",
        )
    numbers: dict[int, str] = {}
    for name, dest in loaded.model.destinations.items():
        path: KeyPath = ("destination", name)
        if dest.number is not None:
            if dest.number in numbers:
                loaded.add(
                    "E304",
                    (*path, "number"),
                    f"number {dest.number} of destination {name!r} is already used by destination "
                    f"{numbers[dest.number]!r}",
                    "use a different number for each destination",
                    loaded,
                    ("destination", numbers[dest.number], "number"),
                )
            numbers.setdefault(dest.number, name)
        if not dest.endpoints and not loaded.is_invalid(*path, "endpoints"):
            where = (*path, "endpoints") if (*path, "endpoints") in loaded.names else path
            loaded.add(
                "E301",
                where,
                f"destination {name!r} has no endpoints",
                'list them, like endpoints = ["10.1.0.18:8080"]',
            )
        check_endpoints(loaded, name, dest)
        if dest.rate is None and not loaded.is_given(*path, "rate"):
            loaded.add(
                "W801",
                path,
                f"destination {name!r} has no rate",
                'set an approximate rate, like rate = "50/s"',
            )
    check_shared_addresses(loaded)
    check_kinds(loaded)


def check_endpoints(loaded: Loaded, name: str, dest: schema.Destination) -> None:
    """Checks the endpoints of one destination; mixed kinds are reported once."""
    listen, kind = loaded.model.resp.listen, schema.kind_of(loaded.model, dest)
    seen: dict[object, int] = {}
    mixed = False
    for index, endpoint in enumerate(dest.endpoints):
        path: KeyPath = ("destination", name, "endpoints", index)
        if endpoint.address is None:
            continue
        for what, value in (("address", endpoint.address), ("name", schema.endpoint_name(endpoint))):
            if (what, value) in seen:
                shown = write_address(endpoint.address) if what == "address" else value
                loaded.add(
                    "E305",
                    (*path, what),
                    f"endpoint {what} {shown!r} is listed twice in destination {name!r}",
                    "list each endpoint once",
                    loaded,
                    ("destination", name, "endpoints", seen[what, value]),
                )
                break
            seen[what, value] = index
        if endpoint.kind and endpoint.kind not in loaded.model.kinds:
            report_unknown_kind(loaded, (*path, "kind"), endpoint.kind)
        elif (endpoint.kind or kind) != (dest.endpoints[0].kind or kind) and not mixed:
            mixed = True
            loaded.add(
                "E302",
                (*path, "kind"),
                f"endpoint {write_address(endpoint.address)} has kind {endpoint.kind or kind!r}, but the "
                f"first endpoint of destination {name!r} has kind {dest.endpoints[0].kind or kind!r}",
                "use the same kind for all endpoints, or two destinations",
                loaded,
                ("destination", name, "endpoints", 0),
            )
        if (
            endpoint.zone
            and endpoint.zone not in loaded.model.fleet.zones
            and not loaded.is_invalid("fleet", "zones")
        ):
            loaded.add(
                "E307",
                (*path, "zone"),
                f"zone {endpoint.zone!r} of endpoint {write_address(endpoint.address)} is not declared",
                "add it to fleet.zones, or use one of the declared zones",
            )
        if listen and endpoint.address == listen:
            loaded.add(
                "E309",
                (*path, "address"),
                f"endpoint {write_address(listen)} of destination {name!r} is the sidecar's own listener",
                "use the address of another server",
                loaded,
                ("resp", "listen"),
            )


def report_unknown_kind(loaded: Loaded, path: KeyPath, kind: str) -> None:
    """Reports a kind that is not declared."""
    closest = schema.t.closest_name(kind, list(loaded.model.kinds))
    loaded.add(
        "E306",
        path,
        f"kind {kind!r} is not declared",
        f"did you mean {closest!r}?" if closest else f"add a table [kind.{kind}]",
    )


def check_kinds(loaded: Loaded) -> None:
    """Checks that every kind that is used is declared, and that every declared one is used."""
    used = set()
    for name, dest in loaded.model.destinations.items():
        used |= {schema.kind_of(loaded.model, dest)} | {endpoint.kind for endpoint in dest.endpoints}
        if dest.kind and dest.kind not in loaded.model.kinds:
            report_unknown_kind(loaded, ("destination", name, "kind"), dest.kind)
    for kind in loaded.model.kinds:
        if kind not in used and ("kind", kind) in loaded.names:
            loaded.add(
                "W807",
                ("kind", kind),
                f"kind {kind!r} is not used by any destination or endpoint",
                f"remove [kind.{kind}] if it is not needed",
            )


def limits_of(model: schema.Model, dest: schema.Destination) -> tuple:
    """Returns what destinations with a common address must agree on: rate, batch size, separate routes."""
    kind = model.kinds.get(schema.kind_of(model, dest))
    return (dest.rate, kind.batch if kind else 1, kind.apart if kind else False)


def check_shared_addresses(loaded: Loaded) -> None:
    """Checks that destinations with a common address have the same limits."""
    seen: dict[tuple[str, int], tuple[str, int]] = {}
    for name, dest in loaded.model.destinations.items():
        for index, endpoint in enumerate(dest.endpoints):
            if endpoint.address is None:
                continue
            first, first_index = seen.setdefault(endpoint.address, (name, index))
            other = loaded.model.destinations[first]
            if first != name and limits_of(loaded.model, other) != limits_of(loaded.model, dest):
                loaded.add(
                    "E303",
                    ("destination", name, "endpoints", index),
                    f"address {write_address(endpoint.address)} is listed in destinations {first!r} and "
                    f"{name!r}, whose rates or kinds differ",
                    "use the same rate and kind for both, or merge them into one destination",
                    loaded,
                    ("destination", first, "endpoints", first_index),
                )


# --- resources ---


def check_limits(loaded: Loaded) -> None:
    """Checks that descriptors, memory and disk suffice for the slots and the held messages."""
    limits = loaded.model.limits
    if limits.slots > limits.held:
        loaded.add(
            "E401",
            ("limits", "slots"),
            f"slots is {limits.slots}, above the limit of {limits.held} held messages",
            f"use at most {limits.held} slots",
            loaded,
            ("limits", "held"),
        )
    amqp_connections = loaded.model.amqp.connections if loaded.model.amqp.listen else 0
    needed = limits.slots + RESERVED_DESCRIPTORS + MIN_CLIENT_DESCRIPTORS + amqp_connections
    if limits.sockets < needed:
        path = ("limits", "sockets") if loaded.is_given("limits", "sockets") else ("limits", "slots")
        connections = f" and {amqp_connections} AMQP connections" if amqp_connections else ""
        most_slots = max(1, limits.sockets - needed + limits.slots)
        loaded.add(
            "E402",
            path,
            f"{limits.slots} slots{connections} need {needed} sockets, but the limit is {limits.sockets}",
            f"use at least {needed} sockets, or at most {most_slots} slots",
        )
    if limits.typical_body > limits.largest_body:
        loaded.add(
            "E405",
            ("limits", "typical_body"),
            f"typical_body, {units.write_size(limits.typical_body)}, is larger than largest_body, "
            f"{units.write_size(limits.largest_body)}",
            f"use at most {units.write_size(limits.largest_body)}",
            loaded,
            ("limits", "largest_body"),
        )
    memory, disk = memory_need(limits) + amqp_memory(loaded.model), disk_need(limits)
    for what, code, needed_bytes, available_bytes in (
        ("memory", "E403", memory, limits.memory),
        ("disk", "E404", disk, limits.disk),
    ):
        if needed_bytes > available_bytes:
            given = [  # the problem is reported at the first of these settings that the file gives
                ("limits", name)
                for name in (what, "held", "typical_body", "largest_body", "slots")
                if loaded.is_given("limits", name)
            ]
            loaded.add(
                code,
                given[0] if given else ("limits",),
                f"{limits.held} held messages with bodies of {units.write_size(limits.typical_body)} need "
                f"{needed_bytes / 1e6:.1f} MB of {what}, but the limit is {available_bytes / 1e6:.1f} MB",
                f"set {what} to at least {units.write_size(round_up(needed_bytes))}, or lower held",
            )
    if limits.attempts == 1:
        loaded.add(
            "W805",
            ("limits", "attempts"),
            "attempts is 1, so failed calls are not retried",
            "use at least 2 to allow retries",
        )


def memory_need(limits: schema.Limits) -> int:
    """Returns the bytes of memory needed with `held` messages and every slot in use, without AMQP.

    Bodies count twice, since a body is in memory twice while its message is sent (E403).
    """
    return (
        PROGRAM_MEMORY
        + limits.held * (2 * limits.typical_body + MESSAGE_MEMORY)
        + limits.slots * SLOT_MEMORY
        + 2 * limits.largest_body
    )


def amqp_memory(model: schema.Model) -> int:
    """Returns the bytes of memory that the clients of the AMQP listener can fill at most."""
    amqp = model.amqp
    if amqp.listen is None:
        return 0
    per_connection = AMQP_CONNECTION_MEMORY + MAX_PARTIAL_BODIES * model.limits.largest_body
    return amqp.connections * per_connection + amqp.queues * amqp.queue_length * REPLY_MEMORY


def disk_need(limits: schema.Limits) -> int:
    """Returns the bytes of disk needed for `held` messages of the usual size, or one of the largest."""
    usual = limits.held * (limits.typical_body + RECORD_OVERHEAD)
    return math.ceil(max(usual, limits.largest_body + RECORD_OVERHEAD) / MAX_LIVE_SHARE)


def round_up(size: int) -> int:
    """Rounds bytes up to whole MiB."""
    return math.ceil(size / (1 << 20)) << 20


def check_amqp(loaded: Loaded) -> None:
    """Checks the AMQP listener, and the settings of kinds and destinations with brokers."""
    amqp = loaded.model.amqp
    given = non_default(amqp, tuple(name for name, _, _ in schema.settings_of(schema.Amqp)))
    if amqp.listen is None and given and not loaded.is_invalid("amqp", "listen"):
        loaded.add(
            "E608",
            ("amqp", given[0]),
            f"amqp.{given[0]} is set, but amqp.listen is not",
            "add listen, or remove the table [amqp]",
        )
    if amqp.listen is not None:
        check_amqp_listener(loaded, amqp)
    for name, kind in loaded.model.kinds.items():
        non_default_names = non_default(kind, BROKER_KIND_SETTINGS)
        if kind.protocol == "http" and non_default_names:
            loaded.add(
                "E310",
                ("kind", name, non_default_names[0]),
                f"{non_default_names[0]} has no effect, because kind {name!r} uses HTTP",
                'set protocol = "amqp", or remove the line',
            )
    for name, dest in loaded.model.destinations.items():
        kind = loaded.model.kinds.get(schema.kind_of(loaded.model, dest))
        non_default_names = non_default(dest, BROKER_DESTINATION_SETTINGS)
        if non_default_names and (kind is None or kind.protocol == "http"):
            loaded.add(
                "E310",
                ("destination", name, non_default_names[0]),
                f"{non_default_names[0]} has no effect, because destination {name!r} uses HTTP",
                'use a kind with protocol = "amqp", or remove the line',
            )
        check_routing_key(loaded, ("destination", name, "routing_key"), dest.routing_key)


def non_default(values: object, names: tuple[str, ...]) -> list[str]:
    """Returns the names of the settings that differ from their default; None has been reported already."""
    defaults = {name: default for name, _, default in schema.settings_of(type(values))}
    return [name for name in names if getattr(values, name) not in (None, defaults[name])]


def check_amqp_listener(loaded: Loaded, amqp: schema.Amqp) -> None:
    """Checks the settings of an AMQP listener."""
    if bool(amqp.user) != bool(amqp.password):
        has, lacks = ("user", "password") if amqp.user else ("password", "user")
        loaded.add(
            "E607",
            ("amqp", has),
            f"amqp.{has} is set, but amqp.{lacks} is not",
            f"add {lacks}, or remove {has}",
        )
    if amqp.listen[0] in ("0.0.0.0", "::") and not amqp.user:  # noqa: S104
        loaded.add(
            "W802",
            ("amqp", "listen"),
            f"the AMQP listener, {write_address(amqp.listen)}, listens on all addresses without a password",
            "set amqp.user and amqp.password, or listen on a loopback address",
        )
    if amqp.listen == loaded.model.resp.listen and amqp.listen[1]:
        loaded.add(
            "E601",
            ("amqp", "listen"),
            f"amqp.listen, {write_address(amqp.listen)}, is also the address of the RESP listener",
            "use another port",
            loaded,
            ("resp", "listen"),
        )
    check_routing_key(loaded, ("amqp", "routing_key"), amqp.routing_key)


def check_routing_key(loaded: Loaded, where: KeyPath, text: str | None) -> None:
    """Checks the pattern of a routing key."""
    if text is None:
        return
    try:
        compile_routing_key(text)
    except ValueError as error:
        loaded.add("E311", where, str(error), "use {class}, {destination} and {key}, each at most once")


def check_rules(loaded: Loaded) -> None:
    """Checks the tables rules, fleet and calls."""
    rules = loaded.model.rules
    if rules.drain_grace > schema.MAX_DRAIN_GRACE:
        loaded.add(
            "E501",
            ("rules", "drain_grace"),
            f"drain_grace, {units.write_duration(rules.drain_grace)}, is above the limit of 500 ms",
            "use at most 500 ms",
        )
    for name, fixed in (("retry_base", schema.RETRY_BASE), ("retry_cap", schema.RETRY_CAP)):
        if getattr(rules, name) != fixed:
            loaded.add(
                "E502",
                ("rules", name),
                f"{name} is {units.write_duration(getattr(rules, name))}, but the design fixes it at "
                f"{units.write_duration(fixed)}",
                "remove the line",
            )
    fleet = loaded.model.fleet
    if fleet.ordinal >= fleet.senders:
        loaded.add(
            "E503",
            ("fleet", "ordinal"),
            f"ordinal is {fleet.ordinal}, but senders is {fleet.senders}",
            f"use an ordinal from 0 to {fleet.senders - 1}",
            loaded,
            ("fleet", "senders"),
        )
    if len(set(fleet.zones)) < len(fleet.zones):
        zone = Counter(fleet.zones).most_common(1)[0][0]
        loaded.add(
            "E102", ("fleet", "zones"), f"zone {zone!r} is listed more than once", "list each zone once"
        )
    if loaded.model.calls.keep_alive < MIN_KEEP_ALIVE:
        loaded.add(
            "W808",
            ("calls", "keep_alive"),
            f"keep_alive, {units.write_duration(loaded.model.calls.keep_alive)}, is below "
            f"{units.write_duration(MIN_KEEP_ALIVE)}",
            f"use at least {units.write_duration(MIN_KEEP_ALIVE)} if endpoints keep idle connections open",
        )


# --- paths and addresses ---


def check_paths_and_addresses(loaded: Loaded) -> None:
    """Checks the state folder, the RESP listener and the completion sink."""
    state, resp, sink = loaded.model.sidecar.state, loaded.model.resp, loaded.model.sink
    if state:
        folder = schema.path_of(loaded.model, state)
        if len(str(folder / CONTROL_SOCKET_NAME).encode()) > MAX_SOCKET_PATH:
            loaded.add(
                "E603",
                ("sidecar", "state"),
                f"path {str(folder / CONTROL_SOCKET_NAME)!r} of the control socket has "
                f"{len(str(folder / CONTROL_SOCKET_NAME).encode())} bytes, above the limit of "
                f"{MAX_SOCKET_PATH}",
                "use a shorter path for the state folder",
            )
        if any(str(folder).startswith(prefix) for prefix in ("/tmp/", "/var/tmp/", "/dev/shm/")):
            loaded.add(
                "W804",
                ("sidecar", "state"),
                f"state folder {state!r} is in a temporary folder",
                "use a folder that persists across restarts of the machine",
            )
        if sink.kind == "file" and schema.path_of(loaded.model, sink.file).parent == folder:
            loaded.add(
                "E606",
                ("sink", "file") if loaded.is_given("sink", "file") else ("sidecar", "state"),
                f"sink file {sink.file!r} is in the state folder {state!r}",
                "use another folder for the sink file",
            )
    if resp.listen and resp.listen[0] in ("0.0.0.0", "::") and not resp.password:  # noqa: S104
        loaded.add(
            "W802",
            ("resp", "listen"),
            f"the RESP listener, {write_address(resp.listen)}, listens on all addresses without a password",
            "set resp.password, or listen on a loopback address",
        )
    if sink.kind == "http":
        for name in ("file", "rotate_at", "keep"):
            if loaded.is_given("sink", name):
                loaded.add(
                    "E604",
                    ("sink", name),
                    f"{name} has no effect for a sink of kind http",
                    "remove the line",
                    loaded,
                    ("sink", "kind"),
                )
        if sink.address is None and not loaded.is_given("sink", "address"):
            loaded.add("E604", ("sink", "kind"), "a sink of kind http requires an address", "add address")
    elif loaded.is_given("sink", "address"):
        loaded.add(
            "E604",
            ("sink", "address"),
            "address has no effect for a sink of kind file",
            'set kind = "http", or remove the line',
        )
    if sink.kind == "http" and sink.address and sink.address == resp.listen:
        loaded.add(
            "E601",
            ("sink", "address"),
            f"sink.address, {write_address(sink.address)}, is the sidecar's own listener",
            "use the address of the server that receives notifications",
            loaded,
            ("resp", "listen"),
        )


RULES: tuple[Callable[[Loaded], None], ...] = (
    check_classes,
    check_destinations,
    check_limits,
    check_amqp,
    check_rules,
    check_paths_and_addresses,
)


# --- many files ---


def compare(files: Iterable[Loaded]) -> list[Problem]:
    """Reports, at the later file, what contradicts an earlier one; returns the added problems."""
    # Each fact is looked up by its subject, so the cost is linear in the number of facts.
    first: dict[tuple, tuple[Loaded, KeyPath, object]] = {}
    added: list[Problem] = []
    for loaded in files:
        if not loaded.complete:
            continue
        before = len(loaded.problems)
        for code, subject, where, value, text in facts(loaded):
            other, other_where, first_value = first.setdefault((code, subject), (loaded, where, value))
            if other is not loaded and first_value != value:
                loaded.add(code, where, text, "change the value in one of the two files", other, other_where)
        added += loaded.problems[before:]
    return added


# Code, subject, path of the setting, value, text of the problem.
Fact = tuple[str, object, KeyPath, object, str]


def facts(loaded: Loaded) -> Iterator[Fact]:
    """Lists the facts of a file that other files must not contradict."""
    model = loaded.model
    sidecar, listen = model.sidecar, model.resp.listen
    if sidecar.state:
        yield (
            "E602",
            schema.path_of(model, sidecar.state),
            ("sidecar", "state"),
            loaded.file,
            f"state folder {sidecar.state!r} is also used by another sidecar",
        )
    if listen and listen[1]:
        yield (
            "E601",
            listen,
            ("resp", "listen"),
            loaded.file,
            f"address {write_address(listen)} is also used by a listener of another sidecar",
        )
    if model.amqp.listen and model.amqp.listen[1]:
        where = ("amqp", "listen")
        text = f"address {write_address(model.amqp.listen)} is also used by a listener of another sidecar"
        yield "E601", model.amqp.listen, where, loaded.file, text
    if model.sink.kind == "file":
        where = ("sink", "file") if loaded.is_given("sink", "file") else ("sidecar", "name")
        yield (
            "E605",
            schema.path_of(model, model.sink.file),
            where,
            loaded.file,
            f"sink file {model.sink.file!r} is also used by another sidecar",
        )
    for name, cls in model.classes.items():
        if cls.effect is not None:
            yield (
                "E705",
                name,
                ("class", name, "effect"),
                cls.effect,
                f"class {name!r} has effect {cls.effect!r}, but a different one in the other file",
            )
    for name, kind in model.kinds.items():
        if ("kind", name) in loaded.names:
            yield (
                "E703",
                name,
                ("kind", name),
                (kind.batch, kind.apart),
                f"kind {name!r} has a different batch size or different routes in the other file",
            )
    for name, dest in model.destinations.items():
        if dest.number is not None:
            yield from destination_facts(loaded, name, dest)


def destination_facts(loaded: Loaded, name: str, dest: schema.Destination) -> Iterator[Fact]:
    """Lists the facts of a destination and its share of the fleet."""
    path: KeyPath = ("destination", name)
    shown = f"destination {name!r} (number {dest.number})"
    kind = schema.kind_of(loaded.model, dest)
    endpoints = frozenset(
        (endpoint.address, endpoint.kind or kind, endpoint.zone, endpoint.state)
        for endpoint in dest.endpoints
    )
    where = (*path, "endpoints") if (*path, "endpoints") in loaded.names else path
    yield "E701", dest.number, where, endpoints, f"{shown} has different endpoints in the other file"
    yield (
        "E702",
        dest.number,
        (*path, "kind") if loaded.is_given(*path, "kind") else path,
        kind,
        f"{shown} has kind {kind!r}, but a different one in the other file",
    )
    yield (
        "E704",
        dest.number,
        (*path, "rate") if loaded.is_given(*path, "rate") else path,
        dest.rate,
        f"{shown} has {'no rate' if dest.rate is None else f'rate {units.write_rate(dest.rate)}'}, but a "
        "different one in the other file",
    )
    yield (
        "E706",
        dest.number,
        (*path, "number"),
        name,
        f"number {dest.number} belongs to destination {name!r}, but to a different one in the other file",
    )
    yield (
        "E706",
        name,
        (*path, "number"),
        dest.number,
        f"destination {name!r} has number {dest.number}, but a different one in the other file",
    )
    fleet = loaded.model.fleet
    yield (
        "E707",
        ("senders", dest.number),
        ("fleet", "senders") if loaded.is_given("fleet", "senders") else path,
        fleet.senders,
        f"{shown} has {fleet.senders} senders, but a different number in the other file",
    )
    if fleet.senders > 1:
        yield (
            "E707",
            ("ordinal", dest.number, fleet.ordinal),
            ("fleet", "ordinal") if loaded.is_given("fleet", "ordinal") else ("fleet", "senders"),
            loaded.file,
            f"ordinal {fleet.ordinal} is also used by another sidecar of {shown}",
        )


def check_files(texts: Iterable[tuple[str, str]]) -> list[Loaded]:
    """Checks each (file, text), then all files against each other."""
    files = [check_text(text, file) for file, text in texts]
    compare(files)
    for loaded in files:
        loaded.problems.sort(key=lambda problem: problem.sort_key)
    return files


def find(paths: Iterable[Path]) -> list[Path]:
    """Expands folders to their *.toml files, sorted."""
    found: list[Path] = []
    for path in paths:
        found += sorted(path.glob("*.toml")) if path.is_dir() else [path]
    return found
