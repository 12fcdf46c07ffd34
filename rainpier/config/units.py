"""Parses and formats quantities with units: "2.5 s", "64 MiB", "5/s". No I/O.

Values are in milliseconds, bytes and calls a second. Each is written with the largest unit that holds it
exactly, so that parsing the written text gives the same value.
"""

import math
import re

DURATIONS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
SIZES = {"B": 1, "kB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
RATES = {"s": 1.0, "min": 60.0, "h": 3600.0, "d": 86_400.0}
QUANTITY = re.compile(r"([0-9][0-9_]*(?:\.[0-9]+)?)\s*(\S*)")
RATE = re.compile(r"([0-9][0-9_]*(?:\.[0-9]+)?)\s*/\s*(\S*)")


class UnitError(ValueError):
    """A quantity can't be parsed; the text says why. `unit`: as written, or ""; `units`: the allowed ones."""

    def __init__(self, text: str, unit: str = "", units: tuple[str, ...] = ()) -> None:
        super().__init__(text)
        self.unit, self.units = unit, units


def split_quantity(
    text: str, pattern: re.Pattern[str], units: tuple[str, ...], example: str
) -> tuple[float, str]:
    """Splits a quantity into its number and its unit; raises UnitError."""
    match = pattern.fullmatch(text.strip())
    if not match:
        raise UnitError(f"{text!r} is not a quantity like {example}", "", units)
    number, unit = float(match[1].replace("_", "")), match[2]
    if not unit:
        raise UnitError(f"{text!r} has no unit", "", units)
    if unit not in units:
        raise UnitError(f"{text!r} has the unknown unit {unit!r}", unit, units)
    if not number < math.inf:
        raise UnitError(f"{text!r} is too large", "", units)
    return number, unit


def read_duration(text: str) -> float:
    """Parses a time like "2.5 s" to milliseconds; raises UnitError."""
    number, unit = split_quantity(text, QUANTITY, tuple(DURATIONS), '"2.5 s"')
    return number * DURATIONS[unit]


def read_size(text: str) -> int:
    """Parses a size like "64 MiB" to bytes; raises UnitError, also for a fraction of a byte."""
    number, unit = split_quantity(text, QUANTITY, tuple(SIZES), '"64 MiB"')
    value = number * SIZES[unit]
    if value != int(value):
        raise UnitError(f"{text!r} is not a whole number of bytes", "", tuple(SIZES))
    return int(value)


def read_rate(text: str) -> float:
    """Parses a rate like "5/s" to calls a second; raises UnitError."""
    number, unit = split_quantity(text, RATE, tuple(RATES), '"5/s"')
    return number / RATES[unit]


def format_number(number: float) -> str:
    """Formats a number, without a fraction if it is whole and below 1e15."""
    return str(int(number)) if number == int(number) and abs(number) < 1e15 else repr(float(number))


def largest_exact_unit(value: float, units: dict[str, float]) -> tuple[str, str]:
    """Returns the number and the largest unit in which the value is whole, else the smallest unit."""
    for unit, size in sorted(units.items(), key=lambda pair: -pair[1]):
        if value and value % size == 0:
            return format_number(value / size), unit
    unit = min(units, key=lambda name: units[name])
    return format_number(value / units[unit]), unit


def write_duration(value: float) -> str:
    """Formats milliseconds as a time in ms, s or min."""
    return " ".join(
        largest_exact_unit(value, {unit: size for unit, size in DURATIONS.items() if unit not in ("d", "h")})
    )


def write_size(value: int) -> str:
    """Formats bytes as a binary or a decimal size, whichever has the shorter number."""
    binary = {unit: size for unit, size in SIZES.items() if "i" in unit or unit == "B"}
    decimal = {unit: size for unit, size in SIZES.items() if "i" not in unit}
    return " ".join(
        min(
            largest_exact_unit(value, binary),
            largest_exact_unit(value, decimal),
            key=lambda pair: len(pair[0]),
        )
    )


def write_rate(value: float) -> str:
    """Formats calls a second with the first unit, from seconds to days, that gives a number of at least 1.

    A number that has an exponent or does not parse back to the same value is not used; if no unit fits, the
    rate is written per second with 20 decimals.
    """
    for unit, seconds in RATES.items():
        number = format_number(value * seconds)
        if "e" not in number and float(number) / seconds == value and (value * seconds >= 1 or unit == "d"):
            return f"{number}/{unit}"
    return f"{value:.20f}".rstrip("0").rstrip(".") + "/s"
