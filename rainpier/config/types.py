"""Types of settings: each reads, checks, writes and describes its values. No I/O.

`read` converts a TOML value (str, int, float, bool, list) to the program's own, or raises InvalidValue;
`write` returns the TOML text of a value; `described` is the text for messages and the reference page.
"""

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any

from . import units

# Codes of codes.py for each way in which a value can be invalid.
TYPE, UNIT, RANGE, CHOICE, ADDRESS, NAME = "E104", "E105", "E106", "E108", "E109", "E110"
HOSTNAME = re.compile(r"(?!-)[A-Za-z0-9_-]{1,63}(?<!-)(?:\.(?!-)[A-Za-z0-9_-]{1,63}(?<!-))*")


class InvalidValue(ValueError):
    """A setting doesn't allow this value. `code`: the violated rule; `hint`: what is allowed."""

    def __init__(self, code: str, text: str, hint: str = "") -> None:
        super().__init__(text)
        self.code, self.hint = code, hint


def closest_name(name: str, names: list[str] | tuple[str, ...]) -> str:
    """Returns the known name that is most similar to a mistyped one, ignoring case; "" if none is similar."""
    by_lower = {known.lower(): known for known in names}
    matches = get_close_matches(name.lower(), list(by_lower), n=1, cutoff=0.6)
    return by_lower[matches[0]] if matches else ""


def abbreviated(value: object) -> str:
    """Formats a TOML value for a message, cut to 60 characters."""
    if isinstance(value, bool):
        return str(value).lower()
    text = quoted(value) if isinstance(value, str) else str(value)
    return text if len(text) <= 60 else text[:57] + "..."


def quoted(text: str) -> str:
    """Formats a text as a TOML basic string."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(c if c.isprintable() else f"\\U{ord(c):08x}" for c in escaped) + '"'


def type_name(value: object) -> str:
    """Names the type of a TOML value for a message."""
    names = {bool: "a boolean", int: "a whole number", float: "a number", str: "a string", list: "a list"}
    return names.get(type(value), "a table" if isinstance(value, dict) else "a date or time")


def require_type(value: object, kinds: tuple[type, ...], what: str) -> None:
    """Raises InvalidValue unless the value has one of the types; a bool does not pass as a number."""
    if isinstance(value, bool) and bool not in kinds or not isinstance(value, kinds):
        raise InvalidValue(TYPE, f"{abbreviated(value)} is {type_name(value)}", f"expected {what}")


def require_range(value: float, least: float, most: float, write: Callable[[Any], str]) -> None:
    """Raises InvalidValue unless least <= value <= most."""
    if value < least:
        raise InvalidValue(
            RANGE, f"{write(value)} is below the minimum of {write(least)}", f"use at least {write(least)}"
        )
    if value > most:
        raise InvalidValue(
            RANGE, f"{write(value)} is above the maximum of {write(most)}", f"use at most {write(most)}"
        )


@dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""

    described = "true or false"

    def read(self, value: object) -> bool:
        require_type(value, (bool,), self.described)
        return bool(value)

    def write(self, value: bool) -> str:
        return "true" if value else "false"


@dataclass(frozen=True, slots=True)
class Count:
    """A whole number."""

    least: int = 0
    most: int = 2**31 - 1

    @property
    def described(self) -> str:
        return f"whole number, {self.least} to {self.most}"

    def read(self, value: object) -> int:
        require_type(value, (int,), f"a {self.described}")
        assert isinstance(value, int)
        require_range(value, self.least, self.most, str)
        return value

    def write(self, value: int) -> str:
        return str(value)


@dataclass(frozen=True, slots=True)
class Number:
    """A finite number."""

    least: float = 0.0
    most: float = 1e9

    @property
    def described(self) -> str:
        return f"number, {units.format_number(self.least)} to {units.format_number(self.most)}"

    def read(self, value: object) -> float:
        require_type(value, (int, float), f"a {self.described}")
        assert isinstance(value, int | float)
        if not math.isfinite(value):
            raise InvalidValue(RANGE, f"{value} is not a finite number", f"expected a {self.described}")
        require_range(value, self.least, self.most, units.format_number)
        return float(value)

    def write(self, value: float) -> str:
        return repr(float(value))


@dataclass(frozen=True, slots=True)
class Quantity:
    """A number with a unit, written as a text; values are in ms, bytes or calls a second."""

    what: str  # noun for messages, like "time"
    example: str  # a valid value for messages, like "2.5 s"
    parse: Callable[[str], float]
    format: Callable[[Any], str]
    least: float
    most: float

    @property
    def described(self) -> str:
        return (
            f"{self.what} like {quoted(self.example)}, {self.format(self.least)} to {self.format(self.most)}"
        )

    def read(self, value: object) -> float:
        if isinstance(value, int | float) and not isinstance(value, bool):
            raise InvalidValue(
                UNIT, f"{abbreviated(value)} has no unit", f"write a {self.what} like {quoted(self.example)}"
            )
        require_type(value, (str,), f"a {self.what} like {quoted(self.example)}")
        assert isinstance(value, str)
        try:
            number = self.parse(value)
        except units.UnitError as error:
            closest = closest_name(error.unit, list(error.units)) if error.unit else ""
            hint = f"did you mean {closest!r}? " if closest else ""
            raise InvalidValue(UNIT, str(error), f"{hint}valid units: {', '.join(error.units)}") from error
        require_range(number, self.least, self.most, self.format)
        return number

    def write(self, value: float) -> str:
        return quoted(self.format(value))


def duration(least: float = 0.0, most: float = 86_400_000.0) -> Quantity:
    """Returns the type of a time, in milliseconds."""
    return Quantity("time", "2.5 s", units.read_duration, units.write_duration, least, most)


def size(least: int = 0, most: int = 2**40) -> Quantity:
    """Returns the type of a size, in bytes."""
    return Quantity("size", "64 MiB", units.read_size, units.write_size, least, most)


def rate(least: float = 0.0, most: float = 1e6) -> Quantity:
    """Returns the type of a rate, in calls a second."""
    return Quantity("rate", "5/s", units.read_rate, units.write_rate, least, most)


@dataclass(frozen=True, slots=True)
class Text:
    """A string that matches a pattern as a whole."""

    what: str = "string"  # noun for messages
    pattern: str = r"[^\x00-\x1f\x7f]{1,256}"
    empty: bool = False  # whether "" is allowed too

    @property
    def described(self) -> str:
        return self.what

    def read(self, value: object) -> str:
        require_type(value, (str,), f"a {self.what}")
        assert isinstance(value, str)
        if not (self.empty and not value) and not re.fullmatch(self.pattern, value):
            raise InvalidValue(
                NAME,
                f"{abbreviated(value)} is not a valid {self.what}",
                f"it must match the pattern {self.pattern}",
            )
        return value

    def write(self, value: str) -> str:
        return quoted(value)


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a few words."""

    options: tuple[str, ...]

    @property
    def described(self) -> str:
        return "one of " + ", ".join(quoted(option) for option in self.options)

    def read(self, value: object) -> str:
        require_type(value, (str,), self.described)
        assert isinstance(value, str)
        if value not in self.options:
            closest = closest_name(value, self.options)
            hint = f"did you mean {quoted(closest)}? " if closest else ""
            raise InvalidValue(
                CHOICE, f"{abbreviated(value)} is not a valid value", f"{hint}expected {self.described}"
            )
        return value

    def write(self, value: str) -> str:
        return quoted(value)


def read_address(text: str, least_port: int = 1) -> tuple[str, int]:
    """Parses HOST:PORT or [IPV6]:PORT; raises InvalidValue."""
    hint = 'expected "HOST:PORT", like "10.1.0.18:8080" or "[::1]:8080"'
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise InvalidValue(
            ADDRESS,
            f"address {abbreviated(text)} has no {'host' if colon else 'port'}"
            if text
            else "the address is empty",
            hint,
        )
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and least_port <= int(port) <= 65535):
        raise InvalidValue(
            ADDRESS, f"{abbreviated(port)} is not a valid port", f"use a number from {least_port} to 65535"
        )
    if host.startswith("[") != host.endswith("]") or (":" in host and not host.startswith("[")):
        raise InvalidValue(
            ADDRESS,
            f"{abbreviated(host)} is not a valid host",
            'write an IPv6 address in brackets, like "[::1]:8080"',
        )
    bare_host = host.strip("[]")
    if host.startswith("[") or re.fullmatch(r"[0-9.]+", bare_host):
        try:
            ipaddress.ip_address(bare_host)
        except ValueError as error:
            raise InvalidValue(
                ADDRESS, f"{abbreviated(bare_host)} is not a valid IP address", hint
            ) from error
    elif not HOSTNAME.fullmatch(bare_host):
        raise InvalidValue(ADDRESS, f"{abbreviated(bare_host)} is not a valid host", hint)
    return bare_host, int(port)


def write_address(address: tuple[str, int]) -> str:
    """Formats an address as HOST:PORT, or [IPV6]:PORT."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port, written as HOST:PORT."""

    numeric: bool = False  # only IP addresses: names are not resolved while a message is delivered
    least_port: int = 1

    @property
    def described(self) -> str:
        return ('"IP:PORT"' if self.numeric else '"HOST:PORT"') + (
            ", port 0: any free port" if not self.least_port else ""
        )

    def read(self, value: object) -> tuple[str, int]:
        require_type(value, (str,), f"an address, {self.described}")
        assert isinstance(value, str)
        host, port = read_address(value, self.least_port)
        if self.numeric and ":" not in host and not re.fullmatch(r"[0-9.]+", host):
            raise InvalidValue(ADDRESS, f"{abbreviated(host)} is a host name, not an IP address",
                        "host names are not resolved; write an IP address")  # fmt: skip
        return host, port

    def write(self, value: tuple[str, int]) -> str:
        return quoted(write_address(value))


@dataclass(frozen=True, slots=True)
class Many:
    """A list of values of one type."""

    of: Any
    # Elements: lists of senders or servers may be long. The limit of 4 MiB on the file bounds them too.
    most: int = 100_000

    @property
    def described(self) -> str:
        return f"list, each element a {self.of.described}"

    def read(self, value: object) -> tuple:
        require_type(value, (list,), f"a {self.described}")
        assert isinstance(value, list)
        if len(value) > self.most:
            raise InvalidValue(RANGE, f"the list has {len(value)} elements", f"use at most {self.most}")
        return tuple(self.of.read(item) for item in value)

    def write(self, value: tuple) -> str:
        return "[" + ", ".join(self.of.write(item) for item in value) + "]"
