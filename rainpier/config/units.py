"""Quantities as people write them: "2.5 s", "64 MiB", "5/s". No input or output.

Read into the program's own units: milliseconds, bytes, calls a second; written back with the largest unit
that holds the value exactly, so that reading what was written gives the same value.
"""

import math
import re

DURATIONS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
SIZES = {"B": 1, "kB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
RATES = {"s": 1.0, "min": 60.0, "h": 3600.0, "d": 86_400.0}
QUANTITY = re.compile(r"([0-9][0-9_]*(?:\.[0-9]+)?)\s*(\S*)")
RATE = re.compile(r"([0-9][0-9_]*(?:\.[0-9]+)?)\s*/\s*(\S*)")


class UnitError(ValueError):
    """A quantity can't be read; the text says why, `unit` is the unit as it was written, if any."""

    def __init__(self, text: str, unit: str = "", units: tuple[str, ...] = ()) -> None:
        super().__init__(text)
        self.unit, self.units = unit, units


def split(text: str, pattern: re.Pattern[str], units: tuple[str, ...], example: str) -> tuple[float, str]:
    found = pattern.fullmatch(text.strip())
    if not found:
        raise UnitError(f"{text!r} is not a quantity like {example}", "", units)
    number, unit = float(found[1].replace("_", "")), found[2]
    if not unit:
        raise UnitError(f"{text!r} has no unit", "", units)
    if unit not in units:
        raise UnitError(f"{unit!r} is not a unit here", unit, units)
    if not number < math.inf:
        raise UnitError(f"{text!r} is too large a number", "", units)
    return number, unit


def read_duration(text: str) -> float:
    """Milliseconds of a text like "2.5 s"; UnitError."""
    number, unit = split(text, QUANTITY, tuple(DURATIONS), '"2.5 s"')
    return number * DURATIONS[unit]


def read_size(text: str) -> int:
    """Bytes of a text like "64 MiB"; UnitError, also for a part of a byte."""
    number, unit = split(text, QUANTITY, tuple(SIZES), '"64 MiB"')
    value = number * SIZES[unit]
    if value != int(value):
        raise UnitError(f"{text!r} is not a whole number of bytes", "", tuple(SIZES))
    return int(value)


def read_rate(text: str) -> float:
    """Calls a second of a text like "5/s"; UnitError."""
    number, unit = split(text, RATE, tuple(RATES), '"5/s"')
    return number / RATES[unit]


def plain(number: float) -> str:
    return str(int(number)) if number == int(number) and abs(number) < 1e15 else repr(float(number))


def largest(value: float, units: dict[str, float]) -> tuple[str, str]:
    """The number and the largest unit in which a value is whole, else the smallest that is exact."""
    for unit, size in sorted(units.items(), key=lambda pair: -pair[1]):
        if value and value % size == 0:
            return plain(value / size), unit
    unit = min(units, key=lambda name: units[name])
    return plain(value / units[unit]), unit


def write_duration(value: float) -> str:
    return " ".join(largest(value, {k: v for k, v in DURATIONS.items() if k not in ("d", "h")}))


def write_size(value: int) -> str:
    binary = {unit: size for unit, size in SIZES.items() if "i" in unit or unit == "B"}
    decimal = {unit: size for unit, size in SIZES.items() if "i" not in unit}
    return " ".join(min(largest(value, binary), largest(value, decimal), key=lambda pair: len(pair[0])))


def write_rate(value: float) -> str:
    """The coarsest unit whose number reads back as just this value."""
    for unit, span in RATES.items():
        number = plain(value * span)
        if "e" not in number and float(number) / span == value and (value * span >= 1 or unit == "d"):
            return f"{number}/{unit}"
    return f"{value:.20f}".rstrip("0").rstrip(".") + "/s"
