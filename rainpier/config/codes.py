"""Rules that a configuration is checked against: a stable code each, with its title and its reason.

A code never changes its meaning, and the code of a dropped rule is not used again.
"""

CODES: dict[str, tuple[str, str]] = {
    "E100": (
        "file cannot be read",
        "The file must exist, be readable, be encoded in UTF-8 and hold at most 4 MiB.",
    ),
    "E101": (
        "invalid TOML",
        "The file must be valid TOML 1.0. What follows a syntax error in the same table is not checked, "
        "because it may belong to another table.",
    ),
    "E102": (
        "duplicate name",
        "TOML allows each name and each table once. Which of two values was intended cannot be "
        "determined, so neither is used.",
    ),
    "E103": (
        "unknown name",
        "If unknown names were ignored, a mistyped name would silently leave its setting at the default. The "
        "effect would appear hours later, as duplicate charges or stalled orders.",
    ),
    "E104": (
        "wrong type",
        "The value has another type than the setting, like a string instead of a number, or a number instead "
        "of a list. Values are never converted from one type to another.",
    ),
    "E105": (
        "wrong or missing unit",
        'Times, sizes and rates are written with their unit ("2.5 s", "64 MiB", "5/s"). A bare 5 could mean '
        "milliseconds or seconds, a factor of 1000.",
    ),
    "E106": ("out of range", "The value is outside the range that the program supports."),
    "E107": (
        "missing setting or table",
        "The setting is required, because no default would be right for every installation.",
    ),
    "E108": ("invalid choice", "The setting accepts a fixed set of words only."),
    "E109": (
        "invalid address",
        'Addresses are written "HOST:PORT", with an IPv6 host in [ ]. Where an IP address is required, host '
        "names are not resolved, because a DNS lookup during the delivery of one message would delay all "
        "others.",
    ),
    "E110": (
        "invalid name",
        "Names consist of lower-case letters, digits, - and _, and begin with a letter. Paths and strings "
        "are not empty and contain no control characters.",
    ),
    "E111": (
        "unknown format version",
        "The file states the version of its format, so that later releases of the program can still "
        "interpret it correctly.",
    ),
    "E201": (
        "class that is not safe is marked safe to repeat",
        "A message of an unsafe class is sent again only after proof that it never ran. If it were marked "
        "safe to repeat, it would be sent again after a lost response, which means a duplicate charge.",
    ),
    "E202": (
        "class of charges is not unsafe",
        "Usage charges must never take effect twice, so their class must be unsafe. A class whose name "
        "refers to money counts as charges unless it sets charges = false.",
    ),
    "E203": (
        "protection without effect",
        "A repeat window or an idempotency key on an unsafe class suggests that endpoints drop duplicates. "
        "If they do, the class is keyed; if they do not, the setting is misleading.",
    ),
    "E204": (
        "keyed class without a repeat window",
        "Endpoints of a keyed class drop duplicates for a limited time only. Without that time it is "
        "unknown until when a repeat is harmless.",
    ),
    "E205": (
        "order without a key",
        "Order is kept among the messages of one key. The class must state what the key stands for (a "
        "video, an account), so that clients submit it.",
    ),
    "E206": (
        "deadline shorter than the aim",
        "A message would be given up before the time of its aim has passed.",
    ),
    "E207": (
        "aim shorter than the slowest rate allows",
        "At a rate of r calls a second, one call occupies 1/r of a second. A shorter aim cannot be met even "
        "by a destination that is otherwise idle.",
    ),
    "E208": (
        "keyed class without an idempotency key",
        "Endpoints recognise a duplicate by its idempotency key. Without one the class is unsafe.",
    ),
    "E209": ("no class", "Every message belongs to a class. Without a class no message can be submitted."),
    "E210": (
        "safe class marked not safe to repeat",
        "effect and safe_to_repeat contradict each other for the same class.",
    ),
    "E301": ("destination without endpoints", "Its messages would be held until their deadlines."),
    "E302": (
        "endpoints of different kinds",
        "The endpoints of a destination share their limits, and each can receive any of its messages. Kinds "
        "differ in their batch size, so a call would fit only some of the endpoints.",
    ),
    "E303": (
        "one address in two destinations with different limits",
        "The address would receive calls of one destination at the rate of the other. Give both "
        "destinations the same rate and kind, or merge them into one.",
    ),
    "E304": ("duplicate destination number", "Clients refer to a destination by its number."),
    "E305": ("duplicate endpoint", "Its share of the calls would be counted twice."),
    "E306": ("unknown kind", "Each kind must be declared in a table [kind.NAME]."),
    "E307": ("unknown zone", "The zone must be one of fleet.zones."),
    "E308": ("no destination", "Without a destination no message can be submitted."),
    "E309": (
        "endpoint is the sidecar's own listener",
        "The sidecar would send messages to the listener that accepts them.",
    ),
    "E310": (
        "broker setting without a broker",
        "Broker settings have no effect on endpoints that use HTTP. To use them, set "
        'protocol = "amqp" in the kind.',
    ),
    "E311": (
        "invalid routing key pattern",
        "In a routing key, only {class}, {destination} and {key} are replaced by the values of the message. "
        "Other placeholders are not supported.",
    ),
    "E401": (
        "more slots than held messages",
        "A call carries at least one message, so slots beyond the limit `held` are never used.",
    ),
    "E402": (
        "too few sockets",
        "Each call needs a file descriptor, 24 are reserved for files and for connections that are being "
        "closed, and clients need some more.",
    ),
    "E403": (
        "not enough memory",
        "Held messages are kept in memory. The estimate counts their typical bodies twice, because a body "
        "is in memory twice while it is sent, 1.5 KiB more for each message, 40 KiB for each slot, and "
        "40 MiB for the program.",
    ),
    "E404": (
        "not enough disk space",
        "Held messages are kept in the store and may fill three tenths of the disk limit. The remainder is "
        "for their copies and for the records of their progress.",
    ),
    "E405": ("typical body larger than the largest", "typical_body cannot be larger than largest_body."),
    "E501": (
        "drain grace above 500 ms",
        "No new call may begin later than 500 ms after the notice of a drain.",
    ),
    "E502": (
        "retry limits differ from the design",
        "The wait before a retry uses decorrelated jitter with a base of 100 ms and a cap of 5 s. The "
        "settings exist only to state these values in the file; other values are rejected.",
    ),
    "E503": ("ordinal outside the fleet", "Ordinals range from 0 to senders - 1."),
    "E601": ("listener address conflict", "Two listeners cannot use the same address."),
    "E602": (
        "shared state folder",
        "Two sidecars would write to one journal, and each message would be completed twice or never.",
    ),
    "E603": (
        "path too long for a socket",
        "The control socket is in the state folder, and the path of a socket can hold at most 100 bytes.",
    ),
    "E604": (
        "incomplete or contradictory completion sink",
        "Kind http requires an address, and kind file accepts none. The settings of the file have no effect "
        "for kind http.",
    ),
    "E605": ("shared sink file", "Two sidecars would rotate the same file independently of each other."),
    "E606": (
        "sink file inside the state folder",
        "The size of the state folder is limited. A growing file of completions in it would use up the "
        "space of the journal.",
    ),
    "E607": (
        "incomplete AMQP login",
        "A user without a password, or a password without a user, would admit either no client or every "
        "client.",
    ),
    "E608": (
        "AMQP setting without a listener",
        "Without amqp.listen there is no AMQP listener, so the other settings of [amqp] have no effect.",
    ),
    "E701": (
        "files disagree: endpoints",
        "All sidecars must list the same endpoints for a destination. Otherwise its drains and limits apply "
        "to some of the sidecars only.",
    ),
    "E702": ("files disagree: kind", "A destination must have the same kind in every file."),
    "E703": (
        "files disagree: batch or routes",
        "A kind must have the same batch size in every file, and the same choice of separate routes.",
    ),
    "E704": (
        "files disagree: rate",
        "The rate of a destination covers all senders together, so every sender must have the same value.",
    ),
    "E705": (
        "files disagree: effect of a class",
        "If a class is unsafe for one application and repeatable for another, one of them is wrong. The "
        "result is a duplicate charge, or charges that are given up without need.",
    ),
    "E706": (
        "files disagree: name or number",
        "A number must refer to the same destination in every file, and so must a name.",
    ),
    "E707": (
        "files disagree: fleet",
        "If two sidecars of a fleet have the same ordinal, or different numbers of senders for one "
        "destination, each sends a share of the calls that is not its own.",
    ),
    "W801": (
        "no rate",
        "Without a rate, slow start of a recovered destination relies only on the rate observed earlier.",
    ),
    "W802": (
        "listens on all addresses without a password",
        "Anyone who can reach the port can submit messages.",
    ),
    "W803": (
        "repeat window shorter than the deadline",
        "Keyed messages are no longer repeated once the window has passed, although their deadline has not.",
    ),
    "W804": (
        "state in a temporary folder",
        "Accepted messages are lost if the folder is deleted.",
    ),
    "W805": ("only one attempt", "Every failure of a call is final."),
    "W806": (
        "no worth when late",
        "The deadline is at least 20 times the aim, but a late delivery is worth nothing, so messages are "
        "held without any benefit.",
    ),
    "W807": ("unused kind", "No destination or endpoint has this kind."),
    "W808": (
        "short keep-alive",
        "Idle connections are reused for nine tenths of this time. Below 2 s, most calls have to open a new "
        "connection.",
    ),
}


def explain(code: str) -> str:
    """Returns the text that explains a code; raises KeyError for an unknown one."""
    title, text = CODES[code]
    severity = "warning" if code.startswith("W") else "error"
    return f"{severity}[{code}]: {title}\n\n{text}\n"
