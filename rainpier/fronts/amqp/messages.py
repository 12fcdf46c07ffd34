"""Converts a published message to a submission: class, destination, key and deadline. No I/O.

A message gives its class, destination and key in headers, or in a routing key of the configured pattern;
headers take precedence. The rest are standard properties (AMQP 0-9-1 specification, 1.8.3 and the
"basic" class): message-id, expiration, reply-to, correlation-id.
"""

import hashlib
import re
from dataclasses import dataclass, field

from pamqp import commands

from ...amqp import codes
from ...amqp.codes import ChannelException
from ...interface import Effect, MessageClass
from ...submission import KEY, MAX_LIFETIME, NAME, Submission

PUBLISH_METHOD_ID = (60, 40)  # class and method ID of basic.publish
PLACEHOLDERS = ("class", "destination", "key")  # of a routing key pattern
CLASS_HEADER, DESTINATION_HEADER, KEY_HEADER, TOKEN_HEADER = (
    "x-class",
    "x-destination",
    "x-key",
    "x-idempotency-key",
)
REPEATED_HEADER = "x-repeated"  # "1": the client has submitted the message before
DESTINATION_NUMBER = re.compile(r"[0-9]{1,10}")
MAX_LIFETIME_IN_DEADLINES = 2  # largest expiration, as a multiple of the class's deadline
MAX_CORRELATION_ID_BYTES = 255  # correlation-id is a short string


class Unroutable(Exception):
    """Raised for a message whose class or destination is missing or unknown; it is not accepted."""


def compile_routing_key(pattern: str) -> re.Pattern[str]:
    """Compiles a routing key pattern like "{class}.{destination}.{key}"; a key at its end is optional.

    Raises ValueError for an unknown or repeated placeholder.
    """
    parts = re.split(r"(\{[a-z]+\})", pattern)
    names = [part[1:-1] for part in parts if part.startswith("{")]
    if unknown := set(names) - set(PLACEHOLDERS):
        raise ValueError(
            f"{{{min(unknown)}}} is unknown: {', '.join(f'{{{p}}}' for p in PLACEHOLDERS)} are known"
        )
    if len(set(names)) < len(names):
        raise ValueError(f"a placeholder occurs twice in {pattern!r}")
    regex = "".join(
        f"(?P<{part[1:-1]}>{'.+' if part == '{key}' else '[^.]+'})"
        if part.startswith("{")
        else re.escape(part)
        for part in parts
    )
    tail = re.escape(".") + "(?P<key>.+)"
    if regex.endswith(tail):
        regex = regex.removesuffix(tail) + f"(?:{tail})?"
    return re.compile(regex)


@dataclass(slots=True)
class Routes:
    """Exchange, routing key pattern, classes and destinations; rebuilt when the configuration changes."""

    exchange: str
    pattern: re.Pattern[str]
    classes: dict[str, MessageClass]
    destinations: dict[str, int]  # number by name
    numbers: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.numbers = set(self.destinations.values())

    def parse_routing(self, publish: commands.Basic.Publish) -> dict[str, str]:
        """Returns the values of the placeholders, by name, that exchange and routing key give.

        Empty if the routing key does not match the pattern: headers may give the values. Raises Unroutable
        for the default exchange with an unknown destination.
        """
        key = str(publish.routing_key)
        if publish.exchange == "":  # default exchange: the routing key is a queue name
            if key not in self.destinations:
                raise Unroutable(f"no destination {key!r}")
            return {"destination": key}
        match_result = self.pattern.fullmatch(key)
        return (
            {name: value for name, value in match_result.groupdict().items() if value} if match_result else {}
        )

    def destination_number(self, text: str) -> int:
        """Returns the number of a destination given by name or number; raises Unroutable if unknown."""
        if text in self.destinations:
            return self.destinations[text]
        if DESTINATION_NUMBER.fullmatch(text) and int(text) in self.numbers:
            return int(text)
        raise Unroutable(f"no destination {text!r}" if text else "it names no destination")


def precondition_failed(text: str) -> ChannelException:
    """Returns the exception that closes a channel for an invalid publish."""
    return ChannelException(codes.PRECONDITION_FAILED, text, PUBLISH_METHOD_ID)


def header_text(headers: dict, name: str, default: str = "") -> str:
    """Returns a header as text, `default` if it is absent, a whole number as its digits.

    Raises ChannelException for other types.
    """
    value = headers.get(name, default)
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    if isinstance(value, bool) or not isinstance(value, str | int):
        raise precondition_failed(f"header {name} is neither a text nor a whole number")
    return str(value)


def key_number(text: str) -> int:
    """Returns the number of a key, 0 for none: of up to 16 hexadecimal digits their value, as over RESP.

    Any other text gives a 64-bit hash.
    """
    if not text:
        return 0
    if KEY.fullmatch(text.encode()):
        return int(text, 16)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def lifetime_of(expiration: str | None, message_class: MessageClass) -> float:
    """Returns a message's lifetime in ms: its expiration, or its class's deadline.

    Raises ChannelException if the expiration is invalid or too long.
    """
    if not expiration:
        return message_class.deadline
    if not re.fullmatch(r"[0-9]{1,15}", str(expiration)):
        raise precondition_failed(f"expiration {str(expiration)[:32]!r} is not a number of milliseconds")
    lifetime, maximum = int(expiration), min(MAX_LIFETIME, MAX_LIFETIME_IN_DEADLINES * message_class.deadline)
    if lifetime > maximum:
        raise precondition_failed(
            f"expiration {lifetime}, at most {maximum:.0f} for class {message_class.name}"
        )
    return max(1, lifetime)  # in AMQP, 0 means immediate delivery


def valid_name(given: str | None, property_name: str) -> str:
    """Returns a property as a name, "" if it is absent; `property_name` is for the error.

    Raises ChannelException for invalid characters or length.
    """
    text = given or ""
    if text and not NAME.fullmatch(text.encode("utf-8", "replace")):
        raise precondition_failed(f"{property_name} has to be 1 to 128 visible ASCII characters")
    return text


def parse_publish(
    publish: commands.Basic.Publish, properties: commands.Basic.Properties, body: bytes, routes: Routes
) -> Submission:
    """Converts a publish to a submission.

    Raises Unroutable for an unknown class or destination, ChannelException for invalid properties.
    """
    routing, headers = routes.parse_routing(publish), properties.headers or {}
    class_name = header_text(
        headers, CLASS_HEADER, routing.get("class", "") or str(properties.message_type or "")
    )
    message_class = routes.classes.get(class_name)
    if message_class is None:
        raise Unroutable(f"no class {class_name!r}" if class_name else "it names no class")
    destination = routes.destination_number(
        header_text(headers, DESTINATION_HEADER, routing.get("destination", ""))
    )
    name = valid_name(properties.message_id, "message-id")
    if not name:
        # Without it, a message published again could not be recognised as a duplicate.
        raise precondition_failed("a message needs a message-id, the same each time that it is published")
    token = valid_name(header_text(headers, TOKEN_HEADER), TOKEN_HEADER)
    if message_class.effect is Effect.KEYED and not token:
        token = name
    reply_to, correlation = str(properties.reply_to or ""), str(properties.correlation_id or "")
    if len(correlation.encode()) > MAX_CORRELATION_ID_BYTES:
        raise precondition_failed("correlation-id is too long")
    return Submission(
        name, class_name, destination, key_number(header_text(headers, KEY_HEADER, routing.get("key", ""))),
        token, lifetime_of(properties.expiration, message_class), body,
        header_text(headers, REPEATED_HEADER) == "1", False, reply_to, correlation,
    )  # fmt: skip
